//! What one answer says of its replica's limit.

use bluebell_base::prelude::*;

/// What an answer says of how many requests its replica takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitSignal {
    /// So many from all nodes together.
    Set(PerSecond),
    /// It names no limit.
    Absent,
    /// It names something that is no rate.
    Unreadable,
}

impl LimitSignal {
    /// Reads the text with which an answer names its limit.
    pub fn read(text: &str) -> Self {
        let rate = text.trim().parse();
        rate.map_or(Self::Unreadable, Self::Set)
    }
}
