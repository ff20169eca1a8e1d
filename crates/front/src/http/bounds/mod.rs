//! Bounds on the bytes that a node reads from one replica and holds for all callers. Decisions only, without I/O or
//! clock.
//!
//! Terms: a *part* of an answer is its head, the interim (1xx) answers before it, its body with the framing of its
//! chunks, an event, or the trailers. An answer is *cut* when a part exceeds its bound: its connection is closed, and
//! its attempt fails as one whose answer can't be parsed. A *holding* is the bytes of one answer that the node holds
//! for its reader, or the body of one request.
//!
//! Load pattern: a replica with a fault writes bytes that are no answer for as long as the connection is open, on all
//! its connections at once. Callers with a fault stop reading, hundreds of them at one node. Answers of sound replicas
//! are a few KB, events are below 1 KB, and heads are a few hundred bytes.
//!
//! Invariants: the bytes read of one answer without progress are bounded, where progress is a head, a piece of a body
//! or an event. All holdings together stay below the bound of the total, apart from the floor that each may have, so
//! that readers that take what they get aren't held up by readers that don't.

mod answer;
mod held;

pub use answer::{AnswerMeter, check_event};
pub use held::{HeldBounds, HeldBytes, HoldingId, Room, SlowReader};

use bluebell_base::prelude::*;

/// The part of an answer that exceeded its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// The head.
    Head,
    /// The interim answers before the head.
    Interim,
    /// The body, or the framing of its chunks.
    Body,
    /// An event of a stream.
    Event,
    /// The trailers after the body.
    Trailers,
    /// The whole of a stream, which went on beyond its request's deadline.
    Stream,
}

impl AnswerPart {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Interim => "interim",
            Self::Body => "body",
            Self::Event => "event",
            Self::Trailers => "trailers",
            Self::Stream => "stream",
        }
    }
}

/// The reason for which an answer was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was cut: no end of its {} after {bytes} bytes", part.as_str())]
pub struct Cut {
    /// The part that exceeded its bound.
    pub part: AnswerPart,
    /// The bytes of the part that had arrived, or of the whole answer if they aren't counted by part.
    pub bytes: Bytes,
}
