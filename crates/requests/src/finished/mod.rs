//! Ended requests, kept for a while so that their callers can ask for them and read on.
//!
//! Invariants: count, bytes and age are bounded; the oldest goes first.

use crate::life::Last;
use crate::settings::RequestsSettings;
use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use std::collections::{HashMap, VecDeque};

/// Bytes counted for a kept request apart from its texts.
const RECORD_BYTES: u64 = 512;

/// Bytes counted for each text apart from its letters: the reference to it.
const TEXT_REF_BYTES: usize = 16;

/// An ended request.
#[derive(Clone, Debug)]
pub struct Finished {
    /// What is reported of it.
    pub report: RequestReport,
    /// When it ended.
    pub at_ms: MonoMs,
    /// The position of the first of `tokens`.
    pub base: u64,
    /// Its answer.
    pub tokens: Vec<Arc<str>>,
    /// Its last event.
    pub last: Last,
}

impl Finished {
    fn bytes(&self) -> u64 {
        let texts: usize = self
            .tokens
            .iter()
            .map(|text| text.len() + TEXT_REF_BYTES)
            .sum();
        RECORD_BYTES + texts as u64
    }
}

/// The ended requests of one node.
#[derive(Debug, Default)]
pub struct Ring {
    order: VecDeque<RequestId>,
    records: HashMap<RequestId, Finished>,
    bytes: u64,
}

impl Ring {
    /// Keeps a request that ended now and drops what is over the bounds.
    pub fn push(&mut self, finished: Finished, settings: &RequestsSettings) {
        let (request, now_ms) = (finished.report.request, finished.at_ms);
        self.drop_record(request);
        self.bytes += finished.bytes();
        self.order.push_back(request);
        self.records.insert(request, finished);
        self.trim(settings, now_ms);
    }

    /// An ended request.
    pub fn get(&self, request: RequestId) -> Option<&Finished> {
        self.records.get(&request)
    }

    /// Drops what is over the bounds.
    pub fn trim(&mut self, settings: &RequestsSettings, now_ms: MonoMs) {
        while let Some(oldest) = self.order.front().copied() {
            let at_ms = self.records.get(&oldest).map(|record| record.at_ms);
            let old = at_ms.is_none_or(|at_ms| now_ms.since(at_ms) > settings.finished_keep_ms);
            let many = self.records.len() > settings.finished_count;
            let large = self.bytes > settings.finished_bytes.0;
            if !(old || many || large) {
                return;
            }
            self.order.pop_front();
            self.drop_record(oldest);
        }
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The bytes counted for them.
    pub fn bytes(&self) -> Bytes {
        Bytes(self.bytes)
    }

    /// Whether the counted bytes are those of the records kept.
    pub fn is_consistent(&self) -> bool {
        let counted: u64 = self.records.values().map(Finished::bytes).sum();
        let ordered = self.records.keys().all(|id| self.order.contains(id));
        counted == self.bytes && ordered
    }

    fn drop_record(&mut self, request: RequestId) {
        if let Some(old) = self.records.remove(&request) {
            self.bytes -= old.bytes();
            self.order.retain(|id| *id != request);
        }
    }
}
