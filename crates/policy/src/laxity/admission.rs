//! Admission: a job is taken where its predicted outcome is good, and refused at once otherwise.
//!
//! Invariants: a refusal's time to come back is when the wait that was too long is predicted to
//! be worked off; it is never a way to hold the caller off for longer than that.

use super::Laxity;
use super::score::{LARGE_TOKENS, SHORT_TOKENS, Scored};
use crate::job::{Job, Refusal, RefusalReason};
use bluebell_base::prelude::*;

/// When to come back where no engine serves the model.
const NO_ENGINE_RETRY_MS: SpanMs = SpanMs(1_000);
/// The bounds of the time to come back.
const RETRY_BOUNDS_MS: (u64, u64) = (200, 60_000);
/// Up to this pressure, no account is held back.
const FREE_PRESSURE: f64 = 0.1;
/// Above this pressure, they are held back even where they do not surge.
const HARD_PRESSURE: f64 = 0.5;
/// When an account that surges may come back: by then a part of what it got has decayed.
const SURGE_RETRY_MS: f64 = 10_000.0;
/// With a smaller share of the engines free, accounts that surge are held back.
const FREE_SHARE: f64 = 0.4;
/// How much less is shared out for each unit of pressure above that.
const CUT: f64 = 1.0;
/// The most that is cut.
const MOST_CUT: f64 = 0.5;
/// The share of its laxity that any job may be predicted to wait.
const MOST_WAIT: f64 = 0.8;

/// The work of a job in tokens, for shares.
pub(super) fn work_tokens(job: &Job) -> f64 {
    (job.prompt_tokens + job.max_tokens).0 as f64
}

impl Laxity {
    /// Says whether a job may be taken.
    pub(super) fn check(&mut self, job: &Job, now_ms: MonoMs) -> Result<(), Refusal> {
        self.check_engines(job)?;
        let service_ms = self.service_ms(job).0 as f64;
        let wait_ms = self.predicted_wait_ms(job, now_ms);
        let to_deadline_ms = job.deadline_ms.since(now_ms).0 as f64;
        let answer_ms = self.answer_ms(job);
        if wait_ms + service_ms + answer_ms > to_deadline_ms {
            let excess_ms = wait_ms + service_ms + answer_ms - to_deadline_ms;
            return Err(refusal(RefusalReason::TooLate, excess_ms));
        }
        if !job.avoid.is_empty() && !self.may_borrow(job) {
            // It was admitted before and comes again after a failure: what was promised stands as
            // long as the deadline can be met. A group that found no memory is weighed anew: if all
            // such groups stayed, they would take turns at failing until their targets are missed.
            return Ok(());
        }
        let to_target_ms = job.first_token_due_ms.since(now_ms).0 as f64;
        let laxity_ms = (to_target_ms - service_ms).max(0.0);
        let most_ms = laxity_ms * MOST_WAIT;
        if wait_ms > most_ms && wait_ms > 1.0 {
            return Err(refusal(RefusalReason::Overloaded, wait_ms - most_ms));
        }
        self.check_share(job, now_ms)
    }

    /// Refuses longer work of accounts over their share: of those that surge as soon as targets
    /// come near or few engines are free, of the others only once targets are about to be missed.
    /// Short work is let through, as refusing it relieves nothing.
    fn check_share(&mut self, job: &Job, now_ms: MonoMs) -> Result<(), Refusal> {
        if job.prompt_tokens.0 <= SHORT_TOKENS {
            return Ok(());
        }
        let pressure = self.demand.pressure();
        let near = pressure > FREE_PRESSURE || self.free_share() < FREE_SHARE;
        if near && self.shares.surges(job.account, now_ms) {
            return Err(refusal(RefusalReason::OverShare, SURGE_RETRY_MS));
        }
        if pressure <= HARD_PRESSURE || !self.deferrable(job) {
            return Ok(());
        }
        let cut = ((pressure - HARD_PRESSURE) * CUT).min(MOST_CUT);
        let over = self.shares.over(job.account, cut, now_ms);
        if over <= 1.0 {
            return Ok(());
        }
        Err(refusal(RefusalReason::OverShare, self.over_share_ms(over)))
    }

    /// The share of the engines scored last that are believed to have slack and memory.
    fn free_share(&self) -> f64 {
        let slack_ms = self.settings.slack_ms.0 as f64;
        let open = || self.scratch.scored.iter().filter(|s| !s.kept);
        // Whether this very job fits says nothing of the fleet: the longest fit nowhere alone.
        let is_free = |s: &&Scored| s.kv_free >= LARGE_TOKENS && s.backlog_ms <= slack_ms;
        let free = open().filter(is_free).count();
        free as f64 / open().count().max(1) as f64
    }

    fn check_engines(&self, job: &Job) -> Result<(), Refusal> {
        let fleet = &self.tables.fleet;
        let serving = fleet.serving(job.model);
        if serving.is_empty() {
            return Err(Refusal {
                reason: RefusalReason::NoEngine,
                retry_after_ms: NO_ENGINE_RETRY_MS,
            });
        }
        let largest = fleet.largest_group(job.model);
        if job.kv_tokens() > largest {
            return Err(Refusal {
                reason: RefusalReason::TooLong,
                retry_after_ms: SpanMs(RETRY_BOUNDS_MS.1),
            });
        }
        Ok(())
    }

    /// How long the job is predicted to wait before its prefill begins.
    fn predicted_wait_ms(&mut self, job: &Job, now_ms: MonoMs) -> f64 {
        let engine_ms = self.engine_wait_ms(job, now_ms);
        if !self.deferrable(job) {
            return engine_ms;
        }
        let start_ms = self.latest_start_ms(job);
        let queued = self.tables.queue.iter();
        let entries = queued.filter_map(|slot| self.tables.jobs.get(*slot));
        let before = entries.filter(|entry| self.latest_start_ms(&entry.job) <= start_ms);
        let ahead_tokens: f64 = before.map(|entry| entry.prefill_tokens).sum();
        if ahead_tokens == 0.0 {
            return engine_ms;
        }
        let drain_per_s = self.demand.drain_per_s();
        let queue_ms = drain_per_s.map_or(0.0, |rate| ahead_tokens * 1_000.0 / rate);
        engine_ms + queue_ms
    }

    /// The wait on the engine where the job could begin first. Work that may borrow memory needs
    /// none of the engines to have enough alone.
    fn engine_wait_ms(&mut self, job: &Job, now_ms: MonoMs) -> f64 {
        let best = self.best_ahead(job, now_ms);
        let alone_ms = best.map_or(0.0, |scored| scored.wait_ms);
        if !self.may_borrow(job) || self.lendable_tokens() < job.kv_tokens().0 {
            return alone_ms;
        }
        let backlogs = self.scratch.scored.iter().map(|scored| scored.backlog_ms);
        backlogs.fold(alone_ms, f64::min)
    }

    /// When an account's decaying work will be down to the level, if it asks for nothing more.
    fn over_share_ms(&self, over: f64) -> f64 {
        over.ln() * crate::shares::DECAY_MS
    }

    fn answer_ms(&self, job: &Job) -> f64 {
        self.demand.answer_tokens(job.class) * self.tables.fleet.mean_step_ms()
    }
}

fn refusal(reason: RefusalReason, excess_ms: f64) -> Refusal {
    let wait_ms = excess_ms.ceil() as u64;
    Refusal {
        reason,
        retry_after_ms: SpanMs(wait_ms.clamp(RETRY_BOUNDS_MS.0, RETRY_BOUNDS_MS.1)),
    }
}
