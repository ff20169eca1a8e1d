//! The table of jobs, from admission to their end.
//!
//! Terms: a *slot* is the index of a job in the table. It is reused after the job's end.
//!
//! Invariants: a request has at most one slot; every slot of the table is either in use or free;
//! the table never shrinks, and its size is the largest number of jobs that were there at the same
//! time.

#[cfg(test)]
mod tests;

use crate::job::{GroupPart, Job};
use bluebell_base::prelude::*;
use std::collections::HashMap;

bluebell_base::define_id! {
    /// Index of a job in the table.
    Slot(u32) = "slot";
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Admitted and not yet decided.
    Queued,
    /// Sent; its first token has not arrived.
    Sent,
    /// Sent; its attempt is being cancelled so that the job can be placed again.
    Recalled,
    /// Its first token has arrived.
    Decoding,
}

/// A job and the decisions made for it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The job.
    pub job: Arc<Job>,
    /// Progress of the job.
    pub stage: Stage,
    /// Engine that runs the job, or `None` before it is sent.
    pub upstream: Option<UpstreamId>,
    /// Engines that lend memory to the job.
    pub members: Vec<GroupPart>,
    /// Earliest time at which the job may be placed.
    pub not_before_ms: MonoMs,
    /// Number of times that the job was recalled.
    pub recalls: u32,
    /// True if its engine was removed while the job was there.
    pub engine_removed: bool,
    /// Time at which the job was sent.
    pub sent_ms: MonoMs,
    /// Prefill work of the job in tokens, without the part that the engine's cache is expected to
    /// cover.
    pub prefill_tokens: f64,
    /// Estimated prefill work ahead of the job when it was sent, in tokens.
    pub ahead_tokens: f64,
    /// Time from sending to the first token that was predicted when the job was sent, in
    /// milliseconds.
    pub predicted_ms: f64,
}

impl Entry {
    fn new(job: Job) -> Self {
        Self {
            prefill_tokens: job.prompt_tokens.0 as f64,
            job: Arc::new(job),
            stage: Stage::Queued,
            upstream: None,
            members: Vec::new(),
            not_before_ms: MonoMs(0),
            recalls: 0,
            engine_removed: false,
            sent_ms: MonoMs(0),
            ahead_tokens: 0.0,
            predicted_ms: 0.0,
        }
    }

    /// Returns the KV memory that the job uses at its maximum length.
    pub fn kv_tokens(&self) -> Tokens {
        self.job.kv_tokens()
    }
}

impl Job {
    /// Returns the KV memory that the job uses at its maximum length.
    pub fn kv_tokens(&self) -> Tokens {
        self.prompt_tokens + self.max_tokens
    }
}

/// The table of jobs.
#[derive(Debug, Default)]
pub struct Jobs {
    entries: Vec<Option<Entry>>,
    free: Vec<Slot>,
    // Used for lookups only. It is never iterated, because its order differs between runs.
    index: HashMap<RequestId, Slot>,
}

impl Jobs {
    /// Inserts a job and returns its slot. If the request is already in the table, its entry stays
    /// unchanged and its slot is returned.
    pub fn insert(&mut self, job: Job) -> Slot {
        if let Some(slot) = self.index.get(&job.request) {
            return *slot;
        }
        let request = job.request;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            Slot(self.entries.len() as u32 - 1)
        });
        self.entries[slot.index()] = Some(Entry::new(job));
        self.index.insert(request, slot);
        slot
    }

    /// Returns the slot of a request.
    pub fn slot(&self, request: RequestId) -> Option<Slot> {
        self.index.get(&request).copied()
    }

    /// Returns the entry of a slot.
    pub fn get(&self, slot: Slot) -> Option<&Entry> {
        self.entries.get(slot.index())?.as_ref()
    }

    /// Returns a mutable reference to the entry of a slot.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Entry> {
        self.entries.get_mut(slot.index())?.as_mut()
    }

    /// Removes a job and frees its slot.
    pub fn remove(&mut self, slot: Slot) -> Option<Entry> {
        let entry = self.entries.get_mut(slot.index())?.take()?;
        self.index.remove(&entry.job.request);
        self.free.push(slot);
        Some(entry)
    }

    /// Iterates over all jobs in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &Entry)> {
        let numbered = self.entries.iter().enumerate();
        numbered.filter_map(|(i, entry)| Some((Slot(i as u32), entry.as_ref()?)))
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns the number of all slots and the number of free slots.
    pub fn slot_counts(&self) -> (usize, usize) {
        (self.entries.len(), self.free.len())
    }
}
