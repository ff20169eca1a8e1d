//! An HTTP/1.1 connection that is leased for one exchange.

use super::answer_body::AnswerBody;
use super::bounds::{AnswerPart, Cut};
use super::guarded::{AnswerGuard, CutAnswers, GuardedStream};
use bluebell_base::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};

/// The largest head of an answer. The headers of answers are a few hundred bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 16 * 1024;

/// The error of an exchange that ended before the answer's head arrived.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection couldn't be opened; nothing was sent.
    #[error("can't connect: {0}")]
    Connect(Arc<str>),
    /// The address refused the connection because nothing listens there; nothing was sent.
    #[error("can't connect: {0}")]
    Refused(Arc<str>),
    /// The kept connection was closed before anything was sent.
    #[error("the kept connection was closed")]
    Unsent,
    /// The connection failed after something was sent.
    #[error("the connection failed: {0}")]
    Broken(Arc<str>),
}

/// An open connection, leased for one exchange. Dropping it closes the connection.
#[derive(Debug)]
pub struct Link {
    sender: Option<SendRequest<Full<Buffer>>>,
    driver: AbortHandle,
    guard: Rc<AnswerGuard>,
    /// The address of the other side.
    pub address: SocketAddr,
    /// True if the connection has carried an exchange before.
    pub reused: bool,
}

/// An answer whose head has arrived and whose body is still to be read.
pub type IncomingAnswer = Response<AnswerBody>;

impl Link {
    /// Opens a connection within `timeout_ms`. Answers that are cut are recorded in `cut_answers`.
    pub async fn open(
        address: SocketAddr,
        timeout_ms: SpanMs,
        cut_answers: Rc<CutAnswers>,
    ) -> Result<Self, SendError> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(Duration::from(timeout_ms), connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(SendError::Refused(error.to_string().into()));
            }
            Ok(Err(error)) => return Err(SendError::Connect(error.to_string().into())),
            Err(_) => return Err(SendError::Connect("timeout".into())),
        };
        // Without TCP_NODELAY the last bytes of a request may be delayed until the other side
        // acknowledges.
        if let Err(error) = stream.set_nodelay(true) {
            return Err(SendError::Connect(error.to_string().into()));
        }
        let guard = AnswerGuard::open(address, cut_answers);
        let stream = GuardedStream {
            stream,
            guard: guard.clone(),
        };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_ANSWER_HEAD_BYTES);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::Connect(error.to_string().into()))?;
        // The connection's error is reported to the exchange that uses it.
        let driver = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Self {
            sender: Some(sender),
            driver,
            guard,
            address,
            reused: false,
        })
    }

    /// Returns true if the connection can carry an exchange now.
    pub fn is_usable(&self) -> bool {
        self.sender.as_ref().is_some_and(SendRequest::is_ready)
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Buffer>>,
    ) -> Result<IncomingAnswer, SendError> {
        let Some(sender) = self.sender.as_mut() else {
            return Err(SendError::Unsent);
        };
        self.guard.with(|meter| meter.begin());
        match sender.try_send_request(request).await {
            Ok(answer) => {
                self.guard.with(|meter| meter.on_head());
                Ok(answer.map(|body| AnswerBody::new(body, self.guard.clone())))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::Unsent),
                None => Err(self.broken(&error.into_error())),
            },
        }
    }

    /// Returns the error of an exchange whose connection failed after something was sent.
    fn broken(&self, error: &hyper::Error) -> SendError {
        if error.is_parse_too_large() {
            self.guard.cut(AnswerPart::Head);
        }
        let why = match self.guard.reason() {
            Some(cut) => cut.to_string(),
            None => error.to_string(),
        };
        SendError::Broken(why.into())
    }

    /// Records that the answer is cut because of `part`, and returns the reason. The link must be dropped.
    pub fn cut(&self, part: AnswerPart) -> Cut {
        self.guard.cut(part)
    }

    /// Waits until the connection can carry another exchange. Returns false if it is closed.
    pub async fn wait_ready(&mut self) -> bool {
        match self.sender.as_mut() {
            Some(sender) => sender.ready().await.is_ok(),
            None => false,
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
