//! Keeps the evacuated failure domains: applies what was read from the directory or received from peers,
//! and notifies the peers.
//!
//! Invariants: a node that read a change notifies all peers at once; digests repeat the newest entries,
//! so that a node that missed a notice or has just started receives them.

use crate::journal::Event;
use crate::limits;
use crate::node::Node;
use crate::platform::{Cursor, EvacuationUpdate};
use bluebell_fleet::prelude::*;

/// Applies the evacuations of a read of the operators' entries that ended at `end`.
pub(super) fn on_read(node: &Node, update: &EvacuationUpdate, end: Cursor) {
    let now_ms = node.now_ms();
    let changed = node.with(|state| {
        let evacuations = &mut state.replicas.evacuations;
        if update.is_snapshot {
            return evacuations.apply_snapshot(&update.entries, end, now_ms);
        }
        let entries = update.entries.iter();
        let changed = entries.filter(|entry| evacuations.apply(entry, now_ms));
        changed.cloned().collect()
    });
    notify_and_log(node, changed, "directory");
}

/// Applies a peer's notice of an evacuation or its end.
pub fn on_notified_evacuation(node: &Node, entry: &EvacuationEntry) {
    let now_ms = node.now_ms();
    if node.with(|state| state.replicas.evacuations.apply(entry, now_ms)) {
        on_change(node, entry, "peer");
    }
}

/// Ends the evacuations that operators haven't written again after a renewal of the directory.
pub fn expire_evacuations(node: &Node) {
    let now_ms = node.now_ms();
    let changed = node.with(|state| state.replicas.evacuations.expire(now_ms));
    notify_and_log(node, changed, "renewal");
}

fn notify_and_log(node: &Node, changed: Vec<EvacuationEntry>, how: &'static str) {
    for entry in changed {
        on_change(node, &entry, how);
        node.outbox.evacuation(entry);
    }
}

/// Acts on a failure domain that was evacuated or taken back, and logs it. `how` is the way in which it
/// became known.
fn on_change(node: &Node, entry: &EvacuationEntry, how: &'static str) {
    let domain = entry.domain.clone();
    let (replicas, evacuated) = node.with(|state| {
        let count = state.replicas.count_in(&domain);
        (count, state.replicas.evacuations.len())
    });
    if !entry.active {
        limits::on_domain_returned(node, &entry.domain);
    }
    node.journal.record(&match entry.active {
        true => Event::EvacuationBegan {
            domain,
            replicas,
            evacuated,
            how,
        },
        false => Event::EvacuationEnded {
            domain,
            replicas,
            evacuated,
            how,
        },
    });
}
