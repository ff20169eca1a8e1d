//! The log port: appending to a stream and reading it from an offset.
//!
//! Terms: the *first retained* offset is the oldest that can still be read; the *end* is the
//! offset the next record will get.
//!
//! Invariants: the records of one append get consecutive offsets; a read returns records in
//! offset order without gaps from its first one on.

mod http;

pub use http::{AppendAnswer, AppendBody, HttpLog};

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};

/// One record as read back from a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its position.
    pub offset: Offset,
    /// When the log took it, by the log's own clock.
    pub appended_ms: WallMs,
    /// What was appended, as text (JSON by the users of the port).
    pub body: Arc<str>,
}

/// The answer to one read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBatch {
    /// The oldest offset still kept; larger than the asked one where records have expired.
    pub first_retained: Offset,
    /// The offset the next appended record will get.
    pub end: Offset,
    /// Records from the asked offset (or the first retained one) on; may be fewer than exist.
    pub records: Vec<LogRecord>,
}

/// The platform's log service.
pub trait LogPort {
    /// Appends `records` to `stream` together; answers the offset of the first.
    ///
    /// An error with [`Verdict::MayHaveRun`] leaves open whether the records are in the log; the
    /// caller finds out by reading for its operation ids.
    fn append(
        &self,
        core: &mut Core,
        stream: &StreamName,
        records: Vec<Arc<str>>,
        ret: Ret<Result<Offset, Error>>,
    );

    /// Reads `stream` from `from`, at most about `limit_bytes` of records, at least one if any.
    fn read(
        &self,
        core: &mut Core,
        stream: &StreamName,
        from: Offset,
        limit_bytes: Bytes,
        ret: Ret<Result<ReadBatch, Error>>,
    );
}
