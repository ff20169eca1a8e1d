//! Detection of holds on engine memory without a live owner.
//!
//! A hold is reclaimed in two cases only:
//! - its owner is certainly dead: another incarnation answered this node at the owner's address,
//!   to a probe sent after the owner had answered there;
//! - it is overdue: the engine still lists it although the expiry that the engine reported passed
//!   long ago and was not renewed. Engines free expired holds by themselves; this covers engines
//!   that fail to.
//!
//! A node is never considered dead because it is silent. A node that is paused, cut off, or wrongly
//! missing from the platform's list may resume and continue to read its streams, so its holds stay
//! until they expire.
//!
//! Invariants: a hold that is renewed between two reads is never overdue.

use bluebell_base::prelude::*;
use bluebell_upstreams::{Hold, HoldKind};
use std::collections::BTreeMap;

/// The time after its expiry for which a hold is left to the engine.
const OVERDUE_GRACE_MS: SpanMs = SpanMs::from_secs(30);

/// The time after its owner's death for which a hold is not reclaimed, since a successor may be
/// taking it over.
const TAKEOVER_GRACE_MS: SpanMs = SpanMs::from_secs(10);

/// The maximum number of dead incarnations that are remembered.
const MAX_DEAD_INCARNATIONS: usize = 4096;

/// The identity of a hold on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HoldKey {
    kind: u8,
    request: RequestId,
    owner: Incarnation,
}

/// A hold to reclaim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reclaim {
    /// The owner that the hold must still have.
    pub owner: Incarnation,
    /// The request that the hold serves.
    pub request: RequestId,
}

/// The expiries of the holds of all engines, and the dead incarnations.
#[derive(Clone, Debug, Default)]
pub struct HoldTracker {
    expiries: BTreeMap<UpstreamName, BTreeMap<HoldKey, MonoMs>>,
    dead: BTreeMap<Incarnation, MonoMs>,
}

impl HoldTracker {
    /// Records that an incarnation is certainly dead.
    pub fn on_dead(&mut self, incarnation: Incarnation, now_ms: MonoMs) {
        self.dead.entry(incarnation).or_insert(now_ms);
        if self.dead.len() > MAX_DEAD_INCARNATIONS {
            let oldest = self.dead.iter().min_by_key(|(_, at_ms)| **at_ms);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                self.dead.remove(&oldest);
            }
        }
    }

    /// Forgets the holds of an engine that is gone.
    pub fn forget_engine(&mut self, name: &UpstreamName) {
        self.expiries.remove(name);
    }

    /// Records an engine's list of holds and returns those to reclaim. `sent_ms` is the time at
    /// which the list was requested.
    pub fn on_holds(
        &mut self,
        name: &UpstreamName,
        holds: &[Hold],
        sent_ms: MonoMs,
        now_ms: MonoMs,
    ) -> Vec<Reclaim> {
        let before = self.expiries.remove(name).unwrap_or_default();
        let mut after = BTreeMap::new();
        let mut reclaims: Vec<Reclaim> = Vec::new();
        for hold in holds {
            let key = key_of(hold);
            let expires_ms = expiry(before.get(&key).copied(), hold, now_ms);
            after.insert(key, expires_ms);
            // The time of the request counts, since the hold may have been renewed after it.
            let overdue = sent_ms >= expires_ms + OVERDUE_GRACE_MS;
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
        died_ms.is_some_and(|died_ms| now_ms.since(*died_ms) >= TAKEOVER_GRACE_MS)
    }
}

/// Returns the expiry of a hold according to the latest report of the engine. An expired hold that
/// is still listed has 0 ms left in each report, which is not a renewal.
fn expiry(before: Option<MonoMs>, hold: &Hold, now_ms: MonoMs) -> MonoMs {
    let reported_ms = now_ms + hold.expires_ms;
    match before {
        Some(before) if hold.expires_ms == SpanMs::ZERO => before,
        Some(before) => before.max(reported_ms),
        None => reported_ms,
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
