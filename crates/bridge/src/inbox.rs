//! The bounded queue from I/O threads to the actor thread, and the loop that drains it.
//!
//! Terms: a *link* is the sending half held by I/O threads; a *message* a closure that unpacks
//! one typed value into the actor thread.
//!
//! Invariants: messages are handled in the order they were queued.

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use stakker::Stakker;
use std::time::{Duration, Instant};

/// A typed value on its way to an actor, packed with the call that delivers it.
pub type Message = Box<dyn FnOnce(&mut Stakker) + Send>;

/// The messages that may wait before I/O threads are held back.
const INBOX_MESSAGES: usize = 16 * 1024;

/// The longest the loop sleeps without looking at its stop condition.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// The sending half; cheap to clone and usable from any thread.
#[derive(Clone, Debug)]
pub struct InboxSender {
    sender: Sender<Message>,
}

impl InboxSender {
    /// Queues a message, waiting while the inbox is full; `false` once the node is gone.
    pub fn send(&self, message: impl FnOnce(&mut Stakker) + Send + 'static) -> bool {
        self.sender.send(Box::new(message)).is_ok()
    }
}

/// The receiving half, owned by the actor thread.
#[derive(Debug)]
pub struct Inbox {
    receiver: Receiver<Message>,
    link: InboxSender,
}

impl Inbox {
    /// Opens an empty inbox.
    pub fn open() -> Self {
        let (sender, receiver) = bounded(INBOX_MESSAGES);
        Self {
            receiver,
            link: InboxSender { sender },
        }
    }

    /// A sending half for I/O threads.
    pub fn link(&self) -> InboxSender {
        self.link.clone()
    }

    /// Whether I/O threads are held back now.
    pub fn is_full(&self) -> bool {
        self.receiver.is_full()
    }

    /// Runs the actors until one of them shuts the system down.
    pub fn run(&self, stakker: &mut Stakker) {
        while stakker.not_shutdown() {
            stakker.run(Instant::now(), false);
            let sleep = stakker
                .next_wait(Instant::now())
                .unwrap_or(LONGEST_SLEEP)
                .min(LONGEST_SLEEP);
            match self.receiver.recv_timeout(sleep) {
                Ok(message) => self.deliver(stakker, message),
                Err(RecvTimeoutError::Timeout) => (),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Delivers all that is queued now; for tests that drive the clock themselves.
    pub fn drain(&self, stakker: &mut Stakker) -> usize {
        let mut count = 0;
        while let Ok(message) = self.receiver.try_recv() {
            message(stakker);
            count += 1;
        }
        count
    }

    fn deliver(&self, stakker: &mut Stakker, first: Message) {
        // The clock moves before the messages run, so that none of them sees a stale `now`.
        stakker.run(Instant::now(), false);
        first(stakker);
        self.drain(stakker);
    }
}
