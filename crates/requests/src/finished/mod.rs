//! Ended requests, kept for a limited time so that their callers can query them and resume reading.
//!
//! Invariants: number, bytes and age are bounded; the oldest is dropped first.

use crate::request::FinalEvent;
use crate::settings::RequestsSettings;
use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use std::collections::{HashMap, VecDeque};

/// The bytes counted for a kept request, without its texts.
const RECORD_BYTES: u64 = 512;

/// The bytes counted for the reference to each text, in addition to the text itself.
const TEXT_REF_BYTES: usize = 16;

/// An ended request.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The final report.
    pub report: RequestReport,
    /// The time of the end.
    pub at_ms: MonoMs,
    /// The position of the first of `tokens`.
    pub base: u64,
    /// The token texts of its answer.
    pub tokens: Vec<Arc<str>>,
    /// Its last event.
    pub last: FinalEvent,
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
pub struct FinishedRequests {
    order: VecDeque<RequestId>,
    records: HashMap<RequestId, Finished>,
    bytes: u64,
}

impl FinishedRequests {
    /// Keeps a request that ended now and drops what exceeds the limits.
    pub fn push(&mut self, finished: Finished, settings: &RequestsSettings) {
        let (request, now_ms) = (finished.report.request, finished.at_ms);
        self.drop_record(request);
        self.bytes += finished.bytes();
        self.order.push_back(request);
        self.records.insert(request, finished);
        self.trim(settings, now_ms);
    }

    /// Returns an ended request.
    pub fn get(&self, request: RequestId) -> Option<&Finished> {
        self.records.get(&request)
    }

    /// Drops what exceeds the limits.
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

    /// Returns the number of requests kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if no request is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes counted for them.
    pub fn bytes(&self) -> Bytes {
        Bytes(self.bytes)
    }

    /// Returns true if the counted bytes equal those of the records kept.
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
