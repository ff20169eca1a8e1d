//! The tables that every policy keeps: engines, jobs and the queue of undecided jobs. Changes that
//! concern several tables are made here.
//!
//! Invariants: see [`crate::verify`]. They hold after each method.

mod dump;

pub use dump::dump;

use crate::cost::{CostModel, Sample};
use crate::fleet::{Fleet, InFlight};
use crate::job::{Decision, GroupPart, Job, Outcome};
use crate::jobs::{Entry, Jobs, Slot, Stage};
use crate::settings::PolicySettings;
use bluebell_base::prelude::*;
use bluebell_upstreams::Priority;

/// Tables of engines and jobs, and the queue.
#[derive(Debug)]
pub struct Tables {
    /// Table of engines.
    pub fleet: Fleet,
    /// Table of jobs.
    pub jobs: Jobs,
    /// Slots of the undecided jobs.
    pub queue: Vec<Slot>,
}

/// The engines chosen for a job, and the estimates on which the choice rests.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Engine that runs the job.
    pub upstream: UpstreamId,
    /// Engines that lend memory to the job.
    pub members: Vec<GroupPart>,
    /// Priority of the job on its engine.
    pub priority: Priority,
    /// Prefill work of the job on its engine, in tokens.
    pub prefill_tokens: f64,
    /// Estimated prefill work ahead of the job, in tokens.
    pub ahead_tokens: f64,
    /// Predicted time from sending to the first token, in milliseconds.
    pub predicted_ms: f64,
}

impl Tables {
    /// Creates empty tables.
    pub fn open(settings: &PolicySettings) -> Self {
        let prior = CostModel::prior(settings.prior_prefill, settings.prior_overhead_ms);
        Self {
            fleet: Fleet::open(prior, settings.group_parts),
            jobs: Jobs::default(),
            queue: Vec::new(),
        }
    }

    /// Inserts a job and queues it. A job that is already known stays unchanged.
    pub fn enqueue(&mut self, job: Job) {
        if self.jobs.slot(job.request).is_some() {
            return;
        }
        let slot = self.jobs.insert(job);
        self.queue.push(slot);
    }

    /// Marks a queued job as sent and returns the decision to send it. The caller removes its slot
    /// from the queue.
    pub fn send(&mut self, slot: Slot, placement: Placement, now_ms: MonoMs) -> Option<Decision> {
        let entry = self.jobs.get_mut(slot)?;
        entry.stage = Stage::Sent;
        entry.upstream = Some(placement.upstream);
        entry.sent_ms = now_ms;
        entry.prefill_tokens = placement.prefill_tokens;
        entry.ahead_tokens = placement.ahead_tokens;
        entry.predicted_ms = placement.predicted_ms;
        entry.members.clone_from(&placement.members);
        let lent: Tokens = placement.members.iter().map(|m| m.kv_tokens).sum();
        let request = entry.job.request;
        let in_flight = InFlight {
            slot,
            sent_ms: now_ms,
            prefill_tokens: placement.prefill_tokens,
            kv_tokens: entry.kv_tokens().saturating_sub(lent),
        };
        self.on_sent(placement.upstream, in_flight);
        for member in &placement.members {
            let in_flight = InFlight {
                prefill_tokens: 0.0,
                kv_tokens: member.kv_tokens,
                ..in_flight
            };
            self.on_sent(member.upstream, in_flight);
        }
        Some(decision(request, placement))
    }

    /// Records the first token of a sent job. Updates the cost model and the health of its engine.
    pub fn on_first_token(&mut self, request: RequestId, now_ms: MonoMs) {
        let Some(slot) = self.jobs.slot(request) else {
            return;
        };
        let Some(entry) = self.jobs.get_mut(slot) else {
            return;
        };
        if !matches!(entry.stage, Stage::Sent | Stage::Recalled) {
            return;
        }
        entry.stage = Stage::Decoding;
        let sample = Sample {
            own_tokens: entry.prefill_tokens,
            ahead_tokens: entry.ahead_tokens,
            predicted_ms: entry.predicted_ms,
            observed_ms: now_ms.since(entry.sent_ms).0 as f64,
        };
        let upstream = entry.upstream;
        if let Some(upstream) = upstream {
            self.fleet.learn(upstream, sample);
        }
        let engine = upstream.and_then(|id| self.fleet.get_mut(id));
        if let Some(engine) = engine {
            engine.health.on_success();
            engine.on_first_token(slot);
        }
    }

    /// Records the end of a job's attempt and returns the removed entry.
    pub fn on_end(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        now_ms: MonoMs,
    ) -> Option<Entry> {
        let entry = self.remove(request)?;
        let engine = entry.upstream.and_then(|id| self.fleet.get_mut(id));
        if let Some(engine) = engine {
            match outcome {
                Outcome::Finished(_) => engine.health.on_success(),
                Outcome::Failed => engine.health.on_failure(now_ms),
                Outcome::NotRun | Outcome::Cancelled => {}
            }
        }
        Some(entry)
    }

    /// Queues a recalled job again if its attempt was cancelled before its first token. Returns
    /// true if it did.
    pub fn requeue(&mut self, request: RequestId, outcome: Outcome) -> bool {
        let Some(slot) = self.jobs.slot(request) else {
            return false;
        };
        let Some(entry) = self.jobs.get_mut(slot) else {
            return false;
        };
        let cancelled = matches!(outcome, Outcome::NotRun | Outcome::Cancelled);
        if entry.stage != Stage::Recalled || !cancelled {
            return false;
        }
        entry.stage = Stage::Queued;
        entry.engine_removed = false;
        let upstream = entry.upstream.take();
        if let Some(engine) = upstream.and_then(|id| self.fleet.get_mut(id)) {
            engine.on_ended(slot);
        }
        self.queue.push(slot);
        true
    }

    /// Removes a job from all tables.
    pub fn remove(&mut self, request: RequestId) -> Option<Entry> {
        let slot = self.jobs.slot(request)?;
        let entry = self.jobs.remove(slot)?;
        if entry.stage == Stage::Queued {
            self.queue.retain(|queued| *queued != slot);
        }
        let members = entry.members.iter().map(|member| member.upstream);
        for upstream in entry.upstream.into_iter().chain(members) {
            if let Some(engine) = self.fleet.get_mut(upstream) {
                engine.on_ended(slot);
            }
        }
        Some(entry)
    }

    /// Removes an engine. Its jobs stay until their ends are reported.
    pub fn remove_engine(&mut self, upstream: UpstreamId) {
        if let Some(engine) = self.fleet.get(upstream) {
            for in_flight in &engine.in_flight {
                if let Some(entry) = self.jobs.get_mut(in_flight.slot) {
                    entry.engine_removed |= entry.upstream == Some(upstream);
                }
            }
        }
        self.fleet.remove(upstream);
    }

    fn on_sent(&mut self, upstream: UpstreamId, in_flight: InFlight) {
        if let Some(engine) = self.fleet.get_mut(upstream) {
            engine.on_sent(in_flight);
        }
    }
}

fn decision(request: RequestId, placement: Placement) -> Decision {
    if placement.members.is_empty() {
        return Decision::Send {
            request,
            upstream: placement.upstream,
            priority: placement.priority,
        };
    }
    Decision::Group {
        request,
        leader: placement.upstream,
        members: placement.members,
        priority: placement.priority,
    }
}
