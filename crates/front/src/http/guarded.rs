//! A TCP stream to a replica or a peer that counts what arrives.

use super::bounds::{AnswerMeter, AnswerPart, Cut};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// An answer that was cut.
#[derive(Clone, Copy, Debug)]
pub struct CutAnswer {
    /// The address of the replica or the peer.
    pub address: SocketAddr,
    /// The part and its bytes.
    pub cut: Cut,
}

/// The answers that were cut and not yet logged. Connections share it.
#[derive(Debug, Default)]
pub struct CutAnswers(RefCell<Vec<CutAnswer>>);

impl CutAnswers {
    /// Returns the answers that were cut since the last call.
    pub fn take(&self) -> Vec<CutAnswer> {
        self.0.take()
    }
}

/// Counts the answers on one connection. The connection's stream and the reader of the answer share it.
#[derive(Debug)]
pub struct AnswerGuard {
    address: SocketAddr,
    meter: Cell<AnswerMeter>,
    cut_answers: Rc<CutAnswers>,
}

impl AnswerGuard {
    pub(super) fn open(address: SocketAddr, cut_answers: Rc<CutAnswers>) -> Rc<Self> {
        Rc::new(Self {
            address,
            meter: Cell::default(),
            cut_answers,
        })
    }

    /// Runs `change` on the meter, and records the cut if there is a new one.
    pub(super) fn with<T>(&self, change: impl FnOnce(&mut AnswerMeter) -> T) -> T {
        let mut meter = self.meter.get();
        let was_cut = meter.reason().is_some();
        let result = change(&mut meter);
        self.meter.set(meter);
        if let Some(cut) = meter.reason()
            && !was_cut
        {
            let address = self.address;
            self.cut_answers
                .0
                .borrow_mut()
                .push(CutAnswer { address, cut });
        }
        result
    }

    /// Records that the answer is cut because of `part`, and returns the reason. The caller drops the connection.
    pub fn cut(&self, part: AnswerPart) -> Cut {
        self.with(|meter| meter.cut(part))
    }

    /// Returns the reason for which the answer was cut, if it was.
    pub fn reason(&self) -> Option<Cut> {
        self.meter.get().reason()
    }
}

/// A TCP stream whose reads fail once an answer exceeds its bounds.
#[derive(Debug)]
pub(super) struct GuardedStream {
    pub stream: TcpStream,
    pub guard: Rc<AnswerGuard>,
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let length = buffer.filled().len() - before;
        let checked = self.guard.with(|meter| meter.on_read(length));
        Poll::Ready(checked.map_err(io::Error::other))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
