//! The limit in one answer of a replica.

use bluebell_base::prelude::*;

/// The statement of one answer about the rate of requests that its replica accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitSignal {
    /// The replica accepts this rate from all nodes together.
    Set(PerSecond),
    /// The answer has no limit.
    Absent,
    /// The answer has a limit that is not a rate.
    Unreadable,
}

impl LimitSignal {
    /// Parses the text of an answer's limit.
    pub fn read(text: &str) -> Self {
        let rate = text.trim().parse();
        rate.map_or(Self::Unreadable, Self::Set)
    }
}
