//! The body of an answer to a caller, complete or streamed.

use bytes::Bytes as Buffer;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

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
    /// A streamed body, piece by piece as it arrives.
    Pieces(mpsc::Receiver<Result<Buffer, BrokenOff>>),
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
            FrontBody::Pieces(pieces) => pieces
                .poll_recv(cx)
                .map(|piece| piece.map(|result| result.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, FrontBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            FrontBody::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |b| b.len() as u64))
            }
            FrontBody::Pieces(_) => SizeHint::default(),
        }
    }
}
