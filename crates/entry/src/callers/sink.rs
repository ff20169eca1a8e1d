//! The queue between a request's actor and the thread that writes to its caller.
//!
//! Invariants: the actor never waits; the queue holds at most one answer, whose size
//! `limits.answer_tokens` of the configuration bounds; once the thread has dropped its end, no more
//! events are queued and the queued ones are freed.

use bluebell_requests::call::{CallerEvent, CallerSink};
use crossbeam_channel::{Receiver, Sender, unbounded};

/// The actor's end of the queue.
pub(crate) struct QueueSink {
    sender: Sender<CallerEvent>,
}

/// Opens a queue. The receiver is disconnected when the actor drops the request.
pub(crate) fn open() -> (QueueSink, Receiver<CallerEvent>) {
    let (sender, receiver) = unbounded();
    (QueueSink { sender }, receiver)
}

impl CallerSink for QueueSink {
    fn send(&self, event: CallerEvent) -> bool {
        self.sender.send(event).is_ok()
    }
}
