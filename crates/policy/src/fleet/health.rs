//! Ejection of engines that fail, and their gentle return.
//!
//! Terms: an engine is *ejected* for a span that doubles with each further failure; afterwards it
//! is on *probation* and gets one job at a time until one of them succeeds.

use bluebell_base::prelude::*;

/// Failures in a row that eject an engine.
const EJECT_AFTER: u32 = 2;
/// The first ejection's span.
const FIRST_SPAN_MS: u64 = 1_000;
/// The longest ejection's span.
const LONGEST_SPAN_MS: u64 = 30_000;

/// An engine's record of failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Failures since the last success.
    pub failures: u32,
    /// Until when it gets no work.
    pub ejected_until_ms: MonoMs,
}

impl Health {
    /// A job failed there.
    pub fn failed(&mut self, now_ms: MonoMs) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER {
            let doublings = (self.failures - EJECT_AFTER).min(16);
            let span_ms = (FIRST_SPAN_MS << doublings).min(LONGEST_SPAN_MS);
            self.ejected_until_ms = now_ms + SpanMs(span_ms);
        }
    }

    /// A first token or a whole answer came from there.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Whether it may get another job while it has so many of this node's in flight.
    pub fn allows(&self, in_flight: usize, now_ms: MonoMs) -> bool {
        if self.failures < EJECT_AFTER {
            return true;
        }
        now_ms >= self.ejected_until_ms && in_flight == 0
    }
}
