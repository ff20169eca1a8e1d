//! Requests that declare a body far over every limit.
//!
//! Guards against the end of the process by one head: when a request is dropped, `tiny_http`
//! reads the rest of its body in order to find the next request, and first allocates the whole
//! undelivered length at once. A head that declares some terabytes makes that allocation fail,
//! which aborts the process. Such a request is answered and then never dropped, so the allocation
//! never happens. Its connection and its thread in the library stay behind until the process
//! ends; the count is logged, and docs/OPERATIONS.md says how the balancer keeps such heads away.

use crate::http::answer::{self, Refusal};
use bluebell_base::prelude::*;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use tiny_http::{Request, Response, StatusCode};

/// The largest declared body whose rest may be read over by the library.
const DRAINABLE_BYTES: usize = 64 * 1024 * 1024;

static LEFT_BEHIND: AtomicU64 = AtomicU64::new(0);

/// Answers the request and takes it out of use where its declared body is far too large.
pub(crate) fn refuse(request: Request, caller: &str) -> Option<Request> {
    let declared = request.body_length().unwrap_or(0);
    if declared <= DRAINABLE_BYTES {
        return Some(request);
    }
    let count = LEFT_BEHIND.fetch_add(1, Ordering::Relaxed) + 1;
    log::warn!(
        "{caller}: a body of {declared} bytes was declared; connections left behind: {count}"
    );
    answer_and_leave(request, caller);
    None
}

fn answer_and_leave(request: Request, caller: &str) {
    let message = format!("the body is over the limit of {DRAINABLE_BYTES} bytes");
    let error = Error::not_run(ErrorKind::TooLarge, message);
    let response = answer::refusal(&Refusal::from(error), caller);
    let version = request.http_version().clone();
    // Only `upgrade` hands out the writer without dropping the reader. Its own response is an
    // interim one, which clients read over; the refusal follows it.
    let mut stream = request.upgrade("none", Response::new_empty(StatusCode(100)));
    let sent = response
        .raw_print(&mut stream, version, &[], false, None)
        .and_then(|()| stream.flush());
    if let Err(error) = sent {
        log::debug!("{caller}: the refusal could not be sent: {error}");
    }
    std::mem::forget(stream);
}
