//! Placement: selects the engine for a job, or leaves the job in the queue.

use super::Laxity;
use super::score::{SHORT_PROMPT_TOKENS, Scored};
use crate::groups::{self, Offer};
use crate::job::{Decision, Job, Refusal, RefusalReason};
use crate::jobs::Slot;
use crate::tables::Placement;
use bluebell_base::prelude::*;
use rand::Rng;
use std::cmp::Reverse;

/// Difference from the best score within which an engine may be drawn, in milliseconds.
const DRAW_MARGIN_MS: f64 = 5.0;
/// Penalty for using an engine reserved for short work, in milliseconds.
const RESERVED_PENALTY_MS: f64 = 400.0;
/// Penalty for sending short work to an engine that is not reserved for it, in milliseconds.
const UNRESERVED_PENALTY_MS: f64 = 40.0;
/// Minimum time that a cache must save to be considered, in milliseconds.
const MIN_CACHE_SAVING_MS: f64 = 50.0;
/// Maximum wait of an engine that counts as idle, in milliseconds.
const IDLE_WAIT_MS: f64 = 10.0;

impl Laxity {
    /// Decides a queued job. Returns `None` if it stays in the queue.
    pub(super) fn decide_one(&mut self, slot: Slot, now_ms: MonoMs) -> Option<Decision> {
        let entry = self.tables.jobs.get(slot)?;
        let not_before_ms = entry.not_before_ms;
        let job = entry.job.clone();
        let service_ms = self.service_ms(&job);
        if now_ms + service_ms > job.deadline_ms {
            return self.refuse(&job, now_ms);
        }
        if now_ms < not_before_ms {
            return None;
        }
        self.score(&job, now_ms);
        let placement = if self.needs_group(&job) {
            self.place_group(&job, now_ms)
        } else if let Some(chosen) = self.cached_candidate(&job) {
            Some(self.place(&job, chosen, now_ms))
        } else if self.deferrable(&job) {
            let alone = self.place_in_slack(&job, now_ms);
            let large = alone.is_none() && self.may_borrow(&job);
            alone.or_else(|| large.then(|| self.place_group(&job, now_ms)).flatten())
        } else {
            self.place_now(&job, now_ms)
        };
        let placement = placement?;
        self.scratch.scored_for = None;
        if self.deferrable(&job) {
            self.demand.on_sent(placement.prefill_tokens);
        }
        self.tables.send(slot, placement, now_ms)
    }

    fn refuse(&mut self, job: &Job, now_ms: MonoMs) -> Option<Decision> {
        self.tables.remove(job.request);
        let cost = super::admission::work_tokens(job);
        self.shares.give_back(job.account, cost, now_ms);
        Some(Decision::Refuse {
            request: job.request,
            refusal: Refusal {
                reason: RefusalReason::TooLate,
                retry_after_ms: self.service_ms(job),
            },
        })
    }

    /// Returns an engine whose cache covers so much of the prompt that no idle engine would be
    /// faster.
    fn cached_candidate(&self, job: &Job) -> Option<Scored> {
        if !job.idempotent || self.scratch.covering.is_empty() {
            return None;
        }
        let whole = job.prompt_tokens.0 as f64;
        let covers = |s: &&Scored| {
            let saved_ms = self
                .tables
                .fleet
                .mean_cost()
                .prefill_ms(whole - s.prefill_tokens);
            !s.reserved && s.fits && saved_ms >= MIN_CACHE_SAVING_MS && s.backlog_ms <= saved_ms
        };
        let scored = self.scratch.scored.iter().filter(covers);
        let sooner = |a: &&Scored, b: &&Scored| a.first_token_ms.total_cmp(&b.first_token_ms);
        scored.min_by(sooner).copied()
    }

    /// Places the job on the engine with the earliest predicted first token, drawn at random among
    /// the best.
    fn place_now(&mut self, job: &Job, now_ms: MonoMs) -> Option<Placement> {
        let short = job.prompt_tokens.0 <= SHORT_PROMPT_TOKENS;
        if job.idempotent && !short {
            let scored = &self.scratch.scored;
            let idle = |s: &&Scored| !s.reserved && s.wait_ms <= IDLE_WAIT_MS && s.fits;
            let count = scored
                .iter()
                .filter(idle)
                .take(self.settings.choices)
                .count();
            if count > 0 {
                let drawn = self.rng.random_range(0..count);
                let chosen = *scored.iter().filter(idle).nth(drawn)?;
                return Some(self.place(job, chosen, now_ms));
            }
        }
        // Long work avoids the engines reserved for short work. Short work avoids the others, which
        // look idle only briefly.
        let penalty_ms = if short {
            UNRESERVED_PENALTY_MS
        } else {
            RESERVED_PENALTY_MS
        };
        let cost_ms =
            |s: &Scored| s.expected_ms + if s.reserved == short { 0.0 } else { penalty_ms };
        let scored = &self.scratch.scored;
        let best_ms = scored.iter().map(cost_ms).fold(f64::INFINITY, f64::min);
        let near = |s: &&Scored| cost_ms(s) <= best_ms + DRAW_MARGIN_MS;
        let drawn = self
            .rng
            .random_range(0..scored.iter().filter(near).count().max(1));
        let chosen = *scored.iter().filter(near).nth(drawn)?;
        Some(self.place(job, chosen, now_ms))
    }

    /// Places the job on an engine that has slack and enough free memory, the freest of a few drawn
    /// at random. An urgent job may be placed on any engine where it fits, except those that are
    /// always reserved for short work.
    fn place_in_slack(&mut self, job: &Job, now_ms: MonoMs) -> Option<Placement> {
        let slack_ms = self.settings.slack_ms.0 as f64;
        let scored = &self.scratch.scored;
        let urgent = self.is_urgent(job, now_ms);
        let open = |s: &Scored| !s.always_reserved && (urgent || !s.reserved);
        let has_slack = |s: &&Scored| open(s) && s.backlog_ms <= slack_ms && s.fits;
        let mut chosen: Option<Scored> = None;
        let count = scored.iter().filter(has_slack).count();
        for _ in 0..self.settings.choices.min(count) {
            let drawn = self.rng.random_range(0..count);
            let other = scored.iter().filter(has_slack).nth(drawn).copied();
            let freer = |a: &Scored, b: &Scored| (b.reserved, a.kv_free) > (a.reserved, b.kv_free);
            if other.is_some_and(|other| chosen.is_none_or(|chosen| freer(&other, &chosen))) {
                chosen = other;
            }
        }
        if let Some(chosen) = chosen {
            return Some(self.place(job, chosen, now_ms));
        }
        if !urgent {
            return None;
        }
        let fitting = scored.iter().filter(|s| open(s) && s.fits);
        let chosen = fitting.min_by(|a, b| a.first_token_ms.total_cmp(&b.first_token_ms));
        let chosen = *chosen?;
        Some(self.place(job, chosen, now_ms))
    }

    /// Places the job on a group. The leader is not reserved for short work. Members are taken
    /// first from the engines reserved for short work, since lending memory takes no time from
    /// their steps.
    fn place_group(&mut self, job: &Job, now_ms: MonoMs) -> Option<Placement> {
        let urgent = self.is_urgent(job, now_ms);
        let slack_ms = self.settings.slack_ms.0 as f64;
        let settings = &self.settings;
        let offer = |s: &Scored| Offer {
            upstream: s.upstream,
            kv_tokens: s.lendable_tokens(settings),
        };
        let mut offers = std::mem::take(&mut self.scratch.offers);
        offers.clear();
        let scored = &self.scratch.scored;
        offers.extend(scored.iter().filter(|s| s.reserved).map(offer));
        let reserved_count = offers.len();
        offers.extend(scored.iter().filter(|s| !s.reserved).map(offer));
        // Engines that can lend the most come first: with fewer parts there are fewer reservations
        // that another node's work can make fail.
        offers[reserved_count..].sort_by_key(|offer| Reverse(offer.kv_tokens));
        let may_lead = |s: &&Scored| !s.reserved && (urgent || s.backlog_ms <= slack_ms);
        let parts = self.settings.group_parts;
        let leader = scored
            .iter()
            .filter(may_lead)
            .max_by_key(|s| offer(s).kv_tokens);
        let built = leader.and_then(|scored| {
            let group = groups::build(offer(scored), &offers, job.kv_tokens(), parts)?;
            Some((*scored, group))
        });
        self.scratch.offers = offers;
        let (scored, group) = built?;
        let mut placement = self.place(job, scored, now_ms);
        placement.members = group.members;
        Some(placement)
    }

    fn place(&self, job: &Job, scored: Scored, now_ms: MonoMs) -> Placement {
        Placement {
            upstream: scored.upstream,
            members: Vec::new(),
            priority: self.priority(job, now_ms),
            prefill_tokens: scored.prefill_tokens,
            ahead_tokens: scored.ahead_tokens,
            predicted_ms: scored.first_token_ms,
        }
    }
}
