//! The cost model of one engine: the duration of prefill, learned from the times of first tokens.
//!
//! Terms: *overhead* is the part of the wait for a first token that does not grow with the prompt;
//! the *error* is the mean of |observed − predicted| / observed.
//!
//! Invariants: the rate and the overhead stay within fixed bounds, so that a single odd sample
//! cannot make an engine look free or dead.

use bluebell_base::prelude::*;

/// Weights of a new sample in the moving means of one engine.
pub const ENGINE_GAIN: Gain = Gain {
    faster: 0.15,
    slower: 0.15,
};
/// Weights of a new sample in the moving means of the whole fleet. Delays of a first token (other
/// work, preemption, memory) can only make it later, so fast samples say more about the engines
/// than slow ones.
pub const FLEET_GAIN: Gain = Gain {
    faster: 0.1,
    slower: 0.05,
};
/// Weight of a new sample in the error.
const ERROR_GAIN: f64 = 0.05;
/// Minimum prompt length of a sample of the rate, in tokens. Shorter prompts say more about the
/// overhead.
const MIN_RATE_SAMPLE_TOKENS: f64 = 2_048.0;
/// Bounds of a plausible prefill rate, in tokens per second.
const RATE_BOUNDS_PER_S: (f64, f64) = (100.0, 1_000_000.0);
/// Bounds of a plausible overhead, in milliseconds.
const OVERHEAD_BOUNDS_MS: (f64, f64) = (1.0, 2_000.0);

/// Speed of an engine, learned from samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Prefill rate in tokens per second.
    pub prefill_per_s: f64,
    /// Part of the wait that does not grow with the prompt, in milliseconds.
    pub overhead_ms: f64,
    /// Mean relative error of the predictions.
    pub error: f64,
    /// Number of samples.
    pub samples: u64,
}

/// Weights of new samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gain {
    /// Weight of a sample that is faster than the model.
    pub faster: f64,
    /// Weight of a sample that is slower than the model.
    pub slower: f64,
}

/// The time of one first token, and the values it was predicted from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Prefill work of the job, in tokens.
    pub own_tokens: f64,
    /// Estimated prefill work ahead of the job when it was sent, in tokens.
    pub ahead_tokens: f64,
    /// Predicted time from sending to the first token, in milliseconds.
    pub predicted_ms: f64,
    /// Observed time from sending to the first token, in milliseconds.
    pub observed_ms: f64,
}

impl CostModel {
    /// Creates the model that is used before any sample.
    pub fn prior(prefill: PerSecond, overhead_ms: SpanMs) -> Self {
        Self {
            prefill_per_s: prefill.0.clamp(RATE_BOUNDS_PER_S.0, RATE_BOUNDS_PER_S.1),
            overhead_ms: overhead_ms.0 as f64,
            error: 0.0,
            samples: 0,
        }
    }

    /// Returns the duration of the prefill of that many tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * 1_000.0 / self.prefill_per_s
    }

    /// Updates the model with a sample.
    pub fn learn(&mut self, sample: Sample, gain: Gain) {
        let observed_ms = sample.observed_ms.max(1.0);
        let error = (observed_ms - sample.predicted_ms).abs() / observed_ms;
        self.error += ERROR_GAIN * (error - self.error);
        self.samples += 1;
        let tokens = sample.own_tokens + sample.ahead_tokens;
        if sample.own_tokens >= MIN_RATE_SAMPLE_TOKENS {
            let busy_ms = (observed_ms - self.overhead_ms).max(observed_ms * 0.1);
            let rate = (tokens * 1_000.0 / busy_ms).clamp(RATE_BOUNDS_PER_S.0, RATE_BOUNDS_PER_S.1);
            let gain = if rate > self.prefill_per_s {
                gain.faster
            } else {
                gain.slower
            };
            // The mean is taken of logarithms, so that one wait twice as long and one half as long
            // cancel out.
            let log = self.prefill_per_s.ln() + gain * (rate.ln() - self.prefill_per_s.ln());
            self.prefill_per_s = log.exp().clamp(RATE_BOUNDS_PER_S.0, RATE_BOUNDS_PER_S.1);
        } else {
            let rest_ms = observed_ms - self.prefill_ms(tokens);
            let rest_ms = rest_ms.clamp(OVERHEAD_BOUNDS_MS.0, OVERHEAD_BOUNDS_MS.1);
            let gain = if rest_ms < self.overhead_ms {
                gain.faster
            } else {
                gain.slower
            };
            self.overhead_ms += gain * (rest_ms - self.overhead_ms);
        }
    }
}
