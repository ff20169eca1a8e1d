//! The body of an answer to a caller, complete or streamed.

use crate::http::Holding;
use bytes::Bytes as Buffer;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// The bytes of a whole answer that are handed to the connection at once, so that the progress of its reader shows.
const SLICE_BYTES: usize = 16 * 1024;

/// The error of an answer that broke off. The connection must be closed so that the answer doesn't
/// look complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokenOff;

/// The body of an answer.
#[derive(Debug)]
pub enum FrontBody {
    /// A complete body; `None` once it has been handed to the connection.
    Whole(Option<Buffer>),
    /// The rest of a replica's complete body, and the memory that holds it.
    Held(Buffer, Rc<Holding>),
    /// A streamed body, piece by piece as it arrives, and the memory that holds the pieces.
    Pieces(mpsc::Receiver<Result<Buffer, BrokenOff>>, Rc<Holding>),
}

impl FrontBody {
    /// Returns the memory that holds the body. `None` for a short answer of the node itself.
    pub fn holding(&self) -> Option<&Rc<Holding>> {
        match self {
            Self::Whole(_) => None,
            Self::Held(_, holding) | Self::Pieces(_, holding) => Some(holding),
        }
    }

    /// Returns true if the body is complete, whether or not all of it has been handed over.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Whole(_) | Self::Held(..))
    }
}

/// Returns the next slice of a whole answer, `None` at its end.
fn next_slice(body: &mut Buffer, holding: &Holding) -> Option<Buffer> {
    let length = body.len().min(SLICE_BYTES);
    holding.on_progress();
    (length > 0).then(|| body.split_to(length))
}

impl Body for FrontBody {
    type Data = Buffer;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Buffer>, BrokenOff>>> {
        match self.get_mut() {
            FrontBody::Whole(body) => Poll::Ready(body.take().map(|b| Ok(Frame::data(b)))),
            FrontBody::Held(body, holding) => {
                let slice = next_slice(body, holding);
                Poll::Ready(slice.map(|slice| Ok(Frame::data(slice))))
            }
            FrontBody::Pieces(pieces, holding) => {
                let piece = ready!(pieces.poll_recv(cx));
                if let Some(Ok(piece)) = &piece {
                    holding.take(piece.len());
                }
                Poll::Ready(piece.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            FrontBody::Whole(body) => body.is_none(),
            FrontBody::Held(body, _) => body.is_empty(),
            FrontBody::Pieces(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            FrontBody::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |b| b.len() as u64))
            }
            FrontBody::Held(body, _) => SizeHint::with_exact(body.len() as u64),
            FrontBody::Pieces(..) => SizeHint::default(),
        }
    }
}
