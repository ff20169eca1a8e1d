//! Determines the error of a failed call: the verdict for each way in which a call can fail.

use bluebell_base::prelude::*;
use std::io;
use ureq::Timeout;

/// The default `Retry-After` time if the platform doesn't state one.
pub const RETRY_AFTER_MS: SpanMs = SpanMs(1_000);

/// The effect of a call on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call only reads, so nothing can have run however it fails.
    Reads,
    /// The call appends. Once it may have been sent, it may have taken effect.
    Appends,
}

/// Returns the error of a call that received no answer or only a part of one.
pub(super) fn transport_error(effect: Effect, error: &ureq::Error) -> Error {
    let message = format!("platform: {error}");
    if never_sent(error) {
        return Error::not_run(ErrorKind::Unavailable, message).retry_after(RETRY_AFTER_MS);
    }
    match error {
        ureq::Error::Timeout(_) => failure_after_send(effect, ErrorKind::DeadlineExceeded, message),
        ureq::Error::BadUri(_) | ureq::Error::Http(_) => {
            Error::not_run(ErrorKind::Invalid, message)
        }
        _ => failure_after_send(effect, ErrorKind::Unavailable, message),
    }
}

/// Returns the error of a call that was answered with a status other than 200.
pub(super) fn status_error(
    effect: Effect,
    status: u16,
    retry_after_ms: Option<SpanMs>,
    body: &[u8],
) -> Error {
    // The platform's own error is used if the body contains one. A body that is truncated or comes
    // from a proxy doesn't parse, and then only the status is used.
    let platform_error: Option<Error> = serde_json::from_slice(body).ok();
    let mut error = platform_error.unwrap_or_else(|| bare_status_error(effect, status));
    error.retry_after_ms = error.retry_after_ms.or(retry_after_ms);
    if effect == Effect::Reads {
        error.verdict = Verdict::NotRun;
    }
    if status == 429 && error.retry_after_ms.is_none() {
        error.retry_after_ms = Some(RETRY_AFTER_MS);
    }
    error
}

/// Returns the error of an answer with status 200 that doesn't parse.
pub(super) fn body_error(effect: Effect, error: &serde_json::Error) -> Error {
    let message = format!("the platform's answer does not parse: {error}");
    failure_after_send(effect, ErrorKind::Upstream, message)
}

fn bare_status_error(effect: Effect, status: u16) -> Error {
    let message = format!("the platform answered with status {status}");
    match status {
        429 => Error::not_run(ErrorKind::Overloaded, message),
        400 => Error::not_run(ErrorKind::Invalid, message),
        401 => Error::not_run(ErrorKind::Unauthenticated, message),
        403 => Error::not_run(ErrorKind::Forbidden, message),
        404 => Error::not_run(ErrorKind::NotFound, message),
        413 => Error::not_run(ErrorKind::TooLarge, message),
        // A 5xx may come from a load balancer whose backend accepted the append before it failed.
        _ => failure_after_send(effect, ErrorKind::Unavailable, message),
    }
}

fn failure_after_send(effect: Effect, kind: ErrorKind, message: String) -> Error {
    match effect {
        Effect::Reads => Error::not_run(kind, message),
        Effect::Appends => Error::may_have_run(kind, message),
    }
}

/// Returns true if it is certain that no byte of the call left this VM.
///
/// This only holds for failures to open a connection. A refusal is reported as `ConnectionRefused`,
/// which the kernel reports for an open connection only after minutes of retransmissions, far
/// beyond the call's timeout. Other errors, such as an unreachable host, can also occur on a
/// connection that has carried the call, so they prove nothing.
fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(at) => matches!(at, Timeout::Connect | Timeout::Resolve),
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}
