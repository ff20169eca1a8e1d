//! The bridge between blocking I/O threads and the one thread that owns the node's actors.
//!
//! Terms: a *job* is a blocking closure run on an I/O thread; its *answer* is delivered as a typed
//! message to a `Ret`, its *events* to a `Fwd`. The *inbox* is the bounded queue for all of them.
//!
//! Invariants: actors never block; a full inbox blocks I/O threads only (backpressure); a `Ret`
//! is called exactly once, by `stakker` with `None` if the node ends first.

mod inbox;
mod jobs;

pub use inbox::{Inbox, InboxSender, Message};
pub use jobs::{Bridge, Completer, EventSender};
