//! Admission: accepts a job if its predicted outcome is good, and refuses it immediately otherwise.
//!
//! Invariants: the retry time of a refusal is the time after which the excessive wait is predicted
//! to have drained; it is never used to keep the caller away for longer than that.

use super::Laxity;
use super::score::{LARGE_JOB_TOKENS, SHORT_PROMPT_TOKENS, Scored};
use crate::job::{Job, Refusal, RefusalReason};
use bluebell_base::prelude::*;

/// Retry time of a refusal when no engine serves the model.
const NO_ENGINE_RETRY_MS: SpanMs = SpanMs(1_000);
/// Lower and upper bound of the retry time of a refusal.
const RETRY_AFTER_BOUNDS_MS: (u64, u64) = (200, 60_000);
/// Pressure above which surging accounts are limited.
const SURGE_LIMIT_PRESSURE: f64 = 0.1;
/// Pressure above which accounts over their share are limited even if they do not surge.
const SHARE_LIMIT_PRESSURE: f64 = 0.5;
/// Retry time of a refusal because of a surge, in milliseconds. By then a part of the account's
/// admitted work has decayed.
const SURGE_RETRY_MS: f64 = 10_000.0;
/// Share of free engines below which surging accounts are limited.
const MIN_FREE_SHARE: f64 = 0.4;
/// Reduction of the distributed work for each unit of pressure above [`SHARE_LIMIT_PRESSURE`].
const CUT_PER_PRESSURE: f64 = 1.0;
/// Maximum reduction of the distributed work.
const MAX_CUT: f64 = 0.5;
/// Share of its laxity that a job may be predicted to wait.
const MAX_WAIT_SHARE: f64 = 0.8;

/// Returns the work of a job in tokens, as counted for the shares.
pub(super) fn work_tokens(job: &Job) -> f64 {
    (job.prompt_tokens + job.max_tokens).0 as f64
}

impl Laxity {
    /// Checks if a job may be admitted, and returns the refusal if not.
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
            // The job was admitted before and is tried again after a failure. The admission holds
            // as long as the deadline can be met. A group that found no memory is checked again: if
            // all such groups stayed admitted, they would fail in turn until their targets are
            // missed.
            return Ok(());
        }
        let to_target_ms = job.first_token_due_ms.since(now_ms).0 as f64;
        let laxity_ms = (to_target_ms - service_ms).max(0.0);
        let max_wait_ms = laxity_ms * MAX_WAIT_SHARE;
        if wait_ms > max_wait_ms && wait_ms > 1.0 {
            return Err(refusal(RefusalReason::Overloaded, wait_ms - max_wait_ms));
        }
        self.check_share(job, now_ms)
    }

    /// Refuses long work of accounts over their share. A surging account is refused as soon as
    /// waits approach the targets or few engines are free, any other account only when targets are
    /// about to be missed. Short work is always admitted, because refusing it relieves nothing.
    fn check_share(&mut self, job: &Job, now_ms: MonoMs) -> Result<(), Refusal> {
        if job.prompt_tokens.0 <= SHORT_PROMPT_TOKENS {
            return Ok(());
        }
        let pressure = self.demand.pressure();
        let near = pressure > SURGE_LIMIT_PRESSURE || self.free_engine_share() < MIN_FREE_SHARE;
        if near && self.shares.is_surging(job.account, now_ms) {
            return Err(refusal(RefusalReason::OverShare, SURGE_RETRY_MS));
        }
        if pressure <= SHARE_LIMIT_PRESSURE || !self.deferrable(job) {
            return Ok(());
        }
        let cut = ((pressure - SHARE_LIMIT_PRESSURE) * CUT_PER_PRESSURE).min(MAX_CUT);
        let ratio = self.shares.ratio_to_level(job.account, cut, now_ms);
        if ratio <= 1.0 {
            return Ok(());
        }
        Err(refusal(RefusalReason::OverShare, self.over_share_ms(ratio)))
    }

    /// Returns the share of the engines scored last that are estimated to have slack and free
    /// memory.
    fn free_engine_share(&self) -> f64 {
        let slack_ms = self.settings.slack_ms.0 as f64;
        let open = || self.scratch.scored.iter().filter(|s| !s.reserved);
        // The check uses a fixed size. The size of this job would say nothing about the fleet,
        // since the longest jobs fit on no single engine.
        let is_free = |s: &&Scored| s.kv_free >= LARGE_JOB_TOKENS && s.backlog_ms <= slack_ms;
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
        let largest = fleet.largest_group_tokens(job.model);
        if job.kv_tokens() > largest {
            return Err(Refusal {
                reason: RefusalReason::TooLong,
                retry_after_ms: SpanMs(RETRY_AFTER_BOUNDS_MS.1),
            });
        }
        Ok(())
    }

    /// Returns the predicted wait before the job's prefill begins.
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

    /// Returns the wait on the engine where the job could begin first. A job that may borrow memory
    /// does not need a single engine with enough of it.
    fn engine_wait_ms(&mut self, job: &Job, now_ms: MonoMs) -> f64 {
        let best = self.least_wait(job, now_ms);
        let alone_ms = best.map_or(0.0, |scored| scored.wait_ms);
        if !self.may_borrow(job) || self.lendable_tokens() < job.kv_tokens().0 {
            return alone_ms;
        }
        let backlogs = self.scratch.scored.iter().map(|scored| scored.backlog_ms);
        backlogs.fold(alone_ms, f64::min)
    }

    /// Returns the time after which the account's decaying work falls to the level if it sends
    /// nothing more.
    fn over_share_ms(&self, ratio: f64) -> f64 {
        ratio.ln() * crate::shares::DECAY_MS
    }

    fn answer_ms(&self, job: &Job) -> f64 {
        self.demand.answer_tokens(job.class) * self.tables.fleet.mean_step_ms()
    }
}

fn refusal(reason: RefusalReason, excess_ms: f64) -> Refusal {
    let wait_ms = excess_ms.ceil() as u64;
    Refusal {
        reason,
        retry_after_ms: SpanMs(wait_ms.clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1)),
    }
}
