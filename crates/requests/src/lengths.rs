//! Bytes per token, learned by model from what engines say of the prompts they accepted.

use bluebell_base::prelude::*;
use std::collections::HashMap;

/// The ratio assumed before anything was learned.
const FIRST_BYTES_PER_TOKEN: f64 = 4.0;

/// The weight of a new observation.
const LEARN_SHARE: f64 = 0.1;

/// Ratios outside of this range are taken for an engine's mistake.
const SANE_BYTES_PER_TOKEN: std::ops::RangeInclusive<f64> = 0.25..=64.0;

/// What was learned of prompt lengths.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    bytes_per_token: HashMap<ModelName, f64>,
}

impl Lengths {
    /// The estimated length of a prompt; at least one token.
    pub fn estimate(&self, model: &ModelName, bytes: Bytes) -> Tokens {
        let ratio = self.ratio(model);
        Tokens((bytes.0 as f64 / ratio).ceil().max(1.0) as u64)
    }

    /// An engine counted a prompt.
    pub fn learn(&mut self, model: &ModelName, bytes: Bytes, tokens: Tokens) {
        if tokens == Tokens::ZERO {
            return;
        }
        let seen = bytes.0 as f64 / tokens.0 as f64;
        if !SANE_BYTES_PER_TOKEN.contains(&seen) {
            return;
        }
        let ratio = self.ratio(model);
        let learned = ratio + (seen - ratio) * LEARN_SHARE;
        self.bytes_per_token.insert(model.clone(), learned);
    }

    /// The ratio used now.
    pub fn ratio(&self, model: &ModelName) -> f64 {
        let learned = self.bytes_per_token.get(model);
        learned.copied().unwrap_or(FIRST_BYTES_PER_TOKEN)
    }
}
