//! What became of each request.

use bluebell_base::prelude::*;
use bluebell_policy::RefusalReason;

/// How a request ended.
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

/// What became of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Record {
    /// When it arrived, the second time where it came back.
    pub arrived_us: u64,
    /// When its first token reached the node.
    pub first_us: Option<u64>,
    /// When it ended.
    pub end_us: u64,
    /// How it ended.
    pub fate: Fate,
    /// Attempts that reached an engine.
    pub attempts: u32,
    /// Whether the refusal came after it had been admitted.
    pub refused_late: bool,
    /// Whether an engine had begun the refused work.
    pub refused_begun: bool,
    /// When the refusal said to come back.
    pub retry_after_ms: SpanMs,
    /// Whether it came back after a refusal, and was taken then.
    pub came_back: Option<bool>,
}

/// What became of a whole run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Requests that arrived.
    pub requests: u64,
    /// Tokens that engines computed.
    pub computed_tokens: u64,
    /// Of them, those of work that gave no whole answer.
    pub wasted_tokens: u64,
    /// The most memory used on any engine, as a share of it.
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
