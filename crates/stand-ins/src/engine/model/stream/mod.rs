//! The record of one stream, and the dense table of them.
//!
//! Invariants: a request has at most one record, that of its newest attempt; a record's key is
//! not given to another one before it is removed.

use crate::engine::call::{Ending, ModelCall, ReaderId};
use bluebell_base::prelude::*;
use bluebell_upstreams::LoadReport;
use std::collections::HashMap;

bluebell_base::define_id! {
    /// A stream's index in the engine's table.
    StreamKey(u32) = "stream";
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for memory and a slot.
    Waiting,
    /// Its prompt is being computed.
    Prefill,
    /// Its answer is being computed.
    Decode,
    /// It ended; only the record is kept.
    Ended,
}

/// One stream.
#[derive(Debug)]
pub(super) struct Stream {
    /// The call that began it.
    pub call: ModelCall,
    /// How far it is.
    pub phase: Phase,
    /// The order of arrival among all streams of the engine.
    pub arrival: u64,
    /// When the engine gives it up.
    pub deadline_us: u64,
    /// Tokens to compute (or take from the cache) before the first token of the answer.
    pub context_tokens: u64,
    /// Of them, those already there.
    pub prefilled_tokens: u64,
    /// Prompt tokens that the cache covered; at arrival a forecast, from the start on the truth.
    pub cached_tokens: u64,
    /// Leading prefixes of the call whose cache blocks this stream keeps.
    pub kept_prefixes: usize,
    /// KV memory it holds while it runs.
    pub need_tokens: u64,
    /// Events of the answer that exist, those of earlier attempts included.
    pub produced: u64,
    /// Events of the whole answer.
    pub total: u64,
    /// Whether any of its work was begun.
    pub begun: bool,
    /// Tokens computed for it.
    pub computed_tokens: u64,
    /// The load when the call came.
    pub load: LoadReport,
    /// Who reads it.
    pub reader: Option<ReaderId>,
    /// Since when nobody reads it.
    pub unread_since_us: u64,
    /// How and when it ended.
    pub ending: Option<(Ending, u64)>,
}

impl Stream {
    /// Whether it runs, so that it holds memory and a slot.
    pub fn runs(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Decode)
    }

    /// The order among the engine's work, smallest first.
    pub fn rank(&self) -> (std::cmp::Reverse<i32>, u64) {
        (std::cmp::Reverse(self.call.priority.0), self.arrival)
    }

    /// The tokens of context that the next computed token sees.
    pub fn seen_tokens(&self) -> u64 {
        let answered = self.produced.saturating_sub(self.call.skip_events);
        self.prefilled_tokens + answered
    }

    /// When the next thing is due that happens by time alone.
    pub fn due_us(&self, remember_us: u64) -> u64 {
        if let Some((_, ended_us)) = &self.ending {
            return ended_us + remember_us;
        }
        if self.reader.is_some() {
            return self.deadline_us;
        }
        let hold_us = self.call.hold_ms.0.saturating_mul(1000);
        self.deadline_us
            .min(self.unread_since_us.saturating_add(hold_us))
    }
}

/// The dense table of streams.
#[derive(Debug, Default)]
pub(super) struct StreamTable {
    rows: Vec<Option<Stream>>,
    free: Vec<StreamKey>,
    by_request: HashMap<RequestId, StreamKey>,
}

impl StreamTable {
    /// Adds the record of a request that has none.
    pub fn insert(&mut self, stream: Stream) -> StreamKey {
        let request = stream.call.request;
        let key = self.free.pop().unwrap_or(StreamKey(self.rows.len() as u32));
        if key.index() == self.rows.len() {
            self.rows.push(None);
        }
        self.rows[key.index()] = Some(stream);
        self.by_request.insert(request, key);
        key
    }

    /// Removes a record.
    pub fn remove(&mut self, key: StreamKey) -> Option<Stream> {
        let stream = self.rows.get_mut(key.index())?.take()?;
        self.by_request.remove(&stream.call.request);
        self.free.push(key);
        Some(stream)
    }

    /// The record of a request.
    pub fn find(&self, request: RequestId) -> Option<StreamKey> {
        self.by_request.get(&request).copied()
    }

    /// The record behind a key, where it is still there.
    pub fn get(&self, key: StreamKey) -> Option<&Stream> {
        self.rows.get(key.index())?.as_ref()
    }

    /// The record behind a key, to be changed.
    pub fn get_mut(&mut self, key: StreamKey) -> Option<&mut Stream> {
        self.rows.get_mut(key.index())?.as_mut()
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, &Stream)> {
        let numbered = self.rows.iter().enumerate();
        numbered.filter_map(|(index, row)| Some((StreamKey(index as u32), row.as_ref()?)))
    }
}
