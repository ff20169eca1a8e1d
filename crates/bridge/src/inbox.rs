//! The bounded queue from I/O threads to the actor thread, and the loop that drains it.
//!
//! Terms: a *link* is an [`InboxSender`], held by I/O threads; a *message* is a closure that delivers
//! one typed value on the actor thread.
//!
//! Invariants: messages are handled in the order they were queued.

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use stakker::Stakker;
use std::time::{Duration, Instant};

/// A closure that delivers a typed value to an actor.
pub type Message = Box<dyn FnOnce(&mut Stakker) + Send>;

/// The capacity of the inbox. I/O threads block while it is full.
const MAX_QUEUED_MESSAGES: usize = 16 * 1024;

/// The maximum time that the loop sleeps before it checks its stop condition.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// The sending half of an inbox. It is cheap to clone and usable from any thread.
#[derive(Clone, Debug)]
pub struct InboxSender {
    sender: Sender<Message>,
}

impl InboxSender {
    /// Queues a message, and blocks while the inbox is full. Returns false if the inbox was dropped.
    pub fn send(&self, message: impl FnOnce(&mut Stakker) + Send + 'static) -> bool {
        self.sender.send(Box::new(message)).is_ok()
    }
}

/// The receiving half of an inbox, owned by the actor thread.
#[derive(Debug)]
pub struct Inbox {
    receiver: Receiver<Message>,
    link: InboxSender,
}

impl Inbox {
    /// Creates an empty inbox.
    pub fn open() -> Self {
        let (sender, receiver) = bounded(MAX_QUEUED_MESSAGES);
        Self {
            receiver,
            link: InboxSender { sender },
        }
    }

    /// Returns a sending half for I/O threads.
    pub fn link(&self) -> InboxSender {
        self.link.clone()
    }

    /// Returns true if the inbox is full, so that I/O threads block.
    pub fn is_full(&self) -> bool {
        self.receiver.is_full()
    }

    /// Runs the actors and delivers messages until an actor shuts the system down.
    pub fn run(&self, stakker: &mut Stakker) {
        while stakker.not_shutdown() {
            stakker.run(Instant::now(), false);
            let sleep = stakker
                .next_wait(Instant::now())
                .unwrap_or(MAX_SLEEP)
                .min(MAX_SLEEP);
            match self.receiver.recv_timeout(sleep) {
                Ok(message) => self.deliver(stakker, message),
                Err(RecvTimeoutError::Timeout) => (),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Delivers all queued messages and returns their number. Also for tests that control the clock.
    pub fn drain(&self, stakker: &mut Stakker) -> usize {
        let mut count = 0;
        while let Ok(message) = self.receiver.try_recv() {
            message(stakker);
            count += 1;
        }
        count
    }

    fn deliver(&self, stakker: &mut Stakker, first: Message) {
        // The clock advances before the messages run, so that none of them reads an outdated `now`.
        stakker.run(Instant::now(), false);
        first(stakker);
        self.drain(stakker);
    }
}
