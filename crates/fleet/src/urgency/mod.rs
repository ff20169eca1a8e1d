//! Urgency of requests, by which replicas order those that wait.
//!
//! Load pattern: when short work follows long work, short requests arrive at engines on which long
//! prompts still wait for a slot or for memory. An engine admits the more urgent request first.
//!
//! In a peak over the engines' slots, requests that have missed their target wait in the same
//! queues as those that can still meet it. Served in the order of arrival, all would miss it.
//!
//! Reason for the limits: operators rank routes and client accounts, and the rank counts before all
//! else. Within a rank the shorter target goes first, since it is missed first. A late request goes
//! last, since it loses little more by waiting.
//!
//! Invariants: a higher rank is never behind a lower one, whatever the targets. A late request is
//! never ahead of one of its rank that can be in time.

use bluebell_base::prelude::*;

/// Longest target that counts as short.
const SHORT_TARGET_MS: SpanMs = SpanMs(500);
/// Longest target that doesn't count as long.
const LONG_TARGET_MS: SpanMs = SpanMs(2_000);

/// Number of urgencies within a rank.
const BANDS_PER_RANK: u8 = 3;
/// Last rank that is distinguished; lower ones count as this one.
pub(crate) const LAST_RANK: u8 = 2;

/// The urgency of a request, from 0, the most urgent, to 9.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(pub u8);

impl Urgency {
    /// Returns the urgency for this rank, where 0 is the highest, and this target.
    pub fn of(rank: u8, target_ms: SpanMs) -> Self {
        let band = u8::from(target_ms > SHORT_TARGET_MS) + u8::from(target_ms > LONG_TARGET_MS);
        Self(rank.min(LAST_RANK) * BANDS_PER_RANK + band)
    }

    /// Returns the urgency for this rank of a request that can't begin within its target any more.
    /// It equals that of the first requests of the next rank: replicas distinguish ten urgencies,
    /// too few for a late band of each rank.
    pub fn late(rank: u8) -> Self {
        Self((rank.min(LAST_RANK) + 1) * BANDS_PER_RANK)
    }
}
