//! What is believed of the engines' prefix caches, from events that come late and with gaps.
//!
//! Invariants: at most [`CAPACITY`] prefixes are kept, the oldest forgotten first; after a gap
//! nothing is believed of that engine; a wrong belief costs time only, never correctness.

#[cfg(test)]
mod tests;

use crate::job::Prefix;
use bluebell_base::prelude::*;
use bluebell_upstreams::engine::CacheEvent;
use std::collections::{HashMap, VecDeque};

/// The most prefixes kept.
const CAPACITY: usize = 8_192;
/// The most engines remembered for one prefix.
const HOLDERS: usize = 8;

/// The believed holders of prefixes.
#[derive(Debug, Default)]
pub struct CacheView {
    holders: HashMap<u64, Vec<UpstreamId>>,
    order: VecDeque<u64>,
}

impl CacheView {
    /// Takes events in; a gap makes all that was believed of the engine void.
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

    /// Forgets all that was believed of an engine.
    pub fn forget(&mut self, upstream: UpstreamId) {
        for holders in self.holders.values_mut() {
            holders.retain(|held_by| *held_by != upstream);
        }
    }

    /// Adds the engines whose caches are believed to cover a part of the prompt, with its length.
    /// A cache that holds a prefix holds the shorter ones too, so that the first one that nobody
    /// holds ends the search.
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

    /// How many prefixes are kept, and how many are in the order of forgetting.
    pub fn sizes(&self) -> (usize, usize) {
        (self.holders.len(), self.order.len())
    }

    fn stored(&mut self, upstream: UpstreamId, hash: u64) {
        if !self.holders.contains_key(&hash) {
            self.make_room();
            self.order.push_back(hash);
        }
        let holders = self.holders.entry(hash).or_default();
        if holders.contains(&upstream) {
            return;
        }
        if holders.len() == HOLDERS {
            holders.remove(0);
        }
        holders.push(upstream);
    }

    fn evicted(&mut self, upstream: UpstreamId, hash: u64) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.retain(|held_by| *held_by != upstream);
        }
    }

    fn make_room(&mut self) {
        while self.order.len() >= CAPACITY {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }
}
