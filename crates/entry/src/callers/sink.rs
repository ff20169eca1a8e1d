//! The queue between a request's actor and the thread that writes to its caller.
//!
//! Invariants: the actor never waits; the queue holds at most one answer, whose size the
//! configuration's `limits.answer_tokens` bounds; once the caller is gone nothing more is queued.

use bluebell_requests::call::{CallerEvent, CallerSink};
use crossbeam_channel::{Receiver, Sender, unbounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The actor's end.
pub(crate) struct QueueSink {
    sender: Sender<CallerEvent>,
    gone: Arc<AtomicBool>,
}

/// The writing thread's end; dropping it tells the actor that the caller is gone.
pub(crate) struct Events {
    /// The events, in order; disconnected where the actor dropped the request.
    pub(crate) receiver: Receiver<CallerEvent>,
    gone: Arc<AtomicBool>,
}

/// Opens a queue.
pub(crate) fn open() -> (QueueSink, Events) {
    let (sender, receiver) = unbounded();
    let gone = Arc::new(AtomicBool::new(false));
    let sink = QueueSink {
        sender,
        gone: Arc::clone(&gone),
    };
    (sink, Events { receiver, gone })
}

impl CallerSink for QueueSink {
    fn send(&self, event: CallerEvent) -> bool {
        if self.gone.load(Ordering::Acquire) {
            return false;
        }
        self.sender.send(event).is_ok()
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        self.gone.store(true, Ordering::Release);
    }
}
