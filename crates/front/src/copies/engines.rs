//! The work on engines that a node hands over to a starting one.
//!
//! Invariants: the size depends on the engines and not on the requests.

use crate::node::{Node, State};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use serde::{Deserialize, Serialize};

/// The baselines of the engines that have work, as a node knows them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct EngineBaselines {
    /// True if the sender knows its peers' work. Otherwise it has just started as well, and knows only what
    /// engines reported.
    is_complete: bool,
    engines: Vec<(u32, Baseline)>,
}

impl EngineBaselines {
    /// Returns what `state` knows.
    pub fn of(state: &mut State, now_ms: MonoMs) -> Self {
        let is_complete = state.startup.is_complete();
        let engines: Vec<(ReplicaKey, Baseline)> = match is_complete {
            true => {
                let listed = state.replicas.listed().map(|replica| replica.key());
                Baselines::of_loads(listed, state.ledger.loads(now_ms))
            }
            false => state.startup.baselines.iter().collect(),
        };
        let engines = engines.into_iter().map(|(key, work)| (key.0, work));
        Self {
            is_complete,
            engines: engines.collect(),
        }
    }

    /// Adds the baselines to what `node` knows.
    pub fn apply(self, node: &Node) {
        let engines = self.engines.into_iter();
        let engines = engines.map(|(key, baseline)| (ReplicaKey(key), baseline));
        node.with(|state| match self.is_complete {
            true => state.startup.on_handed_over(engines),
            false => state.startup.on_relayed(engines),
        });
    }
}
