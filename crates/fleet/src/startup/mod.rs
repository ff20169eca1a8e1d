//! Placement by a node that has just started and hasn't heard its peers yet.
//!
//! Terms: the *warm-up* lasts from the moment at which a node is able to serve until its *knowledge is
//! complete*; the *baseline* of an engine is work that the node hasn't heard of by gossip; a node's
//! *own share* is its even share of a service's slots, with a margin.
//!
//! Load pattern: all nodes lose power for a second and restart while short prompts arrive at twice their
//! usual rate. Each has heard no peer, takes all engines for idle, and would choose the same cheapest one:
//! of 276 prompts in half a second 67 went to one of 45 engines, and a third of all attempts ended at a
//! full engine.
//!
//! Reason for the limits: a node that knows nothing of its peers spreads its placements over all engines,
//! begins at an engine of its own, and places no more than its share. Peers are heard within half a second,
//! so that the warm-up is short; it ends after [`MAX_WARM_UP_MS`] in any case, since a node may have been
//! told of peers that don't run any more.
//!
//! Invariants: outside the warm-up no decision changes, except that an engine which was full during it
//! counts as full for a moment longer. The state is linear in engines and constant in requests. A baseline
//! never adds to what the ledger knows: the larger of both counts.

mod baseline;
mod full;
mod joining;
mod knowledge;
mod own;

pub use baseline::{Baseline, Baselines, EngineWork};
pub use full::FullEngines;
pub use joining::join_pause;
pub use knowledge::{MAX_WARM_UP_MS, PeerKnowledge, WarmUpEnd};
pub use own::OwnPlacements;

use crate::engine::EngineSpec;
use crate::ledger::{Ledger, Load, Loads, OwnerId};
use crate::replicas::ReplicaKey;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// The warm-up of a node.
#[derive(Debug, Default)]
pub struct Startup {
    phase: Phase,
    /// The time since which peers are known.
    peers_known_ms: Option<MonoMs>,
    /// The work on engines that this node hasn't heard of.
    pub baselines: Baselines,
    /// The engines that rejected requests because they were full.
    pub full_engines: FullEngines,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// The node can't serve yet.
    #[default]
    Joining,
    /// The node has been able to serve since this time, and its knowledge isn't complete.
    WarmingUp { since_ms: MonoMs },
    /// The node's knowledge has been complete since this time.
    Complete { since_ms: MonoMs },
}

impl Startup {
    /// Records that the node is able to serve. Returns true if its warm-up begins.
    pub fn begin(&mut self, now_ms: MonoMs) -> bool {
        let begins = self.phase == Phase::Joining;
        if begins {
            self.phase = Phase::WarmingUp { since_ms: now_ms };
        }
        begins
    }

    /// Returns the end of the warm-up if the node's knowledge has become complete.
    pub fn update(
        &mut self,
        peers: PeerKnowledge,
        digest_interval_ms: SpanMs,
        now_ms: MonoMs,
    ) -> Option<WarmUpEnd> {
        if peers.known > 0 {
            self.peers_known_ms.get_or_insert(now_ms);
        }
        let Phase::WarmingUp { since_ms } = self.phase else {
            return None;
        };
        let known_for_ms = self.peers_known_ms.map(|at_ms| now_ms.since(at_ms));
        let took_ms = now_ms.since(since_ms);
        let how = peers.warm_up_end(known_for_ms, digest_interval_ms, took_ms)?;
        self.phase = Phase::Complete { since_ms: now_ms };
        self.baselines.clear();
        Some(how)
    }

    /// Records an engine's report of its work, which counts until the end of the warm-up.
    pub fn on_report(&mut self, key: ReplicaKey, work: EngineWork) {
        if !self.is_complete() {
            self.baselines.on_report(key, work);
        }
    }

    /// Records the baselines that a peer whose knowledge is complete handed over.
    pub fn on_handed_over(&mut self, engines: impl Iterator<Item = (ReplicaKey, Baseline)>) {
        if !self.is_complete() {
            self.baselines.on_handed_over(engines);
        }
    }

    /// Records the baselines of a peer that has just started as well.
    pub fn on_relayed(&mut self, engines: impl Iterator<Item = (ReplicaKey, Baseline)>) {
        if !self.is_complete() {
            self.baselines.on_relayed(engines);
        }
    }

    /// Returns true during the warm-up.
    pub fn is_warming_up(&self) -> bool {
        matches!(self.phase, Phase::WarmingUp { .. })
    }

    /// Returns true once the node's knowledge is complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.phase, Phase::Complete { .. })
    }

    /// Returns true for a request that arrived during the warm-up.
    pub fn covers(&self, arrived_ms: MonoMs) -> bool {
        match self.phase {
            Phase::Joining => false,
            Phase::WarmingUp { .. } => true,
            Phase::Complete { since_ms } => arrived_ms < since_ms,
        }
    }

    /// Returns the node's own work during the warm-up, and `None` outside of it.
    pub fn own_placements(&self, ledger: &Ledger, own: OwnerId) -> Option<OwnPlacements> {
        self.is_warming_up().then(|| OwnPlacements::of(ledger, own))
    }

    /// Returns the loads of those `engines` of which the ledger knows too little.
    pub fn loads(
        &self,
        engines: impl Iterator<Item = ReplicaKey>,
        loads: Loads<'_>,
        spec: &EngineSpec,
        now_ms: MonoMs,
    ) -> FxHashMap<ReplicaKey, Load> {
        let is_active = self.is_warming_up() || self.full_engines.is_any_full(now_ms);
        let corrected = engines.filter(|_| is_active).filter_map(|key| {
            let baseline = self.baselines.of(key);
            let is_full = self.full_engines.is_full(key, now_ms);
            if baseline.is_none() && !is_full {
                return None;
            }
            let mut load = loads.of(key).clone();
            if let Some(baseline) = baseline {
                baseline.raise(&mut load, spec);
            }
            if is_full {
                full::fill(&mut load, spec);
            }
            Some((key, load))
        });
        corrected.collect()
    }
}
