//! The limits that replicas name in their answers: taking them down.

use crate::journal::Event;
use crate::node::Node;
use bluebell_fleet::prelude::*;
use std::net::SocketAddr;

/// A replica answered something.
pub fn on_answer(node: &Node, key: ReplicaKey, heard: Heard) {
    if heard.word == LimitWord::Unreadable {
        log::warn!("{key} names a limit that can't be read");
    }
    let now_ms = node.now_ms();
    let Some(change) = node.with(|state| state.limits.on_answer(key, heard, now_ms)) else {
        return;
    };
    tell_change(node, key, change, heard.source.as_str());
}

/// The replica at `address` answered something.
pub fn on_answer_at(node: &Node, address: SocketAddr, heard: Heard) {
    if let Some(key) = node.with(|state| state.replicas.at(address)) {
        on_answer(node, key, heard);
    }
}

fn tell_change(node: &Node, key: ReplicaKey, change: LimitChange, how: &'static str) {
    let (instance, limited) = node.with(|state| {
        let replica = state.replicas.get(key);
        (replica.map(|r| r.instance.clone()), state.limits.len())
    });
    let instance = instance.unwrap_or_else(|| "".into());
    node.journal.tell(&match change {
        LimitChange::Named(rate) => Event::LimitNamed {
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

/// Forgets the limits of replicas that are gone.
pub fn expire(node: &Node) {
    node.with(|state| {
        let replicas = &state.replicas;
        state.limits.retain(|key| replicas.get(key).is_some());
    });
}
