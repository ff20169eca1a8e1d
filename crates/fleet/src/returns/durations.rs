//! Usual time for which a request holds its slot, by length of the prompt.
//!
//! Load pattern: nodes know when a peer's request was placed, but not how long its answer will be.
//! Requests of one length are mostly of one kind, whose answers are about as long.
//!
//! Invariants: the size is bounded by the number of length bands.

use crate::ledger::Work;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// Share of a new time in the average: it follows a change of load within some ten answers.
const NEW_SHARE: f64 = 0.1;

/// Time that is assumed for a band until its first request has ended: about that of a short prompt
/// on a full engine.
const ASSUMED_MS: f64 = 2_000.0;

/// Share of its usual time for which a request that holds its slot for longer than usual is
/// expected to go on.
const OVERTIME_SHARE: f64 = 0.25;

/// Running averages of the time from the placement of a request until its end.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    averages_ms: FxHashMap<LengthBand, f64>,
}

impl Durations {
    /// Records the end of a request.
    pub fn record(&mut self, work: &Work, now_ms: MonoMs) {
        let took_ms = now_ms.since(work.placed_ms).0 as f64;
        let average_ms = self.averages_ms.entry(LengthBand::of(work.prompt_tokens));
        let average_ms = average_ms.or_insert(took_ms);
        *average_ms += (took_ms - *average_ms) * NEW_SHARE;
    }

    /// Returns the usual time for a prompt of this length.
    pub fn usual_ms(&self, prompt_tokens: Tokens) -> f64 {
        let known = self.averages_ms.get(&LengthBand::of(prompt_tokens));
        known.copied().unwrap_or(ASSUMED_MS)
    }

    /// Returns the time for which a request is expected to hold its slot from now.
    pub fn left_ms(&self, work: &Work, now_ms: MonoMs) -> f64 {
        let usual_ms = self.usual_ms(work.prompt_tokens);
        let left_ms = usual_ms - now_ms.since(work.placed_ms).0 as f64;
        left_ms.max(usual_ms * OVERTIME_SHARE)
    }
}
