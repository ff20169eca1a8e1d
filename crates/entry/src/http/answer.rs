//! Builds answers: status codes, error bodies and the headers that all answers share.

use bluebell_base::prelude::*;
use serde::Serialize;
use std::io::Cursor;
use tiny_http::{Header, Response, StatusCode};

/// A complete answer with its body.
pub(crate) type Whole = Response<Cursor<Vec<u8>>>;

/// The media type of JSON.
pub(crate) const JSON: &str = "application/json";

/// A refusal with its status code.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The error, with its verdict.
    pub(crate) error: Error,
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let status = status_of(error.kind);
        Self { status, error }
    }
}

/// Returns the HTTP status code of a kind of error.
pub(crate) fn status_of(kind: ErrorKind) -> u16 {
    match kind {
        ErrorKind::Invalid => 400,
        ErrorKind::Unauthenticated => 401,
        ErrorKind::Forbidden => 403,
        ErrorKind::NotFound => 404,
        ErrorKind::Conflict => 409,
        ErrorKind::TooLarge => 413,
        ErrorKind::Overloaded => 429,
        ErrorKind::Cancelled => 499,
        ErrorKind::Internal => 500,
        ErrorKind::Upstream => 502,
        ErrorKind::Unavailable => 503,
        ErrorKind::DeadlineExceeded => 504,
    }
}

/// The JSON body of an error.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    kind: ErrorKind,
    message: &'a str,
    verdict: Verdict,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<SpanMs>,
}

impl<'a> ErrorBody<'a> {
    /// Returns the body for an error of a request.
    pub(crate) fn new(error: &'a Error, request: &'a str) -> Self {
        Self {
            error: ErrorFields {
                kind: error.kind,
                message: &error.message,
                verdict: error.verdict,
                request,
                retry_after_ms: error.retry_after_ms,
            },
        }
    }
}

/// Returns a header. Returns `None` for a value with characters that no header may contain.
pub(crate) fn header(name: &'static str, value: &str) -> Option<Header> {
    // A line break in a value would allow it to add further headers.
    let plain = value.bytes().all(|b| (b' '..=b'~').contains(&b));
    if !plain {
        return None;
    }
    Header::from_bytes(name, value).ok()
}

/// Adds a header to an answer.
pub(crate) fn with_header<R: std::io::Read>(
    response: Response<R>,
    name: &'static str,
    value: &str,
) -> Response<R> {
    match header(name, value) {
        Some(header) => response.with_header(header),
        None => response,
    }
}

/// Returns a value as JSON text.
pub(crate) fn json_text<T: Serialize>(value: &T) -> String {
    // Serialization can fail only for maps whose keys aren't strings and for hand-written impls
    // that fail; no such type is used here. If it does fail, the caller receives an empty object
    // and the reason is logged.
    serde_json::to_string(value).unwrap_or_else(|error| {
        log::error!("an answer can't be written as JSON: {error}");
        "{}".into()
    })
}

/// Returns an answer with a body of the given media type. `request` is sent as the request id.
pub(crate) fn whole(status: u16, media_type: Option<&str>, body: Vec<u8>, request: &str) -> Whole {
    let response = Response::from_data(body).with_status_code(StatusCode(status));
    let response = with_header(response, "X-Request-Id", request);
    match media_type {
        Some(media_type) => with_header(response, "Content-Type", media_type),
        None => response,
    }
}

/// Returns an answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: u16, value: &T, request: &str) -> Whole {
    whole(status, Some(JSON), json_text(value).into_bytes(), request)
}

/// Returns the answer to a refused or failed request.
pub(crate) fn refusal(refusal: &Refusal, request: &str) -> Whole {
    let body = ErrorBody::new(&refusal.error, request);
    let response = json(refusal.status, &body, request);
    match refusal.error.retry_after_ms {
        Some(span_ms) => {
            let secs = span_ms.0.div_ceil(1000).to_string();
            with_header(response, "Retry-After", &secs)
        }
        None => response,
    }
}
