//! Estimated contents of the engines' prefix caches. They are derived from cache events, which
//! arrive late and sometimes with gaps.
//!
//! Invariants: at most [`MAX_PREFIXES`] prefixes are kept, and the oldest is dropped first; after a
//! gap nothing is assumed of that engine's cache; a wrong estimate costs time but never makes an
//! answer wrong.

#[cfg(test)]
mod tests;

use crate::job::Prefix;
use bluebell_base::prelude::*;
use bluebell_upstreams::engine::CacheEvent;
use std::collections::{HashMap, VecDeque};

/// Maximum number of prefixes kept.
const MAX_PREFIXES: usize = 8_192;
/// Maximum number of engines kept for one prefix.
const MAX_HOLDERS: usize = 8;

/// Engines that are expected to hold each prefix.
#[derive(Debug, Default)]
pub struct CacheView {
    holders: HashMap<u64, Vec<UpstreamId>>,
    order: VecDeque<u64>,
}

impl CacheView {
    /// Applies cache events. After a gap, all that was known of the engine's cache is dropped
    /// first.
    pub fn on_events(&mut self, upstream: UpstreamId, events: &[CacheEvent], gap: bool) {
        if gap {
            self.forget(upstream);
        }
        for event in events {
            if event.stored {
                self.stored(upstream, event.prefix_hash);
            } else {
                self.evicted(upstream, event.prefix_hash);
            }
        }
    }

    /// Drops all that is known of an engine's cache.
    pub fn forget(&mut self, upstream: UpstreamId) {
        for holders in self.holders.values_mut() {
            holders.retain(|held_by| *held_by != upstream);
        }
    }

    /// Fills `out` with the engines whose caches are expected to cover a part of the prompt, and
    /// the length of that part. A cache that holds a prefix also holds all shorter ones, so the
    /// search ends at the first prefix that no engine holds.
    pub fn covering(&self, prefixes: &[Prefix], out: &mut Vec<(UpstreamId, Tokens)>) {
        out.clear();
        for prefix in prefixes {
            let Some(holders) = self.holders.get(&prefix.hash).filter(|h| !h.is_empty()) else {
                return;
            };
            for holder in holders {
                match out.iter_mut().find(|(upstream, _)| upstream == holder) {
                    Some((_, tokens)) => *tokens = prefix.tokens,
                    None => out.push((*holder, prefix.tokens)),
                }
            }
        }
    }

    /// Returns the number of prefixes in the map and in the list by age.
    pub fn sizes(&self) -> (usize, usize) {
        (self.holders.len(), self.order.len())
    }

    fn stored(&mut self, upstream: UpstreamId, hash: u64) {
        if !self.holders.contains_key(&hash) {
            self.drop_oldest();
            self.order.push_back(hash);
        }
        let holders = self.holders.entry(hash).or_default();
        if holders.contains(&upstream) {
            return;
        }
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(upstream);
    }

    fn evicted(&mut self, upstream: UpstreamId, hash: u64) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.retain(|held_by| *held_by != upstream);
        }
    }

    fn drop_oldest(&mut self) {
        while self.order.len() >= MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }
}
