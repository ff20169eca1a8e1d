//! The choice of the engine that loads a version next: a pure decision over the views.
//!
//! Rule: one engine at a time. An engine is chosen only if another one of its deployment serves
//! the model and is live, so that a load never removes the last replica while there are two.
//! Engines in the failure domain with the most other replicas come first. A sole replica is
//! loaded last, since nothing can replace it during the load.
//!
//! Invariants: no engine is chosen by a view that was not read under the current duty.

use super::KnownEngine;
use bluebell_base::prelude::*;
use bluebell_config::Model;
use std::collections::BTreeSet;

/// The number of different engines that failed to load a version at which its rollout is halted.
const FAILURES_TO_HALT: usize = 2;

/// A load of a version on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The engine.
    pub engine: UpstreamName,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
}

/// The failed loads under the configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    failed: BTreeSet<(ModelName, u64, UpstreamName)>,
}

impl Rollout {
    /// Records that a load did not complete in time.
    pub fn on_failure(&mut self, load: &Load) {
        let key = (load.model.clone(), load.version, load.engine.clone());
        self.failed.insert(key);
    }

    /// Returns the versions that failed on several engines. The other engines keep the versions
    /// that they serve.
    ///
    /// Otherwise a version that can't be loaded would be tried on one replica after the other.
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

    /// Returns the next load among `engines`, which are all engines of this node's groups.
    /// `may_order` returns true if an order may be sent to the engine now.
    pub fn next(
        &self,
        engines: &[&KnownEngine],
        models: &[Model],
        may_order: impl Fn(&KnownEngine) -> bool,
    ) -> Option<Load> {
        let halted = self.halted();
        let wanted = models
            .iter()
            .filter(|model| !halted.contains(&(model.name.clone(), model.version)));
        let loads = wanted.flat_map(|model| {
            let outdated = engines.iter().filter(|engine| is_outdated(engine, model));
            let able = outdated.filter(|engine| engine.is_live() && may_order(engine));
            able.filter(|engine| !self.failed_on(engine, model))
                .map(move |engine| (model, *engine))
        });
        let best = loads.max_by_key(|(model, engine)| {
            let others = others_serving(engines, engine, model);
            (others, std::cmp::Reverse(engine.name()))
        });
        best.map(|(model, engine)| Load {
            engine: engine.name(),
            model: model.name.clone(),
            version: model.version,
        })
    }

    fn failed_on(&self, engine: &KnownEngine, model: &Model) -> bool {
        let key = (model.name.clone(), model.version, engine.name());
        self.failed.contains(&key)
    }
}

/// Returns true if the engine serves the model in another version.
fn is_outdated(engine: &KnownEngine, model: &Model) -> bool {
    let view = engine.view();
    view.is_some_and(|view| {
        let mut own = view.models.iter().filter(|m| m.model == model.name);
        own.any(|m| m.version != model.version)
    })
}

/// Returns the number of other live engines of the deployment that serve the model.
fn others_serving(engines: &[&KnownEngine], engine: &KnownEngine, model: &Model) -> usize {
    let serves = |other: &&&KnownEngine| {
        let view = other.view();
        view.is_some_and(|view| view.models.iter().any(|m| m.model == model.name))
    };
    let others = engines.iter().filter(|other| {
        other.name() != engine.name()
            && other.deployment() == engine.deployment()
            && other.is_live()
    });
    others.filter(serves).count()
}
