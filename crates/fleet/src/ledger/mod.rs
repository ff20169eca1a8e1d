//! Work in flight on the engines, of this node and of its peers.
//!
//! Terms: an *owner* is one run of one node; a *part* is what one engine reads of a prompt, which
//! is the whole prompt if one engine reads it; the *backlog* is what an engine still has to read.
//!
//! Load pattern: hundreds of nodes report some hundred placements per second, and every waiting
//! request needs the loads of all engines. Computing them from all work each time took a node with
//! an eighth of a core longer than a short prompt may take.
//!
//! Reason for the limits: the load of each engine is updated as work comes and goes, so that the
//! cost of a query depends on the engines that are reading and not on the work in flight.
//!
//! Invariants: an owner's work is changed only by its own gossip; work that its owner no longer
//! reports expires; the stored load of an engine is the sum of its work, see [`Ledger::verify`].

mod load;
mod queue;
mod recent_reading;
mod verify;
mod work;

pub use load::{Load, Loads, ReadingRequest, Tolerance};
pub use queue::{QueuedPart, ReadQueue};
pub use recent_reading::RecentReading;
pub use verify::LedgerError;
pub use work::{OwnerId, Stage, Work, WorkId, weight};

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::pace::Paces;
use crate::replicas::ReplicaKey;

/// One engine: its load, and the queue of what it still has to read.
#[derive(Debug, Default)]
struct Engine {
    load: Load,
    queue: ReadQueue,
}

impl Engine {
    /// Brings the queue and the values derived from it to `now_ms`.
    fn advance(&mut self, now_ms: MonoMs) {
        self.queue.advance(now_ms);
        self.load.backlog_ms = self.queue.backlog_ms();
        self.load.read_ends.clear();
        self.load.read_ends.extend(self.queue.read_ends());
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.load.is_idle()
    }
}

/// All work in flight, of this node and as reported by its peers, and the load of each engine.
#[derive(Debug, Default)]
pub struct Ledger {
    works: FxHashMap<OwnerId, FxHashMap<u32, Work>>,
    engines: FxHashMap<ReplicaKey, Engine>,
    reading_requests: FxHashMap<WorkId, ReadingRequest>,
    recent_reading: RecentReading,
}

impl Ledger {
    /// Adds work, or updates the stage of known work.
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
            self.recent_reading
                .record(work.part_ms * engines as f64, now_ms);
        }
        let own = self.works.entry(id.owner).or_default();
        own.insert(id.sequence, work);
    }

    /// Adds the parts of a prompt to the queues of its engines.
    fn enqueue(&mut self, id: WorkId, work: &Work, now_ms: MonoMs) {
        let shared = !work.helpers.is_empty();
        let part = QueuedPart {
            work: id,
            left_ms: work.part_ms,
        };
        for key in work.engines() {
            let queue = &mut self.engines.entry(key).or_default().queue;
            queue.advance(now_ms);
            queue.put(part, shared);
        }
    }

    /// Removes the parts of a prompt from the queues of its engines.
    fn dequeue(&mut self, id: WorkId, work: &Work) {
        for key in work.engines() {
            if let Some(engine) = self.engines.get_mut(&key) {
                engine.queue.remove(id);
            }
        }
    }

    /// Records the stage of work. Unknown work is ignored, and so is an earlier stage: gossip that
    /// was overtaken on its way is older than what is known.
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
            engine.load.mark_late(&work.tolerance());
        }
    }

    /// Returns a piece of work, or `None` if it is unknown.
    pub fn get(&self, id: WorkId) -> Option<&Work> {
        self.works.get(&id.owner)?.get(&id.sequence)
    }

    /// Returns the time until the engines of `id` have read the last of its parts, or 0 if that
    /// should be read by now. Returns `None` if its answer has begun or the work is unknown.
    pub fn reading_left_ms(&mut self, id: WorkId, now_ms: MonoMs) -> Option<f64> {
        let work = self.works.get(&id.owner)?.get(&id.sequence)?;
        let mut left_ms: Option<f64> = None;
        for key in work.engines() {
            let Some(Engine { queue, .. }) = self.engines.get_mut(&key) else {
                continue;
            };
            queue.advance(now_ms);
            if let Some((_, end_ms)) = queue.read_ends().find(|(work, _)| *work == id) {
                left_ms = Some(left_ms.map_or(end_ms, |left_ms| left_ms.max(end_ms)));
            }
        }
        left_ms
    }

    /// Returns the time that an engine still needs for reading.
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

    /// Removes the work of `owner` for whose sequence number `keeps` returns false.
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

    /// Returns the work of one owner, with its sequence numbers.
    pub fn of_owner(&self, owner: OwnerId) -> impl Iterator<Item = (u32, &Work)> {
        let own = self.works.get(&owner).into_iter().flatten();
        own.map(|(sequence, work)| (*sequence, work))
    }

    /// Returns all work in flight.
    pub fn works(&self) -> impl Iterator<Item = &Work> {
        self.works.values().flat_map(FxHashMap::values)
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.works.values().map(FxHashMap::len).sum()
    }

    /// Returns true if no work is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies the engines' current paces.
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

    /// Returns the load of each engine at `now_ms`.
    pub fn loads(&mut self, now_ms: MonoMs) -> Loads<'_> {
        self.advance(now_ms);
        self.recent_reading.expire(now_ms);
        Loads {
            engines: &self.engines,
            reading_requests: &self.reading_requests,
            recent_reading: &self.recent_reading,
        }
    }

    /// Brings the engines that read, and the requests that they read, to `now_ms`.
    fn advance(&mut self, now_ms: MonoMs) {
        self.reading_requests.clear();
        for engine in self.engines.values_mut() {
            if engine.queue.is_empty() && engine.load.read_ends.is_empty() {
                continue;
            }
            engine.advance(now_ms);
            for (id, end_ms) in &engine.load.read_ends {
                let reader = self.reading_requests.entry(*id).or_default();
                reader.last_end_ms = reader.last_end_ms.max(*end_ms);
            }
        }
        for (id, reader) in &mut self.reading_requests {
            let own = self.works.get(&id.owner);
            if let Some(work) = own.and_then(|own| own.get(&id.sequence)) {
                reader.due_ms = work.due_ms.0 as f64 - now_ms.0 as f64;
                reader.weight = weight(work.prompt_tokens);
            }
        }
    }
}
