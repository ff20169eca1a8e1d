//! The records of requests and runs.

use bluebell_base::prelude::*;
use bluebell_policy::RefusalReason;

/// The end of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fate {
    /// It is not over.
    #[default]
    Open,
    /// With a whole answer.
    Finished,
    /// Refused, certainly not run.
    Refused(RefusalReason),
    /// Broken off, and not to be run again.
    Failed,
    /// Its deadline passed on an engine.
    Expired,
}

/// The record of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Record {
    /// The arrival, or the second arrival if it came back.
    pub arrived_us: u64,
    /// The arrival of its first token at the node.
    pub first_us: Option<u64>,
    /// The instant of its end.
    pub end_us: u64,
    /// The kind of its end.
    pub fate: Fate,
    /// Attempts that reached an engine.
    pub attempts: u32,
    /// True if it was refused after it had been admitted.
    pub refused_late: bool,
    /// True if an engine had begun the refused work.
    pub refused_begun: bool,
    /// The time to come back that the refusal stated.
    pub retry_after_ms: SpanMs,
    /// True if it came back after a refusal and was admitted.
    pub came_back: Option<bool>,
}

/// The record of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Requests that arrived.
    pub requests: u64,
    /// Tokens that engines computed.
    pub computed_tokens: u64,
    /// Of them, those of work that gave no whole answer.
    pub wasted_tokens: u64,
    /// The highest used share of the memory of any engine.
    pub peak_kv_share: f64,
    /// Groups that were tried.
    pub groups: u64,
    /// Group reservations that failed.
    pub groups_failed: u64,
    /// Memory still held by anyone when all requests were over, in tokens.
    pub stranded_tokens: u64,
    /// Attempts recalled.
    pub recalls: u64,
    /// Of them, those whose work had begun.
    pub recalls_begun: u64,
    /// The decisions made.
    pub decisions: u64,
}
