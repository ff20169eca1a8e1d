//! Sizes, rates and instants.
//!
//! Terms: a *monotonic instant* counts from the start of the process (or of the virtual clock) and
//! never goes back; a *wall instant* counts from 1970 and may go back. Deadlines and leases use
//! only monotonic instants.

use crate as bluebell_base;
use crate::define_size;
use crate::text::ParseError;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

define_size! {
    /// Number of model tokens.
    Tokens = "tok";
    /// Number of bytes.
    Bytes = "B";
    /// Duration in milliseconds.
    SpanMs = "ms";
    /// Wall-clock time of the VM in milliseconds since 1970; not monotonic.
    WallMs = "ms";
}

impl SpanMs {
    /// Creates a duration of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Returns the duration multiplied by `factor`, rounded down.
    pub fn mul_f64(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl From<SpanMs> for Duration {
    fn from(span_ms: SpanMs) -> Self {
        Duration::from_millis(span_ms.0)
    }
}

/// Monotonic instant in milliseconds since the start of the process (or of the virtual clock).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoMs(pub u64);

impl MonoMs {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: MonoMs) -> SpanMs {
        SpanMs(self.0.saturating_sub(earlier.0))
    }
}

impl Add<SpanMs> for MonoMs {
    type Output = MonoMs;
    fn add(self, span_ms: SpanMs) -> MonoMs {
        MonoMs(self.0.saturating_add(span_ms.0))
    }
}

impl Sub<SpanMs> for MonoMs {
    type Output = MonoMs;
    fn sub(self, span_ms: SpanMs) -> MonoMs {
        MonoMs(self.0.saturating_sub(span_ms.0))
    }
}

impl fmt::Display for MonoMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}ms", self.0)
    }
}

impl FromStr for MonoMs {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.strip_prefix('t').and_then(|t| t.strip_suffix("ms"));
        digits
            .and_then(|d| d.parse().ok())
            .map(MonoMs)
            .ok_or_else(|| ParseError::new("MonoMs", text))
    }
}

/// Rate of events or sizes, in units per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PerSecond(pub f64);

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        let rate: f64 = number
            .parse()
            .map_err(|_| ParseError::new("PerSecond", text))?;
        if !rate.is_finite() || rate < 0.0 {
            return Err(ParseError::new("PerSecond", text));
        }
        Ok(Self(rate))
    }
}
