//! The counters of an appender, for metrics and the state dump.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The counters of an appender since it was spawned, and its current queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppenderStats {
    /// The number of appends sent.
    pub appends: u64,
    /// The number of records in them.
    pub records: u64,
    /// The total size of those records.
    pub bytes: Bytes,
    /// The number of submissions refused without being sent.
    pub refused: u64,
    /// The number of appends that failed and did not take effect.
    pub not_run: u64,
    /// The number of appends that failed and may have taken effect.
    pub may_have_run: u64,
    /// The number of submissions that wait.
    pub waiting: u64,
    /// The total size of the records that wait.
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
