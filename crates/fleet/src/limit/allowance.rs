//! The token bucket that bounds what one node sends to a replica with a limit.
//!
//! Invariants: a bucket starts empty, so that nodes that begin to use a limit, which other nodes may have
//! used before, don't all send at once. Over any span, the requests allowed are at most the rate times
//! the span, plus the depth of the bucket.

use bluebell_base::prelude::*;

/// The depth of the bucket, in seconds of its rate: a burst of requests may use what was saved up before
/// it.
const BURST_S: f64 = 0.5;

/// The smallest depth of the bucket, in requests: a request is sent as a whole.
const MIN_DEPTH_REQUESTS: f64 = 1.0;

/// The largest debt of the bucket, in seconds of its rate: the window in which replicas count requests.
const MAX_DEBT_S: f64 = 4.0;

/// A token bucket of requests that a node may send.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance {
    rate: PerSecond,
    level: f64,
    at_ms: MonoMs,
}

impl Allowance {
    /// Returns an empty bucket with a rate of zero.
    pub fn none(now_ms: MonoMs) -> Self {
        Self {
            rate: PerSecond(0.0),
            level: 0.0,
            at_ms: now_ms,
        }
    }

    /// Sets the rate at which the bucket fills from `now_ms` on.
    pub fn set_rate(&mut self, rate: PerSecond, now_ms: MonoMs) {
        self.level = self.level(now_ms);
        self.at_ms = now_ms;
        self.rate = rate;
        if rate.0 <= 0.0 {
            self.level = self.level.min(0.0);
        }
    }

    fn level(&self, now_ms: MonoMs) -> f64 {
        let grown = self.rate.0 * now_ms.since(self.at_ms).0 as f64 / 1000.0;
        let depth = (self.rate.0 * BURST_S).max(MIN_DEPTH_REQUESTS);
        (self.level + grown).min(depth)
    }

    /// Takes one request out of the bucket, which may put it into debt.
    pub fn spend(&mut self, now_ms: MonoMs) {
        let max_debt = self.rate.0 * MAX_DEBT_S + MIN_DEPTH_REQUESTS;
        self.level = (self.level(now_ms) - 1.0).max(-max_debt);
        self.at_ms = now_ms;
    }

    /// Returns the time until a request may be sent, or `None` if the bucket never fills.
    pub fn wait_ms(&self, now_ms: MonoMs) -> Option<SpanMs> {
        let missing = 1.0 - self.level(now_ms);
        if missing <= ROUNDING_REQUESTS {
            return Some(SpanMs::ZERO);
        }
        if self.rate.0 <= 0.0 {
            return None;
        }
        Some(SpanMs((missing / self.rate.0 * 1000.0).ceil() as u64))
    }
}

/// The rounding error, in requests, that many small refills may add up to.
const ROUNDING_REQUESTS: f64 = 1e-6;
