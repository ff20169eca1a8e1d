//! State of one engine: its late reports, and the work that this node has sent there since.

use super::{Busy, Health};
use crate::cost::CostModel;
use crate::job::EngineFacts;
use crate::jobs::Slot;
use bluebell_base::prelude::*;
use bluebell_upstreams::LoadReport;

/// Time that a job may be in transit. A job sent less than this before the time that a report
/// describes is assumed to be missing from the report.
const IN_TRANSIT_MS: SpanMs = SpanMs(10);

/// Time for which an engine that refused a group's memory is not used for another group.
const GROUP_REFUSAL_BACKOFF_MS: SpanMs = SpanMs(1_500);

/// State of an engine in respect of new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The engine accepts new work.
    Open,
    /// The engine accepts no new work; its running jobs continue.
    Leaving,
}

/// A job of this node on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlight {
    /// Slot of the job.
    pub slot: Slot,
    /// Time at which the job was sent.
    pub sent_ms: MonoMs,
    /// Prefill work of the job in tokens; zero after its first token.
    pub prefill_tokens: f64,
    /// Memory that the job uses on this engine.
    pub kv_tokens: Tokens,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Properties other than the load.
    pub facts: EngineFacts,
    /// State in respect of new work.
    pub state: State,
    /// Cost model learned for this engine.
    pub cost: CostModel,
    /// Record of failures.
    pub health: Health,
    /// Statistics of how often it prefills.
    pub busy: Busy,
    /// Latest report.
    pub report: LoadReport,
    /// Time that the report describes.
    pub reported_ms: MonoMs,
    group_refused_until_ms: MonoMs,
    /// Jobs of this node on the engine.
    pub in_flight: Vec<InFlight>,
    backlog_tokens: f64,
    backlog_ms: MonoMs,
    kv_used: u64,
}

impl Engine {
    /// Creates the state of an engine of which only the facts are known.
    pub fn new(facts: EngineFacts, cost: CostModel, now_ms: MonoMs) -> Self {
        Self {
            facts,
            state: State::Open,
            cost,
            health: Health::default(),
            busy: Busy::default(),
            report: LoadReport::default(),
            reported_ms: now_ms,
            group_refused_until_ms: now_ms,
            in_flight: Vec::new(),
            backlog_tokens: 0.0,
            backlog_ms: now_ms,
            kv_used: 0,
        }
    }

    /// Replaces the facts. A leaving engine accepts work again.
    pub fn update(&mut self, facts: EngineFacts) {
        self.facts = facts;
        self.state = State::Open;
    }

    /// Records a report. Work that this node sent after the time that the report describes is added
    /// to it, because the report does not include it.
    pub fn on_load(&mut self, report: &LoadReport, now_ms: MonoMs) {
        let described_ms = now_ms - report.age_ms;
        if described_ms < self.reported_ms {
            // Reports may arrive out of order. An older one must not replace a newer one.
            return;
        }
        let reported_tokens = report.prefill_backlog_tokens.0 as f64;
        self.busy
            .observe(reported_tokens, report.step_ms, described_ms);
        self.report = *report;
        self.reported_ms = described_ms;
        self.backlog_tokens = report.prefill_backlog_tokens.0 as f64;
        self.backlog_ms = described_ms;
        self.kv_used = report.kv_used_tokens.0;
        for job in &self.in_flight {
            if job.sent_ms + IN_TRANSIT_MS >= described_ms {
                self.backlog_tokens += job.prefill_tokens;
                self.kv_used += job.kv_tokens.0;
            }
        }
    }

    /// Returns the estimated prefill backlog now, in tokens: the last known backlog minus the work
    /// done since at the engine's learned rate.
    pub fn backlog_tokens(&self, now_ms: MonoMs) -> f64 {
        let elapsed_s = now_ms.since(self.backlog_ms).0 as f64 / 1_000.0;
        (self.backlog_tokens - elapsed_s * self.cost.prefill_per_s).max(0.0)
    }

    /// Returns the estimated KV memory in use, in tokens.
    pub fn kv_used(&self) -> u64 {
        self.kv_used
    }

    /// Returns the estimated free KV memory, in tokens.
    pub fn kv_free(&self) -> u64 {
        self.facts.kv_capacity_tokens.0.saturating_sub(self.kv_used)
    }

    /// Records that the engine refused memory to a group.
    pub fn on_group_refused(&mut self, now_ms: MonoMs) {
        self.group_refused_until_ms = now_ms + GROUP_REFUSAL_BACKOFF_MS;
    }

    /// Returns true if a group may try to reserve memory there.
    pub fn accepts_group(&self, now_ms: MonoMs) -> bool {
        now_ms >= self.group_refused_until_ms
    }

    /// Records a job that was sent to the engine.
    pub fn on_sent(&mut self, job: InFlight) {
        self.backlog_tokens = self.backlog_tokens(job.sent_ms) + job.prefill_tokens;
        self.backlog_ms = job.sent_ms;
        self.kv_used += job.kv_tokens.0;
        self.busy.on_observation(job.sent_ms);
        self.in_flight.push(job);
    }

    /// Records the first token of a job, which means that its prefill is done.
    pub fn on_first_token(&mut self, slot: Slot) {
        if let Some(job) = self.in_flight.iter_mut().find(|j| j.slot == slot) {
            job.prefill_tokens = 0.0;
        }
    }

    /// Records the end of a job.
    pub fn on_ended(&mut self, slot: Slot) {
        let found = self.in_flight.iter().position(|j| j.slot == slot);
        if let Some(index) = found {
            let job = self.in_flight.swap_remove(index);
            self.kv_used = self.kv_used.saturating_sub(job.kv_tokens.0);
            self.backlog_tokens = (self.backlog_tokens - job.prefill_tokens).max(0.0);
        }
    }
}
