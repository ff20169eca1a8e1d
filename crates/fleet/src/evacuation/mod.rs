//! The failure domains that operators have evacuated: nothing more is sent to their replicas.
//!
//! Load pattern: operators evacuate a domain, or take it back, while the directory may be away, may
//! come back from an older copy, or may be reachable for only some nodes. A few nodes read the entries
//! and the others receive them from peers, in any order and more than once.
//!
//! Reason for the limits: an older copy of the directory may lack an evacuation that operators are
//! about to write again. It stays in force until they had time for that, because a request that is sent
//! to an evacuated domain can't be taken back, while one that avoids a domain for two seconds is served
//! elsewhere.
//!
//! Invariants: of two entries for a domain, the one at the later position wins, whichever arrives first.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use crate::directory::Cursor;

/// The time that operators have to write an evacuation again that an older copy of the directory lacks.
const REWRITE_WINDOW_MS: SpanMs = SpanMs(2_000);

/// The maximum number of failure domains that are tracked. It bounds the memory, since peers may name any.
const MAX_DOMAINS: usize = 256;

/// The shortest and the longest time after which a caller is asked to return if only evacuated replicas
/// could serve it.
const RETRY_RANGE_MS: [SpanMs; 2] = [SpanMs(1_000), SpanMs(10_000)];

/// The newest entry of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationEntry {
    /// The failure domain.
    pub domain: DomainName,
    /// The position of the entry, or of a later read that found none.
    pub at: Cursor,
    /// True if the domain is evacuated, false if it was taken back.
    pub active: bool,
}

#[derive(Clone, Copy, Debug)]
struct State {
    at: Cursor,
    active: bool,
    /// The time at which this state became known.
    since_ms: MonoMs,
    /// The position and the time of the read in a later era that lacked the evacuation.
    missing: Option<(Cursor, MonoMs)>,
}

/// The evacuations that this node knows of.
#[derive(Debug, Default)]
pub struct Evacuations(BTreeMap<DomainName, State>);

impl Evacuations {
    /// Applies an entry, from the directory or from a peer. Returns true if the domain became evacuated
    /// or was taken back by it.
    pub fn apply(&mut self, entry: &EvacuationEntry, now_ms: MonoMs) -> bool {
        let before = self.0.get(&entry.domain).copied();
        if before.is_some_and(|before| before.at >= entry.at) {
            return false;
        }
        if before.is_none() && self.0.len() >= MAX_DOMAINS {
            return false;
        }
        let was_active = before.is_some_and(|before| before.active);
        let changed = was_active != entry.active;
        let state = State {
            at: entry.at,
            active: entry.active,
            since_ms: before.map_or(now_ms, |b| if changed { now_ms } else { b.since_ms }),
            missing: None,
        };
        self.0.insert(entry.domain.clone(), state);
        changed
    }

    /// Applies a read up to `end` that listed all evacuations. Returns the entries that changed a domain.
    pub fn apply_snapshot(
        &mut self,
        entries: &[EvacuationEntry],
        end: Cursor,
        now_ms: MonoMs,
    ) -> Vec<EvacuationEntry> {
        let mut changed: Vec<EvacuationEntry> = entries
            .iter()
            .filter(|entry| self.apply(entry, now_ms))
            .cloned()
            .collect();
        // The read covers the positions before its end.
        let last = Cursor {
            offset: end.offset.saturating_sub(1),
            ..end
        };
        let listed = |domain: &DomainName| entries.iter().any(|entry| entry.domain == *domain);
        for (domain, state) in &mut self.0 {
            if !state.active || state.at >= last || listed(domain) {
                continue;
            }
            if state.at.era == last.era {
                *state = State {
                    at: last,
                    active: false,
                    since_ms: now_ms,
                    missing: None,
                };
                changed.push(entry(domain, state));
            } else {
                state.missing.get_or_insert((last, now_ms));
            }
        }
        changed
    }

    /// Ends the evacuations that operators haven't written again after the directory came back from an
    /// older copy. Returns the entries that this changed.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<EvacuationEntry> {
        let mut changed = Vec::new();
        for (domain, state) in &mut self.0 {
            let Some((at, since_ms)) = state.missing else {
                continue;
            };
            if now_ms.since(since_ms) < REWRITE_WINDOW_MS {
                continue;
            }
            *state = State {
                at,
                active: false,
                since_ms: now_ms,
                missing: None,
            };
            changed.push(entry(domain, state));
        }
        changed
    }

    /// Returns true if nothing may be sent to the replicas of `domain`.
    pub fn contains(&self, domain: &DomainName) -> bool {
        self.0.get(domain).is_some_and(|state| state.active)
    }

    /// Returns true if no failure domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of evacuated failure domains.
    pub fn len(&self) -> usize {
        self.0.values().filter(|state| state.active).count()
    }

    /// Returns the newest entry of each domain, for peers.
    pub fn entries(&self) -> Vec<EvacuationEntry> {
        let states = self.0.iter();
        states.map(|(domain, state)| entry(domain, state)).collect()
    }

    /// Returns the time after which a caller that only evacuated replicas could serve may return: an
    /// evacuation that has lasted for some time is expected to last as long again.
    pub fn retry_after_ms(&self, now_ms: MonoMs) -> SpanMs {
        let [shortest_ms, longest_ms] = RETRY_RANGE_MS;
        let active = self.0.values().filter(|state| state.active);
        let newest = active.map(|state| now_ms.since(state.since_ms)).min();
        newest.unwrap_or_default().clamp(shortest_ms, longest_ms)
    }
}

fn entry(domain: &DomainName, state: &State) -> EvacuationEntry {
    EvacuationEntry {
        domain: domain.clone(),
        at: state.at,
        active: state.active,
    }
}
