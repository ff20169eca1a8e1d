//! The HTTP client of a run, and what a call through it came to.

use crate::plan::LoadPlan;
use std::io;
use std::time::Duration;
use ureq::Body;
use ureq::http::Response;

/// How long a connection to a node may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP client of a run.
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

/// What one call came to.
pub enum Called {
    /// An answer whose body follows.
    Answer(Box<Response<Body>>),
    /// The node refused the connection: nothing was sent.
    Refused,
    /// The connection broke before an answer.
    Broken(String),
}

/// Sorts what a call came to.
pub fn called(result: Result<Response<Body>, ureq::Error>) -> Called {
    match result {
        Ok(answer) => Called::Answer(Box::new(answer)),
        Err(error) if was_refused(&error) => Called::Refused,
        Err(error) => Called::Broken(error.to_string()),
    }
}

/// Whether a call failed before anything was sent.
fn was_refused(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(timeout) => matches!(timeout, ureq::Timeout::Connect),
        _ => false,
    }
}
