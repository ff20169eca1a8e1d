//! The bridge between blocking I/O threads and the one thread that owns the node's actors.
//!
//! Terms: a *job* is a blocking closure run on an I/O thread; its *answer* comes back as a typed
//! message to a `Ret`, its *events* to a `Fwd`. The *inbox* is the bounded queue all of them pass.
//!
//! Invariants: actors never block; a full inbox blocks I/O threads only (backpressure); a `Ret`
//! is called exactly once, with `None` by `stakker` where the node goes away first.

mod inbox;
mod jobs;

pub use inbox::{Inbox, InboxSender, Message};
pub use jobs::{Bridge, Completer, EventSender};
