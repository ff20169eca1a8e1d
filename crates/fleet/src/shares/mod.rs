//! Shares of client accounts in the engines of a service under contention, measured in engine time.
//!
//! Terms: the *work* of a request is the engine time that it takes: the reading of its prompt and
//! its part of the passes that write its answer. The *demand* of an account is the work that it
//! asked for, and its *placed* work the part that was placed, both as decaying sums. The *level* is
//! the most work that each account of one priority gets when the placed work of all accounts is
//! distributed evenly and none gets more than its demand (max-min fairness). Requests of an account
//! above the level are *held* in proportion to the part of its demand beyond the level.
//!
//! Load pattern: of some twenty accounts, one asks for ten times its usual share for some seconds,
//! so that all together ask for more than the engines can do. Without shares, the requests of all
//! accounts wait behind its requests and become late.
//!
//! Reason for the limits: what is distributed is the work that was placed and not a configured
//! capacity, so the level follows engines that are slow or answers that are short. Demand and
//! placed work that a node hasn't heard of scale both sides, and the held part stays as it is.
//!
//! Invariants: an account whose demand is below the level is never held, however much others ask
//! for. No request is held without contention, nor while a single account asks for work.

mod account;
mod holds;
mod level;
mod report;
mod service;
mod work;

pub use account::{AccountKey, AccountWork, PRIORITIES, ServiceKey};
pub use holds::{Hold, HoldChange, Holds};
pub use level::{Level, max_min_level};
pub use report::{MAX_REPORTED, WorkReport};
pub use service::{AccountShare, ServiceShares};
pub use work::engine_time_ms;

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::ledger::OwnerId;

/// Time after which work has the weight 1/e in a decaying sum. It spans some answers of each kind,
/// and a peak that passes is forgotten within seconds.
pub const DECAY_MS: f64 = 4_000.0;

/// Time after contention was last observed for which a node reports its accounts' work. A node of a
/// large fleet gets a request each second or two.
const REPORTING_MS: SpanMs = SpanMs(1_500);

/// A request, as far as the share of its account depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRequest {
    /// The account, with the priority of the request.
    pub account: AccountKey,
    /// The work of the request.
    pub work_ms: f64,
    /// A random number from 0 to 1, drawn once for the request, so that polling again doesn't
    /// change the decision.
    pub draw: f64,
}

/// The shares of all services on one node.
#[derive(Debug, Default)]
pub struct Shares {
    services: FxHashMap<ServiceKey, ServiceShares>,
    live_peers: usize,
}

impl Shares {
    /// Records work that an account asked for.
    pub fn on_demand(&mut self, service: ServiceKey, request: &ShareRequest, now_ms: MonoMs) {
        self.service_mut(service).on_demand(request, now_ms);
    }

    /// Records work that was placed for an account.
    pub fn on_placed(&mut self, service: ServiceKey, request: &ShareRequest, now_ms: MonoMs) {
        self.service_mut(service).on_placed(request, now_ms);
    }

    /// Returns true if a request is held while the service's engines are contended.
    pub fn is_held(&mut self, service: ServiceKey, request: &ShareRequest, now_ms: MonoMs) -> bool {
        let live_peers = self.live_peers;
        self.service_mut(service)
            .is_held(request, live_peers, now_ms)
    }

    /// Applies what a peer reported about a service that has `engines` engines.
    pub fn on_report(
        &mut self,
        owner: OwnerId,
        service: ServiceKey,
        report: WorkReport,
        engines: usize,
        now_ms: MonoMs,
    ) {
        self.service_mut(service)
            .on_report(owner, report, engines, now_ms);
    }

    /// Drops what a silent peer reported.
    pub fn remove_owner(&mut self, owner: OwnerId) {
        for service in self.services.values_mut() {
            service.remove_owner(owner);
        }
    }

    /// Sets the number of live peers, and drops sums that have decayed.
    pub fn expire(&mut self, live_peers: usize, now_ms: MonoMs) {
        self.live_peers = live_peers;
        self.services.retain(|_, service| {
            service.expire(now_ms);
            !service.is_empty()
        });
    }

    /// Returns the reports of the services whose contention this node has observed recently.
    pub fn reports(&self, now_ms: MonoMs) -> Vec<(ServiceKey, WorkReport)> {
        let contended = self.services.iter().filter(|(_, service)| {
            let contended_ms = service.contended_ms();
            contended_ms.is_some_and(|at_ms| now_ms.since(at_ms) <= REPORTING_MS)
        });
        let reports = contended.map(|(key, service)| (*key, service.report(now_ms)));
        reports.filter(|(_, report)| !report.is_empty()).collect()
    }

    /// Returns the `count` accounts with the largest demand over all services.
    pub fn largest(&mut self, count: usize, now_ms: MonoMs) -> Vec<(ServiceKey, AccountShare)> {
        let live_peers = self.live_peers;
        let services = self.services.iter_mut();
        let mut shares: Vec<(ServiceKey, AccountShare)> = services
            .flat_map(|(key, service)| {
                let shares = service.accounts(live_peers, now_ms);
                shares.into_iter().map(|share| (*key, share))
            })
            .collect();
        shares.sort_by(|(_, a), (_, b)| b.work.demand_ms.total_cmp(&a.work.demand_ms));
        shares.truncate(count);
        shares
    }

    /// Returns the share of one account.
    pub fn account(
        &mut self,
        service: ServiceKey,
        account: AccountKey,
        now_ms: MonoMs,
    ) -> AccountShare {
        let live_peers = self.live_peers;
        self.service_mut(service)
            .account(account, live_peers, now_ms)
    }

    fn service_mut(&mut self, service: ServiceKey) -> &mut ServiceShares {
        self.services.entry(service).or_default()
    }
}
