//! Upstreams that refused work because they are leaving, as seen by this node or reported by a peer.
//!
//! The list lags, so an upstream may refuse work as leaving long before the list shows it. Such a
//! refusal takes effect at once, is reported to peers, and overrides the list for a limited time.
//!
//! Invariants: peers' reports end. A refusal is reported only for a part of the time for which it is
//! in force, and after its end the same report is not accepted again for as long. Otherwise two nodes
//! would repeat the report to each other forever, and an upstream that came back would stay excluded.

use bluebell_base::prelude::*;
use std::collections::BTreeMap;

/// The share of the time in force during which a refusal is reported to peers.
const REPORTING_SHARE: f64 = 1.0 / 3.0;

/// The maximum number of names in one probe. It bounds the size of the probe.
const MAX_REPORTED_NAMES: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Refusal {
    since_ms: MonoMs,
    until_ms: MonoMs,
}

/// The known refusals.
#[derive(Clone, Debug)]
pub struct Refusals {
    keep_ms: SpanMs,
    refusals: BTreeMap<UpstreamName, Refusal>,
}

impl Refusals {
    /// Creates an empty set of refusals. Each will be in force for `keep_ms`.
    pub fn new(keep_ms: SpanMs) -> Self {
        Self {
            keep_ms,
            refusals: BTreeMap::new(),
        }
    }

    /// Records that the upstream refused work of this node. Returns true if no refusal of it was in
    /// force.
    pub fn on_refusal(&mut self, name: &UpstreamName, now_ms: MonoMs) -> bool {
        let is_new = !self.is_leaving(name, now_ms);
        let refusal = Refusal {
            since_ms: now_ms,
            until_ms: now_ms + self.keep_ms,
        };
        self.refusals.insert(name.clone(), refusal);
        is_new
    }

    /// Records a refusal that a peer reported. Returns true if it was unknown.
    pub fn on_peer_report(&mut self, name: &UpstreamName, now_ms: MonoMs) -> bool {
        if self.refusals.contains_key(name) {
            return false;
        }
        self.on_refusal(name, now_ms)
    }

    /// Returns true if a refusal of the upstream is in force.
    pub fn is_leaving(&self, name: &UpstreamName, now_ms: MonoMs) -> bool {
        let refusal = self.refusals.get(name);
        refusal.is_some_and(|refusal| now_ms < refusal.until_ms)
    }

    /// Returns the names of upstreams whose refusal is to be reported to peers.
    pub fn names_for_peers(&self, now_ms: MonoMs) -> Vec<UpstreamName> {
        let reporting_ms = self.keep_ms.mul_f64(REPORTING_SHARE);
        let fresh = |refusal: &Refusal| now_ms.since(refusal.since_ms) < reporting_ms;
        let fresh = self.refusals.iter().filter(|(_, refusal)| fresh(refusal));
        let names = fresh.map(|(name, _)| name.clone());
        names.take(MAX_REPORTED_NAMES).collect()
    }

    /// Removes refusals that ended `keep_ms` ago or earlier. Returns the names whose refusal ended
    /// after `last_ms`, the time of the previous call.
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
