//! Bytes per token, learned for each model from the engines' counts of accepted prompts.

use bluebell_base::prelude::*;
use std::collections::HashMap;

/// The ratio assumed before anything was learned.
const DEFAULT_BYTES_PER_TOKEN: f64 = 4.0;

/// The weight of a new observation in the moving average.
const OBSERVATION_WEIGHT: f64 = 0.1;

/// The plausible range of the ratio; a count outside of it is ignored as an engine's mistake.
const PLAUSIBLE_BYTES_PER_TOKEN: std::ops::RangeInclusive<f64> = 0.25..=64.0;

/// The learned bytes per token of each model.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    bytes_per_token: HashMap<ModelName, f64>,
}

impl Lengths {
    /// Returns the estimated length of a prompt, at least one token.
    pub fn estimate(&self, model: &ModelName, bytes: Bytes) -> Tokens {
        let ratio = self.ratio(model);
        Tokens((bytes.0 as f64 / ratio).ceil().max(1.0) as u64)
    }

    /// Updates the model's ratio with an engine's count of a prompt.
    pub fn learn(&mut self, model: &ModelName, bytes: Bytes, tokens: Tokens) {
        if tokens == Tokens::ZERO {
            return;
        }
        let seen = bytes.0 as f64 / tokens.0 as f64;
        if !PLAUSIBLE_BYTES_PER_TOKEN.contains(&seen) {
            return;
        }
        let ratio = self.ratio(model);
        let learned = ratio + (seen - ratio) * OBSERVATION_WEIGHT;
        self.bytes_per_token.insert(model.clone(), learned);
    }

    /// Returns the model's current ratio of bytes per token.
    pub fn ratio(&self, model: &ModelName) -> f64 {
        let learned = self.bytes_per_token.get(model);
        learned.copied().unwrap_or(DEFAULT_BYTES_PER_TOKEN)
    }
}
