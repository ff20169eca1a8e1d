//! What a failed call says of its effect: the verdict for each way a call can fail.

use bluebell_base::prelude::*;
use std::io;
use ureq::Timeout;

/// When to come back where the platform doesn't say.
pub const RETRY_AFTER_MS: SpanMs = SpanMs(1_000);

/// Whether a call changes anything on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It only reads; nothing can have run, however it fails.
    Reads,
    /// It appends; once it may have been sent, it may have taken effect.
    Appends,
}

/// The error of a call that got no answer, or only part of one.
pub(super) fn of_transport(effect: Effect, error: &ureq::Error) -> Error {
    let message = format!("platform: {error}");
    if never_sent(error) {
        return Error::not_run(ErrorKind::Unavailable, message).retry_after(RETRY_AFTER_MS);
    }
    match error {
        ureq::Error::Timeout(_) => unsure(effect, ErrorKind::DeadlineExceeded, message),
        ureq::Error::BadUri(_) | ureq::Error::Http(_) => {
            Error::not_run(ErrorKind::Invalid, message)
        }
        _ => unsure(effect, ErrorKind::Unavailable, message),
    }
}

/// The error of a call that was answered with a status other than 200.
pub(super) fn of_status(
    effect: Effect,
    status: u16,
    retry_after_ms: Option<SpanMs>,
    body: &[u8],
) -> Error {
    // The platform's own verdict counts where it gives one; a body that is cut or comes from
    // something in between does not parse, and then only the status speaks.
    let told: Option<Error> = serde_json::from_slice(body).ok();
    let mut error = told.unwrap_or_else(|| of_bare_status(effect, status));
    error.retry_after_ms = error.retry_after_ms.or(retry_after_ms);
    if effect == Effect::Reads {
        error.verdict = Verdict::NotRun;
    }
    if status == 429 && error.retry_after_ms.is_none() {
        error.retry_after_ms = Some(RETRY_AFTER_MS);
    }
    error
}

/// The error of an answer with status 200 that does not parse.
pub(super) fn of_body(effect: Effect, error: &serde_json::Error) -> Error {
    let message = format!("the platform's answer does not parse: {error}");
    unsure(effect, ErrorKind::Upstream, message)
}

fn of_bare_status(effect: Effect, status: u16) -> Error {
    let message = format!("the platform answered with status {status}");
    match status {
        429 => Error::not_run(ErrorKind::Overloaded, message),
        400 => Error::not_run(ErrorKind::Invalid, message),
        401 => Error::not_run(ErrorKind::Unauthenticated, message),
        403 => Error::not_run(ErrorKind::Forbidden, message),
        404 => Error::not_run(ErrorKind::NotFound, message),
        413 => Error::not_run(ErrorKind::TooLarge, message),
        // A 5xx may come from a balancer whose backend has taken the append before it broke.
        _ => unsure(effect, ErrorKind::Unavailable, message),
    }
}

fn unsure(effect: Effect, kind: ErrorKind, message: String) -> Error {
    match effect {
        Effect::Reads => Error::not_run(kind, message),
        Effect::Appends => Error::may_have_run(kind, message),
    }
}

/// Whether it is certain that no byte of the call left this VM.
///
/// Only failures of opening a connection count. A refusal shows as `ConnectionRefused`, which the
/// kernel reports for an open connection only after retransmitting for minutes, far beyond the
/// call's timeout. Other errors, such as an unreachable host, can also strike a connection that
/// has carried the call, so they leave it open.
fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(at) => matches!(at, Timeout::Connect | Timeout::Resolve),
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}
