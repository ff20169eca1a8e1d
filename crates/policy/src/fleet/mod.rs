//! The table of engines: their properties, their late reports, and the work that this node has sent
//! since.
//!
//! Terms: the *backlog* is prefill work that is not done; the *rank* gives the engines the same
//! order at every node; an engine is *open* if it accepts new work.
//!
//! Invariants: a model's list holds exactly the open engines that serve it, ordered by rank; an
//! engine's in-flight list holds exactly the jobs that this node sent there and that have not
//! ended.

mod busy;
mod engine;
mod health;

pub use busy::Busy;
pub use engine::{Engine, InFlight, State};
pub use health::Health;

use crate::cost::{CostModel, ENGINE_GAIN, FLEET_GAIN, Sample};
use crate::groups;
use crate::job::EngineFacts;
use bluebell_base::prelude::*;
use bluebell_upstreams::LoadReport;

/// Share of the mean prefill rate below which an engine is an outlier.
const OUTLIER_RATE_SHARE: f64 = 0.4;
/// Weight of a report in the mean duration of a step.
const STEP_MEAN_GAIN: f64 = 0.01;
/// Maximum work ahead of a job that counts as alone on its engine, as a share of the job's own
/// tokens.
const MAX_AHEAD_SHARE: f64 = 0.1;
/// Minimum number of samples before an engine can be an outlier.
const MIN_OUTLIER_SAMPLES: u64 = 5;

/// The table of engines.
#[derive(Debug)]
pub struct Fleet {
    engines: Vec<Option<Engine>>,
    by_model: Vec<Vec<UpstreamId>>,
    kv_limits: Vec<KvLimits>,
    group_parts: usize,
    mean: CostModel,
    mean_step_ms: f64,
}

/// Memory of the engines of one model when they are empty: that of the largest engine and that of
/// the largest group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct KvLimits {
    one_engine: Tokens,
    group: Tokens,
}

impl Fleet {
    /// Creates an empty table. Engines start with the given cost model.
    pub fn open(prior: CostModel, group_parts: usize) -> Self {
        Self {
            engines: Vec::new(),
            by_model: Vec::new(),
            kv_limits: Vec::new(),
            group_parts,
            mean: prior,
            mean_step_ms: 0.0,
        }
    }

    /// Returns the cost model learned from all engines together.
    pub fn mean_cost(&self) -> CostModel {
        self.mean
    }

    /// Returns the engine's own cost model if it is clearly slower than the fleet's mean, and the
    /// mean otherwise. Engines are equally fast unless something is wrong. The small differences
    /// shown by a few samples would send work to whichever engine had the best recent sample.
    pub fn effective_cost(&self, engine: &Engine) -> CostModel {
        let known = engine.cost.samples >= MIN_OUTLIER_SAMPLES;
        if known && engine.cost.prefill_per_s < self.mean.prefill_per_s * OUTLIER_RATE_SHARE {
            return engine.cost;
        }
        self.mean
    }

    /// Returns the mean duration of the engines' steps in milliseconds, from their reports.
    pub fn mean_step_ms(&self) -> f64 {
        self.mean_step_ms
    }

    /// Records a load report.
    pub fn on_load(&mut self, upstream: UpstreamId, report: &LoadReport, now_ms: MonoMs) {
        if report.step_ms > 0.0 {
            self.mean_step_ms += STEP_MEAN_GAIN * (report.step_ms - self.mean_step_ms);
        }
        if let Some(engine) = self.get_mut(upstream) {
            engine.on_load(report, now_ms);
        }
        if report.leaving {
            self.mark_leaving(upstream);
        }
    }

    /// Returns the engine, if it is known.
    pub fn get(&self, upstream: UpstreamId) -> Option<&Engine> {
        self.engines.get(upstream.index())?.as_ref()
    }

    /// Returns a mutable reference to the engine, if it is known.
    pub fn get_mut(&mut self, upstream: UpstreamId) -> Option<&mut Engine> {
        self.engines.get_mut(upstream.index())?.as_mut()
    }

    /// Iterates over all known engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().flatten()
    }

    /// Returns the open engines that serve a model, ordered by rank.
    pub fn serving(&self, model: ModelId) -> &[UpstreamId] {
        self.by_model.get(model.index()).map_or(&[], Vec::as_slice)
    }

    /// Returns the memory of the largest engine that serves a model.
    pub fn largest_engine_tokens(&self, model: ModelId) -> Tokens {
        self.kv_limits
            .get(model.index())
            .map_or(Tokens::ZERO, |kv_limits| kv_limits.one_engine)
    }

    /// Returns the largest memory that a group of engines serving a model has.
    pub fn largest_group_tokens(&self, model: ModelId) -> Tokens {
        self.kv_limits
            .get(model.index())
            .map_or(Tokens::ZERO, |kv_limits| kv_limits.group)
    }

    /// Iterates over the models that have a list.
    pub fn models(&self) -> impl Iterator<Item = ModelId> {
        (0..self.by_model.len()).map(|i| ModelId(i as u32))
    }

    /// Adds an engine or replaces its facts. A leaving engine is open again.
    pub fn upsert(&mut self, facts: EngineFacts, now_ms: MonoMs) {
        let index = facts.upstream.index();
        if self.engines.len() <= index {
            self.engines.resize_with(index + 1, || None);
        }
        let prior = CostModel {
            samples: 0,
            ..self.mean
        };
        match &mut self.engines[index] {
            Some(engine) => engine.update(facts),
            empty => *empty = Some(Engine::new(facts, prior, now_ms)),
        }
        self.rebuild_lists();
    }

    /// Closes an engine for new work.
    pub fn mark_leaving(&mut self, upstream: UpstreamId) {
        let open = |engine: &&mut Engine| engine.state == State::Open;
        if let Some(engine) = self.get_mut(upstream).filter(open) {
            engine.state = State::Leaving;
            self.rebuild_lists();
        }
    }

    /// Removes an engine.
    pub fn remove(&mut self, upstream: UpstreamId) {
        if let Some(slot) = self.engines.get_mut(upstream.index()) {
            *slot = None;
            self.rebuild_lists();
        }
    }

    /// Records a first token in the cost models of the fleet and of the engine.
    pub fn learn(&mut self, upstream: UpstreamId, sample: Sample) {
        // The wait of a job with others ahead of it also depends on their order, not only on the
        // engine.
        if sample.ahead_tokens <= sample.own_tokens * MAX_AHEAD_SHARE {
            self.mean.learn(sample, FLEET_GAIN);
        }
        let mean = self.mean;
        if let Some(engine) = self.get_mut(upstream) {
            if engine.cost.samples == 0 {
                engine.cost = mean;
            }
            engine.cost.learn(sample, ENGINE_GAIN);
        }
    }

    fn rebuild_lists(&mut self) {
        for list in &mut self.by_model {
            list.clear();
        }
        for engine in self.engines.iter().flatten() {
            if engine.state != State::Open {
                continue;
            }
            for model in &engine.facts.models {
                if self.by_model.len() <= model.index() {
                    self.by_model.resize_with(model.index() + 1, Vec::new);
                }
                self.by_model[model.index()].push(engine.facts.upstream);
            }
        }
        let engines = &self.engines;
        let rank = |id: &UpstreamId| engines[id.index()].as_ref().map(|e| e.facts.rank);
        for list in &mut self.by_model {
            list.sort_by_key(|id| (rank(id), *id));
        }
        self.kv_limits.clear();
        for list in &self.by_model {
            let listed = || list.iter().filter_map(|id| engines[id.index()].as_ref());
            self.kv_limits.push(KvLimits {
                one_engine: groups::max_group_tokens(listed(), 1),
                group: groups::max_group_tokens(listed(), self.group_parts),
            });
        }
    }
}
