//! How long a request waits at a node for a place.
//!
//! Load pattern: in a peak of a few seconds more arrives than the engines take. What is turned away
//! comes back at once and is turned away again; what is sent on makes work late that was on time.
//!
//! Reason for the limits: callers give a stream up after a silence of two seconds, of four targets
//! or of eight pauses, whichever is longest. A request is worth waiting for as long as its first
//! event can still come before that. One that nothing but a far lower price would let in is told
//! so at once, and its caller can use the time.
//!
//! Invariants: the wait is shorter than the caller's own.

use bluebell_base::prelude::*;

/// The shortest silence after which callers give a stream up.
const LEAST_SILENCE_MS: SpanMs = SpanMs(2_000);
/// Callers wait for so many targets.
const TARGETS: u64 = 4;
/// Callers wait for so many of the longest pauses.
const PAUSES: u64 = 8;

/// The part of the target that a request waits at the node: the rest is for reading its prompt. One
/// that is late already waits no longer either, since its caller may give up.
const WAITING_PART: f64 = 0.7;

/// The shortest wait at the node, for requests whose target is so short that they wait for the end
/// of some writer, not of some reading.
const LEAST_WAIT_MS: SpanMs = SpanMs(500);

/// The cost from which a request isn't kept waiting, in hundredths of its weight: costs don't fall that
/// far within its wait.
const HOPELESS_PCT: u32 = 400;

/// The same for a request that free engines would read too late: waiting makes it only later.
const HOPELESS_LATE_PCT: u32 = 150;

/// What a request's placement may cost at first.
const FIRST_READINESS: f64 = 0.25;

/// The share of the target after which it may cost all of the request's weight; what is left is for
/// reading the prompt.
const FULL_AT_SHARE: f64 = 0.6;

/// How long a request waits, and for how long its caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitTimeouts {
    /// The longest wait at the node.
    pub max_wait_ms: SpanMs,
    /// How long the caller waits for a first event.
    pub caller_timeout_ms: SpanMs,
}

impl WaitTimeouts {
    /// How long a request and its caller wait, with this target and this longest pause.
    pub fn of(target_ms: SpanMs, gap_ms: SpanMs) -> Self {
        let targets_ms = SpanMs(target_ms.0 * TARGETS);
        let pauses_ms = SpanMs(gap_ms.0 * PAUSES);
        Self {
            max_wait_ms: target_ms.mul_f64(WAITING_PART).max(LEAST_WAIT_MS),
            caller_timeout_ms: LEAST_SILENCE_MS.max(targets_ms).max(pauses_ms),
        }
    }

    /// Whether waiting helps a request that would cost so much now, in hundredths of its weight, and
    /// that free engines would read `in_time`.
    pub fn waiting_may_help(cost_pct: u32, in_time: bool) -> bool {
        match in_time {
            true => cost_pct < HOPELESS_PCT,
            false => cost_pct < HOPELESS_LATE_PCT,
        }
    }

    /// The part of its weight that a request's placement may cost after it has waited for
    /// `waited_ms` of the time to its target.
    pub fn cost_limit(waited_ms: SpanMs, target_ms: SpanMs) -> f64 {
        (FIRST_READINESS + Self::cost_limit_gained(waited_ms, target_ms)).min(1.0)
    }

    /// What `spent_ms` of the time to the target, waited or expected, add to that part.
    pub fn cost_limit_gained(spent_ms: SpanMs, target_ms: SpanMs) -> f64 {
        let share = spent_ms.0 as f64 / target_ms.0.max(1) as f64;
        share / FULL_AT_SHARE
    }
}
