//! Performs HTTP exchanges with upstreams: time limits, and the verdict for each kind of failure.

#[cfg(test)]
mod tests;

use bluebell_base::prelude::*;
use serde::de::DeserializeOwned;
use std::fmt;
use std::sync::OnceLock;
use std::time::Duration;
use ureq::http::{Method, Request, Response};
use ureq::{Agent, Body};

/// The timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of a short call, from its start to the end of its answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest silence of an upstream during an exchange. Engines send comments when they have no
/// event to send.
pub const MAX_SILENCE: Duration = Duration::from_secs(10);

/// The maximum size of an answer to a short call, in bytes.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;

/// The maximum number of idle connections to one upstream, kept for short calls.
const MAX_IDLE_CONNECTIONS_PER_UPSTREAM: usize = 2;

/// The maximum number of idle connections to all upstreams together.
///
/// Each connection keeps its buffers. With a pool per upstream, a node's memory would grow by two
/// connections for each upstream that it ever called.
const MAX_IDLE_CONNECTIONS: usize = 128;

/// The size of a connection's buffer in each direction, in bytes. The head of an answer must fit
/// into it.
const BUFFER_BYTES: usize = 16 << 10;

/// The media type of JSON.
pub(super) const JSON: &str = "application/json";

/// A client for exchanges with one upstream. It is cheap to clone.
#[derive(Clone)]
pub(super) struct Exchange {
    agent: Agent,
    address: Address,
    credential: Option<Arc<str>>,
}

impl fmt::Debug for Exchange {
    /// Omits the credential, so that it isn't printed in logs and state dumps.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// A call to send.
#[derive(Debug)]
pub(super) struct OutgoingCall<'a> {
    pub method: Method,
    pub path: &'a str,
    pub content_type: Option<&'a str>,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: &'a [u8],
    /// The timeout of the whole exchange, including the body of the answer.
    pub timeout: Duration,
    /// True if a new connection is opened for the exchange and closed after it.
    ///
    /// The upstream may have closed a pooled connection in the meantime. The call then fails with
    /// `MayHaveRun` although nothing ran. Calls whose effects can't be repeated use a new
    /// connection, where a refused connection is certainly `NotRun`.
    pub new_connection: bool,
}

/// Returns the agent that all exchanges of this process share, with its pool of connections.
fn agent() -> Agent {
    static AGENT: OnceLock<Agent> = OnceLock::new();
    AGENT.get_or_init(open_agent).clone()
}

fn open_agent() -> Agent {
    Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .max_redirects(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(MAX_SILENCE))
        .timeout_per_write(Some(MAX_SILENCE))
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS_PER_UPSTREAM)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build()
        .new_agent()
}

impl Exchange {
    /// Returns a client for exchanges with one upstream.
    pub fn open(address: Address, credential: Option<Arc<str>>) -> Self {
        Self {
            agent: agent(),
            address,
            credential,
        }
    }

    /// Sends a call and waits for the head of its answer, whatever its status.
    pub fn send(&self, call: &OutgoingCall<'_>) -> Result<Response<Body>, Error> {
        let request = self.request(call)?;
        let mut configured = self
            .agent
            .configure_request(request)
            .allow_non_standard_methods(true)
            .timeout_global(Some(call.timeout));
        if call.new_connection {
            configured = configured.max_idle_connections(0);
        }
        let answer = self.agent.run(configured.build());
        answer.map_err(|error| exchange_error(&error))
    }

    /// Sends a short call and decodes its JSON answer.
    pub fn json<T: DeserializeOwned>(&self, call: &OutgoingCall<'_>) -> Result<T, Error> {
        let mut answer = self.send(call)?;
        let body = read_body(&mut answer)?;
        if !answer.status().is_success() {
            return Err(refusal(answer.status().as_u16(), &body));
        }
        serde_json::from_slice(&body)
            .map_err(|error| upstream_error(format!("bad answer: {error}")))
    }

    fn request<'a>(&self, call: &OutgoingCall<'a>) -> Result<Request<&'a [u8]>, Error> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request = Request::builder().method(call.method.clone()).uri(uri);
        if let Some(credential) = &self.credential {
            request = request.header("Authorization", format!("Bearer {credential}"));
        }
        if let Some(content_type) = call.content_type {
            request = request.header("Content-Type", content_type);
        }
        if call.new_connection {
            request = request.header("Connection", "close");
        }
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let invalid = |_| Error::not_run(ErrorKind::Invalid, "the call does not fit into HTTP");
        request.body(call.body).map_err(invalid)
    }
}

/// Reads the whole body of a short answer.
pub(super) fn read_body(answer: &mut Response<Body>) -> Result<Vec<u8>, Error> {
    let body = answer.body_mut().with_config().limit(ANSWER_LIMIT_BYTES);
    let bytes = body.read_to_vec();
    bytes.map_err(|error| upstream_error(format!("the answer broke off: {error}")))
}

/// Returns the error for an answer without a success status. It is the upstream's own error if the
/// body contains one.
pub(super) fn refusal(status: u16, body: &[u8]) -> Error {
    match serde_json::from_slice::<Error>(body) {
        Ok(error) => error,
        // The answer doesn't state that nothing ran, so it may have run.
        Err(_) => upstream_error(format!("the upstream answered with status {status}")),
    }
}

/// Returns the error for an upstream that was reached but failed.
pub(super) fn upstream_error(message: String) -> Error {
    Error::may_have_run(ErrorKind::Upstream, message)
}

/// Returns the error, with its verdict, for an exchange that failed.
///
/// A connection that was refused, or not opened in time, has carried no byte of the call, so
/// nothing can have run. Every other failure may have occurred after the upstream read the call.
fn exchange_error(error: &ureq::Error) -> Error {
    let message = format!("no answer from the upstream: {error}");
    let not_connected = match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::BadUri(_) | ureq::Error::HostNotFound => true,
        _ => false,
    };
    if not_connected {
        return Error::not_run(ErrorKind::Unavailable, message);
    }
    let kind = match error {
        ureq::Error::Timeout(_) => ErrorKind::DeadlineExceeded,
        _ => ErrorKind::Upstream,
    };
    Error::may_have_run(kind, message)
}
