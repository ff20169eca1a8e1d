//! Which holds on engine memory are nobody's.
//!
//! A hold is reclaimed in two cases only:
//! - its owner is certainly dead: another incarnation answered this node at the owner's address,
//!   to a probe sent after the owner had answered there;
//! - it is overdue: the engine still lists it although the expiry that it named itself has long
//!   passed and was not renewed. Engines free expired holds by themselves; this is the second
//!   line, for those that fail to.
//!
//! Silence is never taken for death. A node that is paused, cut off, or wrongly missing from the
//! platform's list may wake and read on from its streams; its holds stay until they expire, which
//! is what the expiry is for.
//!
//! Invariants: a hold that is renewed between two readings is never overdue.

use bluebell_base::prelude::*;
use bluebell_upstreams::{Hold, HoldKind};
use std::collections::BTreeMap;

/// How long after its expiry a hold is still left to the engine.
const OVERDUE_MS: SpanMs = SpanMs::from_secs(30);

/// How long after its owner's death a hold is still left: a successor may be taking it over.
const DEAD_MS: SpanMs = SpanMs::from_secs(10);

/// How many dead incarnations are remembered.
const DEAD_KEPT: usize = 4096;

/// A hold's identity on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HoldKey {
    kind: u8,
    request: RequestId,
    owner: Incarnation,
}

/// A hold to reclaim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reclaim {
    /// The owner it must still have.
    pub owner: Incarnation,
    /// The request it serves.
    pub request: RequestId,
}

/// The holds as seen over time.
#[derive(Clone, Debug, Default)]
pub struct HoldWatch {
    expiries: BTreeMap<UpstreamName, BTreeMap<HoldKey, MonoMs>>,
    dead: BTreeMap<Incarnation, MonoMs>,
}

impl HoldWatch {
    /// An incarnation is certainly dead.
    pub fn on_dead(&mut self, incarnation: Incarnation, now_ms: MonoMs) {
        self.dead.entry(incarnation).or_insert(now_ms);
        if self.dead.len() > DEAD_KEPT {
            let oldest = self.dead.iter().min_by_key(|(_, at_ms)| **at_ms);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                self.dead.remove(&oldest);
            }
        }
    }

    /// An engine is gone, with what it held.
    pub fn forget_engine(&mut self, name: &UpstreamName) {
        self.expiries.remove(name);
    }

    /// Takes in an engine's list of holds, asked for at `asked_ms`; gives what to reclaim.
    pub fn on_holds(
        &mut self,
        name: &UpstreamName,
        holds: &[Hold],
        asked_ms: MonoMs,
        now_ms: MonoMs,
    ) -> Vec<Reclaim> {
        let before = self.expiries.remove(name).unwrap_or_default();
        let mut after = BTreeMap::new();
        let mut reclaims: Vec<Reclaim> = Vec::new();
        for hold in holds {
            let key = key_of(hold);
            let expires_ms = expiry(before.get(&key).copied(), hold, now_ms);
            after.insert(key, expires_ms);
            // Judged by when the list was asked for: a renewal may have come since.
            let overdue = asked_ms >= expires_ms + OVERDUE_MS;
            let reclaim = Reclaim {
                owner: hold.owner,
                request: hold.request,
            };
            if (overdue || self.is_dead(hold.owner, now_ms)) && !reclaims.contains(&reclaim) {
                reclaims.push(reclaim);
            }
        }
        self.expiries.insert(name.clone(), after);
        reclaims
    }

    fn is_dead(&self, owner: Incarnation, now_ms: MonoMs) -> bool {
        let died_ms = self.dead.get(&owner);
        died_ms.is_some_and(|died_ms| now_ms.since(*died_ms) >= DEAD_MS)
    }
}

/// When a hold expires, by the latest word of the engine. An expired hold that is still listed
/// says 0 at each reading, which must not be taken for a renewal.
fn expiry(before: Option<MonoMs>, hold: &Hold, now_ms: MonoMs) -> MonoMs {
    let said_ms = now_ms + hold.expires_ms;
    match before {
        Some(before) if hold.expires_ms == SpanMs::ZERO => before,
        Some(before) => before.max(said_ms),
        None => said_ms,
    }
}

fn key_of(hold: &Hold) -> HoldKey {
    let kind = match hold.kind {
        HoldKind::Stream => 0,
        HoldKind::Reservation => 1,
        HoldKind::Export => 2,
    };
    HoldKey {
        kind,
        request: hold.request,
        owner: hold.owner,
    }
}
