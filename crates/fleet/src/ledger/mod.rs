//! The work in flight on engines, of this node and of its peers.
//!
//! Terms: an *owner* is one run of one node; a *part* is what one engine reads of a prompt, the
//! whole of it where it is read alone; the *backlog* is what an engine has still to read.
//!
//! Invariants: an owner's work is changed by its own news only; work that its owner stopped telling
//! of expires.

mod queue;

pub use queue::{Part, ReadQueue};

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

use crate::engine::EngineSpec;
use crate::pace::{Pace, Paces};
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
    /// The memory that is set aside for its prompt beside that of the engine that writes it.
    pub memory: Vec<(ReplicaKey, Tokens)>,
    /// How far it is.
    pub stage: Stage,
    /// When it was placed, by this node's clock.
    pub placed_ms: MonoMs,
    /// The length of its prompt.
    pub prompt_tokens: Tokens,
    /// What each of its engines reads, as the time that a sound engine takes.
    pub part_ms: f64,
    /// The longest pause between its events that is on time.
    pub gap_ms: SpanMs,
    /// Until when its first event is on time.
    pub due_ms: MonoMs,
}

/// What one engine has to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Work that it writes, or will write.
    pub writers: u32,
    /// The length of the prompts of that work.
    pub context_tokens: Tokens,
    /// Work that others write, of whose prompts it read a part: it holds that until they are written.
    pub helping: u32,
    /// The memory that its own work and what is set aside for others' take.
    pub memory_tokens: Tokens,
    /// What it has still to read, as the time that it takes for that.
    pub backlog_ms: f64,
    /// How slow it is.
    pub pace: Pace,
    /// The tolerance and the weight of each writer that has been on time so far.
    pub tolerances: Vec<Tolerance>,
    /// The same of each writer that is late already: it can still be made to break off.
    pub late: Vec<Tolerance>,
}

/// A request whose prompt is being read.
#[derive(Clone, Debug, PartialEq)]
pub struct Reader {
    /// When each of its engines has read its part, from now.
    pub ends: Vec<(ReplicaKey, f64)>,
    /// Until when its first event is on time, from now.
    pub due_ms: f64,
    /// What its lateness counts.
    pub weight: f64,
}

/// What all engines have to do at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loads {
    /// By engine; one without work is missing.
    pub engines: FxHashMap<ReplicaKey, Load>,
    /// All requests whose prompts are being read.
    pub readers: Vec<Reader>,
    /// How many engines the reading that was placed lately keeps busy.
    pub reading_engines: f64,
}

/// A writer that a long pass would hurt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The longest pause that is on time.
    pub gap_ms: f64,
    /// What its lateness counts.
    pub weight: f64,
}

/// What a request counts against others. Operators set no weights: longer prompts are wanted more,
/// but less than in proportion, so that no long prompt outweighs the many short ones in its way.
/// Other powers were not tried.
pub fn weight(prompt_tokens: Tokens) -> f64 {
    (prompt_tokens.0.max(1) as f64 / 1000.0).powf(0.75)
}

/// All work in flight.
#[derive(Debug, Default)]
pub struct Ledger {
    works: FxHashMap<WorkId, Work>,
    queues: FxHashMap<ReplicaKey, ReadQueue>,
    /// What was placed lately: when, and the engine time that its reading takes.
    placed: VecDeque<(MonoMs, f64)>,
}

/// The span over which the reading that was placed is counted: about as long as a long prompt is in
/// hand.
const LATELY_MS: SpanMs = SpanMs(4_000);

impl Ledger {
    /// Adds work, or takes in how far known work is.
    pub fn put(&mut self, id: WorkId, work: Work, now_ms: MonoMs) {
        if self.works.contains_key(&id) {
            self.set_stage(id, work.stage);
            return;
        }
        if work.stage == Stage::Reading {
            self.enqueue(id, &work, now_ms);
            let engines = 1 + work.helpers.len();
            self.placed
                .push_back((now_ms, work.part_ms * engines as f64));
        }
        self.works.insert(id, work);
    }

    fn enqueue(&mut self, id: WorkId, work: &Work, now_ms: MonoMs) {
        let shared = !work.helpers.is_empty();
        let part = Part {
            work: id,
            left_ms: work.part_ms,
        };
        for key in std::iter::once(&work.first).chain(&work.helpers) {
            let queue = self.queues.entry(*key).or_default();
            queue.advance(now_ms);
            queue.put(part, shared);
        }
    }

    fn dequeue(&mut self, id: WorkId) {
        let Some(work) = self.works.get(&id) else {
            return;
        };
        if work.stage != Stage::Reading {
            return;
        }
        for key in std::iter::once(&work.first).chain(&work.helpers) {
            if let Some(queue) = self.queues.get_mut(key) {
                queue.remove(id);
            }
        }
    }

    /// Notes how far work is; unknown work is left unknown.
    pub fn set_stage(&mut self, id: WorkId, stage: Stage) {
        if stage != Stage::Reading {
            self.dequeue(id);
        }
        if let Some(work) = self.works.get_mut(&id) {
            work.stage = stage;
        }
    }

    /// How long the engines of `id` still read before the last of its parts is read; none where it
    /// is read, or unknown.
    pub fn reading_left_ms(&mut self, id: WorkId, now_ms: MonoMs) -> Option<f64> {
        let work = self.works.get(&id)?;
        let mut left_ms: Option<f64> = None;
        for key in std::iter::once(&work.first).chain(&work.helpers) {
            let Some(queue) = self.queues.get_mut(key) else {
                continue;
            };
            queue.advance(now_ms);
            if let Some((_, end_ms)) = queue.ends().find(|(work, _)| *work == id) {
                left_ms = Some(left_ms.map_or(end_ms, |left_ms| left_ms.max(end_ms)));
            }
        }
        left_ms
    }

    /// How long an engine still reads.
    pub fn backlog_ms(&mut self, key: ReplicaKey, now_ms: MonoMs) -> f64 {
        self.queues.get_mut(&key).map_or(0.0, |queue| {
            queue.advance(now_ms);
            queue.backlog_ms()
        })
    }

    /// Removes work.
    pub fn remove(&mut self, id: WorkId) {
        self.dequeue(id);
        self.works.remove(&id);
    }

    /// Removes all work of an owner.
    pub fn remove_owner(&mut self, owner: OwnerId) {
        self.retain_owner(owner, |_| false);
    }

    /// Keeps only the work of `owner` that `keeps` lists.
    pub fn retain_owner(&mut self, owner: OwnerId, keeps: impl Fn(u32) -> bool) {
        let own = self.works.keys().filter(|id| id.owner == owner);
        let gone: Vec<WorkId> = own.filter(|id| !keeps(id.sequence)).copied().collect();
        for id in gone {
            self.remove(id);
        }
    }

    /// Removes work placed before `before_ms`.
    pub fn expire(&mut self, before_ms: MonoMs) {
        let old = self
            .works
            .iter()
            .filter(|(_, work)| work.placed_ms < before_ms);
        let old: Vec<WorkId> = old.map(|(id, _)| *id).collect();
        for id in old {
            self.remove(id);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
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

    /// Takes in how slow engines are from now on.
    pub fn set_paces(&mut self, paces: &Paces, now_ms: MonoMs) {
        for (key, queue) in &mut self.queues {
            queue.advance(now_ms);
            queue.set_pace(paces.of(*key, now_ms));
        }
    }

    /// What each engine has to do at `now_ms`.
    pub fn loads(&mut self, now_ms: MonoMs) -> Loads {
        while self
            .placed
            .front()
            .is_some_and(|(at_ms, _)| now_ms.since(*at_ms) > LATELY_MS)
        {
            self.placed.pop_front();
        }
        let placed_ms: f64 = self.placed.iter().map(|(_, ms)| ms).sum();
        let mut loads = Loads {
            reading_engines: placed_ms / LATELY_MS.0 as f64,
            ..Loads::default()
        };
        for work in self.works.values() {
            let load = loads.engines.entry(work.first).or_default();
            load.add_writer(work);
            for key in &work.helpers {
                loads.engines.entry(*key).or_default().helping += 1;
            }
            for (key, tokens) in &work.memory {
                let load = loads.engines.entry(*key).or_default();
                load.memory_tokens.0 += tokens.0;
            }
        }
        let mut ends: FxHashMap<WorkId, Vec<(ReplicaKey, f64)>> = FxHashMap::default();
        for (key, queue) in &mut self.queues {
            queue.advance(now_ms);
            let load = loads.engines.entry(*key).or_default();
            load.backlog_ms = queue.backlog_ms();
            for (id, end_ms) in queue.ends() {
                ends.entry(id).or_default().push((*key, end_ms));
            }
        }
        for (id, ends) in ends {
            let Some(work) = self.works.get(&id) else {
                continue;
            };
            loads.readers.push(Reader {
                ends,
                due_ms: work.due_ms.0 as f64 - now_ms.0 as f64,
                weight: weight(work.prompt_tokens),
            });
        }
        loads
    }
}

impl Load {
    fn add_writer(&mut self, work: &Work) {
        self.writers += 1;
        self.context_tokens.0 += work.prompt_tokens.0;
        let elsewhere: u64 = work.memory.iter().map(|(_, tokens)| tokens.0).sum();
        self.memory_tokens.0 += work.prompt_tokens.0.saturating_sub(elsewhere);
        let tolerance = Tolerance {
            gap_ms: work.gap_ms.0 as f64,
            weight: weight(work.prompt_tokens),
        };
        match work.stage {
            Stage::Late => self.late.push(tolerance),
            Stage::Reading | Stage::Writing => self.tolerances.push(tolerance),
        }
    }

    /// The time of a pass that also reads for `reading_ms`.
    pub fn pass_ms(&self, spec: &EngineSpec, reading_ms: f64) -> f64 {
        let writing_ms = spec.pass_ms(self.writers, self.context_tokens);
        writing_ms * self.pace.times() + reading_ms
    }
}
