//! Finds the offset of a long stream at which a new owner begins to read. Older records hold only
//! expired keys.
//!
//! A log that keeps a day of records holds twenty-four times what a validity of an hour needs, and
//! a takeover takes as long as its reading. The search is a bisection over offsets by the append
//! times of single records.
//!
//! The log's clock may step back by less than a quarter of the validity without harm, since a
//! quarter more than the validity is read.

use crate::settings::VALIDITY_MARGIN_FACTOR;
use bluebell_base::prelude::*;
use bluebell_platform::ReadBatch;

/// Retained records below which a stream is read whole.
const READ_WHOLE_RECORDS: u64 = 256;

/// The next step after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read the record at this offset.
    Probe(Offset),
    /// Begin to read at this offset.
    Begin(Offset),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Read the range of retained offsets.
    Size,
    /// Read the append time of the newest record.
    Newest,
    /// Bisect between `old`, which is too old or the first retained record, and `recent`, which is
    /// recent enough.
    Bisect { old: Offset, recent: Offset },
}

/// The search for the offset at which to begin.
#[derive(Clone, Copy, Debug)]
pub struct StartSearch {
    span_ms: SpanMs,
    step: Step,
    horizon_ms: WallMs,
}

impl StartSearch {
    /// Starts the search for records that are not older than the validity. The first read is at
    /// offset 0.
    pub fn new(validity_ms: SpanMs) -> Self {
        Self {
            span_ms: validity_ms.mul_f64(VALIDITY_MARGIN_FACTOR),
            step: Step::Size,
            horizon_ms: WallMs::ZERO,
        }
    }

    /// Processes the answer to the last read. Records may have expired since.
    pub fn on_read(&mut self, batch: &ReadBatch) -> Next {
        let first = batch.first_retained;
        let Some(record) = batch.records.first() else {
            return Next::Begin(first);
        };
        match self.step {
            Step::Size if batch.end.0 - first.0 < READ_WHOLE_RECORDS => Next::Begin(first),
            Step::Size => {
                self.step = Step::Newest;
                Next::Probe(Offset(batch.end.0 - 1))
            }
            Step::Newest => {
                let horizon_ms = record.appended_ms.0.saturating_sub(self.span_ms.0);
                self.horizon_ms = WallMs(horizon_ms);
                self.bisect(first, record.offset)
            }
            Step::Bisect { old, recent } => {
                let (old, recent) = (old.max(first), recent.max(first));
                if record.appended_ms < self.horizon_ms {
                    self.bisect(record.offset.max(old), recent)
                } else {
                    self.bisect(old, record.offset.min(recent))
                }
            }
        }
    }

    fn bisect(&mut self, old: Offset, recent: Offset) -> Next {
        if recent.0.saturating_sub(old.0) < READ_WHOLE_RECORDS {
            return Next::Begin(old);
        }
        self.step = Step::Bisect { old, recent };
        Next::Probe(Offset(old.0 + (recent.0 - old.0) / 2))
    }
}
