//! The HTTP client shared by the ports: one pool of connections that are kept open, blocking calls
//! on the bridge's I/O threads, and answers on the actor thread.
//!
//! Invariants: a call ends within its timeout; this module never sends a call a second time.

mod failure;

pub use failure::{Effect, RETRY_AFTER_MS};

use bluebell_base::prelude::*;
use bluebell_bridge::Bridge;
use failure::{body_error, status_error, transport_error};
use serde::de::DeserializeOwned;
use stakker::Ret;
use std::fmt;
use ureq::Agent;

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;
/// The maximum size of an error's body, in bytes. A longer body doesn't come from the platform
/// itself.
const MAX_ERROR_BYTES: u64 = 64 * 1024;
/// The maximum number of idle connections to the platform.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The header with which the platform states the retry time, in whole seconds.
const RETRY_AFTER_HEADER: &str = "retry-after";

/// The timeouts of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// The timeout for opening a connection. It is shorter than `call_ms`.
    pub connect_ms: SpanMs,
    /// The timeout of the whole call, from its start on an I/O thread to the last byte of the
    /// answer.
    pub call_ms: SpanMs,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        Self {
            connect_ms: SpanMs(1_000),
            call_ms: SpanMs(5_000),
        }
    }
}

/// A client of the platform at one address. It is cheap to clone, and all clones share their
/// connections.
#[derive(Clone)]
pub struct PlatformClient {
    bridge: Bridge,
    agent: Agent,
    base: Arc<str>,
    authorization: Option<Arc<str>>,
}

/// A call, created on the actor thread and run on an I/O thread.
#[derive(Debug)]
pub(crate) struct HttpCall {
    /// The path with its leading slash. Its characters need no escaping.
    pub path: String,
    /// The query parameters.
    pub query: Vec<(&'static str, String)>,
    /// The JSON body of a POST. `None` for a GET.
    pub body: Option<Vec<u8>>,
    /// The effect of the call on the platform.
    pub effect: Effect,
}

impl fmt::Debug for PlatformClient {
    /// Omits the credential, so that it isn't printed in logs and state dumps.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// Opens a client. Connections are opened when first needed.
    pub fn open(
        bridge: Bridge,
        address: &Address,
        credential: Option<Arc<str>>,
        timeouts: CallTimeouts,
    ) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .timeout_connect(Some(timeouts.connect_ms.into()))
            .timeout_global(Some(timeouts.call_ms.into()))
            .build();
        Self {
            bridge,
            agent: config.new_agent(),
            base: format!("http://{address}").into(),
            authorization: credential.map(|secret| format!("Bearer {secret}").into()),
        }
    }

    /// Makes a call and sends its decoded answer to `ret`.
    pub(crate) fn call<T>(&self, call: HttpCall, ret: Ret<Result<T, Error>>)
    where
        T: DeserializeOwned + Send + 'static,
    {
        let (agent, base) = (self.agent.clone(), Arc::clone(&self.base));
        let authorization = self.authorization.clone();
        self.bridge.call(
            move || run(&agent, &base, authorization.as_deref(), &call),
            || Err(queue_full()),
            ret,
        );
    }
}

fn queue_full() -> Error {
    Error::not_run(
        ErrorKind::Overloaded,
        "too many calls wait for an I/O thread",
    )
    .retry_after(RETRY_AFTER_MS)
}

/// Returns true if `text` can be used in a path without escaping.
pub(crate) fn is_path_text(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-/:@".contains(&b);
    !text.is_empty() && text.bytes().all(plain)
}

fn run<T: DeserializeOwned>(
    agent: &Agent,
    base: &str,
    authorization: Option<&str>,
    call: &HttpCall,
) -> Result<T, Error> {
    let sent = send(agent, base, authorization, call);
    let mut response = sent.map_err(|error| transport_error(call.effect, &error))?;
    let status = response.status().as_u16();
    let retry_after_ms = retry_after(&response);
    if status != 200 {
        let body = read_body(&mut response, MAX_ERROR_BYTES).unwrap_or_default();
        return Err(status_error(call.effect, status, retry_after_ms, &body));
    }
    let body = read_body(&mut response, MAX_ANSWER_BYTES);
    let body = body.map_err(|error| transport_error(call.effect, &error))?;
    serde_json::from_slice(&body).map_err(|error| body_error(call.effect, &error))
}

fn read_body(
    response: &mut ureq::http::Response<ureq::Body>,
    limit_bytes: u64,
) -> Result<Vec<u8>, ureq::Error> {
    let reader = response.body_mut().with_config().limit(limit_bytes);
    reader.read_to_vec()
}

fn send(
    agent: &Agent,
    base: &str,
    authorization: Option<&str>,
    call: &HttpCall,
) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
    let url = format!("{base}{}", call.path);
    let query = call.query.iter().map(|(k, v)| (*k, v.as_str()));
    match &call.body {
        Some(body) => {
            let mut request = agent.post(&url).query_pairs(query);
            request = request.header("content-type", "application/json");
            if let Some(value) = authorization {
                request = request.header("authorization", value);
            }
            request.send(&body[..])
        }
        None => {
            let mut request = agent.get(&url).query_pairs(query);
            if let Some(value) = authorization {
                request = request.header("authorization", value);
            }
            request.call()
        }
    }
}

fn retry_after(response: &ureq::http::Response<ureq::Body>) -> Option<SpanMs> {
    let value = response.headers().get(RETRY_AFTER_HEADER)?;
    let secs: u64 = value.to_str().ok()?.parse().ok()?;
    Some(SpanMs(secs.saturating_mul(1000)))
}
