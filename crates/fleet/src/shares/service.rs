//! The shares of one service: the sums of its accounts on this node and on its peers, and the level.
//!
//! Invariants: a peer's sums are changed only by its own reports, decay with their age, and end when
//! the peer falls silent. The cached levels are at most [`LEVEL_INTERVAL_MS`] old.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use super::account::{AccountKey, AccountWork, PRIORITIES};
use super::level::{Level, levels};
use super::report::WorkReport;
use super::{DECAY_MS, ShareRequest};
use crate::ledger::OwnerId;

/// Interval at which the sums of all nodes are merged and the levels computed. Merging the reports
/// of 1,000 nodes for each decision would take a small node longer than a placement does.
const LEVEL_INTERVAL_MS: SpanMs = SpanMs(250);

/// Sum below which an account's work is dropped: less than any request's.
const MIN_WORK_MS: f64 = 0.5;

/// Age at which a report is dropped: by then its sums have decayed to 2 % of their values.
const MAX_REPORT_AGE_MS: SpanMs = SpanMs(16_000);

/// Sums at the time of their last change.
#[derive(Clone, Copy, Debug)]
struct OwnWork {
    work: AccountWork,
    at_ms: MonoMs,
}

impl OwnWork {
    fn decayed(&self, now_ms: MonoMs) -> AccountWork {
        self.work.decayed(now_ms.since(self.at_ms))
    }
}

/// A peer's report and the time at which it was received.
#[derive(Clone, Debug)]
struct PeerReport {
    report: WorkReport,
    received_ms: MonoMs,
}

/// The work of one account in the whole fleet, and the level that applies to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountShare {
    /// The account.
    pub account: AccountKey,
    /// Its work.
    pub work: AccountWork,
    /// The level of its priority.
    pub level: Level,
}

/// The sums of all nodes at one moment.
#[derive(Clone, Debug)]
struct Merged {
    accounts: FxHashMap<AccountKey, AccountWork>,
    levels: [Level; PRIORITIES],
    /// The factor that accounts for live peers that reported nothing.
    scale: f64,
    computed_ms: Option<MonoMs>,
}

impl Default for Merged {
    fn default() -> Self {
        Self {
            accounts: FxHashMap::default(),
            levels: [Level::NONE; PRIORITIES],
            scale: 1.0,
            computed_ms: None,
        }
    }
}

/// The work of one service's accounts.
#[derive(Debug, Default)]
pub struct ServiceShares {
    own: FxHashMap<AccountKey, OwnWork>,
    peers: FxHashMap<OwnerId, PeerReport>,
    merged: Merged,
    contended_ms: Option<MonoMs>,
}

impl ServiceShares {
    /// Records work that an account asked for.
    pub fn on_demand(&mut self, request: &ShareRequest, now_ms: MonoMs) {
        let work = AccountWork {
            demand_ms: request.work_ms,
            placed_ms: 0.0,
        };
        self.add(request.account, work, now_ms);
    }

    /// Records work that was placed for an account.
    pub fn on_placed(&mut self, request: &ShareRequest, now_ms: MonoMs) {
        let work = AccountWork {
            demand_ms: 0.0,
            placed_ms: request.work_ms,
        };
        self.add(request.account, work, now_ms);
    }

    fn add(&mut self, account: AccountKey, work: AccountWork, now_ms: MonoMs) {
        let own = self.own.entry(account).or_insert(OwnWork {
            work: AccountWork::default(),
            at_ms: now_ms,
        });
        own.work = own.decayed(now_ms);
        own.work.add(work);
        own.at_ms = now_ms;
    }

    /// Replaces what a peer reported before. Each account's work is at most the time of `engines`
    /// engines.
    pub fn on_report(
        &mut self,
        owner: OwnerId,
        report: WorkReport,
        engines: usize,
        now_ms: MonoMs,
    ) {
        let report = PeerReport {
            report: report.plausible(engines as f64 * DECAY_MS),
            received_ms: now_ms,
        };
        self.peers.insert(owner, report);
    }

    /// Drops what a peer reported.
    pub fn remove_owner(&mut self, owner: OwnerId) {
        self.peers.remove(&owner);
    }

    /// Returns the time at which contention was last observed.
    pub fn contended_ms(&self) -> Option<MonoMs> {
        self.contended_ms
    }

    /// Returns the report for the peers.
    pub fn report(&self, now_ms: MonoMs) -> WorkReport {
        WorkReport::of(self.own_accounts(now_ms))
    }

    fn own_accounts(&self, now_ms: MonoMs) -> Vec<(AccountKey, AccountWork)> {
        let own = self.own.iter();
        own.map(|(key, own)| (*key, own.decayed(now_ms))).collect()
    }

    /// Drops sums that have decayed.
    pub fn expire(&mut self, now_ms: MonoMs) {
        self.own.retain(|_, own| {
            let work = own.decayed(now_ms);
            work.demand_ms.max(work.placed_ms) >= MIN_WORK_MS
        });
        self.peers
            .retain(|_, peer| now_ms.since(peer.received_ms) < MAX_REPORT_AGE_MS);
    }

    /// Returns true if no work is known.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.peers.is_empty()
    }

    /// Returns true if a request that found the engines contended is held: the part of each
    /// account's work that isn't held adds up to the level over all nodes.
    pub fn is_held(&mut self, request: &ShareRequest, live_peers: usize, now_ms: MonoMs) -> bool {
        self.contended_ms = Some(now_ms);
        let share = self.account(request.account, live_peers, now_ms);
        // A request isn't held for its own work: one long prompt may exceed the level.
        let own_ms = request.work_ms * self.merged.scale;
        let demand_ms = share.work.demand_ms - own_ms;
        request.draw < share.level.held_part(demand_ms)
    }

    /// Returns the share of one account.
    pub fn account(
        &mut self,
        account: AccountKey,
        live_peers: usize,
        now_ms: MonoMs,
    ) -> AccountShare {
        let merged = self.merged(live_peers, now_ms);
        AccountShare {
            account,
            work: merged.accounts.get(&account).copied().unwrap_or_default(),
            level: merged.levels[usize::from(account.priority)],
        }
    }

    /// Returns the shares of all known accounts.
    pub fn accounts(&mut self, live_peers: usize, now_ms: MonoMs) -> Vec<AccountShare> {
        let merged = self.merged(live_peers, now_ms);
        let accounts = merged.accounts.iter();
        let shares = accounts.map(|(account, work)| AccountShare {
            account: *account,
            work: *work,
            level: merged.levels[usize::from(account.priority)],
        });
        shares.collect()
    }

    fn merged(&mut self, live_peers: usize, now_ms: MonoMs) -> &Merged {
        let is_stale = |at_ms| now_ms.since(at_ms) >= LEVEL_INTERVAL_MS;
        if self.merged.computed_ms.is_none_or(is_stale) {
            self.merged = self.merge(live_peers, now_ms);
        }
        &self.merged
    }

    /// Merges the sums of this node and of its peers. Live peers that reported nothing are assumed
    /// to see the mean of the nodes that are known.
    fn merge(&self, live_peers: usize, now_ms: MonoMs) -> Merged {
        let mut accounts: FxHashMap<AccountKey, AccountWork> = FxHashMap::default();
        let mut rest = [AccountWork::default(); PRIORITIES];
        let reported = self.peers.values();
        let reported = reported.map(|peer| peer.report.decayed(now_ms.since(peer.received_ms)));
        let own = WorkReport {
            accounts: self.own_accounts(now_ms),
            ..WorkReport::default()
        };
        for report in reported.chain([own]) {
            for (key, work) in report.accounts {
                accounts.entry(key).or_default().add(work);
            }
            for (rest, work) in rest.iter_mut().zip(report.rest) {
                rest.add(work);
            }
        }
        let heard = self.peers.len() + 1;
        let scale = (live_peers + 1).max(heard) as f64 / heard as f64;
        for work in accounts.values_mut() {
            *work = work.scaled(scale);
        }
        let rest = rest.map(|work| work.scaled(scale));
        Merged {
            levels: levels(&accounts, &rest),
            accounts,
            scale,
            computed_ms: Some(now_ms),
        }
    }
}
