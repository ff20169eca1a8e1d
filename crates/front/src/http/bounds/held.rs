//! The bytes of answers that the node holds for their readers.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// The part of the node's memory that holdings may have together. A node needs some 50 MB for itself, and buffers of
/// connections that aren't counted as much again with 500 callers.
const MEMORY_SHARE: u64 = 8;

/// The bytes that one stream may hold. Events of a second are below 50 KB.
const MAX_STREAM_BYTES: u64 = 256 * 1024;

/// The bytes that one answer may hold although the total is at its bound: one read of a connection. A reader that
/// takes what it gets holds less.
const FLOOR_BYTES: u64 = 16 * 1024;

/// The time for which the total stays at its bound before the slowest readers are closed. Bursts that a sound reader
/// takes in pass sooner.
const MAX_FULL_MS: SpanMs = SpanMs(500);

/// The time without progress from which a reader counts as slow.
const MIN_STALL_MS: SpanMs = SpanMs(300);

/// The bounds on holdings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldBounds {
    /// The bound on all holdings together.
    pub total: Bytes,
}

impl HeldBounds {
    /// Returns the bounds for a node with this memory.
    pub fn of_memory(memory: Bytes) -> Self {
        Self {
            total: Bytes(memory.0 / MEMORY_SHARE),
        }
    }

    /// Returns the total from which on readers are closed, somewhat below the bound: what is refused may be as large as
    /// a piece of an answer.
    fn full_from(&self) -> u64 {
        self.total.0 - self.total.0 / 8
    }
}

/// Identifies one holding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HoldingId(u64);

/// Whether bytes may be added to a holding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// They were added.
    Added,
    /// They don't fit until the reader takes some.
    AwaitReader,
    /// They don't fit until the total is smaller.
    AwaitTotal,
    /// The holding was closed for its reader's slowness.
    Closed,
}

/// A reader that is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowReader {
    /// Its holding.
    pub id: HoldingId,
    /// The bytes that it held.
    pub held: Bytes,
    /// The time since it last took any.
    pub stalled_ms: SpanMs,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    bytes: u64,
    max_bytes: u64,
    /// The time at which the reader last took bytes, or got some after it had none. Before there is a reader, the time
    /// at which bytes were last added.
    progress_ms: MonoMs,
    /// True once the answer is being sent. A whole answer is read from its replica before.
    has_reader: bool,
    is_pinned: bool,
    is_closed: bool,
}

/// The holdings of a node.
#[derive(Debug)]
pub struct HeldBytes {
    bounds: HeldBounds,
    total: u64,
    holdings: FxHashMap<HoldingId, Holding>,
    next_id: u64,
    /// The time since which the total has been at its bound.
    full_since_ms: Option<MonoMs>,
}

impl HeldBytes {
    /// Returns an account without holdings.
    pub fn new(bounds: HeldBounds) -> Self {
        Self {
            bounds,
            total: 0,
            holdings: FxHashMap::default(),
            next_id: 0,
            full_since_ms: None,
        }
    }

    /// Returns the bytes of all holdings.
    pub fn total(&self) -> Bytes {
        Bytes(self.total)
    }

    /// Adds an empty holding of a stream, which is bounded on its own.
    pub fn open_stream(&mut self, now_ms: MonoMs) -> HoldingId {
        self.open(MAX_STREAM_BYTES, true, now_ms)
    }

    /// Adds an empty holding of a whole answer, whose size is bounded elsewhere: all of it must fit.
    pub fn open_whole(&mut self, now_ms: MonoMs) -> HoldingId {
        self.open(u64::MAX, false, now_ms)
    }

    fn open(&mut self, max_bytes: u64, has_reader: bool, now_ms: MonoMs) -> HoldingId {
        let id = HoldingId(self.next_id);
        self.next_id += 1;
        let holding = Holding {
            bytes: 0,
            max_bytes,
            progress_ms: now_ms,
            has_reader,
            is_pinned: false,
            is_closed: false,
        };
        self.holdings.insert(id, holding);
        id
    }

    /// Adds bytes to a holding if they fit its own bound and that of the total. An empty holding takes bytes of any
    /// size as far as the total allows, and any holding takes bytes up to the floor.
    pub fn add(&mut self, id: HoldingId, bytes: usize, now_ms: MonoMs) -> Room {
        let bytes = bytes as u64;
        let Some(holding) = self.holdings.get_mut(&id) else {
            return Room::Closed;
        };
        if holding.is_closed {
            return Room::Closed;
        }
        let next = holding.bytes + bytes;
        let fits_own = holding.bytes == 0 || next <= holding.max_bytes;
        let fits_total = next <= FLOOR_BYTES || self.total + bytes <= self.bounds.total.0;
        if !fits_own {
            return Room::AwaitReader;
        }
        if !fits_total {
            return Room::AwaitTotal;
        }
        if holding.bytes == 0 || !holding.has_reader {
            holding.progress_ms = now_ms;
        }
        holding.bytes = next;
        self.total += bytes;
        self.on_total(now_ms);
        Room::Added
    }

    /// Records that the reader took bytes.
    pub fn take(&mut self, id: HoldingId, bytes: usize, now_ms: MonoMs) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            let bytes = holding.bytes.min(bytes as u64);
            holding.bytes -= bytes;
            holding.progress_ms = now_ms;
            self.total -= bytes;
            self.on_total(now_ms);
        }
    }

    /// Returns true while the total is at its bound.
    pub fn is_full(&self) -> bool {
        self.full_since_ms.is_some()
    }

    /// Keeps a holding from being closed.
    pub fn pin(&mut self, id: HoldingId) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.is_pinned = true;
        }
    }

    /// Records that the reader of a whole answer took a part of it, or begins to. Its memory is kept until its end.
    pub fn on_progress(&mut self, id: HoldingId, now_ms: MonoMs) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.progress_ms = now_ms;
            holding.has_reader = true;
        }
    }

    /// Removes a holding.
    pub fn close(&mut self, id: HoldingId, now_ms: MonoMs) {
        if let Some(holding) = self.holdings.remove(&id) {
            self.total -= holding.bytes;
            self.on_total(now_ms);
        }
    }

    /// Returns true if a holding's reader must be closed.
    pub fn is_closed(&self, id: HoldingId) -> bool {
        let holding = self.holdings.get(&id);
        holding.is_some_and(|holding| holding.is_closed)
    }

    /// Marks the slowest readers as closed if the total has stayed at its bound: those that have taken nothing for the
    /// longest time, and of these the ones that hold most, until the rest is below the bound. If nothing is held for
    /// readers, answers that wait for memory hold all of it, and some of them are closed so that the rest goes on.
    pub fn close_slowest(&mut self, now_ms: MonoMs) -> Vec<SlowReader> {
        let is_due = |since_ms| now_ms.since(since_ms) >= MAX_FULL_MS;
        if !self.full_since_ms.is_some_and(is_due) {
            return Vec::new();
        }
        let mut stalled = self.stalled(now_ms);
        stalled.sort_by_key(|reader| (reader.stalled_ms, reader.held, reader.id));
        let closing = self.holdings.values().filter(|h| h.is_closed);
        let mut rest = self.total - closing.map(|holding| holding.bytes).sum::<u64>();
        let mut closed = Vec::new();
        while rest > self.bounds.full_from()
            && let Some(reader) = stalled.pop()
        {
            rest -= reader.held.0;
            if let Some(holding) = self.holdings.get_mut(&reader.id) {
                holding.is_closed = true;
            }
            closed.push(reader);
        }
        closed
    }

    /// Returns the open holdings that made no progress for a while: those with a reader, or all if none has one.
    fn stalled(&self, now_ms: MonoMs) -> Vec<SlowReader> {
        let holds =
            |holding: &Holding| holding.bytes > 0 && !holding.is_closed && !holding.is_pinned;
        let all = || self.holdings.iter().filter(|(_, holding)| holds(holding));
        let has_readers = all().any(|(_, holding)| holding.has_reader);
        all()
            .filter(|(_, holding)| holding.has_reader == has_readers)
            .map(|(id, holding)| SlowReader {
                id: *id,
                held: Bytes(holding.bytes),
                stalled_ms: now_ms.since(holding.progress_ms),
            })
            .filter(|reader| reader.stalled_ms >= MIN_STALL_MS)
            .collect()
    }

    fn on_total(&mut self, now_ms: MonoMs) {
        if self.total <= self.bounds.full_from() {
            self.full_since_ms = None;
        } else {
            self.full_since_ms.get_or_insert(now_ms);
        }
    }
}
