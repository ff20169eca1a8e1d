//! The HTTP clients of the upstreams, built on `ureq`: [`HttpEngine`] and [`HttpService`].
//!
//! Terms: a *short call* is one exchange with a small answer; a *stream* is an exchange whose
//! answer is a sequence of server-sent events, and each `data:` line contains one JSON event.
//!
//! Invariants: an error is `NotRun` only if no connection could be made or the upstream itself
//! reported that in its error body; once a byte may have been sent, it is `MayHaveRun`. No exchange
//! lasts longer than its own time limit, and none is silent for longer than [`exchange::MAX_SILENCE`],
//! so that no I/O thread is held forever.
//!
//! A stream holds an I/O thread for its whole duration. The node opens one [`Bridge`] with as many
//! threads as it allows simultaneous streams, and a second one with few threads for short calls, so
//! that a cancel never waits behind the streams that it is to end.
//!
//! [`Bridge`]: bluebell_bridge::Bridge

mod engine;
mod exchange;
mod service;
mod stream;
pub mod wire;

pub use engine::HttpEngine;
pub use exchange::{CALL_TIMEOUT, CONNECT_TIMEOUT, MAX_SILENCE};
pub use service::{HttpService, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER};
