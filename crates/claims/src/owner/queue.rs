//! The queue of operations that wait for the next append.
//!
//! Invariants: at most one operation of a key waits or is in flight, and the key is then *busy*.
//! Later operations of the key are *deferred* until the outcome is known, so an owner never writes
//! a claim for a key that may be held.

use super::operation::QueuedOp;
use bluebell_base::prelude::*;
use bluebell_peers::ClaimKey;
use std::collections::{HashSet, VecDeque};

/// The waiting and deferred operations, and the busy keys.
#[derive(Default)]
pub struct Queue {
    waiting: VecDeque<QueuedOp>,
    deferred: VecDeque<QueuedOp>,
    keys: HashSet<ClaimKey>,
}

impl Queue {
    /// Returns the number of waiting operations, including deferred ones.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.deferred.len()
    }

    /// Returns true if no operation waits for an append.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns true if an operation of this key waits or is in flight.
    pub fn has_key(&self, key: ClaimKey) -> bool {
        self.keys.contains(&key)
    }

    /// Adds an operation of a key that is not busy.
    pub fn push(&mut self, item: QueuedOp) {
        self.keys.insert(item.key());
        self.waiting.push_back(item);
    }

    /// Defers an operation of a busy key.
    pub fn defer(&mut self, item: QueuedOp) {
        self.deferred.push_back(item);
    }

    /// Removes and returns at most `limit` operations for an append. Their keys stay busy.
    pub fn take_batch(&mut self, limit: usize) -> Vec<QueuedOp> {
        let count = self.waiting.len().min(limit);
        self.waiting.drain(..count).collect()
    }

    /// Removes the keys of completed operations from the busy keys. Returns the deferred
    /// operations, which the caller admits again.
    pub fn release(&mut self, keys: impl Iterator<Item = ClaimKey>) -> VecDeque<QueuedOp> {
        for key in keys {
            self.keys.remove(&key);
        }
        std::mem::take(&mut self.deferred)
    }

    /// Removes and returns the operations that arrived at `arrived_ms` or earlier.
    pub fn take_arrived_by(&mut self, arrived_ms: MonoMs) -> Vec<QueuedOp> {
        let mut old = Vec::new();
        while let Some(item) = self
            .waiting
            .pop_front_if(|item| item.arrived_ms <= arrived_ms)
        {
            self.keys.remove(&item.key());
            old.push(item);
        }
        // Deferred operations that were admitted again are no longer in order of arrival.
        let (late, kept): (VecDeque<_>, _) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|item| item.arrived_ms <= arrived_ms);
        self.deferred = kept;
        old.extend(late);
        old
    }

    /// Removes and returns all operations.
    pub fn take_all(&mut self) -> Vec<QueuedOp> {
        self.take_arrived_by(MonoMs(u64::MAX))
    }

    /// Returns the arrival time of the oldest operation.
    pub fn oldest_ms(&self) -> Option<MonoMs> {
        let all = self.waiting.iter().chain(&self.deferred);
        all.map(|item| item.arrived_ms).min()
    }
}
