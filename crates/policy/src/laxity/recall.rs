//! Recall: work that lands behind other nodes' work is taken back and placed anew.
//!
//! Reports are late, so that nodes send to an engine that another one has just filled. It shows as
//! a load, riding on the engine's acceptance, that is higher than was believed. The engine has not
//! begun the work then, and cancelling costs one more way there and back, much less than the wait
//! behind a long prefill. The guard is for work that may be repeated only: the cancel can cross
//! with the work's beginning, and then it has run.

use super::Laxity;
use crate::job::Decision;
use crate::jobs::{Slot, Stage};
use crate::settings::Kind;
use bluebell_base::prelude::*;
use bluebell_upstreams::LoadReport;

/// The most recalls of one job; afterwards it stays where it is.
const MOST_RECALLS: u32 = 16;
/// What a recall costs, in milliseconds: the ways there and back, and a margin.
const RECALL_MS: f64 = 10.0;
/// The part of a wait that another engine must save.
const WORTH: f64 = 0.7;

impl Laxity {
    /// Takes the fresh load in and recalls the job where another place is clearly better.
    pub(super) fn accepted(
        &mut self,
        request: RequestId,
        cached_tokens: Tokens,
        load: &LoadReport,
        now_ms: MonoMs,
    ) {
        let Some(slot) = self.tables.jobs.slot(request) else {
            return;
        };
        let entry = self.tables.jobs.get(slot);
        let Some(upstream) = entry.and_then(|entry| entry.upstream) else {
            return;
        };
        self.tables.fleet.on_load(upstream, load, now_ms);
        if let Some(entry) = self.tables.jobs.get_mut(slot) {
            let own_tokens = entry.job.prompt_tokens.saturating_sub(cached_tokens);
            entry.prefill_tokens = own_tokens.0.max(1) as f64;
            let backlog_tokens = load.prefill_backlog_tokens.0 as f64;
            entry.ahead_tokens = super::score::ahead(backlog_tokens, entry.prefill_tokens);
        }
        if self.better_elsewhere(slot, upstream, now_ms) {
            self.scratch.recalls.push(request);
        }
    }

    /// Gives the recalls that were decided since the last call.
    pub(super) fn recall_due(&mut self, out: &mut Vec<Decision>) {
        let mut recalls = std::mem::take(&mut self.scratch.recalls);
        for request in recalls.drain(..) {
            let slot = self.tables.jobs.slot(request);
            let entry = slot.and_then(|slot| self.tables.jobs.get_mut(slot));
            if let Some(entry) = entry.filter(|entry| entry.stage == Stage::Sent) {
                entry.stage = Stage::Recalled;
                entry.recalls += 1;
                out.push(Decision::Recall { request });
            }
        }
        self.scratch.recalls = recalls;
    }

    fn better_elsewhere(&mut self, slot: Slot, upstream: UpstreamId, now_ms: MonoMs) -> bool {
        let Some(entry) = self.tables.jobs.get(slot) else {
            return false;
        };
        let may = self.settings.kind != Kind::NoRecall
            && entry.job.idempotent
            && entry.stage == Stage::Sent
            && entry.members.is_empty()
            && entry.recalls < MOST_RECALLS;
        if !may {
            return false;
        }
        let lacks_memory = self.tables.fleet.get(upstream).is_some_and(|engine| {
            // The engine's memory as believed now has the job's own in it.
            engine.kv_used() > engine.facts.kv_capacity_tokens.0
        });
        let memory_ms = if lacks_memory {
            super::score::NO_MEMORY_MS
        } else {
            0.0
        };
        let cost = self.tables.fleet.mean_cost();
        let ahead_ms = cost.prefill_ms(entry.ahead_tokens) + memory_ms;
        if ahead_ms <= RECALL_MS {
            return false;
        }
        let job = entry.job.clone();
        let own_ms = cost.prefill_ms(entry.prefill_tokens);
        let cached_ms = cost.prefill_ms(job.prompt_tokens.0 as f64) - own_ms;
        let slack_ms = self.settings.slack_ms.0 as f64;
        let may_wait = self.deferrable(&job) && !self.is_urgent(&job, now_ms);
        if may_wait && ahead_ms > slack_ms + cached_ms {
            return true;
        }
        self.score(&job, now_ms);
        let others = self.scratch.scored.iter();
        let short = job.prompt_tokens.0 <= super::score::SHORT_TOKENS;
        let others = others.filter(|s| s.upstream != upstream && (short || !s.kept));
        let best_ms = others
            .map(|s| s.first_token_ms)
            .fold(f64::INFINITY, f64::min);
        best_ms + RECALL_MS < ahead_ms * WORTH + own_ms
    }
}
