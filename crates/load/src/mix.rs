//! Named mixes of prompt lengths.
//!
//! Invariants: every sampled length lies within the mix's bounds.

use bluebell_base::prelude::*;
use bluebell_base::text::ParseError;
use rand::Rng;
use std::fmt;
use std::str::FromStr;

/// The shortest prompt of the log-uniform mixes.
const SHORTEST_TOKENS: f64 = 1_000.0;
/// The longest prompt of the log-uniform mixes.
const LONGEST_TOKENS: f64 = 1_000_000.0;
/// The length that one in [`LONG_ONE_IN`] prompts of the default mix exceeds.
const LONG_LOWER_TOKENS: f64 = 100_000.0;
/// The number of prompts of the default mix of which one is long, on average.
const LONG_ONE_IN: u32 = 50;
/// The upper bound of short prompts.
const SHORT_UPPER_TOKENS: f64 = 4_000.0;

/// A mix of prompt lengths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Log-uniform from 1,000 to 1,000,000 tokens, with one in fifty over 100,000.
    Mixed,
    /// Log-uniform from 1,000 to 4,000 tokens.
    Short,
    /// Log-uniform from 100,000 to 1,000,000 tokens.
    Long,
    /// All prompts of one length.
    Fixed(Tokens),
}

impl Mix {
    /// Draws the length of a prompt.
    pub fn sample(self, rng: &mut impl Rng) -> Tokens {
        match self {
            Mix::Mixed if rng.random_ratio(1, LONG_ONE_IN) => {
                log_uniform(rng, LONG_LOWER_TOKENS, LONGEST_TOKENS)
            }
            Mix::Mixed => log_uniform(rng, SHORTEST_TOKENS, LONG_LOWER_TOKENS),
            Mix::Short => log_uniform(rng, SHORTEST_TOKENS, SHORT_UPPER_TOKENS),
            Mix::Long => log_uniform(rng, LONG_LOWER_TOKENS, LONGEST_TOKENS),
            Mix::Fixed(prompt_tokens) => prompt_tokens,
        }
    }
}

/// Draws from `low..high` so that the logarithm is uniformly distributed.
fn log_uniform(rng: &mut impl Rng, low: f64, high: f64) -> Tokens {
    let exponent = rng.random_range(low.ln()..high.ln());
    let drawn = exponent.exp().clamp(low, high);
    Tokens(drawn as u64)
}

impl fmt::Display for Mix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Mix::Mixed => f.write_str("mixed"),
            Mix::Short => f.write_str("short"),
            Mix::Long => f.write_str("long"),
            Mix::Fixed(prompt_tokens) => write!(f, "{prompt_tokens}"),
        }
    }
}

impl FromStr for Mix {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "mixed" => return Ok(Mix::Mixed),
            "short" => return Ok(Mix::Short),
            "long" => return Ok(Mix::Long),
            _ => {}
        }
        let prompt_tokens: Tokens = text
            .parse()
            .map_err(|_| ParseError::new("mix (mixed, short, long or a number of tokens)", text))?;
        if prompt_tokens == Tokens::ZERO {
            return Err(ParseError::new("mix (more than 0 tokens)", text));
        }
        Ok(Mix::Fixed(prompt_tokens))
    }
}
