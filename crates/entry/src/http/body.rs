//! Reads request bodies within limits.
//!
//! Invariants: a body whose declared length is over the limit is refused before any of it is read,
//! and one without a declared length as soon as it exceeds the limit; every byte is taken from the
//! budget of all connections before it is held.

use crate::http::limits::{Budget, Permit};
use bluebell_base::prelude::*;
use std::io::Read;
use tiny_http::Request;

/// The number of bytes per read if the length isn't declared.
const READ_BYTES: usize = 64 * 1024;

/// A body and its permit from the budget.
#[derive(Debug)]
pub(crate) struct Body {
    /// The bytes.
    pub(crate) bytes: Vec<u8>,
    /// The permit for the bytes, kept while they, or what was decoded from them, are in memory.
    pub(crate) permit: Permit,
}

/// The limits that apply to one body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits<'a> {
    /// The maximum size of the body.
    pub(crate) body_bytes: Bytes,
    /// The budget of all bodies.
    pub(crate) budget: &'a Budget,
    /// The `Retry-After` time sent to a caller that is refused because the budget is exhausted.
    pub(crate) retry_after_ms: SpanMs,
}

/// Reads a request's body.
///
/// # Errors
/// `TooLarge` if the body is over the limit, `Unavailable` if the budget is exhausted, `Invalid` if
/// the body ends early or can't be read.
pub(crate) fn read(request: &mut Request, limits: BodyLimits<'_>) -> Result<Body, Error> {
    let declared = request.body_length();
    if declared.is_some_and(|length| length as u64 > limits.body_bytes.0) {
        return Err(too_large(limits.body_bytes));
    }
    let reserved = declared.unwrap_or(0);
    let permit = limits.budget.take(reserved as u64);
    let permit = permit.ok_or_else(|| budget_exhausted(limits.retry_after_ms))?;
    let body = Body {
        bytes: Vec::with_capacity(reserved),
        permit,
    };
    match declared {
        Some(length) => read_declared(request, body, length),
        None => read_undeclared(request, body, limits),
    }
}

fn read_declared(request: &mut Request, mut body: Body, length: usize) -> Result<Body, Error> {
    let reader = request.as_reader();
    let read = reader.take(length as u64).read_to_end(&mut body.bytes);
    read.map_err(unreadable_body)?;
    if body.bytes.len() < length {
        let message = "the body ended before its Content-Length";
        return Err(Error::not_run(ErrorKind::Invalid, message));
    }
    Ok(body)
}

fn read_undeclared(
    request: &mut Request,
    mut body: Body,
    limits: BodyLimits<'_>,
) -> Result<Body, Error> {
    let mut piece = vec![0; READ_BYTES];
    let reader = request.as_reader();
    loop {
        let count = reader.read(&mut piece).map_err(unreadable_body)?;
        if count == 0 {
            return Ok(body);
        }
        if (body.bytes.len() + count) as u64 > limits.body_bytes.0 {
            return Err(too_large(limits.body_bytes));
        }
        if !body.permit.grow(count as u64) {
            return Err(budget_exhausted(limits.retry_after_ms));
        }
        body.bytes.extend_from_slice(&piece[..count]);
    }
}

fn too_large(limit: Bytes) -> Error {
    let message = format!("the body is over the limit of {limit}");
    Error::not_run(ErrorKind::TooLarge, message)
}

fn budget_exhausted(retry_after_ms: SpanMs) -> Error {
    let message = "the memory for request bodies is used up";
    Error::not_run(ErrorKind::Unavailable, message).retry_after(retry_after_ms)
}

fn unreadable_body(error: std::io::Error) -> Error {
    Error::not_run(
        ErrorKind::Invalid,
        format!("the body can't be read: {error}"),
    )
}
