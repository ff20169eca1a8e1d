//! Buffers log lines and writes them to standard output.

use super::Event;
use crate::metrics::Metrics;
use bluebell_base::prelude::*;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::thread::JoinHandle;
use std::time::Duration;

/// The number of bytes gathered before the writer thread is woken, since each wake-up has a cost.
const BLOCK_BYTES: usize = 8 * 1024;

/// The maximum number of blocks that wait for a standard output that nobody reads. Together with the
/// block being gathered they bound the log's memory.
const MAX_WAITING_BLOCKS: usize = 16;

/// The maximum time for which the end of the process waits for the last lines.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// One line of the log.
#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    node: &'a VmName,
    #[serde(flatten)]
    event: &'a Event,
}

/// Records events and gathers their lines into blocks.
#[derive(Debug)]
pub struct Journal {
    node: VmName,
    gathered: RefCell<Vec<u8>>,
    blocks: Sender<Vec<u8>>,
    dropped: Cell<u64>,
    metrics: Metrics,
}

/// The thread that writes the blocks to standard output.
#[derive(Debug)]
pub struct JournalWriter {
    thread: JoinHandle<()>,
    done: Receiver<()>,
    blocks: Sender<Vec<u8>>,
}

impl Journal {
    /// Opens the log. A separate thread writes its lines to standard output.
    pub fn open(node: VmName, metrics: Metrics) -> (Self, JournalWriter) {
        let (blocks, received) = bounded::<Vec<u8>>(MAX_WAITING_BLOCKS);
        let (end, done) = bounded(1);
        let thread = std::thread::spawn(move || {
            write_out(&received);
            // An error means that `close` no longer waits.
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

    /// Returns the metrics that the events feed.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Updates the metrics with an event and gathers its line.
    pub fn record(&self, event: &Event) {
        self.metrics.observe(event);
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let line = Line {
            // A clock set before 1970 shows as 0. The lines keep their order.
            time_ms: since.map_or(0, |s| s.as_millis() as u64),
            node: &self.node,
            event,
        };
        let mut gathered = self.gathered.borrow_mut();
        if serde_json::to_writer(&mut *gathered, &line).is_ok() {
            gathered.push(b'\n');
        }
        let full = gathered.len() >= BLOCK_BYTES;
        drop(gathered);
        if full {
            self.flush();
        }
    }

    /// Passes the gathered lines to the writer thread, or drops and counts them if its queue is full.
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
    /// Ends the writer thread once it has written all blocks, and waits up to [`CLOSE_TIMEOUT`] for
    /// that.
    pub fn close(self) {
        if self.blocks.try_send(Vec::new()).is_err() {
            return;
        }
        if self.done.recv_timeout(CLOSE_TIMEOUT).is_ok() {
            // The thread has ended. A panic in it has already been printed.
            let _ = self.thread.join();
        }
    }
}

/// Writes blocks to standard output until an empty block or an error.
fn write_out(blocks: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    // An empty block signals the end of the process.
    while let Ok(block) = blocks.recv()
        && !block.is_empty()
    {
        if out.write_all(&block).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
