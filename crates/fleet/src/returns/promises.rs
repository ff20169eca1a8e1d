//! Table of the promises that this node and its peers made, by the digest of the request.
//!
//! Invariants: at most [`MAX_PROMISES`] are held, the oldest of which makes room; a promised moment
//! is never brought forward.

use super::ExpectedLoad;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Highest number of promises that a node holds: those of 240 refusals per second in the whole fleet
/// with return times of 3.3 s. With 256, half of the promises were dropped before the return in a
/// replayed peak of 1.5 times the slots, and one caller in 60 wasn't served; with 1,024 all were.
pub const MAX_PROMISES: usize = 1_024;

/// Shortest time between two removals of promises whose time is over.
const EXPIRY_INTERVAL_MS: SpanMs = SpanMs(100);

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
    /// True if this node refused several requests with the digest. One of them can't be told from another, so
    /// that none counts as early.
    pub is_ambiguous: bool,
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

/// The promises, by digest and in the order in which they became known.
#[derive(Clone, Debug, Default)]
pub struct PromiseTable {
    by_digest: FxHashMap<u64, Entry>,
    /// The digests with their numbers, the oldest first. Those of removed promises are skipped.
    order: VecDeque<(u64, u64)>,
    next_number: u64,
    /// The time from which promises are looked through for those whose time is over.
    expire_from_ms: MonoMs,
}

/// A promise with its number in the order.
#[derive(Clone, Debug)]
struct Entry {
    number: u64,
    promise: Promise,
}

impl PromiseTable {
    /// Adds a promise, in place of an earlier one for the same request. If the table is full, the
    /// oldest promise makes room.
    pub fn add(&mut self, promise: Promise) {
        self.by_digest.remove(&promise.digest);
        while self.by_digest.len() >= MAX_PROMISES {
            self.drop_oldest();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.order.push_back((promise.digest, number));
        self.by_digest
            .insert(promise.digest, Entry { number, promise });
        if self.order.len() > 2 * MAX_PROMISES {
            let known = &self.by_digest;
            self.order.retain(|entry| is_current(known, entry));
        }
    }

    /// Returns the open promise for a request.
    pub fn get(&self, digest: u64, now_ms: MonoMs) -> Option<&Promise> {
        let promise = &self.by_digest.get(&digest)?.promise;
        (!promise.is_over(now_ms)).then_some(promise)
    }

    /// Removes the promise for a request, open or not.
    pub fn remove(&mut self, digest: u64) -> Option<Promise> {
        self.by_digest.remove(&digest).map(|entry| entry.promise)
    }

    /// Removes the promises whose time is over, once per [`EXPIRY_INTERVAL_MS`] at most.
    pub fn expire(&mut self, now_ms: MonoMs) {
        if now_ms < self.expire_from_ms {
            return;
        }
        self.expire_from_ms = now_ms + EXPIRY_INTERVAL_MS;
        self.by_digest
            .retain(|_, entry| !entry.promise.is_over(now_ms));
    }

    /// Records that another request with the digest of a promise was refused.
    pub fn mark_ambiguous(&mut self, digest: u64) {
        if let Some(entry) = self.by_digest.get_mut(&digest) {
            entry.promise.is_ambiguous = true;
        }
    }

    /// Returns the number of promises.
    pub fn len(&self) -> usize {
        self.by_digest.len()
    }

    /// Returns true if there are none.
    pub fn is_empty(&self) -> bool {
        self.by_digest.is_empty()
    }

    fn drop_oldest(&mut self) {
        while let Some(oldest) = self.order.pop_front() {
            if is_current(&self.by_digest, &oldest) {
                self.by_digest.remove(&oldest.0);
                return;
            }
        }
    }
}

/// Returns true if an entry of the order is that of the present promise for its digest.
fn is_current(by_digest: &FxHashMap<u64, Entry>, (digest, number): &(u64, u64)) -> bool {
    let entry = by_digest.get(digest);
    entry.is_some_and(|entry| entry.number == *number)
}
