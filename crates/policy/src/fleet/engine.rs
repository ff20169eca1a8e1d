//! One engine: what it reported, late, and what this node sent there since.

use super::{Busy, Health};
use crate::cost::CostModel;
use crate::job::EngineFacts;
use crate::jobs::Slot;
use bluebell_base::prelude::*;
use bluebell_upstreams::LoadReport;

/// A job sent so shortly before the instant of a report is not in it: it was underway.
const UNDERWAY_MS: SpanMs = SpanMs(10);

/// An engine that refused a group's memory is not asked again for so long.
const GROUP_REFUSED_MS: SpanMs = SpanMs(1_500);

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Open,
    /// It does not; what it runs goes on.
    Leaving,
}

/// A job of this node on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlight {
    /// The job.
    pub slot: Slot,
    /// When it was sent.
    pub sent_ms: MonoMs,
    /// Its prefill in tokens; zero once its first token came.
    pub prefill_tokens: f64,
    /// The memory it takes there.
    pub kv_tokens: Tokens,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What is known of it apart from its load.
    pub facts: EngineFacts,
    /// Whether it takes new work.
    pub state: State,
    /// What was learned of its speed.
    pub cost: CostModel,
    /// Whether it may be trusted with work.
    pub health: Health,
    /// How often it prefills.
    pub busy: Busy,
    /// Its latest report.
    pub report: LoadReport,
    /// The instant that the report describes.
    pub reported_ms: MonoMs,
    group_after_ms: MonoMs,
    /// The jobs of this node there.
    pub in_flight: Vec<InFlight>,
    backlog_tokens: f64,
    backlog_ms: MonoMs,
    kv_used: u64,
}

impl Engine {
    /// An engine of which only the facts are known.
    pub fn new(facts: EngineFacts, cost: CostModel, now_ms: MonoMs) -> Self {
        Self {
            facts,
            state: State::Open,
            cost,
            health: Health::default(),
            busy: Busy::default(),
            report: LoadReport::default(),
            reported_ms: now_ms,
            group_after_ms: now_ms,
            in_flight: Vec::new(),
            backlog_tokens: 0.0,
            backlog_ms: now_ms,
            kv_used: 0,
        }
    }

    /// Takes new facts in.
    pub fn update(&mut self, facts: EngineFacts) {
        self.facts = facts;
        self.state = State::Open;
    }

    /// Takes a report in. What this node sent after the instant it describes is added to it, as
    /// a late report cannot know of it.
    pub fn on_load(&mut self, report: &LoadReport, now_ms: MonoMs) {
        let describes_ms = now_ms - report.age_ms;
        if describes_ms < self.reported_ms {
            // Reports may overtake each other; an older one would undo a newer.
            return;
        }
        let reported_tokens = report.prefill_backlog_tokens.0 as f64;
        self.busy
            .observe(reported_tokens, report.step_ms, describes_ms);
        self.report = *report;
        self.reported_ms = describes_ms;
        self.backlog_tokens = report.prefill_backlog_tokens.0 as f64;
        self.backlog_ms = describes_ms;
        self.kv_used = report.kv_used_tokens.0;
        for job in &self.in_flight {
            if job.sent_ms + UNDERWAY_MS >= describes_ms {
                self.backlog_tokens += job.prefill_tokens;
                self.kv_used += job.kv_tokens.0;
            }
        }
    }

    /// The prefill work believed to be waiting there now, in tokens: the last known one less
    /// what the engine's learned rate has worked off since.
    pub fn backlog_tokens(&self, now_ms: MonoMs) -> f64 {
        let elapsed_s = now_ms.since(self.backlog_ms).0 as f64 / 1_000.0;
        (self.backlog_tokens - elapsed_s * self.cost.prefill_per_s).max(0.0)
    }

    /// The KV memory believed used, in tokens.
    pub fn kv_used(&self) -> u64 {
        self.kv_used
    }

    /// The KV memory believed free, in tokens.
    pub fn kv_free(&self) -> u64 {
        self.facts.kv_capacity_tokens.0.saturating_sub(self.kv_used)
    }

    /// The engine refused a group's memory.
    pub fn group_refused(&mut self, now_ms: MonoMs) {
        self.group_after_ms = now_ms + GROUP_REFUSED_MS;
    }

    /// Whether a group may ask it for memory.
    pub fn takes_group(&self, now_ms: MonoMs) -> bool {
        now_ms >= self.group_after_ms
    }

    /// A job was sent there.
    pub fn sent(&mut self, job: InFlight) {
        self.backlog_tokens = self.backlog_tokens(job.sent_ms) + job.prefill_tokens;
        self.backlog_ms = job.sent_ms;
        self.kv_used += job.kv_tokens.0;
        self.busy.news(job.sent_ms);
        self.in_flight.push(job);
    }

    /// A job's first token came: its prefill is done.
    pub fn first_token(&mut self, slot: Slot) {
        if let Some(job) = self.in_flight.iter_mut().find(|j| j.slot == slot) {
            job.prefill_tokens = 0.0;
        }
    }

    /// A job ended there.
    pub fn ended(&mut self, slot: Slot) {
        let found = self.in_flight.iter().position(|j| j.slot == slot);
        if let Some(index) = found {
            let job = self.in_flight.swap_remove(index);
            self.kv_used = self.kv_used.saturating_sub(job.kv_tokens.0);
            self.backlog_tokens = (self.backlog_tokens - job.prefill_tokens).max(0.0);
        }
    }
}
