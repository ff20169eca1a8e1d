//! The production policy: jobs with the least laxity go first, short work is sent immediately, and
//! long work waits for engines with slack.
//!
//! Terms: a job's *service* is the time of its prefill alone on an idle engine; its *laxity* is the
//! time left to its target after its service; *deferrable* work has a service longer than a bound
//! and may wait in this node's queue until an engine has slack for it; *urgent* work cannot wait
//! longer.
//!
//! Invariants: work that is not deferrable leaves the queue in the same call of `decide`; a queued
//! job is sent or refused no later than the time when its deadline can no longer be met; a refusal
//! is reported immediately.

mod admission;
mod demand;
mod dump;
mod order;
mod placement;
mod recall;
mod score;

use crate::cache::CacheView;
use crate::job::{Decision, EngineFacts, Job, Outcome, Refusal};
use crate::jobs::Slot;
use crate::settings::PolicySettings;
use crate::shares::Shares;
use crate::tables::Tables;
use crate::{Policy, Violation, verify};
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_upstreams::{LoadReport, engine::CacheEvent};
use demand::Demand;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use score::Scored;

/// Increase of a group's wait for each refused reservation.
const GROUP_BACKOFF_STEP_MS: SpanMs = SpanMs(25);
/// Longest wait of a group between two reservations.
const MAX_GROUP_BACKOFF_MS: SpanMs = SpanMs(500);

/// The production policy.
pub struct Laxity {
    settings: PolicySettings,
    tables: Tables,
    cache: CacheView,
    shares: Shares,
    demand: Demand,
    rng: ChaCha8Rng,
    scratch: Scratch,
}

/// Buffers that are reused, so that a decision does not allocate.
#[derive(Debug, Default)]
struct Scratch {
    due: Vec<Slot>,
    scored: Vec<Scored>,
    /// Job and time for which `scored` was filled, or `None` if anything has changed since.
    scored_for: Option<(RequestId, MonoMs)>,
    recalls: Vec<RequestId>,
    offers: Vec<crate::groups::Offer>,
    covering: Vec<(UpstreamId, Tokens)>,
}

impl Laxity {
    /// Creates the policy. The seed is used to choose between engines of about equal score.
    pub fn open(settings: PolicySettings, config: &FleetConfig, seed: u64) -> Self {
        Self {
            tables: Tables::open(&settings),
            settings,
            cache: CacheView::default(),
            shares: Shares::open(config),
            demand: Demand::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            scratch: Scratch::default(),
        }
    }

    /// Records the share of its laxity that a job waited. Short work is not recorded: it waits at
    /// most for the running step, which says nothing about the fleet's load.
    fn record_wait(&mut self, request: RequestId, now_ms: MonoMs) {
        let slot = self.tables.jobs.slot(request);
        let Some(entry) = slot.and_then(|slot| self.tables.jobs.get(slot)) else {
            return;
        };
        let job = entry.job.clone();
        if !self.deferrable(&job) {
            return;
        }
        let service_ms = self.service_ms(&job).0 as f64;
        let waited_ms = now_ms.since(job.arrived_ms).0 as f64 - service_ms;
        let laxity_ms = job.first_token_due_ms.since(job.arrived_ms).0 as f64 - service_ms;
        self.demand.record_wait(waited_ms / laxity_ms.max(1.0));
    }

    /// Returns the time that a group waits before it is tried again. Newer memory data must arrive
    /// first, or the group would be refused repeatedly within milliseconds.
    fn group_backoff_ms(&self, job: &Job) -> SpanMs {
        if !self.may_borrow(job) {
            return SpanMs::ZERO;
        }
        let refusals = job.avoid.len() as u64;
        SpanMs((refusals * GROUP_BACKOFF_STEP_MS.0).min(MAX_GROUP_BACKOFF_MS.0))
    }

    /// Records a refused reservation. The last engine that a returning group avoids is the one that
    /// refused it memory.
    fn record_group_refusal(&mut self, job: &Job, now_ms: MonoMs) {
        if !self.may_borrow(job) {
            return;
        }
        let refused_by = job.avoid.last();
        if let Some(engine) = refused_by.and_then(|id| self.tables.fleet.get_mut(*id)) {
            engine.on_group_refused(now_ms);
        }
    }
}

impl Policy for Laxity {
    fn engine_updated(&mut self, facts: EngineFacts, now_ms: MonoMs) {
        self.scratch.scored_for = None;
        self.tables.fleet.upsert(facts, now_ms);
    }

    fn engine_leaving(&mut self, upstream: UpstreamId, _now_ms: MonoMs) {
        self.scratch.scored_for = None;
        self.tables.fleet.mark_leaving(upstream);
    }

    fn engine_gone(&mut self, upstream: UpstreamId, _now_ms: MonoMs) {
        self.scratch.scored_for = None;
        self.tables.remove_engine(upstream);
        self.cache.forget(upstream);
    }

    fn on_load(&mut self, upstream: UpstreamId, report: &LoadReport, now_ms: MonoMs) {
        self.scratch.scored_for = None;
        self.tables.fleet.on_load(upstream, report, now_ms);
    }

    fn on_cache(&mut self, upstream: UpstreamId, events: &[CacheEvent], gap: bool) {
        self.scratch.scored_for = None;
        self.cache.on_events(upstream, events, gap);
    }

    fn admit(&mut self, job: Job, now_ms: MonoMs) -> Result<(), Refusal> {
        if self.tables.jobs.slot(job.request).is_some() {
            return Ok(());
        }
        self.record_group_refusal(&job, now_ms);
        let cost = admission::work_tokens(&job);
        self.shares.offer(job.account, cost, now_ms);
        self.check(&job, now_ms)?;
        self.shares.admit(job.account, cost, now_ms);
        let group_backoff_ms = self.group_backoff_ms(&job);
        let request = job.request;
        self.tables.enqueue(job);
        let slot = self.tables.jobs.slot(request);
        if let Some(entry) = slot.and_then(|slot| self.tables.jobs.get_mut(slot)) {
            entry.not_before_ms = now_ms + group_backoff_ms;
        }
        Ok(())
    }

    fn decide(&mut self, now_ms: MonoMs, out: &mut Vec<Decision>) {
        self.take_recalls(out);
        let mut due = std::mem::take(&mut self.scratch.due);
        std::mem::swap(&mut due, &mut self.tables.queue);
        self.sort_by_urgency(&mut due);
        let mut waits = false;
        for slot in due.drain(..) {
            match self.decide_one(slot, now_ms) {
                Some(decision) => out.push(decision),
                None => {
                    waits = true;
                    self.tables.queue.push(slot);
                }
            }
        }
        self.scratch.due = due;
        self.demand.observe_queue(waits, now_ms);
    }

    fn next_wake_ms(&self) -> Option<MonoMs> {
        let waits = !self.tables.queue.is_empty();
        waits.then(|| self.demand.observed_ms() + self.settings.tick_ms)
    }

    fn withdraw(&mut self, request: RequestId, now_ms: MonoMs) {
        self.scratch.scored_for = None;
        if let Some(entry) = self.tables.remove(request) {
            let cost = admission::work_tokens(&entry.job);
            self.shares.give_back(entry.job.account, cost, now_ms);
        }
    }

    fn on_accepted(
        &mut self,
        request: RequestId,
        cached_tokens: Tokens,
        load: &LoadReport,
        now_ms: MonoMs,
    ) {
        self.scratch.scored_for = None;
        self.accepted(request, cached_tokens, load, now_ms);
    }

    fn on_first_token(&mut self, request: RequestId, now_ms: MonoMs) {
        self.scratch.scored_for = None;
        self.record_wait(request, now_ms);
        self.tables.on_first_token(request, now_ms);
    }

    fn on_end(&mut self, request: RequestId, outcome: Outcome, now_ms: MonoMs) {
        self.scratch.scored_for = None;
        if self.tables.requeue(request, outcome) {
            return;
        }
        let Some(entry) = self.tables.on_end(request, outcome, now_ms) else {
            return;
        };
        match outcome {
            Outcome::Finished(tokens) => self.demand.record_answer(entry.job.class, tokens),
            Outcome::NotRun => {
                let cost = admission::work_tokens(&entry.job);
                self.shares.give_back(entry.job.account, cost, now_ms);
            }
            Outcome::Failed | Outcome::Cancelled => {}
        }
    }

    fn set_config(&mut self, config: &FleetConfig, _now_ms: MonoMs) {
        self.shares.set_config(config);
        self.demand.forget_classes();
    }

    fn verify(&self) -> Vec<Violation> {
        let mut found = verify::check(&self.tables);
        verify::check_cache(&self.cache, &mut found);
        found
    }

    fn dump(&self) -> String {
        self.print()
    }
}
