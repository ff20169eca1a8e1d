//! The log port, which appends to a stream and reads it from an offset on.
//!
//! Terms: the *first retained* offset is the oldest one that can still be read; the *end* is the
//! offset that the next record will receive.
//!
//! Invariants: the records of one append receive consecutive offsets; a read returns records in
//! offset order and without gaps after its first one.

mod http;

pub use http::{AppendAnswer, AppendBody, HttpLog};

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The position of the record.
    pub offset: Offset,
    /// The time when the log accepted the record, by the log's own clock.
    pub appended_ms: WallMs,
    /// The appended text. The users of the port append JSON.
    pub body: Arc<str>,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBatch {
    /// The oldest retained offset. It is larger than the requested one if records have expired.
    pub first_retained: Offset,
    /// The offset that the next appended record will receive.
    pub end: Offset,
    /// The records from the requested offset, or from the first retained one, on. There may be more
    /// in the stream.
    pub records: Vec<LogRecord>,
}

/// The port to the platform's log service.
pub trait LogPort {
    /// Appends `records` to `stream` together. The answer is the offset of the first one.
    ///
    /// An error with [`Verdict::MayHaveRun`] means that the records may be in the log. The caller
    /// determines this by reading the stream and searching for its operation ids.
    fn append(
        &self,
        core: &mut Core,
        stream: &StreamName,
        records: Vec<Arc<str>>,
        ret: Ret<Result<Offset, Error>>,
    );

    /// Reads `stream` from `from` on. Returns at most about `limit_bytes` of records, and at least
    /// one record if there is any.
    fn read(
        &self,
        core: &mut Core,
        stream: &StreamName,
        from: Offset,
        limit_bytes: Bytes,
        ret: Ret<Result<ReadBatch, Error>>,
    );
}
