//! How long a request waits at a node for a place.
//!
//! Load pattern: in a peak of a few seconds more arrives than the engines take. What is turned away
//! comes back at once and is turned away again; what is sent on makes work late that was on time.
//!
//! Reason for the limits: callers give a stream up after a silence of two seconds, of four targets
//! or of eight pauses, whichever is longest. A request is worth waiting for as long as its first
//! event can still come before that.
//!
//! Invariants: the wait is shorter than the caller's own.

use bluebell_base::prelude::*;

/// The shortest silence after which callers give a stream up.
const LEAST_SILENCE_MS: SpanMs = SpanMs(2_000);
/// Callers wait for so many targets.
const TARGETS: u64 = 4;
/// Callers wait for so many of the longest pauses.
const PAUSES: u64 = 8;

/// The part of the caller's wait that is spent at the node; the rest is for reading the prompt.
const WAITING_PART: f64 = 0.4;

/// The caller's wait from which a request is placed at last, late rather than not at all: it has
/// then waited so long that coming back would be too late for it.
const PLACED_AT_LAST_MS: SpanMs = SpanMs(4_000);

/// What a request's placement may cost at first.
const FIRST_READINESS: f64 = 0.25;

/// The share of the target after which it may cost all of the request's weight; what is left is for
/// reading the prompt.
const FULL_AT_SHARE: f64 = 0.6;

/// How long a request waits, and what then becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// The longest wait at the node.
    pub longest_ms: SpanMs,
    /// Whether it is placed after that whatever others lose; else it is refused.
    pub placed_at_last: bool,
}

impl Patience {
    /// The patience of a request with this target and this longest pause.
    pub fn of(target_ms: SpanMs, gap_ms: SpanMs) -> Self {
        let targets_ms = SpanMs(target_ms.0 * TARGETS);
        let pauses_ms = SpanMs(gap_ms.0 * PAUSES);
        let silence_ms = LEAST_SILENCE_MS.max(targets_ms).max(pauses_ms);
        Self {
            longest_ms: silence_ms.mul_f64(WAITING_PART),
            placed_at_last: silence_ms >= PLACED_AT_LAST_MS,
        }
    }

    /// The part of its weight that a request's placement may cost after it has waited for
    /// `waited_ms` of the time to its target.
    pub fn readiness(waited_ms: SpanMs, target_ms: SpanMs) -> f64 {
        let share = waited_ms.0 as f64 / target_ms.0.max(1) as f64;
        (FIRST_READINESS + share / FULL_AT_SHARE).min(1.0)
    }
}
