//! The node's own placements during its warm-up, and its share of the slots.

use crate::engine::EngineSpec;
use crate::ledger::{Ledger, OwnerId};
use crate::placement::Fleet;
use crate::replicas::ReplicaKey;
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::Hasher;

/// The factor on a node's even share of the slots. Callers' connections don't spread evenly over nodes.
const SHARE_MARGIN: f64 = 1.5;

/// The smallest share of a node: in a fleet with more nodes than slots each may still place something.
const MIN_SHARE: usize = 2;

/// The requests of one node that are in flight, by engine.
#[derive(Clone, Debug)]
pub struct OwnPlacements {
    owner: OwnerId,
    /// The number of requests that each engine writes or helps to read.
    by_engine: FxHashMap<ReplicaKey, u32>,
    /// The engine that writes each request.
    writing: Vec<ReplicaKey>,
}

impl OwnPlacements {
    /// Collects the work of `owner`.
    pub(super) fn of(ledger: &Ledger, owner: OwnerId) -> Self {
        let mut own = Self {
            owner,
            by_engine: FxHashMap::default(),
            writing: Vec::new(),
        };
        for (_, work) in ledger.of_owner(owner) {
            own.writing.push(work.first);
            for key in std::iter::once(&work.first).chain(&work.helpers) {
                *own.by_engine.entry(*key).or_default() += 1;
            }
        }
        own
    }

    /// Returns the number of requests that an engine writes or helps to read.
    pub fn at(&self, key: ReplicaKey) -> u32 {
        self.by_engine.get(&key).copied().unwrap_or(0)
    }

    /// Returns true if the node has as many requests in flight on `engines` as its share of their slots
    /// among `nodes` allows.
    pub fn has_own_share(&self, engines: &[ReplicaKey], spec: &EngineSpec, nodes: usize) -> bool {
        let slots = engines.len() as f64 * f64::from(spec.slots);
        let share = (slots / nodes.max(1) as f64 * SHARE_MARGIN).ceil() as usize;
        let in_flight = self.writing.iter().filter(|key| engines.contains(key));
        in_flight.count() >= share.max(MIN_SHARE)
    }

    /// Makes a decision spread over all engines, from this node's own point of the shared order on.
    pub fn spread<'a>(&self, fleet: Fleet<'a>) -> Fleet<'a> {
        let mut fleet = fleet.with_full_spread(self.order_start());
        for candidate in &mut fleet.candidates {
            candidate.own_placements = self.at(candidate.key);
        }
        fleet
    }

    /// Returns the point, from 0 to 1, at which the node's rotation of the shared order begins.
    fn order_start(&self) -> f64 {
        let mut hasher = FxHasher::default();
        hasher.write_u64(self.owner.0);
        (hasher.finish() >> 32) as f64 / f64::from(u32::MAX)
    }
}
