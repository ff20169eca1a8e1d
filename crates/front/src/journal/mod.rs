//! The log of decisions: one line of JSON for each decision that concerns a request or changes the
//! node's state.
//!
//! Invariants: recording an event never blocks and never fails. What doesn't fit the buffer is dropped
//! in whole lines and counted, and the count is logged as soon as there is room.

mod event;
mod writer;

pub use event::{ConnectionKind, Event, PromiseKind};
pub use writer::{Journal, JournalWriter};
