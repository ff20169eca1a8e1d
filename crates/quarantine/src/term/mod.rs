//! The term of a quarantine, at the end of which comes its review.
//!
//! Terms grow with each trial that confirms a quarantine. The short term comes before the first one, for what
//! was served until shortly before its crashes.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The number of trials that confirmed a request's quarantine. Each one makes the term longer.
///
/// The first term is long enough that a caller's program that repeats a request for minutes crashes no
/// further replica. It is short enough that a request that was refused wrongly is served again within
/// the same session of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Term(u8);

/// The short term. It lasts until replicas that crashed are back, and ends within the time for which callers of
/// long prompts wait.
const SHORT_TERM_MS: SpanMs = SpanMs(5_000);

/// The first term.
const FIRST_TERM_MS: SpanMs = SpanMs(600_000);

/// The factor from each term to the next. It allows three trials on the first day, as many as a fatal
/// request may be sent again in all, then one a day.
const TERM_GROWTH_FACTOR: u64 = 6;

/// The longest term. A repaired engine runs the request again a day later at the latest.
const MAX_TERM_MS: SpanMs = SpanMs(86_400_000);

/// The number of confirmations from which terms don't grow any more.
const MAX_CONFIRMATIONS: u8 = 3;

/// The text of the short term.
const SHORT_TEXT: &str = "short";

impl Term {
    /// The term of a quarantine that is likely enough to be wrong to be reviewed at once.
    pub const SHORT: Self = Self(0);

    /// The term of a quarantine that has had no trial.
    pub const FIRST: Self = Self(1);

    /// The longest term.
    const LAST: Self = Self(Self::FIRST.0 + MAX_CONFIRMATIONS);

    /// The time after its review became due at which a quarantine is forgotten if no trial cleared or
    /// confirmed it, as when the request didn't arrive again.
    pub const FORGOTTEN_AFTER_MS: SpanMs = SpanMs(86_400_000);

    /// Returns the term after a trial that crashed its server.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1)).min(Self::LAST)
    }

    /// Returns the duration of the term.
    pub fn span_ms(self) -> SpanMs {
        let Some(confirmations) = self.confirmations() else {
            return SHORT_TERM_MS;
        };
        let span_ms = FIRST_TERM_MS.0 * TERM_GROWTH_FACTOR.pow(u32::from(confirmations));
        SpanMs(span_ms).min(MAX_TERM_MS)
    }

    /// Returns the number of trials that confirmed the quarantine, or `None` for the short term.
    fn confirmations(self) -> Option<u8> {
        self.0.checked_sub(Self::FIRST.0)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.confirmations() {
            Some(confirmations) => write!(f, "term{confirmations}"),
            None => f.write_str(SHORT_TEXT),
        }
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

/// The error for a text that isn't a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a term is written short, or term0 to term3")]
pub struct TermError;

impl FromStr for Term {
    type Err = TermError;

    fn from_str(text: &str) -> Result<Self, TermError> {
        if text == SHORT_TEXT {
            return Ok(Self::SHORT);
        }
        let number = text.strip_prefix("term").ok_or(TermError)?;
        let number: u8 = number.parse().map_err(|_| TermError)?;
        match number <= MAX_CONFIRMATIONS {
            true => Ok(Self(Self::FIRST.0 + number)),
            false => Err(TermError),
        }
    }
}
