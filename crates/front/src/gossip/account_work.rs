//! The format of gossip of accounts' work. It takes at most 200 bytes, whatever the number of accounts.

use bluebell_fleet::prelude::*;
use bluebell_fleet::shares::{AccountWork, PRIORITIES};
use serde::{Deserialize, Serialize};

/// The work of the sender's accounts on the engines of one service, as sums that have decayed up to
/// the time of sending.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct AccountWorkGossip {
    /// The hash of the service's name.
    service: u64,
    /// The accounts with the largest demand.
    accounts: Vec<AccountGossip>,
    /// The sums of the sender's other accounts, by priority.
    rest: Vec<SumsGossip>,
}

/// The work of one account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct AccountGossip {
    /// The hash of the account's name.
    name_hash: u64,
    priority: u8,
    sums: SumsGossip,
}

/// Engine time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct SumsGossip {
    demand_ms: f32,
    placed_ms: f32,
}

impl From<AccountWork> for SumsGossip {
    fn from(work: AccountWork) -> Self {
        Self {
            demand_ms: work.demand_ms as f32,
            placed_ms: work.placed_ms as f32,
        }
    }
}

impl From<SumsGossip> for AccountWork {
    fn from(sums: SumsGossip) -> Self {
        Self {
            demand_ms: f64::from(sums.demand_ms),
            placed_ms: f64::from(sums.placed_ms),
        }
    }
}

impl AccountWorkGossip {
    /// Describes this node's report on a service.
    pub fn of(service: ServiceKey, report: &WorkReport) -> Self {
        let accounts = report.accounts.iter().map(|(key, work)| AccountGossip {
            name_hash: key.name_hash,
            priority: key.priority,
            sums: (*work).into(),
        });
        Self {
            service: service.0,
            accounts: accounts.collect(),
            rest: report.rest.iter().map(|work| (*work).into()).collect(),
        }
    }

    /// Returns the service and the report on it.
    pub fn into_report(self) -> (ServiceKey, WorkReport) {
        let accounts = self.accounts.into_iter().map(|account| {
            let key = AccountKey {
                name_hash: account.name_hash,
                priority: account.priority,
            };
            (key, account.sums.into())
        });
        let mut report = WorkReport {
            accounts: accounts.collect(),
            ..WorkReport::default()
        };
        for (rest, sums) in report
            .rest
            .iter_mut()
            .zip(self.rest.into_iter().take(PRIORITIES))
        {
            *rest = sums.into();
        }
        (ServiceKey(self.service), report)
    }
}
