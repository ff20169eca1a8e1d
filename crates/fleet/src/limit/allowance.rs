//! What one node may send to a replica that named a limit.
//!
//! Invariants: it begins empty, so that nodes which take over from each other, or from nobody, don't
//! all send at once; over any span no more is allowed than the rate gives in it, and the depth beside.

use bluebell_base::prelude::*;

/// How long an allowance that isn't used grows: bursts of callers use what came in before them.
const DEPTH_S: f64 = 0.5;

/// The least that it grows to: whole requests are sent.
const LEAST_DEPTH: f64 = 1.0;

/// For how long what was sent beyond it is made up for: the span in which replicas count.
const DEBT_S: f64 = 4.0;

/// The requests that a node may send, growing by time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance {
    rate: PerSecond,
    level: f64,
    at_ms: MonoMs,
}

impl Allowance {
    /// Nothing, and no more to come.
    pub fn none(now_ms: MonoMs) -> Self {
        Self {
            rate: PerSecond(0.0),
            level: 0.0,
            at_ms: now_ms,
        }
    }

    /// From now on it grows by `rate`.
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
        let depth = (self.rate.0 * DEPTH_S).max(LEAST_DEPTH);
        (self.level + grown).min(depth)
    }

    /// One request is sent, allowed or not.
    pub fn spend(&mut self, now_ms: MonoMs) {
        let most_debt = self.rate.0 * DEBT_S + LEAST_DEPTH;
        self.level = (self.level(now_ms) - 1.0).max(-most_debt);
        self.at_ms = now_ms;
    }

    /// The time until a request may be sent; none where none ever may.
    pub fn wait_ms(&self, now_ms: MonoMs) -> Option<SpanMs> {
        let missing = 1.0 - self.level(now_ms);
        if missing <= ROUNDING {
            return Some(SpanMs::ZERO);
        }
        if self.rate.0 <= 0.0 {
            return None;
        }
        Some(SpanMs((missing / self.rate.0 * 1000.0).ceil() as u64))
    }
}

/// By how much a request may be short of whole from the rounding of many small steps.
const ROUNDING: f64 = 1e-6;
