//! The operations that wait for the next append.
//!
//! Invariants: of one key at most one operation waits or is in flight; later ones are *deferred*
//! until its outcome is known, so an owner never writes a claim for a key that may be taken.

use super::item::Item;
use bluebell_base::prelude::*;
use bluebell_peers::ClaimKey;
use std::collections::{HashSet, VecDeque};

/// The waiting and deferred operations, and the keys that are taken up.
#[derive(Default)]
pub struct Queue {
    waiting: VecDeque<Item>,
    deferred: VecDeque<Item>,
    keys: HashSet<ClaimKey>,
}

impl Queue {
    /// The operations that wait, deferred ones included.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.deferred.len()
    }

    /// Whether nothing waits for an append.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether an operation of this key waits or is in flight.
    pub fn has(&self, key: ClaimKey) -> bool {
        self.keys.contains(&key)
    }

    /// Adds an operation of a key that is not taken up.
    pub fn push(&mut self, item: Item) {
        self.keys.insert(item.key());
        self.waiting.push_back(item);
    }

    /// Adds an operation of a key that is taken up.
    pub fn defer(&mut self, item: Item) {
        self.deferred.push_back(item);
    }

    /// Takes the next operations for an append; their keys stay taken up.
    pub fn take_batch(&mut self, limit: usize) -> Vec<Item> {
        let count = self.waiting.len().min(limit);
        self.waiting.drain(..count).collect()
    }

    /// Frees the keys of operations whose outcome is known; returns the deferred operations,
    /// which are to be admitted again.
    pub fn release(&mut self, keys: impl Iterator<Item = ClaimKey>) -> VecDeque<Item> {
        for key in keys {
            self.keys.remove(&key);
        }
        std::mem::take(&mut self.deferred)
    }

    /// Takes out the operations that arrived at `since_ms` or earlier.
    pub fn take_older(&mut self, since_ms: MonoMs) -> Vec<Item> {
        let mut old = Vec::new();
        while let Some(item) = self.waiting.pop_front_if(|item| item.since_ms <= since_ms) {
            self.keys.remove(&item.key());
            old.push(item);
        }
        // Deferred operations that are admitted again lose their order of arrival.
        let (late, kept): (VecDeque<_>, _) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|item| item.since_ms <= since_ms);
        self.deferred = kept;
        old.extend(late);
        old
    }

    /// Takes everything out.
    pub fn take_all(&mut self) -> Vec<Item> {
        self.take_older(MonoMs(u64::MAX))
    }

    /// When the oldest operation arrived.
    pub fn oldest_ms(&self) -> Option<MonoMs> {
        let all = self.waiting.iter().chain(&self.deferred);
        all.map(|item| item.since_ms).min()
    }
}
