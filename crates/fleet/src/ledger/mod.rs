//! The work in flight on engines, of this node and of its peers.
//!
//! Terms: an *owner* is one run of one node; a *part* is what one engine reads of a prompt, the
//! whole of it where it is read alone; the *backlog* is what an engine has still to read.
//!
//! Load pattern: hundreds of nodes tell of some hundred placements a second, and every request that
//! waits asks what all engines have to do. Reckoned from all work at each question, that took a node
//! with an eighth of a core longer than a short prompt may take.
//!
//! Reason for the limits: what an engine has to do is kept as work comes and goes, so that a
//! question costs by the engines that are reading and not by the work in flight.
//!
//! Invariants: an owner's work is changed by its own gossip only; work that its owner stopped telling
//! of expires; what is kept of an engine is what its work adds up to, see [`Ledger::verify`].

mod load;
mod placed;
mod queue;
mod verify;
mod work;

pub use load::{Load, Loads, Reader, Tolerance};
pub use placed::PlacedLately;
pub use queue::{Part, ReadQueue};
pub use verify::LedgerError;
pub use work::{OwnerId, Stage, Work, WorkId, weight};

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::pace::Paces;
use crate::replicas::ReplicaKey;

/// One engine: what it has to do, and what of that it has still to read.
#[derive(Debug, Default)]
struct Engine {
    load: Load,
    queue: ReadQueue,
}

impl Engine {
    /// Brings what is kept of its reading to `now_ms`.
    fn advance(&mut self, now_ms: MonoMs) {
        self.queue.advance(now_ms);
        self.load.backlog_ms = self.queue.backlog_ms();
        self.load.ends.clear();
        self.load.ends.extend(self.queue.ends());
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.load.is_idle()
    }
}

/// All work in flight.
#[derive(Debug, Default)]
pub struct Ledger {
    works: FxHashMap<OwnerId, FxHashMap<u32, Work>>,
    engines: FxHashMap<ReplicaKey, Engine>,
    readers: FxHashMap<WorkId, Reader>,
    placed: PlacedLately,
}

impl Ledger {
    /// Adds work, or takes in how far known work is.
    pub fn put(&mut self, id: WorkId, work: Work, now_ms: MonoMs) {
        if self.get(id).is_some() {
            self.set_stage(id, work.stage);
            return;
        }
        for (key, load) in work.shares() {
            self.engines.entry(key).or_default().load.add(&load);
        }
        if work.stage == Stage::Reading {
            self.enqueue(id, &work, now_ms);
            let engines = 1 + work.helpers.len();
            self.placed.note(work.part_ms * engines as f64, now_ms);
        }
        let own = self.works.entry(id.owner).or_default();
        own.insert(id.sequence, work);
    }

    fn enqueue(&mut self, id: WorkId, work: &Work, now_ms: MonoMs) {
        let shared = !work.helpers.is_empty();
        let part = Part {
            work: id,
            left_ms: work.part_ms,
        };
        for key in work.engines() {
            let queue = &mut self.engines.entry(key).or_default().queue;
            queue.advance(now_ms);
            queue.put(part, shared);
        }
    }

    fn dequeue(&mut self, id: WorkId, work: &Work) {
        for key in work.engines() {
            if let Some(engine) = self.engines.get_mut(&key) {
                engine.queue.remove(id);
            }
        }
    }

    /// Notes how far work is. Unknown work is left unknown, and work never goes back: gossip that was
    /// overtaken on its way says less than what is known.
    pub fn set_stage(&mut self, id: WorkId, stage: Stage) {
        let own = self.works.get_mut(&id.owner);
        let Some(work) = own.and_then(|own| own.get_mut(&id.sequence)) else {
            return;
        };
        let before = work.stage;
        if stage <= before {
            return;
        }
        work.stage = stage;
        let work = work.clone();
        if before == Stage::Reading {
            self.dequeue(id, &work);
        }
        if stage == Stage::Late
            && let Some(engine) = self.engines.get_mut(&work.first)
        {
            engine.load.on_late(&work.tolerance());
        }
    }

    fn get(&self, id: WorkId) -> Option<&Work> {
        self.works.get(&id.owner)?.get(&id.sequence)
    }

    /// How long the engines of `id` still read before the last of its parts is read, 0 where it should
    /// be by now; none where it has begun, or is unknown.
    pub fn reading_left_ms(&mut self, id: WorkId, now_ms: MonoMs) -> Option<f64> {
        let work = self.works.get(&id.owner)?.get(&id.sequence)?;
        let mut left_ms: Option<f64> = None;
        for key in work.engines() {
            let Some(Engine { queue, .. }) = self.engines.get_mut(&key) else {
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
        self.engines.get_mut(&key).map_or(0.0, |engine| {
            engine.queue.advance(now_ms);
            engine.queue.backlog_ms()
        })
    }

    /// Removes work.
    pub fn remove(&mut self, id: WorkId) {
        let own = self.works.get_mut(&id.owner);
        let Some(work) = own.and_then(|own| own.remove(&id.sequence)) else {
            return;
        };
        if work.stage == Stage::Reading {
            self.dequeue(id, &work);
        }
        for (key, load) in work.shares() {
            if let Some(engine) = self.engines.get_mut(&key) {
                engine.load.subtract(&load);
            }
        }
    }

    /// Removes all work of an owner.
    pub fn remove_owner(&mut self, owner: OwnerId) {
        self.retain_owner(owner, |_| false);
        self.works.remove(&owner);
    }

    /// Keeps only the work of `owner` that `keeps` lists.
    pub fn retain_owner(&mut self, owner: OwnerId, keeps: impl Fn(u32) -> bool) {
        let Some(own) = self.works.get(&owner) else {
            return;
        };
        let gone: Vec<u32> = own.keys().copied().filter(|own| !keeps(*own)).collect();
        for sequence in gone {
            self.remove(WorkId { owner, sequence });
        }
    }

    /// Removes work placed before `before_ms`.
    pub fn expire(&mut self, before_ms: MonoMs) {
        let old = self.works.iter().flat_map(|(owner, own)| {
            let old = own.iter().filter(|(_, work)| work.placed_ms < before_ms);
            old.map(|(sequence, _)| WorkId {
                owner: *owner,
                sequence: *sequence,
            })
        });
        let old: Vec<WorkId> = old.collect();
        for id in old {
            self.remove(id);
        }
        self.works.retain(|_, own| !own.is_empty());
        self.engines.retain(|_, engine| !engine.is_idle());
    }

    /// The work of one owner.
    pub fn of_owner(&self, owner: OwnerId) -> impl Iterator<Item = (u32, &Work)> {
        let own = self.works.get(&owner).into_iter().flatten();
        own.map(|(sequence, work)| (*sequence, work))
    }

    /// How much work is in flight.
    pub fn len(&self) -> usize {
        self.works.values().map(FxHashMap::len).sum()
    }

    /// Whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes in how slow engines are from now on.
    pub fn set_paces(&mut self, paces: &Paces, now_ms: MonoMs) {
        for key in paces.slow(now_ms) {
            self.engines.entry(key).or_default();
        }
        for (key, engine) in &mut self.engines {
            let pace = paces.of(*key, now_ms);
            if pace != engine.load.pace {
                engine.queue.advance(now_ms);
                engine.queue.set_pace(pace);
                engine.load.pace = pace;
            }
        }
    }

    /// What each engine has to do at `now_ms`.
    pub fn loads(&mut self, now_ms: MonoMs) -> Loads<'_> {
        self.advance(now_ms);
        self.placed.expire(now_ms);
        Loads {
            engines: &self.engines,
            readers: &self.readers,
            placed: &self.placed,
        }
    }

    /// Brings the engines that read, and the readers, to `now_ms`.
    fn advance(&mut self, now_ms: MonoMs) {
        self.readers.clear();
        for engine in self.engines.values_mut() {
            if engine.queue.is_empty() && engine.load.ends.is_empty() {
                continue;
            }
            engine.advance(now_ms);
            for (id, end_ms) in &engine.load.ends {
                let reader = self.readers.entry(*id).or_default();
                reader.last_end_ms = reader.last_end_ms.max(*end_ms);
            }
        }
        for (id, reader) in &mut self.readers {
            let own = self.works.get(&id.owner);
            if let Some(work) = own.and_then(|own| own.get(&id.sequence)) {
                reader.due_ms = work.due_ms.0 as f64 - now_ms.0 as f64;
                reader.weight = weight(work.prompt_tokens);
            }
        }
    }
}
