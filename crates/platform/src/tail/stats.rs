//! The counters of a tail, for metrics and the state dump.

use crate::log_port::LogRecord;
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// What a tail did since it was spawned, and where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailStats {
    /// Reads sent.
    pub reads: u64,
    /// Reads that failed.
    pub failures: u64,
    /// Records forwarded.
    pub records: u64,
    /// Bytes of those records.
    pub bytes: Bytes,
    /// Records that expired unread.
    pub lost: u64,
    /// The offset of the next record to be forwarded.
    pub next: Offset,
    /// The stream's end as last seen.
    pub end: Offset,
    /// Whether reads fail now.
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
