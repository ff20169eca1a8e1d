//! The node's side of the shares of client accounts: counts the engine time that its callers ask for
//! and that it places, reports it to the peers under contention, and tells which requests are held.
//!
//! Invariants: requests without an account and requests for plain replicas are neither counted nor
//! held. A decision to hold a request isn't drawn again while the request waits.

mod list;
mod request;

pub use list::{ListedShare, list};
pub(crate) use request::RequestShare;

use crate::journal::Event;
use crate::node::{Node, State};
use bluebell_base::prelude::*;
use bluebell_fleet::fanout::digest_interval;
use bluebell_fleet::prelude::*;
use bluebell_fleet::shares::{Hold, HoldChange, Holds, MAX_REPORTED};

/// The shares as a node keeps them.
#[derive(Debug, Default)]
pub struct ShareState {
    /// The work of the accounts, of this node and of its peers.
    pub shares: Shares,
    /// The accounts that are held now.
    holds: Holds,
    /// The time at which this node last reported to its peers.
    reported_ms: Option<MonoMs>,
    /// True if the metrics show the work of accounts.
    has_metrics: bool,
}

/// Counts the work that an admitted request asks for.
pub(crate) fn on_admitted(node: &Node, share: &RequestShare) {
    let now_ms = node.now_ms();
    let (service, request) = (share.service_key(), share.request());
    node.with(|state| {
        state.share_state.shares.on_demand(service, request, now_ms);
    });
}

/// Counts work that was placed for a request. Its account asked for the first placement when the
/// request was admitted, and asks for each further one when it is placed.
pub(crate) fn on_placed(node: &Node, share: &RequestShare) {
    let now_ms = node.now_ms();
    let (service, request) = (share.service_key(), share.request());
    let is_first = share.on_placed();
    node.with(|state| {
        let shares = &mut state.share_state.shares;
        if !is_first {
            shares.on_demand(service, request, now_ms);
        }
        shares.on_placed(service, request, now_ms);
    });
}

/// Decides if a request on engines that are contended or not belongs to the part of its account's demand
/// that is above the level. Peers are told of this node's accounts while their engines are contended.
pub(crate) fn is_above(
    share_state: &mut ShareState,
    share: &RequestShare,
    is_contended: bool,
    now_ms: MonoMs,
) -> bool {
    let shares = &mut share_state.shares;
    is_contended && share.decide(|request| shares.is_held(share.service_key(), request, now_ms))
}

/// Logs that a request is held, if it is the first of its account.
pub(crate) fn on_held(node: &Node, share: &RequestShare) {
    let now_ms = node.now_ms();
    let hold = Hold {
        service: share.service_key(),
        account: share.request().account,
        name: share.account().clone(),
    };
    let change = node.with(|state| state.share_state.holds.on_held(&hold, now_ms));
    if change == HoldChange::Begun {
        log_hold(node, &hold, true);
    }
}

/// Applies a peer's report. A service that this node's configuration doesn't have is ignored.
pub(crate) fn on_reported(
    state: &mut State,
    owner: OwnerId,
    service: ServiceKey,
    report: WorkReport,
    now_ms: MonoMs,
) {
    let Some(config) = &state.config else {
        return;
    };
    let mut services = config.services();
    let Some(found) = services.find(|known| ServiceKey::of(&known.name) == service) else {
        return;
    };
    let engines = state.replicas.ready(&found.name).len();
    let shares = &mut state.share_state.shares;
    shares.on_report(owner, service, report, engines, now_ms);
}

/// Reports this node's accounts to the peers if their engines are contended, logs the accounts that
/// are no longer held, and updates the metrics.
pub fn update(node: &Node) {
    let now_ms = node.now_ms();
    let live_peers = node.outbox.live_peer_count();
    let interval_ms = digest_interval(node.outbox.peer_count());
    let (reports, ended) = node.with(|state| {
        let state = &mut state.share_state;
        state.shares.expire(live_peers, now_ms);
        let is_due = |at_ms| now_ms.since(at_ms) >= interval_ms;
        let reports = match state.reported_ms.is_none_or(is_due) {
            true => state.shares.reports(now_ms),
            false => Vec::new(),
        };
        if !reports.is_empty() {
            state.reported_ms = Some(now_ms);
        }
        (reports, state.holds.expire(now_ms))
    });
    for (service, report) in reports {
        node.outbox.account_work(service, report);
    }
    for hold in ended {
        log_hold(node, &hold, false);
    }
    update_metrics(node, now_ms);
}

/// Shows the work of the largest accounts in the metrics, and zeros after it has ended.
fn update_metrics(node: &Node, now_ms: MonoMs) {
    let (largest, had_metrics) = node.with(|state| {
        let state = &mut state.share_state;
        let largest = state.shares.largest(MAX_REPORTED, now_ms);
        let has_metrics = !largest.is_empty();
        let had_metrics = std::mem::replace(&mut state.has_metrics, has_metrics);
        (largest, had_metrics)
    });
    if largest.is_empty() && !had_metrics {
        return;
    }
    let work_ms: Vec<f64> = largest
        .iter()
        .map(|(_, share)| share.work.demand_ms)
        .collect();
    node.journal.metrics().record_account_work(&work_ms);
}

/// Logs that an account is held, or no longer is.
fn log_hold(node: &Node, hold: &Hold, held: bool) {
    let now_ms = node.now_ms();
    let share = node.with(|state| {
        let shares = &mut state.share_state.shares;
        shares.account(hold.service, hold.account, now_ms)
    });
    node.journal.record(&Event::AccountHeld {
        account: hold.name.clone(),
        held,
        work_ms: share.work.demand_ms as u64,
        level_ms: share.level.finite_ms(),
    });
}
