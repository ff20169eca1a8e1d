//! Ordering: who goes first in this node's queue, and at which priority on an engine.

use super::Laxity;
use crate::job::Job;
use crate::jobs::Slot;
use bluebell_base::prelude::*;
use bluebell_upstreams::Priority;

/// What a busy engine's steps cost work that comes to it.
const STEPS_MS: SpanMs = SpanMs(350);
/// Steps of priority for each doubling of the laxity.
const STEPS_PER_DOUBLING: f64 = 4.0;

impl Laxity {
    /// Sorts by when each job must be started at the latest to meet its target.
    pub(super) fn sort_by_urgency(&self, slots: &mut [Slot]) {
        slots.sort_by_key(|slot| {
            let entry = self.tables.jobs.get(*slot);
            entry.map(|entry| (self.latest_start_ms(&entry.job), entry.job.request))
        });
    }

    /// When the job must be started at the latest to meet its target.
    pub(super) fn latest_start_ms(&self, job: &Job) -> MonoMs {
        job.first_token_due_ms - self.service_ms(job)
    }

    /// Whether the job cannot wait longer: on a busy engine it waits for the running step and shares
    /// the next one, which must still fit before its target.
    pub(super) fn is_urgent(&self, job: &Job, now_ms: MonoMs) -> bool {
        now_ms + STEPS_MS >= self.latest_start_ms(job)
    }

    /// The job's prefill alone on an idle engine, by the fleet's mean speed.
    pub(super) fn service_ms(&self, job: &Job) -> SpanMs {
        let cost = self.tables.fleet.mean_cost();
        let service_ms = cost.overhead_ms + cost.prefill_ms(job.prompt_tokens.0 as f64);
        SpanMs(service_ms as u64)
    }

    /// The priority on an engine: higher for less laxity.
    ///
    /// It is compared there with that of other nodes' work, so it is made of spans and not of
    /// instants, which nodes do not share. A job's laxity counts as half of its service at least:
    /// otherwise a long prompt that is nearly late would stop all short ones for as long as its
    /// prefill takes.
    pub(super) fn priority(&self, job: &Job, now_ms: MonoMs) -> Priority {
        let service_ms = self.service_ms(job).0 as f64;
        let due_ms = if now_ms < job.first_token_due_ms {
            job.first_token_due_ms
        } else {
            job.deadline_ms
        };
        let left_ms = due_ms.since(now_ms).0 as f64;
        let laxity_ms = (left_ms - service_ms).max(service_ms / 2.0).max(1.0);
        Priority(-(laxity_ms.log2() * STEPS_PER_DOUBLING).round() as i32)
    }
}
