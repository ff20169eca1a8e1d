//! One HTTP exchange, with its time limits and the verdict of each way it can fail.

#[cfg(test)]
mod tests;

use bluebell_base::prelude::*;
use serde::de::DeserializeOwned;
use std::fmt;
use std::sync::OnceLock;
use std::time::Duration;
use ureq::http::{Method, Request, Response};
use ureq::{Agent, Body};

/// The time that making a connection may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time that a short call may take in all.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest silence of an upstream that owes an answer; engines send comments meanwhile.
pub const SILENCE: Duration = Duration::from_secs(10);

/// The largest answer to a short call that is read.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;

/// Idle connections kept for short calls to one upstream.
const IDLE_CONNECTIONS: usize = 2;

/// Idle connections kept to all upstreams together.
///
/// Each keeps its buffers. With a pool for each upstream, what a node holds in memory grew by two
/// connections for each upstream that it ever asked.
const IDLE_CONNECTIONS_IN_ALL: usize = 128;

/// The buffer of a connection for each way; the head of an answer has to fit.
const BUFFER_BYTES: usize = 16 << 10;

/// The media type of JSON.
pub(super) const JSON: &str = "application/json";

/// One upstream's address and how it is reached; cheap to clone.
#[derive(Clone)]
pub(super) struct Exchange {
    agent: Agent,
    address: Address,
    credential: Option<Arc<str>>,
}

impl fmt::Debug for Exchange {
    /// Leaves the credential out, so that no log or state dump shows it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// What shall be sent.
#[derive(Debug)]
pub(super) struct Outgoing<'a> {
    pub method: Method,
    pub path: &'a str,
    pub content_type: Option<&'a str>,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: &'a [u8],
    /// How long the exchange may take in all, its body included.
    pub timeout: Duration,
    /// Whether the connection is made anew and closed behind the exchange.
    ///
    /// A kept connection may have been closed by the upstream meanwhile; the call then fails with
    /// `MayHaveRun` although nothing ran. Calls with effects that can't be repeated take a fresh
    /// one, where a refused connection is a certain `NotRun`.
    pub fresh: bool,
}

/// The agent of all exchanges of this process, which share its pool of connections.
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
        .timeout_per_read(Some(SILENCE))
        .timeout_per_write(Some(SILENCE))
        .max_idle_connections(IDLE_CONNECTIONS_IN_ALL)
        .max_idle_connections_per_host(IDLE_CONNECTIONS)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build()
        .new_agent()
}

impl Exchange {
    /// Prepares exchanges with one upstream.
    pub fn open(address: Address, credential: Option<Arc<str>>) -> Self {
        Self {
            agent: agent(),
            address,
            credential,
        }
    }

    /// Sends a call and waits for the head of its answer, of whatever status.
    pub fn send(&self, call: &Outgoing<'_>) -> Result<Response<Body>, Error> {
        let request = self.request(call)?;
        let mut configured = self
            .agent
            .configure_request(request)
            .allow_non_standard_methods(true)
            .timeout_global(Some(call.timeout));
        if call.fresh {
            configured = configured.max_idle_connections(0);
        }
        let answer = self.agent.run(configured.build());
        answer.map_err(|error| verdict_of(&error))
    }

    /// Makes a short call whose answer is JSON.
    pub fn json<T: DeserializeOwned>(&self, call: &Outgoing<'_>) -> Result<T, Error> {
        let mut answer = self.send(call)?;
        let body = read_body(&mut answer)?;
        if !answer.status().is_success() {
            return Err(refusal(answer.status().as_u16(), &body));
        }
        serde_json::from_slice(&body).map_err(|error| broken(format!("bad answer: {error}")))
    }

    fn request<'a>(&self, call: &Outgoing<'a>) -> Result<Request<&'a [u8]>, Error> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request = Request::builder().method(call.method.clone()).uri(uri);
        if let Some(credential) = &self.credential {
            request = request.header("Authorization", format!("Bearer {credential}"));
        }
        if let Some(content_type) = call.content_type {
            request = request.header("Content-Type", content_type);
        }
        if call.fresh {
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
    bytes.map_err(|error| broken(format!("the answer broke off: {error}")))
}

/// The error of an answer that is no success: the upstream's own, where it gives one.
pub(super) fn refusal(status: u16, body: &[u8]) -> Error {
    match serde_json::from_slice::<Error>(body) {
        Ok(error) => error,
        // Whoever answered did not say that nothing ran, so that it may have.
        Err(_) => broken(format!("the upstream answered with status {status}")),
    }
}

/// An error of an upstream that was reached.
pub(super) fn broken(message: String) -> Error {
    Error::may_have_run(ErrorKind::Upstream, message)
}

/// The verdict of an exchange that failed.
///
/// A connection that was refused, or not made in time, has carried no byte of the call: nothing
/// can have run. Every other failure can have come after the upstream read the call.
fn verdict_of(error: &ureq::Error) -> Error {
    let message = format!("no answer from the upstream: {error}");
    let unconnected = match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::BadUri(_) | ureq::Error::HostNotFound => true,
        _ => false,
    };
    if unconnected {
        return Error::not_run(ErrorKind::Unavailable, message);
    }
    let kind = match error {
        ureq::Error::Timeout(_) => ErrorKind::DeadlineExceeded,
        _ => ErrorKind::Upstream,
    };
    Error::may_have_run(kind, message)
}
