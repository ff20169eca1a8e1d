//! What the engine reports of itself: the lagging load report and the counts.

use super::EngineModel;
use super::stream::Phase;
use crate::engine::call::{EngineStats, RepeatedRun};
use bluebell_base::prelude::*;
use bluebell_upstreams::LoadReport;
use std::collections::HashMap;

/// Snapshots kept for one lag; more would only make the reported age finer.
const SNAPSHOTS_PER_LAG: u64 = 16;

/// The load at an instant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Snapshot {
    at_us: u64,
    load: LoadReport,
}

/// What the engine has computed.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub computed_tokens: u64,
    pub wasted_tokens: u64,
    pub cached_tokens: u64,
    pub peak_held_tokens: u64,
    pub finished: u64,
    runs: HashMap<RequestId, u32>,
}

impl Counts {
    /// Counts that work of a request was begun.
    pub fn begin(&mut self, request: RequestId) {
        *self.runs.entry(request).or_default() += 1;
    }
}

impl EngineModel {
    /// The load report as the engine publishes it: as old as its lag makes it.
    pub fn load(&mut self, now_us: u64) -> LoadReport {
        let lag_us = self.settings.load_lag_ms.0 * 1000;
        let late_us = now_us.saturating_sub(lag_us);
        while self.loads.get(1).is_some_and(|next| next.at_us <= late_us) {
            self.loads.pop_front();
        }
        let Some(snapshot) = self.loads.front().copied() else {
            return self.load_now();
        };
        // Nothing changed since the snapshot, unless a later one says so.
        let seen_us = snapshot.at_us.max(late_us);
        LoadReport {
            age_ms: SpanMs(now_us.saturating_sub(seen_us) / 1000),
            leaving: self.leaving,
            ..snapshot.load
        }
    }

    /// The load at this very instant, as it rides on answers.
    pub fn load_now(&self) -> LoadReport {
        let open = self.running.iter().chain(&self.waiting);
        let streams = open.filter_map(|key| self.streams.get(*key));
        let backlog = streams.map(|s| s.context_tokens.saturating_sub(s.prefilled_tokens));
        let running = self.running.iter().filter_map(|key| self.streams.get(*key));
        let decoding = running
            .filter(|stream| stream.phase == Phase::Decode)
            .count();
        let reserved = self
            .reservations
            .values()
            .map(|reserved| reserved.what.kv_tokens);
        LoadReport {
            prefill_backlog_tokens: Tokens(backlog.sum()),
            decoding: decoding as u32,
            waiting: self.waiting.len() as u32,
            kv_used_tokens: Tokens(self.held_tokens),
            kv_capacity_tokens: self.settings.kv_capacity_tokens,
            kv_reserved_tokens: reserved.sum(),
            step_ms: self.step.duration_us() as f64 / 1000.0,
            age_ms: SpanMs::ZERO,
            leaving: self.leaving,
        }
    }

    /// What was computed, wasted and is held.
    pub fn stats(&self) -> EngineStats {
        let mut repeated = self.all_runs();
        repeated.retain(|row| row.runs > 1);
        EngineStats {
            requests_run: self.counts.runs.len() as u64,
            repeated,
            computed_tokens: Tokens(self.counts.computed_tokens),
            wasted_tokens: Tokens(self.counts.wasted_tokens),
            cached_tokens: Tokens(self.counts.cached_tokens),
            held_tokens: Tokens(self.held_tokens),
            peak_held_tokens: Tokens(self.counts.peak_held_tokens),
            reclaimable_tokens: Tokens(self.cache.reclaimable_tokens()),
            open_streams: (self.running.len() + self.waiting.len()) as u64,
            finished: self.counts.finished,
        }
    }

    /// How often work of each request was begun, by ascending request.
    pub fn all_runs(&self) -> Vec<RepeatedRun> {
        let runs = self.counts.runs.iter();
        let runs = runs.map(|(request, runs)| RepeatedRun {
            request: *request,
            runs: *runs,
        });
        let mut runs: Vec<RepeatedRun> = runs.collect();
        runs.sort_by_key(|row| row.request);
        runs
    }

    /// How often work of a request was begun.
    pub fn runs(&self, request: RequestId) -> u32 {
        self.counts.runs.get(&request).copied().unwrap_or(0)
    }

    /// Remembers the load at this instant for later reports.
    pub(super) fn snapshot(&mut self, now_us: u64) {
        let lag_us = self.settings.load_lag_ms.0 * 1000;
        let spacing_us = lag_us / SNAPSHOTS_PER_LAG;
        let load = self.load_now();
        let snapshot = Snapshot {
            at_us: now_us,
            load,
        };
        let newest = self.loads.len().checked_sub(1);
        let before = newest.and_then(|newest| newest.checked_sub(1));
        let crowded = before.is_some_and(|index| now_us < self.loads[index].at_us + spacing_us);
        match newest.filter(|_| crowded) {
            Some(index) => self.loads[index] = snapshot,
            None => self.loads.push_back(snapshot),
        }
        let late_us = now_us.saturating_sub(lag_us);
        while self.loads.get(1).is_some_and(|next| next.at_us <= late_us) {
            self.loads.pop_front();
        }
    }
}
