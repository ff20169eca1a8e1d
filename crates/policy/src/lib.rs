//! Pure decisions: admission, ordering, placement, cost model and fairness, with no I/O and no
//! clock of its own.
//!
//! Terms: a *job* is what the policy knows of a request; a *decision* is what shall be done with
//! it now; a *report* is an engine's late word on its load.
//!
//! Invariants: the same calls with the same seed give the same decisions; every admitted job is
//! decided (sent, grouped or refused) at the latest when its deadline can no longer be met.

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

/// A policy, from the first sight of a job to its end.
pub trait Policy {
    /// An engine is known, or what is known of it changed.
    fn engine_updated(&mut self, facts: EngineFacts, now_ms: MonoMs);

    /// An engine takes no new work; what it runs goes on.
    fn engine_leaving(&mut self, upstream: UpstreamId, now_ms: MonoMs);

    /// An engine is gone, with what it ran.
    fn engine_gone(&mut self, upstream: UpstreamId, now_ms: MonoMs);

    /// A load report came.
    fn on_load(&mut self, upstream: UpstreamId, report: &LoadReport, now_ms: MonoMs);

    /// Cache events came; after a gap the policy forgets what it believed of the cache.
    fn on_cache(&mut self, upstream: UpstreamId, events: &[CacheEvent], gap: bool);

    /// Takes a job or refuses it at once.
    ///
    /// # Errors
    /// The refusal, where its target or deadline cannot be met or its account is over its share.
    fn admit(&mut self, job: Job, now_ms: MonoMs) -> Result<(), Refusal>;

    /// Adds the decisions that are due now, each for an admitted job not yet decided.
    fn decide(&mut self, now_ms: MonoMs, out: &mut Vec<Decision>);

    /// When `decide` should be called next, if nothing else happens before.
    fn next_wake_ms(&self) -> Option<MonoMs>;

    /// An undecided job is no longer wanted.
    fn withdraw(&mut self, request: RequestId, now_ms: MonoMs);

    /// An engine took a sent job, and its cache covers so many of the prompt's tokens. `load` is
    /// the load just before that, as it rides on the answer; it is fresher than any report, and
    /// tells at once where other nodes were faster.
    fn on_accepted(
        &mut self,
        request: RequestId,
        cached_tokens: Tokens,
        load: &LoadReport,
        now_ms: MonoMs,
    );

    /// A sent job's first token came.
    fn on_first_token(&mut self, request: RequestId, now_ms: MonoMs);

    /// A sent job's attempt ended; a job that shall be tried again is admitted anew.
    fn on_end(&mut self, request: RequestId, outcome: Outcome, now_ms: MonoMs);

    /// A configuration came into force; what is known of an account is kept by its name.
    fn set_config(&mut self, config: &FleetConfig, now_ms: MonoMs);

    /// Re-checks every invariant of the policy's tables; empty where all hold. For tests.
    fn verify(&self) -> Vec<Violation>;

    /// What it knows, for the state dump.
    fn dump(&self) -> String;
}

/// Opens the policy that the settings name; the same seed and calls give the same decisions.
pub fn open(settings: PolicySettings, config: &FleetConfig, seed: u64) -> Box<dyn Policy> {
    match settings.kind {
        Kind::Laxity | Kind::NoRecall => Box::new(laxity::Laxity::open(settings, config, seed)),
        Kind::RoundRobin | Kind::LeastRequests | Kind::LeastTokens => {
            Box::new(baseline::Baseline::open(settings, seed))
        }
    }
}
