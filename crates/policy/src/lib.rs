//! Scheduling policies for model requests: admission, queue order, placement on engines, the cost
//! model and fairness between client accounts. The policies do no I/O and read no clock.
//!
//! Terms: a *job* is the policy's view of a request; a *decision* is an action that the caller must
//! now carry out for a job; a *report* is an engine's load report, which arrives late.
//!
//! Invariants: the same calls with the same seed give the same decisions; every admitted job is
//! sent, placed on a group or refused no later than the time when its deadline can no longer be
//! met.

mod baseline;
mod cache;
mod cost;
mod fleet;
mod groups;
pub mod job;
mod jobs;
mod laxity;
pub mod settings;
mod shares;
mod tables;
pub mod verify;

pub use job::{Decision, EngineFacts, GroupPart, Job, Outcome, Prefix, Refusal, RefusalReason};
pub use settings::{Kind, PolicySettings};
pub use verify::Violation;

use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_upstreams::{LoadReport, engine::CacheEvent};

/// A scheduling policy. It receives events about engines and jobs and returns decisions.
pub trait Policy {
    /// Adds an engine, or replaces the facts of a known one.
    fn engine_updated(&mut self, facts: EngineFacts, now_ms: MonoMs);

    /// Stops placing jobs on an engine. Its running jobs continue.
    fn engine_leaving(&mut self, upstream: UpstreamId, now_ms: MonoMs);

    /// Removes an engine that has stopped. Its jobs have stopped with it.
    fn engine_gone(&mut self, upstream: UpstreamId, now_ms: MonoMs);

    /// Records a load report.
    fn on_load(&mut self, upstream: UpstreamId, report: &LoadReport, now_ms: MonoMs);

    /// Records cache events. `gap` says that events were lost; the policy then drops all that it
    /// knew of the engine's cache.
    fn on_cache(&mut self, upstream: UpstreamId, events: &[CacheEvent], gap: bool);

    /// Queues a job, or refuses it immediately.
    ///
    /// # Errors
    /// Returns a refusal if no engine can run the job, if its target or deadline cannot be met, or
    /// if its account is over its share.
    fn admit(&mut self, job: Job, now_ms: MonoMs) -> Result<(), Refusal>;

    /// Appends the decisions that are due now. Each is for an admitted job that is not yet decided,
    /// or recalls a job that was sent.
    fn decide(&mut self, now_ms: MonoMs, out: &mut Vec<Decision>);

    /// Returns the time of the next call of `decide` that is needed if no event comes before, or
    /// `None` if no job is queued.
    fn next_wake_ms(&self) -> Option<MonoMs>;

    /// Removes a job that is no longer wanted before it is decided.
    fn withdraw(&mut self, request: RequestId, now_ms: MonoMs);

    /// Records that an engine accepted a sent job. `cached_tokens` is the part of the prompt that
    /// its cache covers. `load` is the engine's load just before the acceptance, sent with it. It
    /// is newer than any report, so it shows immediately if other nodes have sent work to the
    /// engine meanwhile.
    fn on_accepted(
        &mut self,
        request: RequestId,
        cached_tokens: Tokens,
        load: &LoadReport,
        now_ms: MonoMs,
    );

    /// Records the first token of a sent job.
    fn on_first_token(&mut self, request: RequestId, now_ms: MonoMs);

    /// Records the end of a sent job's attempt. A job to be tried again must be admitted again,
    /// unless it was recalled.
    fn on_end(&mut self, request: RequestId, outcome: Outcome, now_ms: MonoMs);

    /// Applies a new configuration. The history of an account is kept under its name.
    fn set_config(&mut self, config: &FleetConfig, now_ms: MonoMs);

    /// Checks every invariant of the policy's tables and returns the violations, for tests.
    fn verify(&self) -> Vec<Violation>;

    /// Returns the policy's state as text, for the state dump.
    fn dump(&self) -> String;
}

/// Creates the policy that the settings select. The same seed and the same calls give the same
/// decisions.
pub fn open(settings: PolicySettings, config: &FleetConfig, seed: u64) -> Box<dyn Policy> {
    match settings.kind {
        Kind::Laxity | Kind::NoRecall => Box::new(laxity::Laxity::open(settings, config, seed)),
        Kind::RoundRobin | Kind::LeastRequests | Kind::LeastTokens => {
            Box::new(baseline::Baseline::open(settings, seed))
        }
    }
}
