//! Which engine loads which version next: a pure decision over the views.
//!
//! Rule: one engine at a time; an engine is chosen only if another one of its deployment serves
//! the model and stays, so that loading never takes the last replica away while there are two.
//! Engines in the failure domain with the most other replicas come first. A sole replica is
//! loaded last, as there is no way to spare it.
//!
//! Invariants: nothing is chosen on a view that was not read under the current duty.

use super::EngineSeat;
use bluebell_base::prelude::*;
use bluebell_config::Model;
use std::collections::BTreeSet;

/// Failures of a version on different engines, none having loaded it, that halt its rollout.
const FAILURES_TO_HALT: usize = 2;

/// An engine to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The engine.
    pub engine: UpstreamName,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
}

/// What was tried under the configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    failed: BTreeSet<(ModelName, u64, UpstreamName)>,
}

impl Rollout {
    /// A load was not seen done in time.
    pub fn on_failure(&mut self, load: &Load) {
        let key = (load.model.clone(), load.version, load.engine.clone());
        self.failed.insert(key);
    }

    /// The versions that failed on several engines; the other engines keep what they serve.
    ///
    /// A version that can't be loaded would otherwise be tried on one replica after the other.
    pub fn halted(&self) -> BTreeSet<(ModelName, u64)> {
        let versions = self.failed.iter().map(|(m, v, _)| (m.clone(), *v));
        let many = |version: &(ModelName, u64)| {
            let same = self
                .failed
                .iter()
                .filter(|(m, v, _)| (m, v) == (&version.0, &version.1));
            same.count() >= FAILURES_TO_HALT
        };
        versions.filter(many).collect()
    }

    /// The next load among `seats`, which are all engines of this node's groups; `may_order` says
    /// whether an engine can be given an order now.
    pub fn next(
        &self,
        seats: &[&EngineSeat],
        models: &[Model],
        may_order: impl Fn(&EngineSeat) -> bool,
    ) -> Option<Load> {
        let halted = self.halted();
        let wanted = models
            .iter()
            .filter(|model| !halted.contains(&(model.name.clone(), model.version)));
        let loads = wanted.flat_map(|model| {
            let behind = seats.iter().filter(|seat| is_behind(seat, model));
            let able = behind.filter(|seat| seat.is_live() && may_order(seat));
            able.filter(|seat| !self.failed_on(seat, model))
                .map(move |seat| (model, *seat))
        });
        let best = loads.max_by_key(|(model, seat)| {
            let others = others_serving(seats, seat, model);
            (others, std::cmp::Reverse(seat.name()))
        });
        best.map(|(model, seat)| Load {
            engine: seat.name(),
            model: model.name.clone(),
            version: model.version,
        })
    }

    fn failed_on(&self, seat: &EngineSeat, model: &Model) -> bool {
        let key = (model.name.clone(), model.version, seat.name());
        self.failed.contains(&key)
    }
}

/// Whether the engine serves the model in another version.
fn is_behind(seat: &EngineSeat, model: &Model) -> bool {
    let view = seat.view();
    view.is_some_and(|view| {
        let mut own = view.models.iter().filter(|m| m.model == model.name);
        own.any(|m| m.version != model.version)
    })
}

/// How many other live engines of the deployment serve the model.
fn others_serving(seats: &[&EngineSeat], seat: &EngineSeat, model: &Model) -> usize {
    let serves = |other: &&&EngineSeat| {
        let view = other.view();
        view.is_some_and(|view| view.models.iter().any(|m| m.model == model.name))
    };
    let others = seats.iter().filter(|other| {
        other.name() != seat.name() && other.deployment() == seat.deployment() && other.is_live()
    });
    others.filter(serves).count()
}
