//! The HTTP clients of the upstreams, on `ureq`: [`HttpEngine`] and [`HttpService`].
//!
//! Terms: a *short call* is one exchange with a small answer; a *stream* is an exchange whose
//! answer is a sequence of server-sent events, each `data:` line one JSON event.
//!
//! Invariants: an error says `NotRun` only where no connection could be made or the upstream
//! itself said so in its error body; once a byte may have been sent it is `MayHaveRun`. No
//! exchange lasts longer than its own time limit, and none stays silent for longer than
//! [`exchange::SILENCE`], so that no I/O thread is held for ever.
//!
//! A stream holds an I/O thread as long as it lasts. The node opens one [`Bridge`] with as many
//! threads as it lets streams run at once, and a second one with few threads for short calls, so
//! that a cancel never waits behind the streams it is meant to end.
//!
//! [`Bridge`]: bluebell_bridge::Bridge

mod engine;
mod exchange;
mod service;
mod stream;
pub mod wire;

pub use engine::HttpEngine;
pub use exchange::{CALL_TIMEOUT, CONNECT_TIMEOUT, SILENCE};
pub use service::{HttpService, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER};
