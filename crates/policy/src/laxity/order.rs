//! The order of jobs in this node's queue, and their priority on an engine.

use super::Laxity;
use crate::job::Job;
use crate::jobs::Slot;
use bluebell_base::prelude::*;
use bluebell_upstreams::Priority;

/// Delay of new work on a busy engine: the rest of the running step and the next step, which it
/// shares.
const BUSY_ENGINE_DELAY_MS: SpanMs = SpanMs(350);
/// Number of priority steps for each doubling of the laxity.
const PRIORITY_STEPS_PER_DOUBLING: f64 = 4.0;

impl Laxity {
    /// Sorts jobs by the latest time at which each must be started to meet its target.
    pub(super) fn sort_by_urgency(&self, slots: &mut [Slot]) {
        slots.sort_by_key(|slot| {
            let entry = self.tables.jobs.get(*slot);
            entry.map(|entry| (self.latest_start_ms(&entry.job), entry.job.request))
        });
    }

    /// Returns the latest time at which the job must be started to meet its target.
    pub(super) fn latest_start_ms(&self, job: &Job) -> MonoMs {
        job.first_token_due_ms - self.service_ms(job)
    }

    /// Returns true if the job cannot wait longer. On a busy engine it waits for the running step
    /// and shares the next one, which must still end before its target.
    pub(super) fn is_urgent(&self, job: &Job, now_ms: MonoMs) -> bool {
        now_ms + BUSY_ENGINE_DELAY_MS >= self.latest_start_ms(job)
    }

    /// Returns the duration of the job's prefill alone on an idle engine, at the fleet's mean
    /// speed.
    pub(super) fn service_ms(&self, job: &Job) -> SpanMs {
        let cost = self.tables.fleet.mean_cost();
        let service_ms = cost.overhead_ms + cost.prefill_ms(job.prompt_tokens.0 as f64);
        SpanMs(service_ms as u64)
    }

    /// Returns the job's priority on an engine. Less laxity gives a higher priority.
    ///
    /// Engines compare it with the priorities set by other nodes. It is therefore derived from time
    /// spans: nodes have no common clock for instants. The laxity counts as at least half of the
    /// service. Otherwise a long prompt that is almost late would block all short ones for the
    /// whole duration of its prefill.
    pub(super) fn priority(&self, job: &Job, now_ms: MonoMs) -> Priority {
        let service_ms = self.service_ms(job).0 as f64;
        let due_ms = if now_ms < job.first_token_due_ms {
            job.first_token_due_ms
        } else {
            job.deadline_ms
        };
        let left_ms = due_ms.since(now_ms).0 as f64;
        let laxity_ms = (left_ms - service_ms).max(service_ms / 2.0).max(1.0);
        Priority(-(laxity_ms.log2() * PRIORITY_STEPS_PER_DOUBLING).round() as i32)
    }
}
