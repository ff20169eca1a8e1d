//! What replicas say of themselves in their answers, whatever the answers are to.
//!
//! Invariants: only an answer that is surely the replica's own counts.

use crate::journal::Event;
use crate::limits;
use crate::node::Node;
use crate::platform::ReplicaSignals;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::net::SocketAddr;

/// A replica answered what was sent to it at `sent_ms`.
pub fn on_answer(
    node: &Node,
    key: ReplicaKey,
    signals: &ReplicaSignals,
    source: Source,
    sent_ms: MonoMs,
) {
    let heard = LimitReport {
        signal: signals.limit,
        source,
        sent_ms,
    };
    limits::on_answer(node, key, heard);
    note(node, key, signals);
}

/// The replica at `address` answered what was sent to it at `sent_ms`.
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

/// Takes down what an answer says, but for the replica's limit.
pub fn note(node: &Node, key: ReplicaKey, signals: &ReplicaSignals) {
    let now_ms = node.now_ms();
    if signals.leaving && node.with(|state| state.replicas.leaving_replicas.on_answer(key, now_ms))
    {
        node.outbox.leaving(key);
        log_leaving(node, key, "answer");
    }
    if signals.rest == RetryAfterSignal::Unreadable {
        log::debug!("{key} asks for a rest that can't be read");
    }
    let rest_ms = node.with(|state| {
        state
            .replica_backoffs
            .on_rejected(key, signals.rest, now_ms)
    });
    if let Some(rest_ms) = rest_ms {
        let instance = name_of(node, key);
        node.journal
            .record(&Event::ReplicaAsksForRest { instance, rest_ms });
    }
}

/// A peer heard that a replica leaves.
pub fn on_notified(node: &Node, key: ReplicaKey) {
    let now_ms = node.now_ms();
    if node.with(|state| state.replicas.leaving_replicas.on_notified(key, now_ms)) {
        log_leaving(node, key, "peer");
    }
}

fn log_leaving(node: &Node, key: ReplicaKey, how: &'static str) {
    let instance = name_of(node, key);
    node.journal
        .record(&Event::ReplicaSaysLeaving { instance, how });
}

/// A replica's name in the log; its key where the directory doesn't list it.
fn name_of(node: &Node, key: ReplicaKey) -> Arc<str> {
    let instance = node.with(|state| state.replicas.get(key).map(|r| r.instance.clone()));
    instance.unwrap_or_else(|| key.to_string().into())
}
