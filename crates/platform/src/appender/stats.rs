//! The counters of an appender, for metrics and the state dump.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// What an appender did since it was spawned, and what waits now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppenderStats {
    /// Appends sent.
    pub appends: u64,
    /// Records in them.
    pub records: u64,
    /// Bytes of those records.
    pub bytes: Bytes,
    /// Hand-ins refused without being sent.
    pub refused: u64,
    /// Appends that failed and did not take effect.
    pub not_run: u64,
    /// Appends that failed and may have taken effect.
    pub may_have_run: u64,
    /// Hand-ins that wait.
    pub waiting: u64,
    /// Bytes of records that wait.
    pub waiting_bytes: Bytes,
}

impl AppenderStats {
    pub(super) fn count_failure(&mut self, error: &Error) {
        match error.verdict {
            Verdict::NotRun => self.not_run += 1,
            Verdict::MayHaveRun | Verdict::Ran => self.may_have_run += 1,
        }
    }
}
