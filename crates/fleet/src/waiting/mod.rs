//! Limits on how long a request waits at a node until it can be placed, and on what its placement
//! may cost meanwhile.
//!
//! Load pattern: in a peak of a few seconds more requests arrive than the engines can take. A
//! request that is refused is retried at once and refused again; one that is placed regardless
//! makes others late that were on time.
//!
//! Reason for the limits: callers give a stream up after a silence of two seconds, of four targets
//! or of eight pauses, whichever is longest. It is worth keeping a request waiting while its first
//! event can still come before that. A request that could be placed only at a far lower price is
//! refused at once, so that its caller can use the time.
//!
//! Invariants: the wait is shorter than the caller's own.

use bluebell_base::prelude::*;

/// Shortest silence after which callers give a stream up.
const MIN_CALLER_TIMEOUT_MS: SpanMs = SpanMs(2_000);
/// Number of targets that callers wait for.
const CALLER_TIMEOUT_TARGETS: u64 = 4;
/// Number of longest allowed pauses that callers wait for.
const CALLER_TIMEOUT_PAUSES: u64 = 8;

/// Share of the target that a request waits at the node: the rest is for reading its prompt. A
/// request that is late already waits no longer either, since its caller may give up.
const MAX_WAIT_SHARE: f64 = 0.7;

/// Shortest limit on the wait at the node. Requests with a very short target wait for the end of a
/// writer and not of reading.
const MIN_WAIT_LIMIT_MS: SpanMs = SpanMs(500);

/// Cost from which a request isn't kept waiting, in hundredths of its weight: costs don't fall that
/// far within its wait.
const MAX_WAITING_COST_PCT: u32 = 400;

/// The same limit for a request that idle engines would read too late: waiting makes it only later.
/// Of 78 requests with a cost of at least 150 % of their weight, 5 were placed in the end; the
/// others were refused only after seconds of waiting.
const MAX_LATE_WAITING_COST_PCT: u32 = 150;

/// Share of its weight that a request's placement may cost at first.
const INITIAL_COST_LIMIT: f64 = 0.25;

/// Share of the target after which a placement may cost the whole weight; the time that is left is
/// for reading the prompt.
const FULL_LIMIT_AT_SHARE: f64 = 0.6;

/// Times that a request waits at the node and that its caller waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitTimeouts {
    /// The longest wait at the node.
    pub max_wait_ms: SpanMs,
    /// The silence after which the caller gives up.
    pub caller_timeout_ms: SpanMs,
}

impl WaitTimeouts {
    /// Returns the times for a request with this target and this longest allowed pause.
    pub fn of(target_ms: SpanMs, gap_ms: SpanMs) -> Self {
        let targets_ms = SpanMs(target_ms.0 * CALLER_TIMEOUT_TARGETS);
        let pauses_ms = SpanMs(gap_ms.0 * CALLER_TIMEOUT_PAUSES);
        Self {
            max_wait_ms: target_ms.mul_f64(MAX_WAIT_SHARE).max(MIN_WAIT_LIMIT_MS),
            caller_timeout_ms: MIN_CALLER_TIMEOUT_MS.max(targets_ms).max(pauses_ms),
        }
    }

    /// Returns true if waiting may help a request whose placement costs `cost_pct` hundredths of
    /// its weight now. `in_time` is true if idle engines would read it within its target.
    pub fn waiting_may_help(cost_pct: u32, in_time: bool) -> bool {
        match in_time {
            true => cost_pct < MAX_WAITING_COST_PCT,
            false => cost_pct < MAX_LATE_WAITING_COST_PCT,
        }
    }

    /// Returns the share of its weight that a request's placement may cost after the request has
    /// waited for `waited_ms`.
    pub fn cost_limit(waited_ms: SpanMs, target_ms: SpanMs) -> f64 {
        (INITIAL_COST_LIMIT + Self::cost_limit_gained(waited_ms, target_ms)).min(1.0)
    }

    /// Returns the share that `spent_ms` of the time to the target, waited or expected, add to that
    /// limit.
    pub fn cost_limit_gained(spent_ms: SpanMs, target_ms: SpanMs) -> f64 {
        let share = spent_ms.0 as f64 / target_ms.0.max(1) as f64;
        share / FULL_LIMIT_AT_SHARE
    }
}
