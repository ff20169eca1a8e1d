//! Recall: a job that was queued behind other nodes' work on its engine is cancelled there and
//! placed again.
//!
//! Load reports arrive late, so a node may send work to an engine that another node has just
//! filled. This shows when the engine accepts the job: the load sent with the acceptance is higher
//! than estimated. The engine has not begun the job at that time. Cancelling it costs one more
//! round trip, which is much less than a wait behind a long prefill. Only work that may be repeated
//! is recalled, because the cancel can cross with the start of the work, which has run then.

use super::Laxity;
use crate::job::Decision;
use crate::jobs::{Slot, Stage};
use crate::settings::Kind;
use bluebell_base::prelude::*;
use bluebell_upstreams::LoadReport;

/// Maximum number of recalls of one job. After that it stays on its engine.
const MAX_RECALLS: u32 = 16;
/// Cost of a recall in milliseconds: a round trip and a margin.
const RECALL_COST_MS: f64 = 10.0;
/// Maximum wait on another engine that justifies a recall, as a share of the wait on the current
/// one.
const MAX_REMAINING_WAIT_SHARE: f64 = 0.7;

impl Laxity {
    /// Records the load sent with an acceptance, and recalls the job if another engine is clearly
    /// better.
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
            entry.ahead_tokens = super::score::tokens_ahead(backlog_tokens, entry.prefill_tokens);
        }
        if self.is_recall_worthwhile(slot, upstream, now_ms) {
            self.scratch.recalls.push(request);
        }
    }

    /// Appends the recalls that were decided since the last call.
    pub(super) fn take_recalls(&mut self, out: &mut Vec<Decision>) {
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

    fn is_recall_worthwhile(&mut self, slot: Slot, upstream: UpstreamId, now_ms: MonoMs) -> bool {
        let Some(entry) = self.tables.jobs.get(slot) else {
            return false;
        };
        let is_allowed = self.settings.kind != Kind::NoRecall
            && entry.job.idempotent
            && entry.stage == Stage::Sent
            && entry.members.is_empty()
            && entry.recalls < MAX_RECALLS;
        if !is_allowed {
            return false;
        }
        let lacks_memory = self.tables.fleet.get(upstream).is_some_and(|engine| {
            // The estimated memory use includes the job's own memory.
            engine.kv_used() > engine.facts.kv_capacity_tokens.0
        });
        let memory_ms = if lacks_memory {
            super::score::NO_MEMORY_PENALTY_MS
        } else {
            0.0
        };
        let cost = self.tables.fleet.mean_cost();
        let ahead_ms = cost.prefill_ms(entry.ahead_tokens) + memory_ms;
        if ahead_ms <= RECALL_COST_MS {
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
        let short = job.prompt_tokens.0 <= super::score::SHORT_PROMPT_TOKENS;
        let others = others.filter(|s| s.upstream != upstream && (short || !s.reserved));
        let best_ms = others
            .map(|s| s.first_token_ms)
            .fold(f64::INFINITY, f64::min);
        best_ms + RECALL_COST_MS < ahead_ms * MAX_REMAINING_WAIT_SHARE + own_ms
    }
}
