//! Limits on the silence of an engine before a request is sent to another one.
//!
//! Load pattern: engines read shared parts newest first, so while long prompts come in quick
//! succession the oldest of them is delayed again and again. Treating this as silence would break
//! off attempts whose engines are working, read their prompts a second time elsewhere, and exclude
//! healthy engines for seconds. Doing so broke off 15 attempts on a calm day with 78 engines, and
//! 106 under a heavier load.
//!
//! Reason for the limits: an attempt is given up only once its engines should have read its prompt
//! according to all that is known of their work, and while there is time left for a new attempt.
//!
//! Invariants: a limit never exceeds the time that is left minus the time that a new attempt needs.

use bluebell_base::prelude::*;

/// Time for which reserved memory may stay unused before its request is given up: engines must not
/// hold it for nine seconds without a request that uses it, and other long prompts are refused for
/// lack of it.
const MAX_UNUSED_MEMORY_MS: SpanMs = SpanMs(8_000);

/// Factor on the expected time to the first event.
const EXPECTED_TIME_FACTOR: f64 = 2.0;

/// Time that is added to it: engines stall for this long when a helper is gone, and then report it.
const HELPER_STALL_MS: f64 = 1_700.0;

/// Time that is added if an engine had more to read than was known at the start of the attempt: the
/// pass in which it reads the last of it, together with other prompts.
const LAST_PASS_MS: f64 = 500.0;

/// Number of longest allowed pauses for which an engine may be silent in the middle of a stream.
const MAX_PAUSES: u64 = 5;

/// Returns the time for which an engine may be silent before its first event, if that was expected
/// after `expected_ms`.
pub fn first_event_timeout(expected_ms: f64) -> SpanMs {
    SpanMs((expected_ms * EXPECTED_TIME_FACTOR + HELPER_STALL_MS) as u64)
}

/// Returns the time for which an engine may be silent longer, if it still has `reading_ms` to read
/// before the first event of this attempt. Returns `None` if the attempt is to be given up.
/// `left_ms` is the time for which the caller still waits, and `retry_ms` the time that a new
/// attempt takes.
pub fn timeout_extension(
    reading_ms: Option<f64>,
    left_ms: SpanMs,
    retry_ms: f64,
) -> Option<SpanMs> {
    let reading_ms = reading_ms.filter(|ms| *ms > 0.0)?;
    let more_ms = SpanMs((reading_ms + LAST_PASS_MS) as u64);
    let after_ms = left_ms.0.checked_sub(more_ms.0)?;
    (after_ms as f64 > retry_ms).then_some(more_ms)
}

/// Returns the time for which a silent attempt may keep the memory that was reserved for it
/// `waited_ms` ago, if its engines still have `reading_ms` to read before its first event. Returns
/// `None` if the attempt is to be given up.
///
/// An engine that stopped answering can't be distinguished from one that reads. Waiting for it
/// until the caller's deadline kept its memory from other long prompts until then. Memory counts as
/// used while, according to all that is known, the prompt is still being read.
pub fn memory_extension(reading_ms: Option<f64>, waited_ms: SpanMs) -> Option<SpanMs> {
    let unused_ms = MAX_UNUSED_MEMORY_MS.0.saturating_sub(waited_ms.0) as f64;
    let reading_ms = reading_ms.filter(|ms| *ms > 0.0);
    let left_ms = unused_ms.max(reading_ms.map_or(0.0, |ms| ms + LAST_PASS_MS));
    (left_ms > 0.0).then_some(SpanMs(left_ms.ceil() as u64))
}

/// Returns the time for which an engine may be silent between two events, if `gap_ms` is the
/// longest allowed pause.
pub fn pause_timeout(gap_ms: SpanMs) -> SpanMs {
    SpanMs((gap_ms.0 * MAX_PAUSES).max(HELPER_STALL_MS as u64))
}
