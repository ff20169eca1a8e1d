//! The queue between a request's actor and the thread that writes to its caller.
//!
//! Invariants: the actor never waits; the queue holds at most one answer, whose size the
//! configuration's `limits.answer_tokens` bounds; once the thread has dropped its end nothing more
//! is queued, and what was queued is freed.

use bluebell_requests::call::{CallerEvent, CallerSink};
use crossbeam_channel::{Receiver, Sender, unbounded};

/// The actor's end.
pub(crate) struct QueueSink {
    sender: Sender<CallerEvent>,
}

/// Opens a queue; the receiver is disconnected where the actor drops the request.
pub(crate) fn open() -> (QueueSink, Receiver<CallerEvent>) {
    let (sender, receiver) = unbounded();
    (QueueSink { sender }, receiver)
}

impl CallerSink for QueueSink {
    fn send(&self, event: CallerEvent) -> bool {
        self.sender.send(event).is_ok()
    }
}
