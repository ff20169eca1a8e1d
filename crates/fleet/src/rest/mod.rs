//! Replicas that turned a request away and said for how long they want none.

use bluebell_base::prelude::*;

/// The longest rest that is granted: a replica that names more is tried again after that.
const LONGEST_MS: SpanMs = SpanMs(600_000);

/// What an answer of a replica says of the time for which it wants no requests from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestSignal {
    /// Nothing.
    Unnamed,
    /// It wants none for so long.
    For(SpanMs),
    /// It names something that is no time.
    Unreadable,
}

impl RestSignal {
    /// Reads a number of seconds, fractions included.
    pub fn read(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                let longest_s = LONGEST_MS.0 as f64 / 1_000.0;
                Self::For(SpanMs((seconds.min(longest_s) * 1_000.0) as u64))
            }
            _ => Self::Unreadable,
        }
    }
}
