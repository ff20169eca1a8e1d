//! How long an engine may be silent before another is asked.
//!
//! Load pattern: engines read shared parts newest first, so while long prompts come in quick
//! succession the oldest of them is pushed back again and again. Taken for silence, that would break
//! off tries which an engine works on, read their prompts a second time elsewhere, and keep sound
//! engines out for seconds.
//!
//! Reason for the limits: a try is given up only once its engines should have read its prompt by
//! all that is known of their work, and while there is time left to begin anew.
//!
//! Invariants: a limit never passes the time that is left less what a new try needs.

use bluebell_base::prelude::*;

/// How long memory that is set aside may go unused before its request is given up: engines must not hold
/// it for nine seconds without a request that uses it, and other long prompts are refused for want of it.
const MEMORY_UNUSED_MS: SpanMs = SpanMs(8_000);

/// How much longer than expected an engine may be silent.
const FACTOR: f64 = 2.0;

/// What is added to it: engines stall for this long when a helper is gone, and say so then.
const LEAST_MS: f64 = 1_700.0;

/// What is added where an engine had more to read than was known when the try began: the pass in
/// which it reads the last of it, with other prompts in it.
const LAST_PASS_MS: f64 = 500.0;

/// How many of the longest pauses allowed an engine may be silent in the middle of a stream.
const GAPS: u64 = 5;

/// How long an engine may be silent before its first event, where it was expected after
/// `expected_ms`.
pub fn first_event_timeout(expected_ms: f64) -> SpanMs {
    SpanMs((expected_ms * FACTOR + LEAST_MS) as u64)
}

/// How much longer it may be silent where it still has `reading_ms` to read before this try's first
/// event; none where it is to be given up. `left_ms` is how long the caller still waits, and a new
/// try takes `anew_ms`.
pub fn timeout_extension(reading_ms: Option<f64>, left_ms: SpanMs, anew_ms: f64) -> Option<SpanMs> {
    let reading_ms = reading_ms.filter(|ms| *ms > 0.0)?;
    let more_ms = SpanMs((reading_ms + LAST_PASS_MS) as u64);
    let after_ms = left_ms.0.checked_sub(more_ms.0)?;
    (after_ms as f64 > anew_ms).then_some(more_ms)
}

/// How much longer a silent try may keep memory set aside that it got `waited_ms` ago, where its engines
/// still have `reading_ms` to read before its first event; none where it is to be given up.
///
/// An engine that hangs answers looks as one that reads does, and never begins: waiting for it to the
/// caller's deadline kept its memory from other long prompts until then. What is still read by all that is known uses it.
pub fn memory_extension(reading_ms: Option<f64>, waited_ms: SpanMs) -> Option<SpanMs> {
    let unused_ms = MEMORY_UNUSED_MS.0.saturating_sub(waited_ms.0) as f64;
    let reading_ms = reading_ms.filter(|ms| *ms > 0.0);
    let left_ms = unused_ms.max(reading_ms.map_or(0.0, |ms| ms + LAST_PASS_MS));
    (left_ms > 0.0).then_some(SpanMs(left_ms.ceil() as u64))
}

/// How long an engine may be silent between two events with `gap_ms` as the longest pause allowed.
pub fn pause_timeout(gap_ms: SpanMs) -> SpanMs {
    SpanMs((gap_ms.0 * GAPS).max(LEAST_MS as u64))
}
