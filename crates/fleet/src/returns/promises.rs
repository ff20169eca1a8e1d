//! Table of the promises that this node and its peers made, by the digest of the request.
//!
//! Invariants: at most [`MAX_PROMISES`] are held, the oldest of which makes room; a promised moment
//! is never brought forward.

use super::ExpectedLoad;
use bluebell_base::prelude::*;
use std::collections::VecDeque;

/// Highest number of promises that a node holds. At 30 refusals per second in the whole fleet and
/// return times of up to 5 s, about 180 are open.
pub const MAX_PROMISES: usize = 256;

/// Time after the promised moment within which a request returns in time. Callers return within a
/// few hundred ms of it; one that comes later has gone on to other work meanwhile.
pub const GRACE_MS: SpanMs = SpanMs(1_000);

/// Time by which a request may return before the moment that a peer promised and still be in time:
/// a promise is sent as a duration, and its gossip may be 200 ms old.
const PEER_TOLERANCE_MS: SpanMs = SpanMs(200);

/// The node that made a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This node.
    Own,
    /// A peer, which reported it by gossip.
    Peer,
}

/// A promised return.
#[derive(Clone, Debug, PartialEq)]
pub struct Promise {
    /// The first 64 bits of the request's digest.
    pub digest: u64,
    /// The service that refused the request.
    pub service: ServiceName,
    /// The moment that the refusal named.
    pub at_ms: MonoMs,
    /// The load that the refusal stated. A peer's isn't known, and doesn't matter until the request is refused here.
    pub load: ExpectedLoad,
    /// The node that made the promise.
    pub source: Source,
}

impl Promise {
    /// Returns true if the request isn't expected yet.
    pub fn is_early(&self, now_ms: MonoMs) -> bool {
        let tolerance_ms = match self.source {
            Source::Own => SpanMs::ZERO,
            Source::Peer => PEER_TOLERANCE_MS,
        };
        now_ms + tolerance_ms < self.at_ms
    }

    fn is_over(&self, now_ms: MonoMs) -> bool {
        now_ms > self.at_ms + GRACE_MS
    }
}

/// The open promises, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct PromiseTable {
    promises: VecDeque<Promise>,
}

impl PromiseTable {
    /// Adds a promise for a request that has none. Returns the promise that made room for it.
    pub fn add(&mut self, promise: Promise) -> Option<Promise> {
        let is_full = self.promises.len() >= MAX_PROMISES;
        let dropped = is_full.then(|| self.promises.pop_front()).flatten();
        self.promises.push_back(promise);
        dropped
    }

    /// Returns the open promise for a request.
    pub fn get(&self, digest: u64, now_ms: MonoMs) -> Option<&Promise> {
        let mut promises = self.promises.iter();
        promises.find(|promise| promise.digest == digest && !promise.is_over(now_ms))
    }

    /// Removes the promise for a request, open or not.
    pub fn remove(&mut self, digest: u64) -> Option<Promise> {
        let mut promises = self.promises.iter();
        let at = promises.position(|promise| promise.digest == digest)?;
        self.promises.remove(at)
    }

    /// Removes the promises whose time is over.
    pub fn expire(&mut self, now_ms: MonoMs) {
        self.promises.retain(|promise| !promise.is_over(now_ms));
    }

    /// Returns the number of promises.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Returns true if there are none.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }
}
