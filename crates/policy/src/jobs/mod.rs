//! The table of jobs, from admission to their end.
//!
//! Terms: a *slot* is a job's index in the table, reused after its end.
//!
//! Invariants: a request has at most one slot; the slots in use and the free ones make up the
//! table; the table never shrinks and grows only to the most jobs there were at once.

#[cfg(test)]
mod tests;

use crate::job::{GroupPart, Job};
use bluebell_base::prelude::*;
use std::collections::HashMap;

bluebell_base::define_id! {
    /// A job's index in the table.
    Slot(u32) = "slot";
}

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Admitted and not yet decided.
    Queued,
    /// Sent, and its first token has not come.
    Sent,
    /// Sent, and its attempt is being cancelled so that it can go elsewhere.
    Recalled,
    /// Its first token has come.
    Decoding,
}

/// A job and what was decided for it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The job.
    pub job: Arc<Job>,
    /// How far it has come.
    pub stage: Stage,
    /// The engine that runs it, once sent.
    pub upstream: Option<UpstreamId>,
    /// The engines that lend it memory.
    pub members: Vec<GroupPart>,
    /// When it may be placed at the earliest.
    pub not_before_ms: MonoMs,
    /// How often it was recalled.
    pub recalls: u32,
    /// Whether its engine went with it.
    pub lost: bool,
    /// When it was sent.
    pub sent_ms: MonoMs,
    /// Its own prefill, without what the cache is believed to cover.
    pub prefill_tokens: f64,
    /// The tokens believed ahead of it when it was sent.
    pub ahead_tokens: f64,
    /// The first token's wait predicted when it was sent, in milliseconds.
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
            lost: false,
            sent_ms: MonoMs(0),
            ahead_tokens: 0.0,
            predicted_ms: 0.0,
        }
    }

    /// The KV memory it takes at its longest.
    pub fn kv_tokens(&self) -> Tokens {
        self.job.kv_tokens()
    }
}

impl Job {
    /// The KV memory it takes at its longest.
    pub fn kv_tokens(&self) -> Tokens {
        self.prompt_tokens + self.max_tokens
    }
}

/// The table of jobs.
#[derive(Debug, Default)]
pub struct Jobs {
    entries: Vec<Option<Entry>>,
    free: Vec<Slot>,
    // Only looked up, never walked: its order is not the same in every run.
    index: HashMap<RequestId, Slot>,
}

impl Jobs {
    /// Takes a job in; one already there is replaced by nothing and its slot given.
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

    /// The slot of a request.
    pub fn slot(&self, request: RequestId) -> Option<Slot> {
        self.index.get(&request).copied()
    }

    /// The entry of a slot.
    pub fn get(&self, slot: Slot) -> Option<&Entry> {
        self.entries.get(slot.index())?.as_ref()
    }

    /// The entry of a slot, to change.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Entry> {
        self.entries.get_mut(slot.index())?.as_mut()
    }

    /// Takes a job out.
    pub fn remove(&mut self, slot: Slot) -> Option<Entry> {
        let entry = self.entries.get_mut(slot.index())?.take()?;
        self.index.remove(&entry.job.request);
        self.free.push(slot);
        Some(entry)
    }

    /// All jobs, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &Entry)> {
        let numbered = self.entries.iter().enumerate();
        numbered.filter_map(|(i, entry)| Some((Slot(i as u32), entry.as_ref()?)))
    }

    /// How many jobs there are.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// How many slots there are, in use and free.
    pub fn slots(&self) -> (usize, usize) {
        (self.entries.len(), self.free.len())
    }
}
