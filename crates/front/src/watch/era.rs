//! What a node does once the directory's history is another: it came back from an older copy.
//!
//! Load pattern: all nodes learn of it at one moment, and each has something to read or to write again.
//!
//! Reason for the limits: what one node reads of the replicas serves the others, who are told; the rest
//! is spread over a time that grows with the nodes.
//!
//! Invariants: an era that is known never falls; what is in force stays in force until what replaces it
//! is read.

use crate::journal::Event;
use crate::node::Node;
use crate::platform::Era;
use bluebell_base::prelude::*;
use std::time::Duration;
use tokio::sync::watch;

/// By how much each peer lengthens the time over which nodes read and write again, so that a larger fleet
/// calls no faster.
const PEER_SPREAD_MS: u64 = 20;

/// The newest era that a node knows.
#[derive(Debug)]
pub(super) struct KnownEra(watch::Sender<Option<Era>>);

impl Default for KnownEra {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl KnownEra {
    fn take(&self, era: Era) -> bool {
        let known = *self.0.borrow();
        if known.is_some_and(|known| known >= era) {
            return false;
        }
        // The first says nothing of an earlier one.
        self.0.send_if_modified(|current| {
            *current = Some(era);
            known.is_some()
        });
        known.is_some()
    }

    fn is_later_than(&self, era: Era) -> bool {
        self.0.borrow().is_some_and(|known| known > era)
    }
}

/// An answer of the directory, or a peer, named its era. Returns whether the node knew an earlier one.
pub(super) fn on_era(node: &Node, era: Era) -> bool {
    let renewed = node.directory_watch.era.take(era);
    if renewed {
        let now_ms = node.now_ms();
        node.with(|state| state.replicas.on_directory_renewed(now_ms));
        node.outbox.era(era);
        node.journal.record(&Event::DirectoryRenewed { era });
    }
    renewed
}

/// A peer knows this era.
pub fn on_notified_era(node: &Node, era: Era) {
    if on_era(node, era) {
        node.directory_watch.other_replicas.notify_one();
    }
}

/// Ends once a later era than `era` is known, after this node's part of the time over which nodes read
/// again.
pub(super) async fn later_than(node: &Node, era: Era) {
    let mut known = node.directory_watch.era.0.subscribe();
    while !node.directory_watch.era.is_later_than(era) {
        // The sender lives as long as the node.
        let _ = known.changed().await;
    }
    spread(node).await;
}

/// Tells of each later era, after this node's part of the time over which nodes write again.
pub(super) struct Renewals(watch::Receiver<Option<Era>>);

impl Renewals {
    pub fn of(node: &Node) -> Self {
        Self(node.directory_watch.era.0.subscribe())
    }

    /// Ends at the next.
    pub async fn next(&mut self, node: &Node) {
        // The sender lives as long as the node.
        let _ = self.0.changed().await;
        spread(node).await;
    }
}

async fn spread(node: &Node) {
    let longest_ms = node.outbox.live_peer_count() as u64 * PEER_SPREAD_MS;
    let span_ms = SpanMs(rand::random_range(0..=longest_ms));
    tokio::time::sleep(Duration::from(span_ms)).await;
}
