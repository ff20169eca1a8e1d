//! The cost model of one engine: how long prefill takes there, learned from first tokens.
//!
//! Terms: *overhead* is the part of a first token's wait that does not grow with the prompt; the
//! *error* is the mean of |seen − predicted| / seen.
//!
//! Invariants: the rate and the overhead stay within fixed bounds, so that no single odd sample
//! can make an engine look free or dead.

use bluebell_base::prelude::*;

/// The weight of a new sample in the moving means of one engine.
pub const ENGINE_GAIN: Gain = Gain {
    faster: 0.15,
    slower: 0.15,
};
/// The weight of a new sample in the moving means of the whole fleet. What delays a first token
/// (other work, preemption, memory) only ever adds to it, so that fast samples tell more of the
/// engines than slow ones.
pub const FLEET_GAIN: Gain = Gain {
    faster: 0.1,
    slower: 0.05,
};
/// The weight of a new sample in the error.
const ERROR_GAIN: f64 = 0.05;
/// Prompts shorter than this say more of the overhead than of the rate.
const RATE_SAMPLE_TOKENS: f64 = 2_048.0;
/// The bounds of a believable prefill rate, in tokens a second.
const RATE_BOUNDS: (f64, f64) = (100.0, 1_000_000.0);
/// The bounds of a believable overhead in milliseconds.
const OVERHEAD_BOUNDS_MS: (f64, f64) = (1.0, 2_000.0);

/// What was learned of an engine's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Prefill tokens a second.
    pub prefill_per_s: f64,
    /// The part of the wait that does not grow with the prompt, in milliseconds.
    pub overhead_ms: f64,
    /// The mean relative error of the predictions.
    pub error: f64,
    /// The samples taken.
    pub samples: u64,
}

/// The weights of new samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gain {
    /// Of a sample faster than the model.
    pub faster: f64,
    /// Of a sample slower than the model.
    pub slower: f64,
}

/// One first token: what was predicted from, and what was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The job's own prefill in tokens.
    pub own_tokens: f64,
    /// The tokens believed ahead of it when it was sent.
    pub ahead_tokens: f64,
    /// What was predicted, in milliseconds from the send.
    pub predicted_ms: f64,
    /// What was seen, in milliseconds from the send.
    pub seen_ms: f64,
}

impl CostModel {
    /// The model before any sample.
    pub fn prior(prefill: PerSecond, overhead_ms: SpanMs) -> Self {
        Self {
            prefill_per_s: prefill.0.clamp(RATE_BOUNDS.0, RATE_BOUNDS.1),
            overhead_ms: overhead_ms.0 as f64,
            error: 0.0,
            samples: 0,
        }
    }

    /// How long prefilling so many tokens takes, in milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * 1_000.0 / self.prefill_per_s
    }

    /// Takes a first token in.
    pub fn learn(&mut self, sample: Sample, gain: Gain) {
        let seen_ms = sample.seen_ms.max(1.0);
        let error = (seen_ms - sample.predicted_ms).abs() / seen_ms;
        self.error += ERROR_GAIN * (error - self.error);
        self.samples += 1;
        let tokens = sample.own_tokens + sample.ahead_tokens;
        if sample.own_tokens >= RATE_SAMPLE_TOKENS {
            let busy_ms = (seen_ms - self.overhead_ms).max(seen_ms * 0.1);
            let rate = (tokens * 1_000.0 / busy_ms).clamp(RATE_BOUNDS.0, RATE_BOUNDS.1);
            let gain = if rate > self.prefill_per_s {
                gain.faster
            } else {
                gain.slower
            };
            // Means of logarithms: a wait twice as long and one half as long cancel out.
            let log = self.prefill_per_s.ln() + gain * (rate.ln() - self.prefill_per_s.ln());
            self.prefill_per_s = log.exp().clamp(RATE_BOUNDS.0, RATE_BOUNDS.1);
        } else {
            let rest_ms = seen_ms - self.prefill_ms(tokens);
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
