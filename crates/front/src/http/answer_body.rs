//! The body of an answer from a replica or a peer.

use super::bounds::{AnswerPart, Cut};
use super::guarded::AnswerGuard;
use bytes::Bytes as Buffer;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The error of an answer's body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection broke, or the body is malformed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The answer exceeded its bounds.
    #[error(transparent)]
    Cut(#[from] Cut),
}

/// The body of an answer, whose progress its connection's meter counts.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    guard: Rc<AnswerGuard>,
}

impl AnswerBody {
    pub(super) fn new(body: Incoming, guard: Rc<AnswerGuard>) -> Self {
        Self { body, guard }
    }

    /// Returns the error with the reason for which the connection was cut, if it was.
    fn explain(&self, error: hyper::Error) -> BodyError {
        let part = exceeded_part(&error).map(|part| self.guard.cut(part));
        match part.or(self.guard.reason()) {
            Some(cut) => BodyError::Cut(cut),
            None => BodyError::Http(error),
        }
    }
}

/// Returns the part of a body whose bound the HTTP library found exceeded.
///
/// The library reports its bounds as I/O errors that differ by their text only.
fn exceeded_part(error: &hyper::Error) -> Option<AnswerPart> {
    let text = error.source()?.downcast_ref::<io::Error>()?.to_string();
    match text.as_str() {
        "chunk trailers bytes over limit" | "chunk trailers count overflow" => {
            Some(AnswerPart::Trailers)
        }
        "chunk extensions over limit" => Some(AnswerPart::Body),
        _ => None,
    }
}

impl Body for AnswerBody {
    type Data = Buffer;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Buffer>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        Poll::Ready(match frame {
            Some(Ok(frame)) => {
                self.guard.with(|meter| meter.on_piece());
                Some(Ok(frame))
            }
            Some(Err(error)) => Some(Err(self.explain(error))),
            None => None,
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
