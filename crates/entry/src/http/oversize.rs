//! Refuses requests that declare a body far over every limit.
//!
//! Guards against a single head that ends the process: when a request is dropped, `tiny_http` reads
//! the rest of its body to find the next request, and first allocates the whole undelivered length
//! at once. With a declared length of some terabytes the allocation fails, which aborts the
//! process. Such a request is answered and then never dropped, so the allocation never happens. Its
//! connection and its thread in the library remain until the process ends. The number of such
//! connections is logged, and docs/OPERATIONS.md describes how the load balancer filters such
//! heads.

use crate::http::answer::{self, Refusal};
use bluebell_base::prelude::*;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use tiny_http::{Request, Response, StatusCode};

/// The largest declared body whose rest the library may read and discard, in bytes.
const DRAINABLE_BYTES: usize = 64 * 1024 * 1024;

static KEPT_CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Answers the request and keeps it from being dropped if its declared body is far too large.
/// Returns all other requests.
pub(crate) fn refuse(request: Request, caller: &str) -> Option<Request> {
    let declared = request.body_length().unwrap_or(0);
    if declared <= DRAINABLE_BYTES {
        return Some(request);
    }
    let count = KEPT_CONNECTIONS.fetch_add(1, Ordering::Relaxed) + 1;
    log::warn!(
        "{caller}: a body of {declared} bytes was declared; connections kept open until exit: {count}"
    );
    answer_and_leak(request, caller);
    None
}

fn answer_and_leak(request: Request, caller: &str) {
    let message = format!("the body is over the limit of {DRAINABLE_BYTES} bytes");
    let error = Error::not_run(ErrorKind::TooLarge, message);
    let response = answer::refusal(&Refusal::from(error), caller);
    let version = request.http_version().clone();
    // Only `upgrade` returns the writer without dropping the reader. It first sends an interim
    // response, which clients skip; the refusal follows.
    let mut stream = request.upgrade("none", Response::new_empty(StatusCode(100)));
    let sent = response
        .raw_print(&mut stream, version, &[], false, None)
        .and_then(|()| stream.flush());
    if let Err(error) = sent {
        log::debug!("{caller}: the refusal could not be sent: {error}");
    }
    std::mem::forget(stream);
}
