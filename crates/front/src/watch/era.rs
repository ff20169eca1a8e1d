//! Handles a renewal of the directory, which comes back from an older copy with a new era.
//!
//! Load pattern: all nodes notice a renewal at the same time, and each has something to read or to
//! write again.
//!
//! Reason for the limits: one node's read of the replica list serves all others, which it notifies. The
//! remaining calls are spread over a time that grows with the number of nodes.
//!
//! Invariants: the known era never decreases; data in force stays in force until its replacement is
//! read.

use crate::journal::Event;
use crate::node::Node;
use crate::platform::Era;
use bluebell_base::prelude::*;
use std::time::Duration;
use tokio::sync::watch;

/// The time in milliseconds that each peer adds to the span over which nodes spread their calls after
/// a renewal, so that a larger fleet doesn't call the directory at a higher rate.
const PEER_SPREAD_MS: u64 = 20;

/// The newest era that this node knows.
#[derive(Debug)]
pub(super) struct KnownEra(watch::Sender<Option<Era>>);

impl Default for KnownEra {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl KnownEra {
    /// Stores a later era. Returns true if an earlier one was known.
    fn advance(&self, era: Era) -> bool {
        let known = *self.0.borrow();
        if known.is_some_and(|known| known >= era) {
            return false;
        }
        // The first known era isn't a renewal, so the receivers aren't notified of it.
        self.0.send_if_modified(|current| {
            *current = Some(era);
            known.is_some()
        });
        known.is_some()
    }

    /// Returns true if the known era is later than `era`.
    fn is_later_than(&self, era: Era) -> bool {
        self.0.borrow().is_some_and(|known| known > era)
    }
}

/// Handles an era that the directory or a peer named. Returns true if the node knew an earlier one.
pub(super) fn on_era(node: &Node, era: Era) -> bool {
    let renewed = node.directory_watch.era.advance(era);
    if renewed {
        let now_ms = node.now_ms();
        node.with(|state| state.replicas.on_directory_renewed(now_ms));
        node.outbox.era(era);
        node.journal.record(&Event::DirectoryRenewed { era });
    }
    renewed
}

/// Handles the notice that a peer knows this era.
pub fn on_notified_era(node: &Node, era: Era) {
    if on_era(node, era) {
        node.directory_watch.replicas_differ.notify_one();
    }
}

/// Waits until an era later than `era` is known, and then for a random delay that spreads the nodes'
/// reads.
pub(super) async fn wait_for_later(node: &Node, era: Era) {
    let mut known = node.directory_watch.era.0.subscribe();
    while !node.directory_watch.era.is_later_than(era) {
        // The sender lives as long as the node.
        let _ = known.changed().await;
    }
    spread_delay(node).await;
}

/// Reports each renewal of the directory after a random delay that spreads the nodes' writes.
pub(super) struct Renewals(watch::Receiver<Option<Era>>);

impl Renewals {
    /// Subscribes to the renewals from now on.
    pub fn subscribe(node: &Node) -> Self {
        Self(node.directory_watch.era.0.subscribe())
    }

    /// Waits for the next renewal and the delay. A renewal whose delay is broken off isn't lost: the next wait
    /// returns after another delay.
    pub async fn next(&mut self, node: &Node) {
        // The sender lives as long as the node.
        let _ = self.0.clone().changed().await;
        spread_delay(node).await;
        self.0.mark_unchanged();
    }
}

/// Waits for a random time of up to [`PEER_SPREAD_MS`] for each live peer.
async fn spread_delay(node: &Node) {
    let max_ms = node.outbox.live_peer_count() as u64 * PEER_SPREAD_MS;
    let delay_ms = SpanMs(rand::random_range(0..=max_ms));
    tokio::time::sleep(Duration::from(delay_ms)).await;
}
