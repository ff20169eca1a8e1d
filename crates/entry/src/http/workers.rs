//! Threads that handle one request each, started as needed and ended when idle.
//!
//! `tiny_http` already runs one thread a connection, each of which waits while its request is
//! handled; so the number of threads here stays below the number of connections.

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::thread;
use std::time::Duration;

type Work = Box<dyn FnOnce() + Send>;

/// How long a thread waits for more work before it ends.
const IDLE: Duration = Duration::from_secs(10);

/// Hands work to idle threads, or starts one.
pub(crate) struct Workers {
    name: &'static str,
    sender: Sender<Work>,
    receiver: Receiver<Work>,
}

impl Workers {
    /// Opens a set with no threads yet.
    pub(crate) fn open(name: &'static str) -> Self {
        let (sender, receiver) = bounded(0);
        Self {
            name,
            sender,
            receiver,
        }
    }

    /// Runs `work` on a thread of the set, or on this one where no thread can be had.
    pub(crate) fn run(&self, work: Work) {
        let work = match self.sender.try_send(work) {
            Ok(()) => return,
            Err(TrySendError::Full(work) | TrySendError::Disconnected(work)) => work,
        };
        self.start(work);
    }

    fn start(&self, work: Work) {
        // The first work waits in a channel, so that it isn't lost where no thread can be had.
        let (first, begin) = bounded::<Work>(1);
        let more = self.receiver.clone();
        let body = move || {
            if let Ok(work) = begin.recv() {
                work();
            }
            while let Ok(work) = more.recv_timeout(IDLE) {
                work();
            }
        };
        let spawned = thread::Builder::new().name(self.name.into()).spawn(body);
        if let Err(error) = spawned {
            log::warn!("no thread for a request, it is handled in turn: {error}");
            work();
            return;
        }
        if first.send(work).is_err() {
            log::error!("a worker thread ended before its first request");
        }
    }
}
