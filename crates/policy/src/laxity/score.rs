//! Scoring: the estimates for a job on each candidate engine.
//!
//! Terms: an engine's *wait* is the predicted time before a new job's prefill begins there; the
//! *reserved* engines are the last ones by rank and are reserved for short work. The rank is the
//! same at every node, so longer work avoids the same engines everywhere without communication
//! between the nodes.

use super::Laxity;
use crate::fleet::Engine;
use crate::job::Job;
use crate::settings::PolicySettings;
use bluebell_base::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// Penalty for insufficient memory, in milliseconds.
pub(super) const NO_MEMORY_PENALTY_MS: f64 = 10_000.0;
/// Number of steps that short work waits for on a busy engine: half of the running step, and its
/// own step filled up with other work.
const BUSY_STEPS: f64 = 1.5;
/// Share of its memory that an engine reserved for short work does not lend.
const RESERVED_HEADROOM_SHARE: f64 = 0.2;
/// One in this many candidates is of the kind that the job should avoid.
const OTHER_KIND_DIVISOR: usize = 4;
/// Maximum prompt length of short work, in tokens.
pub(super) const SHORT_PROMPT_TOKENS: u64 = 4_096;
/// Memory from which on a job may borrow from several engines if no engine has enough, in tokens.
pub(super) const LARGE_JOB_TOKENS: u64 = 65_536;
/// Maximum work ahead on an engine that goes before a short job, in tokens. It is about one step.
const STEP_TOKENS: f64 = 8_192.0;

/// The estimates for a job on one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scored {
    /// The engine.
    pub upstream: UpstreamId,
    /// True if the engine is reserved for short work.
    pub reserved: bool,
    /// True if the engine is reserved for short work even if other work is urgent.
    pub always_reserved: bool,
    /// True if the engine is estimated to have enough free memory for the job and the headroom that
    /// the job must leave.
    pub fits: bool,
    /// True if a group may try to reserve memory there.
    pub accepts_group: bool,
    /// Predicted time before the job's prefill begins, in milliseconds.
    pub wait_ms: f64,
    /// Expected time to the first token in milliseconds, given that other nodes may have sent work
    /// meanwhile.
    pub expected_ms: f64,
    /// Predicted time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Prefill work of the job on this engine, in tokens.
    pub prefill_tokens: f64,
    /// Estimated prefill work ahead of the job, in tokens.
    pub ahead_tokens: f64,
    /// Duration of the whole backlog, in milliseconds.
    pub backlog_ms: f64,
    /// Free memory of the engine, in tokens.
    pub kv_free: u64,
    /// Memory capacity of the engine, in tokens.
    pub kv_capacity: u64,
}

/// Returns the part of a backlog that goes before a job. Work with more laxity does not, except for
/// the step that is running.
pub(super) fn tokens_ahead(backlog_tokens: f64, prefill_tokens: f64) -> f64 {
    backlog_tokens.min(prefill_tokens + STEP_TOKENS)
}

impl Scored {
    /// Returns the memory that the engine can lend to a group, in tokens.
    pub fn lendable_tokens(&self, settings: &PolicySettings) -> u64 {
        let share = match self.reserved {
            true => RESERVED_HEADROOM_SHARE,
            false => settings.kv_headroom_share,
        };
        let headroom = (self.kv_capacity as f64 * share) as u64;
        let free = if self.accepts_group { self.kv_free } else { 0 };
        free.saturating_sub(headroom)
    }
}

/// Returns up to `max_count` of the indexes, starting at a random one. If there are no more than
/// that, all are returned in order.
fn random_window(
    indexes: Range<usize>,
    max_count: usize,
    rng: &mut ChaCha8Rng,
) -> impl ExactSizeIterator<Item = usize> + Clone + use<> {
    let count = max_count.min(indexes.len());
    let begin = if count < indexes.len() {
        rng.random_range(0..indexes.len())
    } else {
        0
    };
    (0..count).map(move |i| indexes.start + (begin + i) % indexes.len())
}

impl Laxity {
    /// Returns true if the job may wait in the queue for an engine with slack.
    pub(super) fn deferrable(&self, job: &Job) -> bool {
        self.service_ms(job) > self.settings.deferrable_ms || self.needs_group(job)
    }

    /// Returns the engine where the job could begin first.
    pub(super) fn least_wait(&mut self, job: &Job, now_ms: MonoMs) -> Option<Scored> {
        self.score(job, now_ms);
        let scored = self.scratch.scored.iter().copied();
        scored.min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms))
    }

    /// Returns the memory that a job must leave free for shorter work, in tokens.
    fn headroom(&self, job: &Job, reserved: bool, kv_capacity: u64) -> u64 {
        let share = match (job.prompt_tokens.0 <= SHORT_PROMPT_TOKENS, reserved) {
            (true, _) => 0.0,
            (false, true) => RESERVED_HEADROOM_SHARE,
            (false, false) if self.deferrable(job) => self.settings.kv_headroom_share,
            (false, false) => self.settings.kv_headroom_share / 2.0,
        };
        (kv_capacity as f64 * share) as u64
    }

    /// Returns the number of engines at the end of a model's list that are reserved for short work.
    fn reserved_count(&self, engines: usize) -> usize {
        (engines as f64 * self.settings.short_work_share).round() as usize
    }

    /// Returns true if the job may use memory of several engines.
    pub(super) fn may_borrow(&self, job: &Job) -> bool {
        job.kv_tokens().0 >= LARGE_JOB_TOKENS
    }

    pub(super) fn needs_group(&self, job: &Job) -> bool {
        job.kv_tokens() > self.tables.fleet.largest_engine_tokens(job.model)
    }

    /// Scores the candidate engines for a job. Engines that the job should avoid are included only
    /// if there are no others.
    pub(super) fn score(&mut self, job: &Job, now_ms: MonoMs) {
        if self.scratch.scored_for == Some((job.request, now_ms)) {
            // Nothing has changed since the last scoring, for example at admission.
            return;
        }
        self.scratch.scored_for = Some((job.request, now_ms));
        let mut scored = std::mem::take(&mut self.scratch.scored);
        scored.clear();
        self.cache
            .covering(&job.prefixes, &mut self.scratch.covering);
        let list = self.tables.fleet.serving(job.model);
        let reserved_from = list.len() - self.reserved_count(list.len());
        let reserved_count = self.reserved_count(list.len());
        let always_reserved_from = list.len() - (reserved_count - reserved_count / 3);
        let (others, reserved) = (0..reserved_from, reserved_from..list.len());
        let short = job.prompt_tokens.0 <= SHORT_PROMPT_TOKENS;
        let (first, second) = if short {
            (reserved, others)
        } else {
            (others, reserved)
        };
        let max_candidates = self.settings.max_candidates;
        let first_max = max_candidates - (max_candidates / OTHER_KIND_DIVISOR).min(second.len());
        let first = random_window(first, first_max, &mut self.rng);
        let second = random_window(second, max_candidates - first.len(), &mut self.rng);
        let fleet = &self.tables.fleet;
        let candidates = first.chain(second);
        let healthy = |index: usize| {
            let engine = fleet.get(list[index]);
            engine.is_some_and(|engine| engine.health.allows(engine.in_flight.len(), now_ms))
        };
        // If no candidate is healthy, an unhealthy one is better than a wait until the deadline.
        let any_healthy = candidates.clone().any(healthy);
        for index in candidates {
            let Some(engine) = fleet.get(list[index]) else {
                continue;
            };
            if !any_healthy || healthy(index) {
                let mut scored_engine =
                    self.score_engine(job, engine, index >= reserved_from, now_ms);
                scored_engine.always_reserved = index >= always_reserved_from;
                scored.push(scored_engine);
            }
        }
        // A group keeps the engines that recently refused it memory: they may have memory now.
        let others = |s: &Scored| !job.avoid.contains(&s.upstream);
        if !self.may_borrow(job) && scored.iter().any(others) {
            scored.retain(others);
        }
        self.scratch.scored = scored;
    }

    fn score_engine(&self, job: &Job, engine: &Engine, reserved: bool, now_ms: MonoMs) -> Scored {
        let upstream = engine.facts.upstream;
        let covering = self.scratch.covering.iter().find(|(id, _)| *id == upstream);
        let covered = covering.map_or(Tokens::ZERO, |(_, tokens)| *tokens);
        let prefill_tokens = job.prompt_tokens.saturating_sub(covered).0.max(1) as f64;
        let backlog_tokens = engine.backlog_tokens(now_ms);
        let ahead_tokens = tokens_ahead(backlog_tokens, prefill_tokens);
        let busy_probability = engine.busy.busy_probability(backlog_tokens, now_ms);
        let kv_free = engine.kv_free();
        let kv_capacity = engine.facts.kv_capacity_tokens.0;
        let needed = job.kv_tokens().0;
        let headroom = self.headroom(job, reserved, kv_capacity);
        // A job that fits only on an empty engine may use the headroom.
        let fits = kv_free >= needed.saturating_add(headroom).min(kv_capacity.max(needed));
        let memory_ms = if fits { 0.0 } else { NO_MEMORY_PENALTY_MS };
        let cost = self.tables.fleet.effective_cost(engine);
        let wait_ms = cost.prefill_ms(ahead_tokens) + memory_ms;
        let own_ms = cost.overhead_ms + cost.prefill_ms(prefill_tokens);
        Scored {
            upstream,
            reserved,
            always_reserved: false,
            fits,
            accepts_group: engine.accepts_group(now_ms),
            wait_ms,
            expected_ms: busy_probability * engine.busy.step_ms() * BUSY_STEPS + memory_ms + own_ms,
            first_token_ms: wait_ms + own_ms,
            prefill_tokens,
            ahead_tokens,
            backlog_ms: cost.prefill_ms(backlog_tokens),
            kv_free,
            kv_capacity,
        }
    }

    /// Returns the memory that the engines scored last can lend to a group together, in tokens.
    pub(super) fn lendable_tokens(&self) -> u64 {
        let scored = self.scratch.scored.iter();
        scored.map(|s| s.lendable_tokens(&self.settings)).sum()
    }
}
