//! Handles the signals that replicas send about themselves in any answer, to a request, a probe or
//! an order.
//!
//! Invariants: only an answer that is certainly the replica's own counts.

use crate::journal::Event;
use crate::limits;
use crate::node::Node;
use crate::platform::ReplicaSignals;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::net::SocketAddr;

/// Records what a replica's answer to a message sent at `sent_ms` signals, including the replica's
/// limit.
pub fn on_answer(
    node: &Node,
    key: ReplicaKey,
    signals: &ReplicaSignals,
    source: Source,
    sent_ms: MonoMs,
) {
    let report = LimitReport {
        signal: signals.limit,
        source,
        sent_ms,
    };
    limits::on_answer(node, key, report);
    record_except_limit(node, key, signals);
}

/// Does the same as [`on_answer`] for the replica at `address`, if one is known there.
pub fn on_answer_at(
    node: &Node,
    address: SocketAddr,
    signals: &ReplicaSignals,
    source: Source,
    sent_ms: MonoMs,
) {
    if let Some(key) = node.with(|state| state.replicas.at(address)) {
        on_answer(node, key, signals, source, sent_ms);
    }
}

/// Records what an answer signals, except for the replica's limit.
pub fn record_except_limit(node: &Node, key: ReplicaKey, signals: &ReplicaSignals) {
    let now_ms = node.now_ms();
    if signals.leaving && node.with(|state| state.replicas.leaving_replicas.on_answer(key, now_ms))
    {
        node.outbox.leaving(key);
        log_leaving(node, key, "answer");
    }
    if signals.rest == RetryAfterSignal::Unreadable {
        log::debug!("{key} asked for a backoff that can't be parsed");
    }
    let rest_ms = node.with(|state| {
        state
            .replica_backoffs
            .on_rejected(key, signals.rest, now_ms)
    });
    if let Some(rest_ms) = rest_ms {
        let instance = log_name(node, key);
        node.journal
            .record(&Event::ReplicaAsksForRest { instance, rest_ms });
    }
}

/// Records a peer's notice that a replica is leaving.
pub fn on_notified(node: &Node, key: ReplicaKey) {
    let now_ms = node.now_ms();
    if node.with(|state| state.replicas.leaving_replicas.on_notified(key, now_ms)) {
        log_leaving(node, key, "peer");
    }
}

/// Logs that a replica is leaving. `how` is the way in which that became known.
fn log_leaving(node: &Node, key: ReplicaKey, how: &'static str) {
    let instance = log_name(node, key);
    node.journal
        .record(&Event::ReplicaSaysLeaving { instance, how });
}

/// Returns a replica's name for the log: its instance, or its key if the directory doesn't list it.
fn log_name(node: &Node, key: ReplicaKey) -> Arc<str> {
    let instance = node.with(|state| state.replicas.get(key).map(|r| r.instance.clone()));
    instance.unwrap_or_else(|| key.to_string().into())
}
