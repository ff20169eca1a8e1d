//! Prompt-length bands, by which latency is grouped in metrics, load reports and benchmarks.
//!
//! Invariants: the bands are disjoint, ascending and cover every length.

use crate::text::ParseError;
use crate::units::Tokens;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A range of prompt lengths in tokens. The lower bound is included, the upper bound is not, except
/// where a variant says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LengthBand {
    /// Fewer than 1,000.
    #[serde(rename = "0-1k")]
    Under1k,
    /// 1,000 to 4,000.
    #[serde(rename = "1k-4k")]
    From1k,
    /// 4,000 to 16,000.
    #[serde(rename = "4k-16k")]
    From4k,
    /// 16,000 to 64,000.
    #[serde(rename = "16k-64k")]
    From16k,
    /// 64,000 to 256,000.
    #[serde(rename = "64k-256k")]
    From64k,
    /// 256,000 to 1,000,000, both included.
    #[serde(rename = "256k-1M")]
    From256k,
    /// More than 1,000,000.
    #[serde(rename = "over-1M")]
    Over1M,
}

impl LengthBand {
    /// All bands, ascending.
    pub const ALL: [Self; 7] = [
        Self::Under1k,
        Self::From1k,
        Self::From4k,
        Self::From16k,
        Self::From64k,
        Self::From256k,
        Self::Over1M,
    ];

    /// Returns the band of a prompt.
    pub fn of(prompt_tokens: Tokens) -> Self {
        match prompt_tokens.0 {
            0..1_000 => Self::Under1k,
            1_000..4_000 => Self::From1k,
            4_000..16_000 => Self::From4k,
            16_000..64_000 => Self::From16k,
            64_000..256_000 => Self::From64k,
            256_000..=1_000_000 => Self::From256k,
            _ => Self::Over1M,
        }
    }

    /// Returns the text used in labels and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Under1k => "0-1k",
            Self::From1k => "1k-4k",
            Self::From4k => "4k-16k",
            Self::From16k => "16k-64k",
            Self::From64k => "64k-256k",
            Self::From256k => "256k-1M",
            Self::Over1M => "over-1M",
        }
    }

    /// Returns the position in [`LengthBand::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for LengthBand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for LengthBand {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let found = Self::ALL.into_iter().find(|band| band.as_str() == text);
        found.ok_or_else(|| ParseError::new("LengthBand", text))
    }
}
