//! Splitting a stream into whole events.
//!
//! Invariants: what comes out, joined, is what went in up to the end of the last whole event; an
//! event is never split.

use bluebell_base::prelude::*;
use bytes::{Bytes as Buffer, BytesMut};

/// Splits a stream of events at the empty lines between them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Up to where `partial` was searched.
    searched: usize,
}

/// One whole event, or several.
#[derive(Clone, Debug, PartialEq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Buffer,
    /// The id of the last that has one.
    pub last_id: Option<Arc<str>>,
}

impl EventSplitter {
    /// Takes bytes in; returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.partial.extend_from_slice(bytes);
        let from = self.searched.saturating_sub(3);
        let end = last_end(&self.partial[from..]).map(|end| from + end);
        let Some(end) = end else {
            self.searched = self.partial.len();
            return None;
        };
        let whole = self.partial.split_to(end).freeze();
        self.searched = self.partial.len();
        Some(Events {
            last_id: last_id(&whole),
            bytes: whole,
        })
    }

    /// Whether an event has begun and isn't whole.
    pub fn is_amid(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// The end of the last event that ends in `bytes`.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let plain = rfind(bytes, b"\n\n").map(|at| at + 2);
    let returns = rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.max(returns)
}

fn rfind(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).rposition(|w| w == wanted)
}

fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.split(|byte| *byte == b'\n');
    let id = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?.trim();
    Some(id.into())
}
