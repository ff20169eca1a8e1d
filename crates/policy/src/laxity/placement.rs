//! Placement: which engine gets a job now, if any.
//!
//! Terms: an engine's *wait* is the predicted time before a new job's prefill begins there; the
//! *long end* of the rank order is where long work goes first, so that the other end stays free
//! for short work without any node asking another.

use super::Laxity;
use crate::fleet::Engine;
use crate::groups::{self, Offer};
use crate::job::{Decision, Job, Refusal, RefusalReason};
use crate::jobs::Slot;
use crate::tables::Placement;
use bluebell_base::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::ops::Range;

/// How much worse than the best one another engine may look and still be drawn, in milliseconds.
const NEAR_MS: f64 = 5.0;
/// What a lack of memory counts for, in milliseconds.
pub(super) const NO_MEMORY_MS: f64 = 10_000.0;
/// The steps that short work waits for on a busy engine: half of the running one, and its own one
/// filled up with other work.
const BUSY_STEPS: f64 = 1.5;
/// The share of its memory that an engine kept for short work does not lend.
const LENT_ROOM_SHARE: f64 = 0.2;
/// One part in so many of the engines looked at are of the kind that the job should keep off.
const SECOND_PART: usize = 4;
/// Prompts up to this length are short work, in tokens.
pub(super) const SHORT_TOKENS: u64 = 4_096;
/// What taking an engine kept for short work counts for, in milliseconds.
const KEPT_MS: f64 = 400.0;
/// What taking another engine counts for short work, in milliseconds.
const OTHERS_MS: f64 = 40.0;
/// A cache that saves less than this is not sought, in milliseconds.
const WORTH_CACHE_MS: f64 = 50.0;
/// Work that takes so much memory may borrow some where no engine has enough, in tokens.
const LARGE_TOKENS: u64 = 65_536;
/// An engine with less wait than this counts as idle, in milliseconds.
const IDLE_MS: f64 = 10.0;
/// Work ahead on an engine that goes before a short job at most, in tokens: about one step.
const STEP_TOKENS: f64 = 8_192.0;

/// An engine and what a job could expect there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scored {
    /// The engine.
    pub upstream: UpstreamId,
    /// Whether it is kept for short work.
    pub kept: bool,
    /// Whether it is kept for short work also from urgent work.
    pub last: bool,
    /// Whether the job's memory is believed free there, and the room that it must leave.
    pub fits: bool,
    /// Whether a group may ask it for memory.
    pub takes_group: bool,
    /// The predicted time before the job's prefill begins.
    pub wait_ms: f64,
    /// The expected first token, where work of other nodes may have come meanwhile.
    pub expected_ms: f64,
    /// The predicted first token.
    pub first_token_ms: f64,
    /// The job's own prefill there.
    pub prefill_tokens: f64,
    /// The tokens ahead of it.
    pub ahead_tokens: f64,
    /// The whole backlog.
    pub backlog_ms: f64,
    /// The memory free there.
    pub kv_free: u64,
    /// The engine's memory.
    pub kv_capacity: u64,
}

/// The part of a backlog that goes before a job: work with more laxity does not, but for the step
/// that is running.
pub(super) fn ahead(backlog_tokens: f64, prefill_tokens: f64) -> f64 {
    backlog_tokens.min(prefill_tokens + STEP_TOKENS)
}

/// A part of the indexes from a random place on, all of them where they are few enough.
fn window(
    indexes: Range<usize>,
    most: usize,
    rng: &mut ChaCha8Rng,
) -> impl ExactSizeIterator<Item = usize> + Clone + use<> {
    let count = most.min(indexes.len());
    let begin = if count < indexes.len() {
        rng.random_range(0..indexes.len())
    } else {
        0
    };
    (0..count).map(move |i| indexes.start + (begin + i) % indexes.len())
}

impl Laxity {
    /// Whether the job may wait in the queue for slack.
    pub(super) fn deferrable(&self, job: &Job) -> bool {
        self.service_ms(job) > self.settings.deferrable_ms || self.needs_group(job)
    }

    /// The engine where the job could begin first.
    pub(super) fn best_ahead(&mut self, job: &Job, now_ms: MonoMs) -> Option<Scored> {
        self.score(job, now_ms);
        let scored = self.scratch.scored.iter().copied();
        scored.min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms))
    }

    /// Decides a queued job, or leaves it waiting.
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
        } else if let Some(chosen) = self.on_cache(&job) {
            Some(self.place(&job, chosen, now_ms))
        } else if self.deferrable(&job) {
            let alone = self.place_in_slack(&job, now_ms);
            let large = alone.is_none() && self.may_borrow(&job);
            alone.or_else(|| large.then(|| self.place_group(&job, now_ms)).flatten())
        } else {
            self.place_at_once(&job, now_ms)
        };
        let placement = placement?;
        self.scratch.scored_for = None;
        if self.deferrable(&job) {
            self.demand.sent(placement.prefill_tokens);
        }
        self.tables.send(slot, placement, now_ms)
    }

    fn refuse(&mut self, job: &Job, now_ms: MonoMs) -> Option<Decision> {
        self.tables.take(job.request);
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

    /// The memory that a job must leave free for shorter work, in tokens.
    fn room(&self, job: &Job, kept: bool, kv_capacity: u64) -> u64 {
        let share = match (job.prompt_tokens.0 <= SHORT_TOKENS, kept) {
            (true, _) => 0.0,
            (false, true) => LENT_ROOM_SHARE,
            (false, false) if self.deferrable(job) => self.settings.room_share,
            (false, false) => self.settings.room_share / 2.0,
        };
        (kv_capacity as f64 * share) as u64
    }

    /// How many engines at the end of a list are kept for short work.
    fn kept(&self, engines: usize) -> usize {
        (engines as f64 * self.settings.short_share).round() as usize
    }

    /// Whether the job may take memory of several engines.
    pub(super) fn may_borrow(&self, job: &Job) -> bool {
        job.kv_tokens().0 >= LARGE_TOKENS
    }

    pub(super) fn needs_group(&self, job: &Job) -> bool {
        job.kv_tokens() > self.tables.fleet.largest(job.model)
    }

    /// Scores the engines that may get the job; those it should avoid only where no other is.
    pub(super) fn score(&mut self, job: &Job, now_ms: MonoMs) {
        if self.scratch.scored_for == Some((job.request, now_ms)) {
            // Nothing changed since admission scored them.
            return;
        }
        self.scratch.scored_for = Some((job.request, now_ms));
        let mut scored = std::mem::take(&mut self.scratch.scored);
        scored.clear();
        self.cache
            .covering(&job.prefixes, &mut self.scratch.covering);
        let list = self.tables.fleet.serving(job.model);
        let kept_from = list.len() - self.kept(list.len());
        let kept_count = self.kept(list.len());
        let last_from = list.len() - (kept_count - kept_count / 3);
        let (others, kept) = (0..kept_from, kept_from..list.len());
        let short = job.prompt_tokens.0 <= SHORT_TOKENS;
        let (first, second) = if short {
            (kept, others)
        } else {
            (others, kept)
        };
        let most = self.settings.window;
        let first_most = most - (most / SECOND_PART).min(second.len());
        let first = window(first, first_most, &mut self.rng);
        let second = window(second, most - first.len(), &mut self.rng);
        let fleet = &self.tables.fleet;
        let looked_at = first.chain(second);
        let healthy = |index: usize| {
            let engine = fleet.get(list[index]);
            engine.is_some_and(|engine| engine.health.allows(engine.in_flight.len(), now_ms))
        };
        // Where no engine is trusted, one that is not is better than to wait for the deadline.
        let any_healthy = looked_at.clone().any(healthy);
        for index in looked_at {
            let Some(engine) = fleet.get(list[index]) else {
                continue;
            };
            if !any_healthy || healthy(index) {
                let mut one = self.score_one(job, engine, index >= kept_from, now_ms);
                one.last = index >= last_from;
                scored.push(one);
            }
        }
        // Engines that refused a group's memory a moment ago may have it now.
        let others = |s: &Scored| !job.avoid.contains(&s.upstream);
        if !self.may_borrow(job) && scored.iter().any(others) {
            scored.retain(others);
        }
        self.scratch.scored = scored;
    }

    fn score_one(&self, job: &Job, engine: &Engine, kept: bool, now_ms: MonoMs) -> Scored {
        let upstream = engine.facts.upstream;
        let covering = self.scratch.covering.iter().find(|(id, _)| *id == upstream);
        let covered = covering.map_or(Tokens::ZERO, |(_, tokens)| *tokens);
        let prefill_tokens = job.prompt_tokens.saturating_sub(covered).0.max(1) as f64;
        let backlog_tokens = engine.backlog_tokens(now_ms);
        let ahead_tokens = ahead(backlog_tokens, prefill_tokens);
        let chance = engine.busy.chance(backlog_tokens, now_ms);
        let kv_free = engine.kv_free();
        let kv_capacity = engine.facts.kv_capacity_tokens.0;
        let need = job.kv_tokens().0;
        let room = self.room(job, kept, kv_capacity);
        // A job that only fits into the empty engine may take the room.
        let fits = kv_free >= need.saturating_add(room).min(kv_capacity.max(need));
        let memory_ms = if fits { 0.0 } else { NO_MEMORY_MS };
        let cost = self.tables.fleet.trusted_cost(engine);
        let wait_ms = cost.prefill_ms(ahead_tokens) + memory_ms;
        let own_ms = cost.overhead_ms + cost.prefill_ms(prefill_tokens);
        Scored {
            upstream,
            kept,
            last: false,
            fits,
            takes_group: engine.takes_group(now_ms),
            wait_ms,
            expected_ms: chance * engine.busy.step_ms() * BUSY_STEPS + memory_ms + own_ms,
            first_token_ms: wait_ms + own_ms,
            prefill_tokens,
            ahead_tokens,
            backlog_ms: cost.prefill_ms(backlog_tokens),
            kv_free,
            kv_capacity,
        }
    }

    /// An engine whose cache covers so much of the prompt that no idle one is sooner.
    fn on_cache(&self, job: &Job) -> Option<Scored> {
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
            !s.kept && s.fits && saved_ms >= WORTH_CACHE_MS && s.backlog_ms <= saved_ms
        };
        let scored = self.scratch.scored.iter().filter(covers);
        let sooner = |a: &&Scored, b: &&Scored| a.first_token_ms.total_cmp(&b.first_token_ms);
        scored.min_by(sooner).copied()
    }

    /// The engine with the earliest predicted first token, drawn among the best few.
    fn place_at_once(&mut self, job: &Job, now_ms: MonoMs) -> Option<Placement> {
        let short = job.prompt_tokens.0 <= SHORT_TOKENS;
        if job.idempotent && !short {
            let scored = &self.scratch.scored;
            let idle = |s: &&Scored| !s.kept && s.wait_ms <= IDLE_MS && s.fits;
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
        // Longer work keeps off the engines kept for short work, and short work off the others,
        // which look idle for a moment only.
        let off_ms = if short { OTHERS_MS } else { KEPT_MS };
        let cost_ms = |s: &Scored| s.expected_ms + if s.kept == short { 0.0 } else { off_ms };
        let scored = &self.scratch.scored;
        let best_ms = scored.iter().map(cost_ms).fold(f64::INFINITY, f64::min);
        let near = |s: &&Scored| cost_ms(s) <= best_ms + NEAR_MS;
        let drawn = self
            .rng
            .random_range(0..scored.iter().filter(near).count().max(1));
        let chosen = *scored.iter().filter(near).nth(drawn)?;
        Some(self.place(job, chosen, now_ms))
    }

    /// The first engine from the long end that has slack and room; any engine once urgent.
    fn place_in_slack(&mut self, job: &Job, now_ms: MonoMs) -> Option<Placement> {
        let slack_ms = self.settings.slack_ms.0 as f64;
        let scored = &self.scratch.scored;
        let urgent = now_ms >= self.latest_start_ms(job);
        let open = |s: &Scored| !s.last && (urgent || !s.kept);
        let has_slack = |s: &&Scored| open(s) && s.backlog_ms <= slack_ms && s.fits;
        let mut chosen: Option<Scored> = None;
        let count = scored.iter().filter(has_slack).count();
        for _ in 0..self.settings.choices.min(count) {
            let drawn = self.rng.random_range(0..count);
            let other = scored.iter().filter(has_slack).nth(drawn).copied();
            let freer = |a: &Scored, b: &Scored| (b.kept, a.kv_free) > (a.kept, b.kv_free);
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

    /// A group: its leader from the long end, its members first among the engines kept for short
    /// work, as lending memory costs no step there.
    fn place_group(&mut self, job: &Job, now_ms: MonoMs) -> Option<Placement> {
        let urgent = now_ms >= self.latest_start_ms(job);
        let slack_ms = self.settings.slack_ms.0 as f64;
        let room_share = self.settings.room_share;
        let offer = |s: &Scored| {
            let share = if s.kept { LENT_ROOM_SHARE } else { room_share };
            let room = (s.kv_capacity as f64 * share) as u64;
            let free = if s.takes_group { s.kv_free } else { 0 };
            Offer {
                upstream: s.upstream,
                kv_tokens: free.saturating_sub(room),
            }
        };
        let mut offers = std::mem::take(&mut self.scratch.offers);
        offers.clear();
        let scored = &self.scratch.scored;
        offers.extend(scored.iter().filter(|s| s.kept).map(offer));
        let kept = offers.len();
        offers.extend(scored.iter().filter(|s| !s.kept).map(offer));
        // The largest first: the fewer parts, the fewer reservations that another node's work can
        // make fail.
        offers[kept..].sort_by_key(|offer| Reverse(offer.kv_tokens));
        let may_lead = |s: &&Scored| !s.kept && (urgent || s.backlog_ms <= slack_ms);
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
