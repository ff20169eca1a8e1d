//! Pauses between the rounds in which a starting node asks the seeds for their state.
//!
//! Load pattern: all nodes start within a second, and most first ask before the seeds listen.
//!
//! Reason for the limits: with a constant pause of 150 to 300 ms most nodes served 0.3 to 0.8 s after their
//! process had started. Short first pauses find a seed that listens soon after, and their growth bounds the
//! requests that a seed gets from a node: six in the first second.

use bluebell_base::prelude::*;

/// The first pause.
const FIRST_PAUSE_MS: SpanMs = SpanMs(25);

/// The pause up to which pauses double.
const MAX_PAUSE_MS: SpanMs = SpanMs(200);

/// The largest share of a pause that is added at random, so that nodes that started together don't ask
/// together again.
const PAUSE_SPREAD: f64 = 0.5;

/// Returns the pause after a round, counted from 0. `draw` is a random number from 0 to 1.
pub fn join_pause(round: u32, draw: f64) -> SpanMs {
    let pause_ms = FIRST_PAUSE_MS
        .0
        .saturating_mul(1 << round.min(u64::BITS / 2));
    SpanMs(pause_ms)
        .min(MAX_PAUSE_MS)
        .mul_f64(1.0 + PAUSE_SPREAD * draw)
}
