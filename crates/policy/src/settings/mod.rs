//! Which policy decides, and its constants.
//!
//! Invariants: operators never see these; they steer only by the classes' targets.

use bluebell_base::prelude::*;
use bluebell_base::text::ParseError;
use std::fmt;
use std::str::FromStr;

/// The policies there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The production policy: least laxity first, long work in slack.
    #[default]
    Laxity,
    /// The production policy before it recalled work, and what is left of it on a node that does
    /// not carry recalls out.
    NoRecall,
    /// Baseline: one engine after the other.
    RoundRobin,
    /// Baseline: the engine with the fewest requests.
    LeastRequests,
    /// Baseline: the engine with the fewest tokens outstanding.
    LeastTokens,
}

impl Kind {
    /// All policies, the production one last.
    pub const ALL: [Kind; 5] = [
        Kind::RoundRobin,
        Kind::LeastRequests,
        Kind::LeastTokens,
        Kind::NoRecall,
        Kind::Laxity,
    ];

    /// Whether it is one of the simple policies that ours is compared with.
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

/// A policy's constants; the defaults are those that the bench was run with.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// Which policy decides.
    pub kind: Kind,
    /// The most engines looked at for one placement.
    pub window: usize,
    /// Among how many of the best engines the choice is drawn, so that nodes with the same late
    /// reports do not all pick the same one.
    pub choices: usize,
    /// Work whose prefill takes longer than this alone may wait in the node's queue for slack.
    pub deferrable_ms: SpanMs,
    /// An engine whose prefill backlog is shorter than this has slack for deferrable work.
    pub slack_ms: SpanMs,
    /// The share of an engine's KV memory that deferrable work leaves free at least.
    pub kv_headroom_share: f64,
    /// The share of the engines that is kept free of longer work while that can wait.
    pub short_work_share: f64,
    /// How often a waiting queue is looked at.
    pub tick_ms: SpanMs,
    /// The most engines of a group, the leader included.
    pub group_parts: usize,
    /// The prefill rate assumed of the engines before any was measured, in tokens a second; rather
    /// too high than too low, as work refused for a wrong guess teaches nothing.
    pub prior_prefill: PerSecond,
    /// The overhead assumed before any was measured.
    pub prior_overhead_ms: SpanMs,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            kind: Kind::Laxity,
            window: 32,
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
    /// The defaults for a policy.
    pub fn of(kind: Kind) -> Self {
        Self {
            kind,
            ..Self::default()
        }
    }
}
