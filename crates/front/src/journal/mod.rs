//! The log of decisions: one line of JSON for each decision that touches a request or changes what
//! the node believes.
//!
//! Invariants: telling never blocks and never fails; what doesn't fit the buffer is dropped whole
//! lines at a time, counted, and the count is told as soon as there is room.

mod event;
mod writer;

pub use event::Event;
pub use writer::{Journal, JournalWriter};
