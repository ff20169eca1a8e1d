//! How urgent a request is where replicas let several wait.
//!
//! Load pattern: at the change from long to short work drafts arrive at engines on which long
//! prompts still wait for a slot or for memory, and an engine lets the more urgent in first.
//!
//! Reason for the limits: operators rank routes and client accounts, and the rank goes before all
//! else. Within a rank the shorter target goes first, since it is missed first.
//!
//! Invariants: a higher rank is never behind a lower one, whatever the targets.

use bluebell_base::prelude::*;

/// Targets up to this are short.
const SHORT_MS: SpanMs = SpanMs(500);
/// Targets above this are long.
const LONG_MS: SpanMs = SpanMs(2_000);

/// How many urgencies a rank has.
const BANDS: u8 = 3;
/// The last rank that is told from those below it.
const LAST_RANK: u8 = 2;

/// The urgency of a request, from 0, the first, to 8.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(pub u8);

impl Urgency {
    /// The urgency at this rank, 0 being the highest, and with this target.
    pub fn of(rank: u8, target_ms: SpanMs) -> Self {
        let band = u8::from(target_ms > SHORT_MS) + u8::from(target_ms > LONG_MS);
        Self(rank.min(LAST_RANK) * BANDS + band)
    }
}
