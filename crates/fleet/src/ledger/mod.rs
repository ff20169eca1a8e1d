//! The work in flight on engines, of this node and of its peers.
//!
//! Terms: an *owner* is one run of one node; a *part* is what one engine reads of a prompt, the
//! whole of it where it is read alone; the *backlog* is what an engine has still to read.
//!
//! Invariants: an owner's work is changed by its own news only; work that its owner stopped telling
//! of expires.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::engine::EngineSpec;
use crate::replicas::ReplicaKey;

/// One run of one node, as peers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// A piece of work, unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId {
    /// The node that placed it.
    pub owner: OwnerId,
    /// Counted by that node.
    pub sequence: u32,
}

/// How far work is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its prompt is being read.
    Reading,
    /// Its events arrive on time.
    Writing,
    /// Its events arrive, and one has already been late.
    Late,
}

/// A piece of work on one engine, or on several that read its prompt together.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The engine that writes it.
    pub first: ReplicaKey,
    /// The engines that read parts of its prompt beside the first.
    pub helpers: Vec<ReplicaKey>,
    /// How far it is.
    pub stage: Stage,
    /// When it was placed, by this node's clock.
    pub placed_ms: MonoMs,
    /// The length of its prompt.
    pub prompt_tokens: Tokens,
    /// What each of its engines reads, as time.
    pub part_ms: f64,
    /// The longest pause between its events that is on time.
    pub gap_ms: SpanMs,
}

/// What one engine has to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Work that it writes, or will write.
    pub writers: u32,
    /// The length of the prompts of that work.
    pub context_tokens: Tokens,
    /// What it has still to read, as time.
    pub backlog_ms: f64,
    /// The tolerance and the weight of each writer that has been on time so far.
    pub tolerances: Vec<Tolerance>,
}

/// A writer that a long pass would make late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The longest pause that is on time.
    pub gap_ms: f64,
    /// What its lateness counts.
    pub weight: f64,
}

/// What a request counts against others. Operators set no weights: longer prompts are wanted more,
/// but less than in proportion, so that no long prompt outweighs the many short ones in its way.
/// The power is between the square root, at which long prompts of an overloaded fleet were turned
/// away nearly all, and 1.
pub fn weight(prompt_tokens: Tokens) -> f64 {
    (prompt_tokens.0.max(1) as f64 / 1000.0).powf(0.75)
}

/// All work in flight.
#[derive(Debug, Default)]
pub struct Ledger {
    works: FxHashMap<WorkId, Work>,
}

impl Ledger {
    /// Adds or replaces work.
    pub fn put(&mut self, id: WorkId, work: Work) {
        self.works.insert(id, work);
    }

    /// Notes how far work is; unknown work is left unknown.
    pub fn set_stage(&mut self, id: WorkId, stage: Stage) {
        if let Some(work) = self.works.get_mut(&id) {
            work.stage = stage;
        }
    }

    /// Removes work.
    pub fn remove(&mut self, id: WorkId) {
        self.works.remove(&id);
    }

    /// Removes all work of an owner.
    pub fn remove_owner(&mut self, owner: OwnerId) {
        self.works.retain(|id, _| id.owner != owner);
    }

    /// Keeps only the work of `owner` that `keeps` lists.
    pub fn retain_owner(&mut self, owner: OwnerId, keeps: impl Fn(u32) -> bool) {
        self.works
            .retain(|id, _| id.owner != owner || keeps(id.sequence));
    }

    /// Removes work placed before `before_ms`.
    pub fn expire(&mut self, before_ms: MonoMs) {
        self.works.retain(|_, work| work.placed_ms >= before_ms);
    }

    /// The work of one owner.
    pub fn of_owner(&self, owner: OwnerId) -> impl Iterator<Item = (u32, &Work)> {
        let own = self.works.iter().filter(move |(id, _)| id.owner == owner);
        own.map(|(id, work)| (id.sequence, work))
    }

    /// How much work is in flight.
    pub fn len(&self) -> usize {
        self.works.len()
    }

    /// Whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    /// What each engine has to do at `now_ms`.
    ///
    /// Prompts are taken to be read one after the other in the order in which they were placed; a
    /// prompt whose reading should be over, while no event has come, is taken to end now.
    pub fn loads(&self, now_ms: MonoMs) -> FxHashMap<ReplicaKey, Load> {
        let mut loads: FxHashMap<ReplicaKey, Load> = FxHashMap::default();
        let mut reading: Vec<&Work> = Vec::new();
        for work in self.works.values() {
            let load = loads.entry(work.first).or_default();
            load.writers += 1;
            load.context_tokens.0 += work.prompt_tokens.0;
            if work.stage != Stage::Late {
                load.tolerances.push(Tolerance {
                    gap_ms: work.gap_ms.0 as f64,
                    weight: weight(work.prompt_tokens),
                });
            }
            if work.stage == Stage::Reading {
                reading.push(work);
            }
        }
        reading.sort_unstable_by_key(|work| work.placed_ms);
        let mut free_at: FxHashMap<ReplicaKey, f64> = FxHashMap::default();
        for work in reading {
            for key in std::iter::once(&work.first).chain(&work.helpers) {
                let at = free_at.entry(*key).or_default();
                *at = at.max(work.placed_ms.0 as f64) + work.part_ms;
            }
        }
        for (key, at) in free_at {
            let load = loads.entry(key).or_default();
            load.backlog_ms = (at - now_ms.0 as f64).max(0.0);
        }
        loads
    }
}

impl Load {
    /// The time of a pass that also reads for `reading_ms`.
    pub fn pass_ms(&self, spec: &EngineSpec, reading_ms: f64) -> f64 {
        spec.pass_ms(self.writers, self.context_tokens) + reading_ms
    }
}
