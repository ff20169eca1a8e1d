//! What replicas say of themselves in their answers, whatever the answers are to.
//!
//! Invariants: only an answer that is surely the replica's own counts.

use crate::journal::Event;
use crate::limits;
use crate::node::Node;
use crate::outside::ReplicaSignals;
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
    let heard = Heard {
        word: signals.limit,
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
    let instance = || node.with(|state| state.replicas.get(key).map(|r| r.instance.clone()));
    if signals.leaving
        && let Some(instance) = instance()
    {
        node.journal.tell(&Event::ReplicaSaysLeaving {
            instance,
            how: "answer",
        });
    }
    match signals.rest {
        RestSignal::Unnamed => {}
        RestSignal::Unreadable => log::debug!("{key} asks for a rest that can't be read"),
        RestSignal::For(rest_ms) => {
            if let Some(instance) = instance() {
                node.journal
                    .tell(&Event::ReplicaAsksForRest { instance, rest_ms });
            }
        }
    }
}
