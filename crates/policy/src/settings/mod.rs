//! Selection of the policy, and its constants.
//!
//! Invariants: operators do not set these values; they control the policy only by the targets of
//! the classes.

use bluebell_base::prelude::*;
use bluebell_base::text::ParseError;
use std::fmt;
use std::str::FromStr;

/// The available policies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The production policy: least laxity first, long work on engines with slack.
    #[default]
    Laxity,
    /// The production policy without recalls. It corresponds to the production policy on a node
    /// that does not carry out recalls.
    NoRecall,
    /// Baseline: the engines in rotation.
    RoundRobin,
    /// Baseline: the engine with the fewest requests.
    LeastRequests,
    /// Baseline: the engine with the fewest outstanding tokens.
    LeastTokens,
}

impl Kind {
    /// All policies; the production policy is the last.
    pub const ALL: [Kind; 5] = [
        Kind::RoundRobin,
        Kind::LeastRequests,
        Kind::LeastTokens,
        Kind::NoRecall,
        Kind::Laxity,
    ];

    /// Returns true for the simple policies that the production policy is compared with.
    pub fn is_baseline(self) -> bool {
        !matches!(self, Kind::Laxity | Kind::NoRecall)
    }

    fn as_str(self) -> &'static str {
        match self {
            Kind::Laxity => "laxity",
            Kind::NoRecall => "no-recall",
            Kind::RoundRobin => "round-robin",
            Kind::LeastRequests => "least-requests",
            Kind::LeastTokens => "least-tokens",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let found = Kind::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| ParseError::new("Kind", text))
    }
}

/// Constants of a policy. The benchmark uses the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// The policy to use.
    pub kind: Kind,
    /// Maximum number of engines scored for one placement.
    pub max_candidates: usize,
    /// Number of good engines among which one is drawn at random. It keeps nodes that have the same
    /// late reports from all choosing the same engine.
    pub choices: usize,
    /// Duration of a prefill alone above which work may wait in the node's queue for an engine with
    /// slack.
    pub deferrable_ms: SpanMs,
    /// Duration of the prefill backlog below which an engine has slack for deferrable work.
    pub slack_ms: SpanMs,
    /// Minimum share of an engine's KV memory that deferrable work leaves free.
    pub kv_headroom_share: f64,
    /// Share of the engines that is reserved for short work. Longer work avoids them while it can
    /// wait.
    pub short_work_share: f64,
    /// Interval at which a queue with waiting jobs is checked.
    pub tick_ms: SpanMs,
    /// Maximum number of engines in a group, including the leader.
    pub group_parts: usize,
    /// Prefill rate of an engine that is assumed before any was measured, in tokens per second. It
    /// should be too high rather than too low: no rate can be measured from work that is refused
    /// because of a low estimate.
    pub prior_prefill: PerSecond,
    /// Overhead that is assumed before any was measured.
    pub prior_overhead_ms: SpanMs,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            kind: Kind::Laxity,
            max_candidates: 32,
            choices: 2,
            deferrable_ms: SpanMs(700),
            slack_ms: SpanMs(250),
            kv_headroom_share: 0.05,
            short_work_share: 0.12,
            tick_ms: SpanMs(20),
            group_parts: 8,
            prior_prefill: PerSecond(30_000.0),
            prior_overhead_ms: SpanMs(30),
        }
    }
}

impl PolicySettings {
    /// Returns the default constants with the given policy.
    pub fn of(kind: Kind) -> Self {
        Self {
            kind,
            ..Self::default()
        }
    }
}
