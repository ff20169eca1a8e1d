//! Sizes, rates and instants.
//!
//! Terms: a *monotonic instant* counts from the start of the process (or of the virtual clock)
//! and never goes back; a *wall instant* counts from 1970 and may. Deadlines and leases use only
//! the monotonic one.

use crate as bluebell_base;
use crate::define_size;
use crate::text::ParseError;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

define_size! {
    /// Model tokens.
    Tokens = "tok";
    /// Bytes.
    Bytes = "B";
    /// A span of time in milliseconds.
    SpanMs = "ms";
    /// Milliseconds since 1970, by the VM's wall clock; not monotonic.
    WallMs = "ms";
}

impl SpanMs {
    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The span multiplied by `factor`, rounded down.
    pub fn mul_f64(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl From<SpanMs> for Duration {
    fn from(span_ms: SpanMs) -> Self {
        Duration::from_millis(span_ms.0)
    }
}

/// A monotonic instant in milliseconds since the process (or virtual clock) started.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoMs(pub u64);

impl MonoMs {
    /// The time from `earlier` to `self`, zero where `earlier` is the later.
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

/// A rate of events or sizes in units per second.
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
