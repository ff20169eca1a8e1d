//! The evidence that an attempt gives if its replica crashes.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One run of a server. The next start of the server has another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerRun(pub u32);

impl ServerRun {
    /// The lowest possible number, used as the lower bound when runs are searched by time.
    pub(crate) const FIRST: Self = Self(0);
    /// The highest possible number, used as the upper bound when runs are searched by time.
    pub(crate) const LAST: Self = Self(u32::MAX);
}

impl fmt::Display for ServerRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "run{:08x}", self.0)
    }
}

/// The circumstances in which a node saw a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSighting {
    /// The time of the crash.
    pub at_ms: MonoMs,
    /// The time at which the crash became known, which may be seconds later.
    pub known_ms: MonoMs,
    /// True if the request was there as the trial of a suspect.
    pub in_trial: bool,
}

impl From<MonoMs> for CrashSighting {
    fn from(at_ms: MonoMs) -> Self {
        Self {
            at_ms,
            known_ms: at_ms,
            in_trial: false,
        }
    }
}

/// The state of a request on a replica that crashed, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// The request was there, and may have been waiting behind others all the time.
    Present,
    /// The request had begun to run.
    Running,
}

impl Evidence {
    /// Returns the points that a crash with this evidence counts.
    ///
    /// A request that only waits crashes nothing, but an answer's head may be lost with the replica that
    /// sent it. If no head is ever seen, five crashes are needed instead of three.
    pub(crate) fn points(self) -> u32 {
        match self {
            Evidence::Present => 1,
            Evidence::Running => 2,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Evidence::Present => "present",
            Evidence::Running => "running",
        }
    }
}
