//! A token bucket, which limits the rate of an action and computes when it may be done next.
//!
//! Invariants: over any span, at most `burst` plus the rate times the span tokens are taken; time
//! that seems to go backwards adds none.

use bluebell_base::prelude::*;

/// A token bucket that fills at a constant rate up to the burst size.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: PerSecond,
    burst: f64,
    tokens: f64,
    filled_ms: u64,
}

/// The wait returned if the rate is zero and no token will ever be available, in milliseconds.
const ZERO_RATE_WAIT_MS: u64 = 60_000;

/// The tolerance for a token that is incomplete due to the rounding of many small fills.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl TokenBucket {
    /// Returns a bucket that is full at `now_ms`, in milliseconds of any clock.
    pub fn new(rate: PerSecond, burst: f64, now_ms: u64) -> Self {
        Self {
            rate,
            burst: burst.max(1.0),
            tokens: burst.max(1.0),
            filled_ms: now_ms,
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until a token will be available, at least 1 ms.
    pub fn take(&mut self, now_ms: u64) -> Result<(), SpanMs> {
        self.fill(now_ms);
        if self.tokens >= 1.0 - ROUNDING_TOLERANCE {
            self.tokens = (self.tokens - 1.0).max(0.0);
            return Ok(());
        }
        if self.rate.0 <= 0.0 {
            return Err(SpanMs(ZERO_RATE_WAIT_MS));
        }
        let wait_ms = (1.0 - self.tokens) / self.rate.0 * 1000.0;
        Err(SpanMs((wait_ms.ceil() as u64).max(1)))
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        let more = self.rate.0 * passed_ms as f64 / 1000.0;
        self.tokens = (self.tokens + more).min(self.burst);
    }
}
