//! The keys of one shard and who holds them.
//!
//! Terms: a *freed* entry is one whose holder certainly did not run: the key is free for any other
//! request, but not for that one; a *contested* entry stands for a key that two requests claimed
//! in the log, which an owner never writes, and which stays held until it expires.
//!
//! Invariants: an entry is never younger than the log; an expired entry counts as none.

use bluebell_base::prelude::*;
use bluebell_peers::{ClaimKey, ClaimState};
use std::collections::HashMap;
use std::mem::size_of;

/// How far the request that an entry names has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// It holds the key; it may have run.
    Pending,
    /// It ran.
    Ran,
    /// It certainly did not run and gave the key back.
    Freed,
    /// It and another request were both written as holders; nobody can give the key back.
    Contested,
}

/// One key's entry; small, because an owner keeps every key of its shard for the whole validity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// A hash of what is to be run.
    pub fingerprint: u64,
    /// The request.
    pub request: RequestId,
    /// When its record was appended, in seconds of the log's clock, rounded up.
    pub claimed_s: u32,
    /// How far it has come.
    pub state: EntryState,
}

impl Entry {
    /// When the entry was claimed, in whole seconds.
    pub fn claimed_ms(&self) -> WallMs {
        WallMs(u64::from(self.claimed_s) * 1000)
    }

    /// Whether the entry still counts.
    pub fn is_valid(&self, log_ms: WallMs, validity_ms: SpanMs) -> bool {
        log_ms.saturating_sub(self.claimed_ms()).0 <= validity_ms.0
    }

    /// What another request is told; none where the key is free for it.
    pub fn held(&self) -> Option<ClaimState> {
        match self.state {
            EntryState::Pending | EntryState::Contested => Some(ClaimState::Pending),
            EntryState::Ran => Some(ClaimState::Ran),
            EntryState::Freed => None,
        }
    }
}

/// Seconds of the log's clock, rounded up so that no key expires early.
pub fn seconds(log_ms: WallMs) -> u32 {
    u32::try_from(log_ms.0.div_ceil(1000)).unwrap_or(u32::MAX)
}

/// The keys of one shard.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashMap<ClaimKey, Entry>,
}

impl KeyTable {
    /// A key's entry, where it is still valid.
    pub fn get(&self, key: ClaimKey, log_ms: WallMs, validity_ms: SpanMs) -> Option<&Entry> {
        let entry = self.entries.get(&key)?;
        entry.is_valid(log_ms, validity_ms).then_some(entry)
    }

    /// Sets a key's entry.
    pub fn put(&mut self, key: ClaimKey, entry: Entry) {
        self.entries.insert(key, entry);
    }

    /// Drops the expired entries.
    pub fn sweep(&mut self, log_ms: WallMs, validity_ms: SpanMs) {
        self.entries
            .retain(|_, entry| entry.is_valid(log_ms, validity_ms));
        let kept = self.entries.len();
        if self.entries.capacity() > 4 * kept {
            self.entries.shrink_to(2 * kept);
        }
    }

    /// All entries, in no order, expired ones that were not swept yet included.
    pub fn iter(&self) -> impl Iterator<Item = (ClaimKey, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// The number of entries, expired ones that were not swept yet included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// About how much memory the entries take: a slot and its control byte, for 8/7 of capacity.
    pub fn memory_bytes(&self) -> Bytes {
        let slots = self.entries.capacity() * 8 / 7;
        Bytes((slots * (size_of::<(ClaimKey, Entry)>() + 1)) as u64)
    }
}
