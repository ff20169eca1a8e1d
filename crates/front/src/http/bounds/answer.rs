//! Counts the bytes of one answer since it last made progress.

use super::{AnswerPart, Cut};
use bluebell_base::prelude::*;

/// The bound on all that precedes a body: the interim answers, the head, and the pieces of the body that are read
/// before the head is handled. The HTTP library bounds each head at 16 KB but not the number of interim answers.
const MAX_BEFORE_BODY_BYTES: u64 = 128 * 1024;

/// The bound on the bytes of a body that yield no piece of it. The HTTP library bounds extensions of chunks and
/// trailers at 16 KB each, but not the length of a chunk's size.
const MAX_FRAMING_BYTES: u64 = 128 * 1024;

/// The bound on an incomplete event. Events of the users' engines are below 1 KB.
const MAX_EVENT_BYTES: u64 = 1024 * 1024;

/// The progress of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// There is no exchange. What arrives then is an error of the HTTP library's connection.
    #[default]
    Idle,
    /// The head hasn't arrived.
    BeforeBody,
    /// The head has arrived.
    Body,
}

/// Counts the bytes of the answers on one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerMeter {
    stage: Stage,
    /// The bytes that arrived since the last progress.
    unaccounted: u64,
    /// The bytes that arrived since the exchange began.
    total: u64,
    cut: Option<Cut>,
}

impl AnswerMeter {
    /// Records that a request is sent.
    pub fn begin(&mut self) {
        *self = Self {
            stage: Stage::BeforeBody,
            ..Self::default()
        };
    }

    /// Records bytes that arrived.
    ///
    /// # Errors
    /// [`Cut`] if the part that they belong to exceeds its bound.
    pub fn on_read(&mut self, bytes: usize) -> Result<(), Cut> {
        self.unaccounted += bytes as u64;
        self.total += bytes as u64;
        let (part, bound) = match self.stage {
            Stage::Idle => return Ok(()),
            Stage::BeforeBody => (AnswerPart::Interim, MAX_BEFORE_BODY_BYTES),
            Stage::Body => (AnswerPart::Body, MAX_FRAMING_BYTES),
        };
        if self.unaccounted <= bound {
            return Ok(());
        }
        let bytes = Bytes(self.unaccounted);
        Err(self.record(Cut { part, bytes }))
    }

    /// Records that the head has arrived.
    pub fn on_head(&mut self) {
        self.stage = Stage::Body;
        self.unaccounted = 0;
    }

    /// Records that a piece of the body has arrived.
    pub fn on_piece(&mut self) {
        self.unaccounted = 0;
    }

    /// Records that the answer is cut because of `part`, which another bound covers. Returns the first reason if it
    /// has been cut before.
    pub fn cut(&mut self, part: AnswerPart) -> Cut {
        let bytes = Bytes(self.total);
        self.record(Cut { part, bytes })
    }

    /// Returns the reason for which the answer was cut, if it was.
    pub fn reason(&self) -> Option<Cut> {
        self.cut
    }

    fn record(&mut self, cut: Cut) -> Cut {
        *self.cut.get_or_insert(cut)
    }
}

/// Checks the bytes of an incomplete event.
///
/// # Errors
/// [`AnswerPart::Event`] if they exceed the bound.
pub fn check_event(partial: usize) -> Result<(), AnswerPart> {
    match partial as u64 > MAX_EVENT_BYTES {
        true => Err(AnswerPart::Event),
        false => Ok(()),
    }
}
