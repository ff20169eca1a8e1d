//! The buffer between the node and its standard output.

use super::Event;
use crate::metrics::Metrics;
use bluebell_base::prelude::*;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::thread::JoinHandle;
use std::time::Duration;

/// How much is gathered before the writer is woken, since each wake-up is charged.
const GATHER_BYTES: usize = 8 * 1024;

/// How many gathered blocks wait for a standard output that nobody reads; with the block being
/// gathered, the most memory that the log takes.
const BLOCKS: usize = 16;

/// How long the end of the process waits for the last lines.
const CLOSE_WAIT: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    node: &'a VmName,
    #[serde(flatten)]
    event: &'a Event,
}

/// Takes the events in.
#[derive(Debug)]
pub struct Journal {
    node: VmName,
    gathered: RefCell<Vec<u8>>,
    blocks: Sender<Vec<u8>>,
    dropped: Cell<u64>,
    metrics: Metrics,
}

/// Writes them out.
#[derive(Debug)]
pub struct JournalWriter {
    thread: JoinHandle<()>,
    done: Receiver<()>,
    blocks: Sender<Vec<u8>>,
}

impl Journal {
    /// Opens the log; lines go to standard output from a thread of their own.
    pub fn open(node: VmName, metrics: Metrics) -> (Self, JournalWriter) {
        let (blocks, taken) = bounded::<Vec<u8>>(BLOCKS);
        let (end, done) = bounded(1);
        let thread = std::thread::spawn(move || {
            write_out(&taken);
            // The other side may have stopped waiting.
            let _ = end.send(());
        });
        let journal = Self {
            node,
            gathered: RefCell::default(),
            blocks: blocks.clone(),
            dropped: Cell::new(0),
            metrics,
        };
        let writer = JournalWriter {
            thread,
            done,
            blocks,
        };
        (journal, writer)
    }

    /// The counters and histograms that the events feed.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Counts an event and writes its line.
    pub fn record(&self, event: &Event) {
        self.metrics.observe(event);
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let line = Line {
            // A clock set before 1970 shows as 0; the order of lines still holds.
            time_ms: since.map_or(0, |s| s.as_millis() as u64),
            node: &self.node,
            event,
        };
        let mut gathered = self.gathered.borrow_mut();
        if serde_json::to_writer(&mut *gathered, &line).is_ok() {
            gathered.push(b'\n');
        }
        let full = gathered.len() >= GATHER_BYTES;
        drop(gathered);
        if full {
            self.flush();
        }
    }

    /// Hands what was gathered to the writer.
    pub fn flush(&self) {
        let block = std::mem::take(&mut *self.gathered.borrow_mut());
        if block.is_empty() {
            return;
        }
        match self.blocks.try_send(block) {
            Ok(()) => {}
            Err(TrySendError::Full(block) | TrySendError::Disconnected(block)) => {
                let lines = block.iter().filter(|b| **b == b'\n').count() as u64;
                self.dropped.set(self.dropped.get() + lines);
                return;
            }
        }
        let count = self.dropped.replace(0);
        if count > 0 {
            self.record(&Event::LinesDropped { count });
        }
    }
}

impl JournalWriter {
    /// Writes out what was handed over, for as long as the reader takes it in time.
    pub fn close(self) {
        if self.blocks.try_send(Vec::new()).is_err() {
            return;
        }
        if self.done.recv_timeout(CLOSE_WAIT).is_ok() {
            // The thread has ended; a panic in it has printed itself.
            let _ = self.thread.join();
        }
    }
}

fn write_out(blocks: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    // An empty block says that the process ends.
    while let Ok(block) = blocks.recv()
        && !block.is_empty()
    {
        if out.write_all(&block).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
