//! Positions in the history of the directory, which orders all entries of one topic.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of one history of the directory. A directory that is restored from an older copy of
/// itself begins a new history, in which offsets are used again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl Era {
    /// The era of a directory that states none.
    pub const UNNAMED: Self = Self(0);
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "era{}", self.0)
    }
}

/// A position in the directory's history. Positions of a later era come after all of an earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The history that the position belongs to. It has no meaning in any other.
    pub era: Era,
    /// The offset in that history.
    pub offset: u64,
}

impl Cursor {
    /// Returns a position in the history of a directory that states no era.
    pub const fn at(offset: u64) -> Self {
        Self {
            era: Era::UNNAMED,
            offset,
        }
    }

    /// Returns the first position of an era.
    pub const fn first(era: Era) -> Self {
        Self { era, offset: 0 }
    }
}
