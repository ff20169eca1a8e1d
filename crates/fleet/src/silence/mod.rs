//! How long an engine may be silent before another is asked.
//!
//! Load pattern: engines read shared parts newest first, so while long prompts come in quick
//! succession the oldest of them is pushed back again and again. Taken for silence, that broke off
//! tries which an engine worked on, read their prompts a second time elsewhere, and kept sound
//! engines out for seconds: on a calm day of 78 engines 15 tries, under a heavier load 106.
//!
//! Reason for the limits: a try is given up only once its engines should have read its prompt by
//! all that is known of their work, and while there is time left to begin anew.
//!
//! Invariants: a limit never passes the time that is left less what a new try needs.

use bluebell_base::prelude::*;

/// How much longer than expected an engine may be silent; chosen, not measured.
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
pub fn before_first(expected_ms: f64) -> SpanMs {
    SpanMs((expected_ms * FACTOR + LEAST_MS) as u64)
}

/// How much longer it may be silent where it still has `reading_ms` to read before this try's first
/// event; none where it is to be given up. `left_ms` is how long the caller still waits, and a new
/// try takes `anew_ms`.
pub fn more(reading_ms: Option<f64>, left_ms: SpanMs, anew_ms: f64) -> Option<SpanMs> {
    let reading_ms = reading_ms.filter(|ms| *ms > 0.0)?;
    let more_ms = SpanMs((reading_ms + LAST_PASS_MS) as u64);
    let after_ms = left_ms.0.checked_sub(more_ms.0)?;
    (after_ms as f64 > anew_ms).then_some(more_ms)
}

/// How long an engine may be silent between two events with `gap_ms` as the longest pause allowed.
pub fn between_events(gap_ms: SpanMs) -> SpanMs {
    SpanMs((gap_ms.0 * GAPS).max(LEAST_MS as u64))
}
