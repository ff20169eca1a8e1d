//! The baseline policies: simple placement rules in order of arrival, without admission control.

use crate::groups::{self, Offer};
use crate::job::{Decision, EngineFacts, Job, Outcome, Refusal, RefusalReason};
use crate::jobs::Slot;
use crate::settings::{Kind, PolicySettings};
use crate::tables::{Placement, Tables};
use crate::{Policy, Violation, verify};
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_upstreams::{LoadReport, Priority, engine::CacheEvent};
use std::fmt::Write;

/// Retry time of a refusal when no engine serves the model.
const NO_ENGINE_RETRY_MS: SpanMs = SpanMs(1_000);

/// A policy that places each job immediately by one simple rule.
pub struct Baseline {
    settings: PolicySettings,
    tables: Tables,
    rotation: u64,
    due: Vec<Slot>,
}

impl Baseline {
    /// Creates the baseline that the settings select. The rotation over the engines starts at
    /// `seed`.
    pub fn open(settings: PolicySettings, seed: u64) -> Self {
        Self {
            tables: Tables::open(&settings),
            settings,
            rotation: seed,
            due: Vec::new(),
        }
    }

    fn pick(&mut self, job: &Job, now_ms: MonoMs) -> Option<UpstreamId> {
        let all = self.tables.fleet.serving(job.model);
        let preferred: Vec<UpstreamId> = all
            .iter()
            .copied()
            .filter(|id| !job.avoid.contains(id))
            .collect();
        let list = if preferred.is_empty() {
            all
        } else {
            &preferred
        };
        if list.is_empty() {
            return None;
        }
        self.rotation = self.rotation.wrapping_add(1);
        let begin = (self.rotation % list.len() as u64) as usize;
        let rotated = list[begin..].iter().chain(&list[..begin]).copied();
        match self.settings.kind {
            Kind::LeastRequests => rotated.min_by_key(|id| self.outstanding_requests(*id)),
            Kind::LeastTokens => rotated.min_by_key(|id| self.outstanding_tokens(*id, now_ms)),
            _ => rotated.into_iter().next(),
        }
    }

    fn outstanding_requests(&self, upstream: UpstreamId) -> u64 {
        let Some(engine) = self.tables.fleet.get(upstream) else {
            return u64::MAX;
        };
        let reported = u64::from(engine.report.decoding) + u64::from(engine.report.waiting);
        let sent_since = |job: &&crate::fleet::InFlight| job.sent_ms >= engine.reported_ms;
        reported + engine.in_flight.iter().filter(sent_since).count() as u64
    }

    fn outstanding_tokens(&self, upstream: UpstreamId, now_ms: MonoMs) -> u64 {
        let Some(engine) = self.tables.fleet.get(upstream) else {
            return u64::MAX;
        };
        engine.backlog_tokens(now_ms) as u64 + engine.kv_used()
    }

    fn place(&mut self, slot: Slot, now_ms: MonoMs) -> Option<Placement> {
        let job = self.tables.jobs.get(slot)?.job.clone();
        let leader = self.pick(&job, now_ms)?;
        let engine = self.tables.fleet.get(leader)?;
        let capacity = engine.facts.kv_capacity_tokens.0;
        let ahead_tokens = engine.backlog_tokens(now_ms);
        let mut members = Vec::new();
        if job.kv_tokens().0 > capacity {
            let offer = |id: UpstreamId| {
                let engine = self.tables.fleet.get(id);
                Offer {
                    upstream: id,
                    kv_tokens: engine.map_or(0, |e| e.facts.kv_capacity_tokens.0),
                }
            };
            let list = self.tables.fleet.serving(job.model);
            let others: Vec<Offer> = list.iter().copied().map(offer).collect();
            let parts = self.settings.group_parts;
            members = groups::build(offer(leader), &others, job.kv_tokens(), parts)?.members;
        }
        let prefill_tokens = job.prompt_tokens.0 as f64;
        Some(Placement {
            upstream: leader,
            members,
            priority: Priority(0),
            prefill_tokens,
            ahead_tokens,
            predicted_ms: engine.cost.prefill_ms(prefill_tokens + ahead_tokens),
        })
    }
}

impl Policy for Baseline {
    fn engine_updated(&mut self, facts: EngineFacts, now_ms: MonoMs) {
        self.tables.fleet.upsert(facts, now_ms);
    }

    fn engine_leaving(&mut self, upstream: UpstreamId, _now_ms: MonoMs) {
        self.tables.fleet.mark_leaving(upstream);
    }

    fn engine_gone(&mut self, upstream: UpstreamId, _now_ms: MonoMs) {
        self.tables.remove_engine(upstream);
    }

    fn on_load(&mut self, upstream: UpstreamId, report: &LoadReport, now_ms: MonoMs) {
        self.tables.fleet.on_load(upstream, report, now_ms);
    }

    fn on_cache(&mut self, _upstream: UpstreamId, _events: &[CacheEvent], _gap: bool) {}

    fn admit(&mut self, job: Job, _now_ms: MonoMs) -> Result<(), Refusal> {
        let fleet = &self.tables.fleet;
        let serving = fleet.serving(job.model);
        if serving.is_empty() {
            return Err(Refusal {
                reason: RefusalReason::NoEngine,
                retry_after_ms: NO_ENGINE_RETRY_MS,
            });
        }
        if fleet.largest_group_tokens(job.model) < job.kv_tokens() {
            return Err(Refusal {
                reason: RefusalReason::TooLong,
                retry_after_ms: NO_ENGINE_RETRY_MS,
            });
        }
        self.tables.enqueue(job);
        Ok(())
    }

    fn decide(&mut self, now_ms: MonoMs, out: &mut Vec<Decision>) {
        let mut due = std::mem::take(&mut self.due);
        std::mem::swap(&mut due, &mut self.tables.queue);
        for slot in due.drain(..) {
            let placement = self.place(slot, now_ms);
            let decided = placement.and_then(|p| self.tables.send(slot, p, now_ms));
            match decided {
                Some(decision) => out.push(decision),
                None => out.extend(self.refuse(slot)),
            }
        }
        self.due = due;
    }

    fn next_wake_ms(&self) -> Option<MonoMs> {
        None
    }

    fn withdraw(&mut self, request: RequestId, _now_ms: MonoMs) {
        self.tables.remove(request);
    }

    fn on_accepted(
        &mut self,
        request: RequestId,
        _cached_tokens: Tokens,
        load: &LoadReport,
        now_ms: MonoMs,
    ) {
        let entry = self
            .tables
            .jobs
            .slot(request)
            .and_then(|slot| self.tables.jobs.get(slot));
        if let Some(upstream) = entry.and_then(|entry| entry.upstream) {
            self.on_load(upstream, load, now_ms);
        }
    }

    fn on_first_token(&mut self, request: RequestId, now_ms: MonoMs) {
        self.tables.on_first_token(request, now_ms);
    }

    fn on_end(&mut self, request: RequestId, outcome: Outcome, now_ms: MonoMs) {
        self.tables.on_end(request, outcome, now_ms);
    }

    fn set_config(&mut self, _config: &FleetConfig, _now_ms: MonoMs) {}

    fn verify(&self) -> Vec<Violation> {
        verify::check(&self.tables)
    }

    fn dump(&self) -> String {
        let mut text = String::new();
        let queued = self.tables.queue.len();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "policy {}: {queued} queued", self.settings.kind);
        crate::tables::dump(&self.tables, &mut text);
        text
    }
}

impl Baseline {
    fn refuse(&mut self, slot: Slot) -> Option<Decision> {
        let request = self.tables.jobs.get(slot)?.job.request;
        self.tables.remove(request);
        Some(Decision::Refuse {
            request,
            refusal: Refusal {
                reason: RefusalReason::NoEngine,
                retry_after_ms: NO_ENGINE_RETRY_MS,
            },
        })
    }
}
