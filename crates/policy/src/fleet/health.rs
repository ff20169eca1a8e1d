//! Ejection of failing engines, and their gradual return.
//!
//! Terms: an engine is *ejected* for a span that doubles with each further failure; afterwards it
//! is on *probation* and gets one job at a time until one of them succeeds.

use bluebell_base::prelude::*;

/// Number of consecutive failures after which an engine is ejected.
const EJECT_AFTER: u32 = 2;
/// Duration of the first ejection, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;

/// Record of an engine's failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Number of failures since the last success.
    pub failures: u32,
    /// Time until which the engine gets no work.
    pub ejected_until_ms: MonoMs,
}

impl Health {
    /// Records a failed job.
    pub fn on_failure(&mut self, now_ms: MonoMs) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER {
            let doublings = (self.failures - EJECT_AFTER).min(16);
            let span_ms = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
            self.ejected_until_ms = now_ms + SpanMs(span_ms);
        }
    }

    /// Records a first token or a complete answer.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Returns true if the engine may get another job. `in_flight` is the number of this node's
    /// jobs that are on it.
    pub fn allows(&self, in_flight: usize, now_ms: MonoMs) -> bool {
        if self.failures < EJECT_AFTER {
            return true;
        }
        now_ms >= self.ejected_until_ms && in_flight == 0
    }
}
