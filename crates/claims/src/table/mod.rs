//! The keys of one shard and the requests that hold them.
//!
//! Terms: a *freed* entry is one whose holder certainly did not run: the key is free for all other
//! requests, but not for that one; a *contested* entry is for a key that two requests claimed in
//! the log. An owner never writes such claims. The key stays held until the entry expires.
//!
//! Invariants: an entry is never newer than the log's newest record; an expired entry is treated as
//! absent.

use bluebell_base::prelude::*;
use bluebell_peers::{ClaimKey, ClaimState};
use std::collections::HashMap;
use std::mem::size_of;

/// The state of the request of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The request holds the key and may have run.
    Pending,
    /// The request ran.
    Ran,
    /// The request certainly did not run and released the key.
    Freed,
    /// The log has this request and another one as holders, so neither can release the key.
    Contested,
}

/// The entry of a key. It is small, because an owner keeps every key of its shard for the whole
/// validity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// A hash of the request's content.
    pub fingerprint: u64,
    /// The request that holds or freed the key.
    pub request: RequestId,
    /// The time when the record was appended, in seconds of the log's clock, rounded up.
    pub claimed_s: u32,
    /// The state of the request.
    pub state: EntryState,
}

impl Entry {
    /// Returns the time of the claim, in whole seconds.
    pub fn claimed_ms(&self) -> WallMs {
        WallMs(u64::from(self.claimed_s) * 1000)
    }

    /// Returns true if the entry has not expired.
    pub fn is_valid(&self, log_ms: WallMs, validity_ms: SpanMs) -> bool {
        log_ms.saturating_sub(self.claimed_ms()).0 <= validity_ms.0
    }

    /// Returns the state to report to another request, or `None` if the key is free for it.
    pub fn held_state(&self) -> Option<ClaimState> {
        match self.state {
            EntryState::Pending | EntryState::Contested => Some(ClaimState::Pending),
            EntryState::Ran => Some(ClaimState::Ran),
            EntryState::Freed => None,
        }
    }
}

/// Converts a time of the log's clock to seconds, rounded up so that no key expires early.
pub fn seconds(log_ms: WallMs) -> u32 {
    u32::try_from(log_ms.0.div_ceil(1000)).unwrap_or(u32::MAX)
}

/// The keys of one shard.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashMap<ClaimKey, Entry>,
}

impl KeyTable {
    /// Returns a key's entry, unless it has expired.
    pub fn get(&self, key: ClaimKey, log_ms: WallMs, validity_ms: SpanMs) -> Option<&Entry> {
        let entry = self.entries.get(&key)?;
        entry.is_valid(log_ms, validity_ms).then_some(entry)
    }

    /// Sets a key's entry.
    pub fn put(&mut self, key: ClaimKey, entry: Entry) {
        self.entries.insert(key, entry);
    }

    /// Removes the expired entries.
    pub fn sweep(&mut self, log_ms: WallMs, validity_ms: SpanMs) {
        self.entries
            .retain(|_, entry| entry.is_valid(log_ms, validity_ms));
        let kept = self.entries.len();
        if self.entries.capacity() > 4 * kept {
            self.entries.shrink_to(2 * kept);
        }
    }

    /// Returns all entries in arbitrary order, including expired ones that were not swept yet.
    pub fn iter(&self) -> impl Iterator<Item = (ClaimKey, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// Returns the number of entries, including expired ones that were not swept yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Estimates the memory of the entries: a slot and its control byte for 8/7 of the capacity.
    pub fn memory_bytes(&self) -> Bytes {
        let slots = self.entries.capacity() * 8 / 7;
        Bytes((slots * (size_of::<(ClaimKey, Entry)>() + 1)) as u64)
    }
}
