//! Splits a stream of bytes into complete events.
//!
//! Invariants: the output, concatenated, equals the input up to the end of the last complete event.
//! An event is never split.

use crate::http::bounds::check_event;
use crate::http::{AnswerBody, Link};
use bluebell_base::prelude::*;
use bytes::{Buf, Bytes as Buffer, BytesMut};
use http_body_util::BodyExt;

/// Splits a stream of events at the empty lines between them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// The length of the prefix of `partial` that has been searched for an end of event.
    searched: usize,
}

/// One or more complete events.
#[derive(Clone, Debug, PartialEq)]
pub struct Events {
    /// The bytes of the events.
    pub bytes: Buffer,
    /// The id of the last event that has one, or `None` if no event has one.
    pub last_id: Option<Arc<str>>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.partial.extend_from_slice(bytes);
        let from = self.searched.saturating_sub(3);
        let end = last_event_end(&self.partial[from..]).map(|end| from + end);
        let Some(end) = end else {
            self.searched = self.partial.len();
            return None;
        };
        // A copy takes as much memory as the events. A slice would keep the whole buffer, which is larger.
        let whole = Buffer::copy_from_slice(&self.partial[..end]);
        self.partial.advance(end);
        self.searched = self.partial.len();
        Some(Events {
            last_id: last_id(&whole),
            bytes: whole,
        })
    }

    /// Returns the bytes of the incomplete event.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns true if an event has begun and isn't complete.
    pub fn is_mid_event(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Reads a stream's body up to its next complete events. Returns `None` at its end.
///
/// # Errors
/// The reason for which the stream broke off or was cut.
pub(super) async fn next_events(
    body: &mut AnswerBody,
    splitter: &mut EventSplitter,
    link: &Link,
) -> Result<Option<Events>, Arc<str>> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Arc::from(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if let Some(events) = splitter.push(&data) {
            return Ok(Some(events));
        }
        check_event(splitter.partial_len())
            .map_err(|part| Arc::from(link.cut(part).to_string()))?;
    }
    Ok(None)
}

/// Returns the offset behind the last event that ends in `bytes`.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = rfind(bytes, b"\n\n").map(|at| at + 2);
    let returns = rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.max(returns)
}

/// Returns the offset of the last occurrence of `wanted`.
fn rfind(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).rposition(|w| w == wanted)
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.split(|byte| *byte == b'\n');
    let id = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?.trim();
    Some(id.into())
}
