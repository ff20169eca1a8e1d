//! The prefix cache and the log of its changes.
//!
//! Terms: a block is *kept* while a running stream uses it and *reclaimable* otherwise; the memory
//! of a kept block is part of what its stream holds.
//!
//! Invariants: only reclaimable blocks are evicted, the longest unused first; of two blocks of one
//! prompt that became reclaimable together, the later one goes first.

use bluebell_base::prelude::*;
use bluebell_upstreams::CacheEvents;
use bluebell_upstreams::engine::CacheEvent;
use bluebell_upstreams::prompt::{PrefixHash, mix};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Cache events that are kept for readers.
const KEPT_EVENTS: usize = 8192;

/// The prefix cache of one engine.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    blocks: HashMap<u64, Block>,
    unused: BTreeSet<(u64, u64)>,
    next_use: u64,
    reclaimable_tokens: u64,
    log: CacheLog,
}

#[derive(Debug)]
struct Block {
    size_tokens: u64,
    prefix_tokens: Tokens,
    users: u32,
    last_use: u64,
}

/// A change of the cache with its position.
#[derive(Debug)]
struct Logged {
    position: u64,
    at_us: u64,
    event: CacheEvent,
}

/// The changes of the cache, in order.
#[derive(Debug, Default)]
struct CacheLog {
    events: VecDeque<Logged>,
    next: u64,
}

impl PrefixCache {
    /// Memory of blocks that nobody keeps.
    pub fn reclaimable_tokens(&self) -> u64 {
        self.reclaimable_tokens
    }

    /// How many of the leading prefixes are cached.
    pub fn covered(&self, prefixes: &[PrefixHash]) -> usize {
        let cached = prefixes.iter();
        cached
            .take_while(|prefix| self.blocks.contains_key(&prefix.hash))
            .count()
    }

    /// Keeps the blocks of all the prefixes for a stream, and stores those that are missing.
    pub fn keep(&mut self, prefixes: &[PrefixHash], from: usize, now_us: u64) {
        let mut before = from
            .checked_sub(1)
            .map_or(0, |last| prefixes[last].tokens.0);
        for prefix in &prefixes[from..] {
            self.keep_block(prefix, prefix.tokens.0.saturating_sub(before), now_us);
            before = prefix.tokens.0;
        }
    }

    /// Stores the blocks of prefixes that came from elsewhere, without keeping them.
    pub fn import(&mut self, prefixes: &[PrefixHash], now_us: u64) {
        self.keep(prefixes, 0, now_us);
        self.release(prefixes);
    }

    /// Ends a stream's use of the blocks.
    pub fn release(&mut self, prefixes: &[PrefixHash]) {
        // From the longest to the shortest: a block is worth nothing once one before it is gone.
        for prefix in prefixes.iter().rev() {
            let Some(block) = self.blocks.get_mut(&prefix.hash) else {
                continue;
            };
            block.users -= 1;
            if block.users > 0 {
                continue;
            }
            self.next_use += 1;
            block.last_use = self.next_use;
            self.reclaimable_tokens += block.size_tokens;
            self.unused.insert((block.last_use, prefix.hash));
        }
    }

    /// Evicts blocks until at most `limit_tokens` are reclaimable.
    pub fn shrink(&mut self, limit_tokens: u64, now_us: u64) {
        while self.reclaimable_tokens > limit_tokens {
            let Some((_, hash)) = self.unused.pop_first() else {
                return;
            };
            if let Some(block) = self.blocks.remove(&hash) {
                self.reclaimable_tokens -= block.size_tokens;
                self.log.push(hash, block.prefix_tokens, false, now_us);
            }
        }
    }

    /// The changes from a position on that are older than the lag, less those that are lost.
    pub fn events(&self, from: u64, until_us: u64, seed: u64, loss_per_mille: u64) -> CacheEvents {
        self.log.read(from, until_us, seed, loss_per_mille)
    }

    /// Counts the memory of unused blocks anew, for the verifier.
    pub fn count_reclaimable(&self) -> u64 {
        let unused = self.blocks.values().filter(|block| block.users == 0);
        unused.map(|block| block.size_tokens).sum()
    }

    fn keep_block(&mut self, prefix: &PrefixHash, size_tokens: u64, now_us: u64) {
        if let Some(block) = self.blocks.get_mut(&prefix.hash) {
            if block.users == 0 {
                self.unused.remove(&(block.last_use, prefix.hash));
                self.reclaimable_tokens -= block.size_tokens;
            }
            block.users += 1;
            return;
        }
        let block = Block {
            size_tokens,
            prefix_tokens: prefix.tokens,
            users: 1,
            last_use: 0,
        };
        self.blocks.insert(prefix.hash, block);
        self.log.push(prefix.hash, prefix.tokens, true, now_us);
    }
}

impl CacheLog {
    fn push(&mut self, prefix_hash: u64, tokens: Tokens, stored: bool, now_us: u64) {
        let event = CacheEvent {
            prefix_hash,
            tokens,
            stored,
        };
        self.events.push_back(Logged {
            position: self.next,
            at_us: now_us,
            event,
        });
        self.next += 1;
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    fn read(&self, from: u64, until_us: u64, seed: u64, loss_per_mille: u64) -> CacheEvents {
        let first = self
            .events
            .front()
            .map_or(self.next, |logged| logged.position);
        let mut answer = CacheEvents {
            next: from.clamp(first, self.next),
            gap: from < first || from > self.next,
            events: Vec::new(),
        };
        let skipped = (answer.next - first) as usize;
        let late = self.events.iter().skip(skipped);
        for logged in late.take_while(|logged| logged.at_us <= until_us) {
            answer.next = logged.position + 1;
            if mix(seed, logged.position) % 1000 < loss_per_mille {
                answer.gap = true;
            } else {
                answer.events.push(logged.event);
            }
        }
        answer
    }
}
