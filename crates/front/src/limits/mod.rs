//! The node's part in keeping the limits that replicas name: what answers and peers tell of them, what
//! it tells its peers, and what it may send.
//!
//! Invariants: a limit that a replica names, changes or ends is told to all peers at once, by whoever
//! hears it first; each such change has a line in the log.

use crate::journal::Event;
use crate::node::Node;
use bluebell_fleet::prelude::*;
use std::net::SocketAddr;

/// A replica answered something.
pub fn on_answer(node: &Node, key: ReplicaKey, heard: LimitReport) {
    if heard.signal == LimitSignal::Unreadable {
        log::debug!("{key} names a limit that can't be read");
    }
    let now_ms = node.now_ms();
    let Some(change) = node.with(|state| state.limits.on_answer(key, heard, now_ms)) else {
        return;
    };
    // Whoever else sends there has heard nothing: the limit would be exceeded by all together.
    if let Some(notice) = node.with(|state| state.limits.notice(key, now_ms)) {
        node.outbox.limit(notice);
    }
    log_change(node, key, change, heard.source.as_str());
}

/// A peer told what a replica said of its limit.
pub fn on_notified(node: &Node, told: &LimitNotice) {
    let now_ms = node.now_ms();
    if let Some(change) = node.with(|state| state.limits.on_notified(told, now_ms)) {
        log_change(node, told.replica, change, "told");
    }
}

/// Works out what this node may send to replicas that name a limit, where that isn't known.
pub fn update_shares(node: &Node) {
    let now_ms = node.now_ms();
    if !node.with(|state| state.limits.has_stale_shares(now_ms)) {
        return;
    }
    let heard = node.outbox.live_peers();
    let nodes = Nodes {
        own: node.owner,
        heard: &heard,
        known: node.outbox.peer_count(),
    };
    node.with(|state| state.limits.share(&nodes, now_ms));
}

/// Something is sent to the replica at `address` that isn't a request of a caller.
pub fn on_sent_to_address(node: &Node, address: SocketAddr) {
    let now_ms = node.now_ms();
    node.with(|state| {
        if !state.limits.is_empty()
            && let Some(key) = state.replicas.at(address)
        {
            state.limits.on_sent(key, now_ms);
        }
    });
}

/// The replica at `address` answered something.
pub fn on_answer_at(node: &Node, address: SocketAddr, heard: LimitReport) {
    if let Some(key) = node.with(|state| state.replicas.at(address)) {
        on_answer(node, key, heard);
    }
}

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

/// Forgets what counts no more.
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
