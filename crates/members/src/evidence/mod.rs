//! Upstreams that said themselves that they leave, heard by this node or told by a peer.
//!
//! The list lags, so an upstream may refuse work as leaving long before the list says so. Such a
//! refusal counts at once, is told to peers, and holds against the list for a while.
//!
//! Invariants: hearsay dies out: it is passed on only for a part of the time it is kept, and
//! after its end the same hearsay is not taken again for as long. Otherwise two nodes would
//! remind each other for ever, and an upstream that came back would stay shut out.

use bluebell_base::prelude::*;
use std::collections::BTreeMap;

/// The share of its time during which evidence is told to peers.
const TOLD_SHARE: f64 = 1.0 / 3.0;

/// The most names told in one probe; bounds its size.
const TOLD_NAMES: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Refusal {
    since_ms: MonoMs,
    until_ms: MonoMs,
}

/// The refusals known.
#[derive(Clone, Debug)]
pub struct Evidence {
    keep_ms: SpanMs,
    refusals: BTreeMap<UpstreamName, Refusal>,
}

impl Evidence {
    /// No refusals; each will count for `keep_ms`.
    pub fn new(keep_ms: SpanMs) -> Self {
        Self {
            keep_ms,
            refusals: BTreeMap::new(),
        }
    }

    /// The upstream itself refused work of this node; `true` where that is news.
    pub fn on_refusal(&mut self, name: &UpstreamName, now_ms: MonoMs) -> bool {
        let news = !self.counts(name, now_ms);
        let refusal = Refusal {
            since_ms: now_ms,
            until_ms: now_ms + self.keep_ms,
        };
        self.refusals.insert(name.clone(), refusal);
        news
    }

    /// A peer told of a refusal; `true` where that is news.
    pub fn on_hearsay(&mut self, name: &UpstreamName, now_ms: MonoMs) -> bool {
        if self.refusals.contains_key(name) {
            return false;
        }
        self.on_refusal(name, now_ms)
    }

    /// Whether the upstream counts as leaving by its own word.
    pub fn counts(&self, name: &UpstreamName, now_ms: MonoMs) -> bool {
        let refusal = self.refusals.get(name);
        refusal.is_some_and(|refusal| now_ms < refusal.until_ms)
    }

    /// What to tell peers.
    pub fn to_tell(&self, now_ms: MonoMs) -> Vec<UpstreamName> {
        let told_ms = self.keep_ms.mul_f64(TOLD_SHARE);
        let fresh = |refusal: &Refusal| now_ms.since(refusal.since_ms) < told_ms;
        let fresh = self.refusals.iter().filter(|(_, refusal)| fresh(refusal));
        let names = fresh.map(|(name, _)| name.clone());
        names.take(TOLD_NAMES).collect()
    }

    /// Forgets what is long over; gives the names whose time ended since the last call.
    pub fn expire(&mut self, last_ms: MonoMs, now_ms: MonoMs) -> Vec<UpstreamName> {
        let ended = |refusal: &Refusal| refusal.until_ms > last_ms && refusal.until_ms <= now_ms;
        let names = self.refusals.iter().filter(|(_, refusal)| ended(refusal));
        let names = names.map(|(name, _)| name.clone()).collect();
        let keep_ms = self.keep_ms;
        self.refusals
            .retain(|_, refusal| now_ms < refusal.until_ms + keep_ms);
        names
    }
}
