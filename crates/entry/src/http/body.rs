//! Reading request bodies within limits.
//!
//! Invariants: a body over the limit is refused by its declared length before any of it is read,
//! and one without a declared length as soon as the limit is passed; every byte held is paid for
//! from the budget of all connections first.

use crate::http::limits::{Budget, Permit};
use bluebell_base::prelude::*;
use std::io::Read;
use tiny_http::Request;

/// The bytes read at a time where the length isn't declared.
const PIECE_BYTES: usize = 64 * 1024;

/// A body and its part of the budget.
#[derive(Debug)]
pub(crate) struct Body {
    /// The bytes.
    pub(crate) bytes: Vec<u8>,
    /// Kept as long as the bytes, or what was decoded from them, are in memory.
    pub(crate) permit: Permit,
}

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits<'a> {
    /// The largest body.
    pub(crate) body_bytes: Bytes,
    /// The budget of all bodies.
    pub(crate) budget: &'a Budget,
    /// What a caller refused for lack of budget is told.
    pub(crate) retry_after_ms: SpanMs,
}

/// Reads a request's body.
///
/// # Errors
/// `TooLarge`, `Unavailable` where the budget is used up, `Invalid` where it ends early.
pub(crate) fn read(request: &mut Request, limits: BodyLimits<'_>) -> Result<Body, Error> {
    let declared = request.body_length();
    if declared.is_some_and(|length| length as u64 > limits.body_bytes.0) {
        return Err(too_large(limits.body_bytes));
    }
    let reserved = declared.unwrap_or(0);
    let permit = limits.budget.take(reserved as u64);
    let permit = permit.ok_or_else(|| used_up(limits.retry_after_ms))?;
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
    read.map_err(broken)?;
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
    let mut piece = vec![0; PIECE_BYTES];
    let reader = request.as_reader();
    loop {
        let count = reader.read(&mut piece).map_err(broken)?;
        if count == 0 {
            return Ok(body);
        }
        if (body.bytes.len() + count) as u64 > limits.body_bytes.0 {
            return Err(too_large(limits.body_bytes));
        }
        if !body.permit.grow(count as u64) {
            return Err(used_up(limits.retry_after_ms));
        }
        body.bytes.extend_from_slice(&piece[..count]);
    }
}

fn too_large(limit: Bytes) -> Error {
    let message = format!("the body is over the limit of {limit}");
    Error::not_run(ErrorKind::TooLarge, message)
}

fn used_up(retry_after_ms: SpanMs) -> Error {
    let message = "the memory for request bodies is used up";
    Error::not_run(ErrorKind::Unavailable, message).retry_after(retry_after_ms)
}

fn broken(error: std::io::Error) -> Error {
    Error::not_run(
        ErrorKind::Invalid,
        format!("the body can't be read: {error}"),
    )
}
