//! Scoring: what a job could expect on each engine that it may take.
//!
//! Terms: an engine's *wait* is the predicted time before a new job's prefill begins there; the
//! *kept* engines are the last ones of the rank order, which is the same at every node, so that
//! longer work keeps off them without any node asking another.

use super::Laxity;
use crate::fleet::Engine;
use crate::job::Job;
use crate::settings::PolicySettings;
use bluebell_base::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

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
/// Work that takes so much memory may borrow some where no engine has enough, in tokens.
pub(super) const LARGE_TOKENS: u64 = 65_536;
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

impl Scored {
    /// The memory that the engine can give to a group.
    pub fn lendable_tokens(&self, settings: &PolicySettings) -> u64 {
        let share = match self.kept {
            true => LENT_ROOM_SHARE,
            false => settings.kv_headroom_share,
        };
        let room = (self.kv_capacity as f64 * share) as u64;
        let free = if self.takes_group { self.kv_free } else { 0 };
        free.saturating_sub(room)
    }
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

    /// The memory that a job must leave free for shorter work, in tokens.
    fn room(&self, job: &Job, kept: bool, kv_capacity: u64) -> u64 {
        let share = match (job.prompt_tokens.0 <= SHORT_TOKENS, kept) {
            (true, _) => 0.0,
            (false, true) => LENT_ROOM_SHARE,
            (false, false) if self.deferrable(job) => self.settings.kv_headroom_share,
            (false, false) => self.settings.kv_headroom_share / 2.0,
        };
        (kv_capacity as f64 * share) as u64
    }

    /// How many engines at the end of a list are kept for short work.
    fn kept(&self, engines: usize) -> usize {
        (engines as f64 * self.settings.short_work_share).round() as usize
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

    /// The memory that the engines scored last can give to a group together.
    pub(super) fn lendable_tokens(&self) -> u64 {
        let scored = self.scratch.scored.iter();
        scored.map(|s| s.lendable_tokens(&self.settings)).sum()
    }
}
