//! A caller's TCP stream that reports what arrives to the state of its connection.

use super::connections::ConnectionState;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A caller's TCP stream. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct MeteredStream {
    stream: Rc<TcpStream>,
    state: Rc<ConnectionState>,
}

impl MeteredStream {
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self {
            stream: Rc::new(stream),
            state,
        }
    }

    /// Lets the system drop what it holds for the caller once the stream is dropped. It would otherwise hold it for
    /// minutes.
    pub fn reset_on_close(&self) {
        if let Err(error) = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("a connection can't be reset: {error}");
        }
    }

    /// Returns true if bytes have arrived that weren't read yet.
    pub fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream).peek(&mut byte);
        peeked.is_ok_and(|length| length > 0)
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    self.state.on_read(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl MeteredStream {
    /// Writes as soon as the socket accepts more.
    fn poll_write_by(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_by(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_by(cx, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
