//! The HTTP client of a run and the classification of its call results.

use crate::plan::LoadPlan;
use std::io;
use std::time::Duration;
use ureq::Body;
use ureq::http::Response;

/// The timeout for a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Creates the HTTP client of a run.
pub fn agent(plan: &LoadPlan) -> ureq::Agent {
    let patience = Duration::from(plan.patience_ms);
    ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .max_redirects(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_recv_response(Some(patience))
        .timeout_recv_body(Some(patience))
        .max_idle_connections(plan.threads)
        .max_idle_connections_per_host(plan.threads)
        .build()
        .new_agent()
}

/// The result of one call.
pub enum CallResult {
    /// An answer whose body is still to be read.
    Answer(Box<Response<Body>>),
    /// The node refused the connection, so nothing was sent.
    Refused,
    /// The connection broke before an answer; contains the error text.
    Broken(String),
}

/// Classifies the result of a call.
pub fn classify_result(result: Result<Response<Body>, ureq::Error>) -> CallResult {
    match result {
        Ok(answer) => CallResult::Answer(Box::new(answer)),
        Err(error) if was_refused(&error) => CallResult::Refused,
        Err(error) => CallResult::Broken(error.to_string()),
    }
}

/// Returns true if a call failed before anything was sent.
fn was_refused(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(timeout) => matches!(timeout, ureq::Timeout::Connect),
        _ => false,
    }
}
