//! Keeps the request limits that replicas state: records what answers and peers report of them,
//! reports changes to the peers, and computes what this node may send. Also keeps the rates that cold
//! replicas bear, which every node derives from the directory by itself.
//!
//! Invariants: the node that first receives a limit, its change or its end reports it to all peers
//! at once. Each such change is logged.

use crate::journal::Event;
use crate::node::{Node, State};
use bluebell_base::prelude::*;
use bluebell_fleet::cold;
use bluebell_fleet::prelude::*;
use std::net::SocketAddr;

/// Records what an answer of a replica states of its limit, and reports a change to the peers.
pub fn on_answer(node: &Node, key: ReplicaKey, report: LimitReport) {
    if report.signal == LimitSignal::Unreadable {
        log::debug!("{key} stated a request limit that can't be parsed");
    }
    let now_ms = node.now_ms();
    let Some(change) = node.with(|state| state.limits.on_answer(key, report, now_ms)) else {
        return;
    };
    // The other nodes that send to the replica haven't received this, and together they would
    // exceed the limit.
    if let Some(notice) = node.with(|state| state.limits.notice(key, now_ms)) {
        node.outbox.limit(notice);
    }
    log_change(node, key, change, report.source.as_str());
}

/// Records a peer's notice of a replica's limit.
pub fn on_notified(node: &Node, notice: &LimitNotice) {
    let now_ms = node.now_ms();
    if let Some(change) = node.with(|state| state.limits.on_notified(notice, now_ms)) {
        log_change(node, notice.replica, change, "told");
    }
}

/// Recomputes this node's share of each limit if the shares are out of date.
pub fn update_shares(node: &Node) {
    let now_ms = node.now_ms();
    let is_stale = node.with(|state| {
        limit_cold_replicas(state, now_ms);
        state.limits.has_stale_shares(now_ms) || state.cold_limits.has_stale_shares(now_ms)
    });
    if !is_stale {
        return;
    }
    let live_peers = node.outbox.live_peers();
    let nodes = nodes_among(node, &live_peers);
    node.with(|state| {
        state.limits.share(&nodes, now_ms);
        state.cold_limits.share(&nodes, now_ms);
    });
}

/// The maximum number of limited replicas of which the holders are looked up. Each has its own.
const MAX_LOOKED_UP: usize = 8;

/// Returns some of the peers that hold limits of the replicas of a service that aren't in `avoid`, in the order
/// of their ids. A replica that asked this node to back off is left out.
pub fn holding_peers(node: &Node, service: &ServiceName, avoid: &[ReplicaKey]) -> Vec<OwnerId> {
    let now_ms = node.now_ms();
    let live_peers = node.outbox.live_peers();
    let nodes = nodes_among(node, &live_peers);
    node.with(|state| {
        let ready = state.replicas.ready(service).into_iter();
        let keys = ready.map(|(key, _, _)| key).filter(|key| {
            let backs_off = state.replica_backoffs.admission(*key, now_ms) != Admission::Now;
            !avoid.contains(key) && !backs_off
        });
        let keys: Vec<ReplicaKey> = keys.take(MAX_LOOKED_UP).collect();
        let mut holders = Vec::new();
        for key in keys {
            let draw = rand::random();
            holders.extend(state.limits.holding_peers(&nodes, key, draw));
            holders.extend(state.cold_limits.holding_peers(&nodes, key, draw));
        }
        holders.sort_unstable();
        holders.dedup();
        holders
    })
}

/// Returns the nodes among which limits are divided.
fn nodes_among<'a>(node: &Node, live_peers: &'a [OwnerId]) -> Nodes<'a> {
    Nodes {
        own: node.owner,
        heard: live_peers,
        known: node.outbox.peer_count(),
    }
}

/// Limits the replicas that are cold, and no others.
fn limit_cold_replicas(state: &mut State, now_ms: MonoMs) {
    let State {
        replicas,
        cold_limits,
        config,
        ..
    } = state;
    let cold = &replicas.cold_replicas;
    if cold.is_empty() && cold_limits.is_empty() {
        return;
    }
    cold_limits.retain(|key| cold.left_ms(key, now_ms) > SpanMs::ZERO);
    for key in cold.keys(now_ms) {
        let service = replicas.get(key).and_then(|replica| {
            let config = config.as_ref()?;
            config.service(&replica.service)
        });
        if let Some(spec) = service.and_then(|service| service.cold) {
            cold_limits.impose(key, cold::shared_rate(spec.rate), now_ms);
        }
    }
}

/// Records that the replicas of a failure domain that was evacuated may have become cold.
pub fn on_domain_returned(node: &Node, domain: &DomainName) {
    let now_ms = node.now_ms();
    node.with(|state| {
        let Some(config) = &state.config else {
            return;
        };
        for service in config.services() {
            if let Some(spec) = service.cold {
                let replicas = &mut state.replicas;
                replicas.on_returned_domain(&service.name, domain, spec.span_ms, now_ms);
            }
        }
    });
}

/// Counts a message to the replica at `address` that isn't a caller's request against the replica's
/// limit.
pub fn on_sent_to_address(node: &Node, address: SocketAddr) {
    let now_ms = node.now_ms();
    node.with(|state| {
        let is_any_limited = !state.limits.is_empty() || !state.cold_limits.is_empty();
        if is_any_limited && let Some(key) = state.replicas.at(address) {
            state.on_sent(key, now_ms);
        }
    });
}

/// Records what an answer of the replica at `address` states of its limit.
pub fn on_answer_at(node: &Node, address: SocketAddr, report: LimitReport) {
    if let Some(key) = node.with(|state| state.replicas.at(address)) {
        on_answer(node, key, report);
    }
}

/// Logs that a limit was stated, changed or ended. `how` is the way in which it became known.
fn log_change(node: &Node, key: ReplicaKey, change: LimitChange, how: &'static str) {
    let (instance, limited) = node.with(|state| {
        let replica = state.replicas.get(key);
        (replica.map(|r| r.instance.clone()), state.limits.len())
    });
    let instance = instance.unwrap_or_else(|| "".into());
    node.journal.record(&match change {
        LimitChange::Set(rate) => Event::LimitNamed {
            instance,
            rate_per_s: rate,
            how,
            limited,
        },
        LimitChange::Ended => Event::LimitEnded {
            instance,
            how,
            limited,
        },
    });
}

/// Drops limits that have expired or whose replica is gone, and logs their end.
pub fn expire(node: &Node) {
    let now_ms = node.now_ms();
    let ended = node.with(|state| {
        let replicas = &state.replicas;
        let is_known = |key| replicas.get(key).is_some();
        state.limits.expire(is_known, now_ms)
    });
    for key in ended {
        log_change(node, key, LimitChange::Ended, "unheard");
    }
}
