//! How a watcher lives with a directory that fails.

use crate::journal::Event;
use crate::node::Node;
use crate::platform::DirectoryError;
use bluebell_base::prelude::*;
use rand::Rng;
use std::time::Duration;

/// The first pause after a failed read: an outage that ends is noticed within the time in which a
/// configuration must be in force.
const FIRST_MS: u64 = 150;

/// The longest pause. The directory charges refused calls as well.
const LONGEST_MS: u64 = 600;

/// The state of one watcher.
#[derive(Debug)]
pub(super) struct Backoff {
    what: &'static str,
    failed_since_ms: Option<MonoMs>,
    next_ms: u64,
}

impl Backoff {
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            failed_since_ms: None,
            next_ms: FIRST_MS,
        }
    }

    /// A read succeeded.
    pub fn succeeded(&mut self, node: &Node) {
        self.next_ms = FIRST_MS;
        node.directory_watch.on_directory_answered(node);
        if let Some(since_ms) = self.failed_since_ms.take() {
            node.journal.record(&Event::DirectoryFound {
                what: self.what.into(),
                away_ms: node.now_ms().since(since_ms),
            });
        }
    }

    /// A read failed; waits before the next.
    pub async fn failed(&mut self, node: &Node, error: &DirectoryError) {
        node.directory_watch.on_directory_failed();
        if self.failed_since_ms.is_none() {
            self.failed_since_ms = Some(node.now_ms());
            node.journal.record(&Event::DirectoryLost {
                what: self.what.into(),
                reason: error.to_string().into(),
            });
        }
        let spread_ms = rand::rng().random_range(0..=self.next_ms / 2);
        tokio::time::sleep(Duration::from_millis(self.next_ms + spread_ms)).await;
        self.next_ms = (self.next_ms * 2).min(LONGEST_MS);
    }
}
