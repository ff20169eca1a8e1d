//! Threads that handle one request at a time. They start as needed and end when idle.
//!
//! `tiny_http` already runs one thread per connection, which waits while its request is handled.
//! The number of threads here thus stays below the number of connections.

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::thread;
use std::time::Duration;

type Work = Box<dyn FnOnce() + Send>;

/// The time that a thread waits for more work before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A set of worker threads. It passes work to an idle thread or starts a new one.
pub(crate) struct Workers {
    name: &'static str,
    sender: Sender<Work>,
    receiver: Receiver<Work>,
}

impl Workers {
    /// Opens a set without threads.
    pub(crate) fn open(name: &'static str) -> Self {
        let (sender, receiver) = bounded(0);
        Self {
            name,
            sender,
            receiver,
        }
    }

    /// Runs `work` on a thread of the set, or on the calling thread if no thread can be started.
    pub(crate) fn run(&self, work: Work) {
        let work = match self.sender.try_send(work) {
            Ok(()) => return,
            Err(TrySendError::Full(work) | TrySendError::Disconnected(work)) => work,
        };
        self.start(work);
    }

    fn start(&self, work: Work) {
        // The first work is sent through a channel, so that it isn't lost if no thread can be
        // started.
        let (first, begin) = bounded::<Work>(1);
        let more = self.receiver.clone();
        let body = move || {
            if let Ok(work) = begin.recv() {
                work();
            }
            while let Ok(work) = more.recv_timeout(IDLE_TIMEOUT) {
                work();
            }
        };
        let spawned = thread::Builder::new().name(self.name.into()).spawn(body);
        if let Err(error) = spawned {
            log::warn!(
                "no thread can be started; the request is handled on the receiving thread: {error}"
            );
            work();
            return;
        }
        if first.send(work).is_err() {
            log::error!("a worker thread ended before its first request");
        }
    }
}
