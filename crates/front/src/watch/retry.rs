//! Retries with backoff for watchers of a directory that fails.

use crate::journal::Event;
use crate::node::Node;
use crate::platform::DirectoryError;
use bluebell_base::prelude::*;
use rand::Rng;
use std::time::Duration;

/// The pause in milliseconds after the first failed call. It is short enough that the end of an outage
/// is noticed within the time in which a configuration must be in force.
const FIRST_PAUSE_MS: u64 = 150;

/// The maximum pause in milliseconds. The directory also charges for calls that it refuses.
const MAX_PAUSE_MS: u64 = 600;

/// The pauses of one watcher after failed calls to the directory.
#[derive(Debug)]
pub(super) struct Backoff {
    /// The name of the watcher in the log.
    what: &'static str,
    failing_since_ms: Option<MonoMs>,
    next_pause_ms: u64,
}

impl Backoff {
    /// Creates the backoff of a watcher with this name in the log.
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            failing_since_ms: None,
            next_pause_ms: FIRST_PAUSE_MS,
        }
    }

    /// Resets the backoff after a successful call, and records the end of an outage.
    pub fn succeeded(&mut self, node: &Node) {
        self.next_pause_ms = FIRST_PAUSE_MS;
        node.directory_watch.on_directory_answered(node);
        if let Some(since_ms) = self.failing_since_ms.take() {
            node.journal.record(&Event::DirectoryFound {
                what: self.what.into(),
                away_ms: node.now_ms().since(since_ms),
            });
        }
    }

    /// Records a failed call and waits before the next.
    pub async fn failed(&mut self, node: &Node, error: &DirectoryError) {
        node.directory_watch.on_directory_failed();
        if self.failing_since_ms.is_none() {
            self.failing_since_ms = Some(node.now_ms());
            node.journal.record(&Event::DirectoryLost {
                what: self.what.into(),
                reason: error.to_string().into(),
            });
        }
        let spread_ms = rand::rng().random_range(0..=self.next_pause_ms / 2);
        tokio::time::sleep(Duration::from_millis(self.next_pause_ms + spread_ms)).await;
        self.next_pause_ms = (self.next_pause_ms * 2).min(MAX_PAUSE_MS);
    }
}
