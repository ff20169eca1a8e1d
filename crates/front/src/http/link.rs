//! One HTTP/1.1 connection, leased for one exchange.

use bluebell_base::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};

/// The largest head of an answer. Answers' headers are a few hundred bytes.
const ANSWER_HEAD_BYTES: usize = 16 * 1024;

/// Why an exchange gave no answer's head.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection can't be opened; nothing was sent.
    #[error("can't connect: {0}")]
    Connect(Arc<str>),
    /// Nobody listens at the address; nothing was sent.
    #[error("can't connect: {0}")]
    Refused(Arc<str>),
    /// The kept connection was closed before anything was sent.
    #[error("the kept connection was closed")]
    Unsent,
    /// Something was sent, and the connection failed.
    #[error("the connection failed: {0}")]
    Broken(Arc<str>),
}

/// A connection, open for one exchange.
#[derive(Debug)]
pub struct Link {
    sender: Option<SendRequest<Full<Buffer>>>,
    driver: AbortHandle,
    /// Where it leads.
    pub address: SocketAddr,
    /// Whether it has carried an exchange before.
    pub reused: bool,
}

/// The head of an answer, with the body still to come.
pub type IncomingAnswer = Response<Incoming>;

impl Link {
    /// Opens a connection within `timeout_ms`.
    pub async fn open(address: SocketAddr, timeout_ms: SpanMs) -> Result<Self, SendError> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(Duration::from(timeout_ms), connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(SendError::Refused(error.to_string().into()));
            }
            Ok(Err(error)) => return Err(SendError::Connect(error.to_string().into())),
            Err(_) => return Err(SendError::Connect("timeout".into())),
        };
        // Without it an answer's last bytes may wait for an acknowledgement.
        if let Err(error) = stream.set_nodelay(true) {
            return Err(SendError::Connect(error.to_string().into()));
        }
        let mut builder = http1::Builder::new();
        builder.max_buf_size(ANSWER_HEAD_BYTES);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::Connect(error.to_string().into()))?;
        // A failure of the connection shows in the exchange that uses it.
        let driver = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Self {
            sender: Some(sender),
            driver,
            address,
            reused: false,
        })
    }

    /// Whether it can carry an exchange now.
    pub fn is_usable(&self) -> bool {
        self.sender.as_ref().is_some_and(SendRequest::is_ready)
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send(
        &mut self,
        request: Request<Full<Buffer>>,
    ) -> Result<IncomingAnswer, SendError> {
        let Some(sender) = self.sender.as_mut() else {
            return Err(SendError::Unsent);
        };
        match sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::Unsent),
                None => Err(SendError::Broken(error.into_error().to_string().into())),
            },
        }
    }

    /// Waits until it can carry another exchange, or is closed.
    pub async fn settled(&mut self) -> bool {
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
