//! The table of engines: facts, late reports, and what this node sent since.
//!
//! Terms: the *backlog* is prefill work not done; the *rank* orders engines the same way at every
//! node; an engine is *open* where it takes new work.
//!
//! Invariants: a model's list holds exactly the open engines that serve it, by rank; an engine's
//! in-flight list holds exactly the jobs that this node sent there and that have not ended.

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

/// An engine is an outlier where its rate is below this share of the mean.
const OUTLIER: f64 = 0.4;
/// The weight of a report in the mean duration of a step.
const STEP_GAIN: f64 = 0.01;
/// Work counts as alone on its engine with less than this share of its own tokens ahead.
const ALONE: f64 = 0.1;
/// So many samples must have shown it.
const OUTLIER_SAMPLES: u64 = 5;

/// The table of engines.
#[derive(Debug)]
pub struct Fleet {
    engines: Vec<Option<Engine>>,
    by_model: Vec<Vec<UpstreamId>>,
    sizes: Vec<Sizes>,
    group_parts: usize,
    mean: CostModel,
    mean_step_ms: f64,
}

/// The most memory that engines of one model have, when they are empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Sizes {
    one: Tokens,
    group: Tokens,
}

impl Fleet {
    /// An empty table whose engines begin with the cost model given.
    pub fn open(prior: CostModel, group_parts: usize) -> Self {
        Self {
            engines: Vec::new(),
            by_model: Vec::new(),
            sizes: Vec::new(),
            group_parts,
            mean: prior,
            mean_step_ms: 0.0,
        }
    }

    /// What was learned of all engines together.
    pub fn mean_cost(&self) -> CostModel {
        self.mean
    }

    /// An engine's own cost model where it is clearly slower than the fleet's mean, and the mean
    /// otherwise: engines are alike unless something is wrong, and the small differences that a
    /// few samples show would send work to whichever engine was lucky last.
    pub fn trusted_cost(&self, engine: &Engine) -> CostModel {
        let known = engine.cost.samples >= OUTLIER_SAMPLES;
        if known && engine.cost.prefill_per_s < self.mean.prefill_per_s * OUTLIER {
            return engine.cost;
        }
        self.mean
    }

    /// The mean duration of the engines' steps, as reported.
    pub fn mean_step_ms(&self) -> f64 {
        self.mean_step_ms
    }

    /// Takes a load report in.
    pub fn on_load(&mut self, upstream: UpstreamId, report: &LoadReport, now_ms: MonoMs) {
        if report.step_ms > 0.0 {
            self.mean_step_ms += STEP_GAIN * (report.step_ms - self.mean_step_ms);
        }
        if let Some(engine) = self.get_mut(upstream) {
            engine.on_load(report, now_ms);
        }
        if report.leaving {
            self.leaving(upstream);
        }
    }

    /// The engine, where it is known.
    pub fn get(&self, upstream: UpstreamId) -> Option<&Engine> {
        self.engines.get(upstream.index())?.as_ref()
    }

    /// The engine, to change.
    pub fn get_mut(&mut self, upstream: UpstreamId) -> Option<&mut Engine> {
        self.engines.get_mut(upstream.index())?.as_mut()
    }

    /// All known engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().flatten()
    }

    /// The open engines that serve a model, by rank.
    pub fn serving(&self, model: ModelId) -> &[UpstreamId] {
        self.by_model.get(model.index()).map_or(&[], Vec::as_slice)
    }

    /// The memory of the largest engine that serves a model.
    pub fn largest(&self, model: ModelId) -> Tokens {
        self.sizes
            .get(model.index())
            .map_or(Tokens::ZERO, |sizes| sizes.one)
    }

    /// The most memory that a group of engines serving a model has.
    pub fn largest_group(&self, model: ModelId) -> Tokens {
        self.sizes
            .get(model.index())
            .map_or(Tokens::ZERO, |sizes| sizes.group)
    }

    /// The models that have a list.
    pub fn models(&self) -> impl Iterator<Item = ModelId> {
        (0..self.by_model.len()).map(|i| ModelId(i as u32))
    }

    /// Takes an engine's facts in; a leaving engine that is seen again is open again.
    pub fn seen(&mut self, facts: EngineFacts, now_ms: MonoMs) {
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
        self.relist();
    }

    /// Closes an engine for new work.
    pub fn leaving(&mut self, upstream: UpstreamId) {
        let open = |engine: &&mut Engine| engine.state == State::Open;
        if let Some(engine) = self.get_mut(upstream).filter(open) {
            engine.state = State::Leaving;
            self.relist();
        }
    }

    /// Forgets an engine.
    pub fn gone(&mut self, upstream: UpstreamId) {
        if let Some(slot) = self.engines.get_mut(upstream.index()) {
            *slot = None;
            self.relist();
        }
    }

    /// Takes a first token in, for the whole fleet and for its engine.
    pub fn learn(&mut self, upstream: UpstreamId, sample: Sample) {
        // Work that had others ahead of it tells of their order too, and not of the engine alone.
        if sample.ahead_tokens <= sample.own_tokens * ALONE {
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

    fn relist(&mut self) {
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
        self.sizes.clear();
        for list in &self.by_model {
            let listed = || list.iter().filter_map(|id| engines[id.index()].as_ref());
            self.sizes.push(Sizes {
                one: groups::most_tokens(listed(), 1),
                group: groups::most_tokens(listed(), self.group_parts),
            });
        }
    }
}
