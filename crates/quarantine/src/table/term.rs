//! How long a quarantine lasts before its review.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// How often a request's quarantine was confirmed by a trial; each time its term is longer.
///
/// The first term is long enough that a caller's program which repeats for minutes ends nothing more,
/// and short enough that a request which was refused wrongly is served again within the same sitting
/// of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Term(u8);

/// The first term.
const FIRST_MS: SpanMs = SpanMs(600_000);

/// How much longer each term is than the one before: three trials on the first day, as many as a
/// fatal request may be sent again in all, then one a day.
const GROWTH: u64 = 6;

/// The longest term: a repaired engine runs the request again a day later at most.
const LONGEST_MS: SpanMs = SpanMs(86_400_000);

/// The number from which terms grow no more.
const LONGEST: u8 = 3;

impl Term {
    /// The term of a request that has had no trial.
    pub const FIRST: Self = Self(0);

    /// How long after its review a request is forgotten for which nobody asks.
    pub const FORGOTTEN_AFTER_MS: SpanMs = SpanMs(86_400_000);

    /// The term after a trial that ended its server.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1).min(LONGEST))
    }

    /// How long it lasts.
    pub fn span_ms(self) -> SpanMs {
        let span_ms = FIRST_MS.0 * GROWTH.pow(u32::from(self.0.min(LONGEST)));
        SpanMs(span_ms).min(LONGEST_MS)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "term{}", self.0)
    }
}

impl From<Term> for String {
    fn from(term: Term) -> Self {
        term.to_string()
    }
}

impl TryFrom<String> for Term {
    type Error = TermError;

    fn try_from(text: String) -> Result<Self, TermError> {
        text.parse()
    }
}

/// A text that isn't a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a term is written term0 to term3")]
pub struct TermError;

impl FromStr for Term {
    type Err = TermError;

    fn from_str(text: &str) -> Result<Self, TermError> {
        let number = text.strip_prefix("term").ok_or(TermError)?;
        let number: u8 = number.parse().map_err(|_| TermError)?;
        match number <= LONGEST {
            true => Ok(Self(number)),
            false => Err(TermError),
        }
    }
}
