//! Finds where in a long stream an owner must begin to read: no earlier than keys are valid.
//!
//! A log that keeps a day of records holds twenty-four times what a validity of an hour needs, and
//! the reading bounds the time of a takeover. Offsets are halved by the times of single records.
//!
//! The log's clock may step back by less than a quarter of the validity without harm: that much
//! more is read than needed.

use crate::settings::VALIDITY_MARGIN;
use bluebell_base::prelude::*;
use bluebell_platform::ReadBatch;

/// Streams with fewer retained records are read whole.
const READ_WHOLE: u64 = 256;

/// What to do after one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read the record at this offset.
    Probe(Offset),
    /// Begin here.
    Begin(Offset),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Learn how much is retained.
    Size,
    /// Learn the newest record's time.
    Newest,
    /// Halve: `old` is too old or the first retained one, `recent` is recent enough.
    Halve { old: Offset, recent: Offset },
}

/// The search for the beginning.
#[derive(Clone, Copy, Debug)]
pub struct Seek {
    span_ms: SpanMs,
    step: Step,
    horizon_ms: WallMs,
}

impl Seek {
    /// Starts the search for records not older than the validity; read offset 0 first.
    pub fn new(validity_ms: SpanMs) -> Self {
        Self {
            span_ms: validity_ms.mul_f64(VALIDITY_MARGIN),
            step: Step::Size,
            horizon_ms: WallMs::ZERO,
        }
    }

    /// Takes the answer to the last read; retention may have moved on meanwhile.
    pub fn take(&mut self, batch: &ReadBatch) -> Next {
        let first = batch.first_retained;
        let Some(record) = batch.records.first() else {
            return Next::Begin(first);
        };
        match self.step {
            Step::Size if batch.end.0 - first.0 < READ_WHOLE => Next::Begin(first),
            Step::Size => {
                self.step = Step::Newest;
                Next::Probe(Offset(batch.end.0 - 1))
            }
            Step::Newest => {
                let horizon_ms = record.appended_ms.0.saturating_sub(self.span_ms.0);
                self.horizon_ms = WallMs(horizon_ms);
                self.halve(first, record.offset)
            }
            Step::Halve { old, recent } => {
                let (old, recent) = (old.max(first), recent.max(first));
                if record.appended_ms < self.horizon_ms {
                    self.halve(record.offset.max(old), recent)
                } else {
                    self.halve(old, record.offset.min(recent))
                }
            }
        }
    }

    fn halve(&mut self, old: Offset, recent: Offset) -> Next {
        if recent.0.saturating_sub(old.0) < READ_WHOLE {
            return Next::Begin(old);
        }
        self.step = Step::Halve { old, recent };
        Next::Probe(Offset(old.0 + (recent.0 - old.0) / 2))
    }
}
