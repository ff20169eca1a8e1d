//! The counters of a tail, for metrics and the state dump.

use crate::log_port::LogRecord;
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The counters of a tail since it was spawned, and its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailStats {
    /// The number of reads sent.
    pub reads: u64,
    /// The number of reads that failed.
    pub failures: u64,
    /// The number of records forwarded.
    pub records: u64,
    /// The total size of those records.
    pub bytes: Bytes,
    /// The number of records that expired before they were read.
    pub lost: u64,
    /// The offset of the next record to forward.
    pub next: Offset,
    /// The end of the stream as of the last read.
    pub end: Offset,
    /// True while reads fail.
    pub down: bool,
}

impl TailStats {
    pub(super) fn at(offset: Offset) -> Self {
        Self {
            reads: 0,
            failures: 0,
            records: 0,
            bytes: Bytes::ZERO,
            lost: 0,
            next: offset,
            end: offset,
            down: false,
        }
    }

    pub(super) fn count(&mut self, records: &[LogRecord], end: Offset) {
        self.records += records.len() as u64;
        self.bytes += records.iter().map(|r| Bytes(r.body.len() as u64)).sum();
        self.end = end;
    }
}
