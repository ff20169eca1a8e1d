//! The tables that every policy keeps, and the passes that keep them in step: engines, jobs and
//! the queue of undecided jobs.
//!
//! Invariants: see [`crate::verify`]; each method leaves all of them true.

mod dump;

pub use dump::dump;

use crate::cost::{CostModel, Sample};
use crate::fleet::{Fleet, InFlight};
use crate::job::{Decision, GroupPart, Job, Outcome};
use crate::jobs::{Entry, Jobs, Slot, Stage};
use crate::settings::PolicySettings;
use bluebell_base::prelude::*;
use bluebell_upstreams::Priority;

/// Engines, jobs and the queue.
#[derive(Debug)]
pub struct Tables {
    /// The engines.
    pub fleet: Fleet,
    /// The jobs.
    pub jobs: Jobs,
    /// The undecided jobs.
    pub queue: Vec<Slot>,
}

/// Where a job goes, and what that was decided from.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The engine that runs it.
    pub upstream: UpstreamId,
    /// The engines that lend it memory.
    pub members: Vec<GroupPart>,
    /// Its priority.
    pub priority: Priority,
    /// Its own prefill there, in tokens.
    pub prefill_tokens: f64,
    /// The tokens believed ahead of it.
    pub ahead_tokens: f64,
    /// The first token's wait predicted, in milliseconds.
    pub predicted_ms: f64,
}

impl Tables {
    /// Empty tables.
    pub fn open(settings: &PolicySettings) -> Self {
        let prior = CostModel::prior(settings.prior_prefill, settings.prior_overhead_ms);
        Self {
            fleet: Fleet::open(prior, settings.group_parts),
            jobs: Jobs::default(),
            queue: Vec::new(),
        }
    }

    /// Takes a job in and queues it; one already known is left as it is.
    pub fn enqueue(&mut self, job: Job) {
        if self.jobs.slot(job.request).is_some() {
            return;
        }
        let slot = self.jobs.insert(job);
        self.queue.push(slot);
    }

    /// Marks a queued job as sent and gives the decision that says so. The caller takes its slot
    /// out of the queue.
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
        self.note_sent(placement.upstream, in_flight);
        for member in &placement.members {
            let in_flight = InFlight {
                prefill_tokens: 0.0,
                kv_tokens: member.kv_tokens,
                ..in_flight
            };
            self.note_sent(member.upstream, in_flight);
        }
        Some(decision(request, placement))
    }

    /// A sent job's first token came; the cost model and the health learn from it.
    pub fn first_token(&mut self, request: RequestId, now_ms: MonoMs) {
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
            seen_ms: now_ms.since(entry.sent_ms).0 as f64,
        };
        let upstream = entry.upstream;
        if let Some(upstream) = upstream {
            self.fleet.learn(upstream, sample);
        }
        let engine = upstream.and_then(|id| self.fleet.get_mut(id));
        if let Some(engine) = engine {
            engine.health.succeeded();
            engine.first_token(slot);
        }
    }

    /// A job's attempt ended; gives the job's entry back.
    pub fn end(&mut self, request: RequestId, outcome: Outcome, now_ms: MonoMs) -> Option<Entry> {
        let entry = self.take(request)?;
        let engine = entry.upstream.and_then(|id| self.fleet.get_mut(id));
        if let Some(engine) = engine {
            match outcome {
                Outcome::Finished(_) => engine.health.succeeded(),
                Outcome::Failed => engine.health.failed(now_ms),
                Outcome::NotRun | Outcome::Cancelled => {}
            }
        }
        Some(entry)
    }

    /// A recalled job's attempt ended before its first token: it is queued again. Gives whether
    /// that was so.
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
        entry.lost = false;
        let upstream = entry.upstream.take();
        if let Some(engine) = upstream.and_then(|id| self.fleet.get_mut(id)) {
            engine.ended(slot);
        }
        self.queue.push(slot);
        true
    }

    /// Takes a job out, wherever it is.
    pub fn take(&mut self, request: RequestId) -> Option<Entry> {
        let slot = self.jobs.slot(request)?;
        let entry = self.jobs.remove(slot)?;
        if entry.stage == Stage::Queued {
            self.queue.retain(|queued| *queued != slot);
        }
        let members = entry.members.iter().map(|member| member.upstream);
        for upstream in entry.upstream.into_iter().chain(members) {
            if let Some(engine) = self.fleet.get_mut(upstream) {
                engine.ended(slot);
            }
        }
        Some(entry)
    }

    /// An engine is gone; its jobs stay until their ends are told.
    pub fn gone(&mut self, upstream: UpstreamId) {
        if let Some(engine) = self.fleet.get(upstream) {
            for in_flight in &engine.in_flight {
                if let Some(entry) = self.jobs.get_mut(in_flight.slot) {
                    entry.lost |= entry.upstream == Some(upstream);
                }
            }
        }
        self.fleet.gone(upstream);
    }

    fn note_sent(&mut self, upstream: UpstreamId, in_flight: InFlight) {
        if let Some(engine) = self.fleet.get_mut(upstream) {
            engine.sent(in_flight);
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
