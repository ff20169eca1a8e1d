//! What a try shows whose replica ended.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One run of a server; the next start of it has another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerRun(pub u32);

impl ServerRun {
    /// The least number.
    pub(crate) const FIRST: Self = Self(0);
    /// The greatest number.
    pub(crate) const LAST: Self = Self(u32::MAX);
}

impl fmt::Display for ServerRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "run{:08x}", self.0)
    }
}

/// What is known of a request on a replica that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// It was there, and may have waited behind others all the while.
    Present,
    /// It had begun to run.
    Running,
}

impl Evidence {
    /// How much an end counts.
    ///
    /// What only waits ends nothing, but an answer's head may be lost with the replica that sent it:
    /// where no head is ever seen, five ends are needed in place of three.
    pub(crate) fn points(self) -> u32 {
        match self {
            Evidence::Present => 1,
            Evidence::Running => 2,
        }
    }

    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Evidence::Present => "present",
            Evidence::Running => "running",
        }
    }
}
