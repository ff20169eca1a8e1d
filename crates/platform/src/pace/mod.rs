//! A token bucket: how often something may be done, and when it may be done next.
//!
//! Invariants: over any span, no more than `burst` plus the rate times the span are taken; time
//! that seems to go back adds nothing.

use bluebell_base::prelude::*;

/// A bucket that fills at a steady rate up to a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: PerSecond,
    burst: f64,
    held: f64,
    filled_ms: u64,
}

/// The wait told where the rate is zero and no token will ever come.
const NEVER_MS: u64 = 60_000;

/// By how much a token may be short of whole from the rounding of many small fills.
const ROUNDING: f64 = 1e-6;

impl TokenBucket {
    /// A full bucket at the instant `now_ms`, in milliseconds of any clock.
    pub fn new(rate: PerSecond, burst: f64, now_ms: u64) -> Self {
        Self {
            rate,
            burst: burst.max(1.0),
            held: burst.max(1.0),
            filled_ms: now_ms,
        }
    }

    /// Takes one token, or tells how long to wait for it.
    ///
    /// # Errors
    /// The time until a token will be there, at least 1 ms.
    pub fn take(&mut self, now_ms: u64) -> Result<(), SpanMs> {
        self.fill(now_ms);
        if self.held >= 1.0 - ROUNDING {
            self.held = (self.held - 1.0).max(0.0);
            return Ok(());
        }
        if self.rate.0 <= 0.0 {
            return Err(SpanMs(NEVER_MS));
        }
        let wait_ms = (1.0 - self.held) / self.rate.0 * 1000.0;
        Err(SpanMs((wait_ms.ceil() as u64).max(1)))
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        let more = self.rate.0 * passed_ms as f64 / 1000.0;
        self.held = (self.held + more).min(self.burst);
    }
}
