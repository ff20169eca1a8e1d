//! What a node reports of its accounts' work, bounded for any number of accounts.

use bluebell_base::prelude::*;
use std::cmp::Ordering;

use super::account::{AccountKey, AccountWork, PRIORITIES};

/// Number of accounts that a report names. An account far above its share is among the largest at
/// every node; the rest is reported as one sum and counts as accounts below the level.
pub const MAX_REPORTED: usize = 8;

/// Work of a node's accounts for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkReport {
    /// The accounts with the largest demand.
    pub accounts: Vec<(AccountKey, AccountWork)>,
    /// The sum of the other accounts, by priority.
    pub rest: [AccountWork; PRIORITIES],
}

impl WorkReport {
    /// Returns the report of these accounts.
    pub(super) fn of(mut accounts: Vec<(AccountKey, AccountWork)>) -> Self {
        accounts.sort_unstable_by(by_demand);
        let mut rest = [AccountWork::default(); PRIORITIES];
        for (key, work) in accounts.drain(MAX_REPORTED.min(accounts.len())..) {
            rest[usize::from(key.priority)].add(work);
        }
        Self { accounts, rest }
    }

    /// Returns true if there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the report as far as it is plausible: each account's work is at most `max_ms`, the
    /// time of all engines, and no more accounts count than a report may name.
    pub(super) fn plausible(mut self, max_ms: f64) -> Self {
        self.accounts.truncate(MAX_REPORTED);
        for (key, work) in &mut self.accounts {
            key.priority = key.priority.min(PRIORITIES as u8 - 1);
            *work = work.plausible(max_ms);
        }
        self.rest = self.rest.map(|work| work.plausible(max_ms));
        self
    }

    /// Returns the report after its sums have decayed for `age_ms`.
    pub(super) fn decayed(&self, age_ms: SpanMs) -> Self {
        let accounts = self.accounts.iter();
        Self {
            accounts: accounts
                .map(|(key, work)| (*key, work.decayed(age_ms)))
                .collect(),
            rest: self.rest.map(|work| work.decayed(age_ms)),
        }
    }
}

/// Orders accounts by demand, the largest first.
pub(super) fn by_demand(
    (a_key, a): &(AccountKey, AccountWork),
    (b_key, b): &(AccountKey, AccountWork),
) -> Ordering {
    let by_demand = b.demand_ms.total_cmp(&a.demand_ms);
    by_demand.then_with(|| a_key.cmp(b_key))
}
