//! Exponential backoff with jitter for calls that are retried.
//!
//! All nodes notice a platform outage at the same time. Without jitter they would all retry
//! together, at each doubling and at the very moment when the platform recovers, and overload it
//! again. Each delay is thus drawn uniformly from the upper half of the current step, with a
//! generator seeded per node. After one or two failures the nodes' attempts are spread over the
//! step. Once the cap is reached, N nodes make N / (0.75 × cap) calls per second on average,
//! however long the outage lasts. A success resets the step but not the phase, so the nodes don't
//! synchronize afterwards either.
//!
//! Invariants: a delay is at least half its step and at most the cap.

use bluebell_base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The settings of a backoff. Its steps double.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// The first step.
    pub first_ms: SpanMs,
    /// The largest step.
    pub cap_ms: SpanMs,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            first_ms: SpanMs(200),
            cap_ms: SpanMs(10_000),
        }
    }
}

/// The delays of one series of attempts.
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    step_ms: SpanMs,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Returns a series without failures.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            step_ms: settings.first_ms,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay after one more failure.
    pub fn next_delay(&mut self) -> SpanMs {
        let step_ms = self.step_ms.min(self.settings.cap_ms);
        self.step_ms = SpanMs(step_ms.0.saturating_mul(2));
        let low_ms = step_ms.0 / 2;
        SpanMs(self.random.random_range(low_ms..=step_ms.0).max(1))
    }

    /// Resets the series to the first step.
    pub fn reset(&mut self) {
        self.step_ms = self.settings.first_ms;
    }

    /// Returns `span_ms`, randomly increased or decreased by up to `share` of it.
    pub fn jitter(&mut self, span_ms: SpanMs, share: f64) -> SpanMs {
        let factor = 1.0 + self.random.random_range(-share..=share);
        SpanMs(span_ms.mul_f64(factor).0.max(1))
    }
}
