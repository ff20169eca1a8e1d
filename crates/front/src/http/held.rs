//! The memory that a node holds for the readers of answers, with the waiting for room.

use super::bounds::{HeldBounds, HeldBytes, HoldingId, Room, SlowReader};
use crate::node::Clock;
use bluebell_base::prelude::*;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// The error of a holding that was closed because its reader was the slowest.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer is held for too slow a reader")]
pub struct Closed;

/// The memory that a node holds for the readers of answers.
#[derive(Debug)]
pub struct HeldMemory {
    clock: Clock,
    held: RefCell<HeldBytes>,
    /// Notified when the total has become smaller.
    freed: Notify,
    /// Notified when holdings are closed.
    closing: Notify,
}

impl HeldMemory {
    /// Returns the account of a node with this memory.
    pub fn open(clock: Clock, memory: Bytes) -> Rc<Self> {
        Rc::new(Self {
            clock,
            held: RefCell::new(HeldBytes::new(HeldBounds::of_memory(memory))),
            freed: Notify::new(),
            closing: Notify::new(),
        })
    }

    /// Returns the bytes of all holdings.
    pub fn total(&self) -> Bytes {
        self.held.borrow().total()
    }

    /// Returns true while the total is at its bound, so that answers wait for memory.
    pub fn is_full(&self) -> bool {
        self.held.borrow().is_full()
    }

    /// Opens the holding of a stream.
    pub fn open_stream(self: &Rc<Self>) -> Rc<Holding> {
        let id = self.held.borrow_mut().open_stream(self.clock.now_ms());
        Holding::new(self, id)
    }

    /// Opens the holding of a whole answer.
    pub fn open_whole(self: &Rc<Self>) -> Rc<Holding> {
        let id = self.held.borrow_mut().open_whole(self.clock.now_ms());
        Holding::new(self, id)
    }

    /// Closes the slowest readers if the total has stayed at its bound, and returns them. To be called at regular
    /// intervals: it also wakes what waits for room that a larger piece couldn't use.
    pub fn close_slowest(&self) -> Vec<SlowReader> {
        let closed = self.held.borrow_mut().close_slowest(self.clock.now_ms());
        if !closed.is_empty() {
            self.closing.notify_waiters();
        }
        self.freed.notify_waiters();
        closed
    }
}

/// The bytes of one answer that are held for its reader. Dropping it frees them.
#[derive(Debug)]
pub struct Holding {
    memory: Rc<HeldMemory>,
    id: HoldingId,
    /// Notified when the reader took some.
    taken: Notify,
}

impl Holding {
    fn new(memory: &Rc<HeldMemory>, id: HoldingId) -> Rc<Self> {
        Rc::new(Self {
            memory: memory.clone(),
            id,
            taken: Notify::new(),
        })
    }

    /// Adds bytes, and waits until they fit.
    ///
    /// # Errors
    /// [`Closed`] if the holding is closed first.
    pub async fn add(&self, bytes: usize) -> Result<(), Closed> {
        let memory = &self.memory;
        let mut has_waited = false;
        loop {
            let closing = memory.closing.notified();
            let now_ms = memory.clock.now_ms();
            let room = memory.held.borrow_mut().add(self.id, bytes, now_ms);
            let freed = async {
                match room {
                    Room::AwaitReader => self.taken.notified().await,
                    _ => memory.freed.notified().await,
                }
            };
            match room {
                Room::Added if has_waited => {
                    // What is left may fit the next that waits.
                    memory.freed.notify_one();
                    return Ok(());
                }
                Room::Added => return Ok(()),
                Room::Closed => return Err(Closed),
                Room::AwaitReader | Room::AwaitTotal => {}
            }
            has_waited = room == Room::AwaitTotal;
            tokio::select! {
                () = freed => {}
                () = closing => {}
            }
        }
    }

    /// Keeps the holding from being closed. What it holds is in use, whoever reads.
    pub fn pin(&self) {
        self.memory.held.borrow_mut().pin(self.id);
    }

    /// Records that the reader took bytes.
    pub fn take(&self, bytes: usize) {
        let now_ms = self.memory.clock.now_ms();
        let mut held = self.memory.held.borrow_mut();
        held.take(self.id, bytes, now_ms);
        self.taken.notify_one();
        self.memory.freed.notify_one();
    }

    /// Records that the reader takes a part, or begins to, whose memory isn't freed yet.
    pub fn on_progress(&self) {
        let now_ms = self.memory.clock.now_ms();
        self.memory.held.borrow_mut().on_progress(self.id, now_ms);
    }

    fn is_closed(&self) -> bool {
        self.memory.held.borrow().is_closed(self.id)
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let now_ms = self.memory.clock.now_ms();
        self.memory.held.borrow_mut().close(self.id, now_ms);
        self.memory.freed.notify_one();
    }
}

/// The reader of the answers on one connection.
#[derive(Debug)]
pub struct Reader {
    memory: Rc<HeldMemory>,
    /// The holding of the current answer. Dead if there is none.
    current: RefCell<Weak<Holding>>,
}

impl Reader {
    /// Returns the reader of a new connection.
    pub fn open(memory: Rc<HeldMemory>) -> Rc<Self> {
        Rc::new(Self {
            memory,
            current: RefCell::default(),
        })
    }

    /// Records that an answer begins, whose bytes are held by `holding`.
    pub fn begin(&self, holding: Option<&Rc<Holding>>) {
        if let Some(holding) = holding {
            holding.on_progress();
        }
        let holding = holding.map(Rc::downgrade);
        self.current.replace(holding.unwrap_or_default());
    }

    /// Waits until the connection must be closed because its reader is the slowest.
    pub async fn closed(&self) {
        loop {
            let closing = self.memory.closing.notified();
            let holding = self.current.borrow().upgrade();
            if holding.is_some_and(|holding| holding.is_closed()) {
                return;
            }
            closing.await;
        }
    }
}
