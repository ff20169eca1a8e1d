//! Retries with backoff for watchers of a directory that fails.
//!
//! Load pattern: in an outage the calls of all nodes fail, and refused calls are charged as well.
//!
//! Reason for the limits: the few readers notice the end of an outage within a second and notify their
//! peers. All followers together make as many calls in a fleet of any size.

use super::roles;
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
    /// True if a reader's calls spare followers theirs.
    shared: bool,
    failing_since_ms: Option<MonoMs>,
    next_pause_ms: u64,
}

impl Backoff {
    /// Creates the backoff of a watcher whose calls no other node makes. `what` is its name in the log.
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            shared: false,
            failing_since_ms: None,
            next_pause_ms: FIRST_PAUSE_MS,
        }
    }

    /// Creates the backoff of a watcher whose calls the readers make for all nodes.
    pub fn for_shared_calls(what: &'static str) -> Self {
        Self {
            shared: true,
            ..Self::new(what)
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
        let pause_ms = self.on_failed(node, error);
        tokio::time::sleep(Duration::from(pause_ms)).await;
    }

    /// Records a failed call and returns the pause before the next. That of a follower is long, and its watcher
    /// goes on learning from peers meanwhile.
    pub fn on_failed(&mut self, node: &Node, error: &DirectoryError) -> SpanMs {
        node.directory_watch.on_directory_failed();
        if self.failing_since_ms.is_none() {
            self.failing_since_ms = Some(node.now_ms());
            node.journal.record(&Event::DirectoryLost {
                what: self.what.into(),
                reason: error.to_string().into(),
            });
        }
        let follower_pause_ms = match self.shared {
            true => roles::follower_interval(node).unwrap_or_default(),
            false => SpanMs::ZERO,
        };
        let pause_ms = self.next_pause_ms.max(follower_pause_ms.0);
        let spread_ms = rand::rng().random_range(0..=pause_ms / 2);
        self.next_pause_ms = (self.next_pause_ms * 2).min(MAX_PAUSE_MS);
        SpanMs(pause_ms + spread_ms)
    }
}
