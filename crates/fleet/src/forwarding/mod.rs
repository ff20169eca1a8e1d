//! Chooses the peer to which a node forwards a request that it can't send to a replica itself: it reaches
//! none, or may send no more to those that it reaches.
//!
//! Load pattern: the nodes of a failure domain are cut off from all replicas together, and each forwards
//! all its requests at once. Some of the peers are cut off as well. Or one node gets most connections, and
//! uses up its share of the replicas' limits while the peers have no use for theirs.
//!
//! Reason for the limits: a peer that can't serve says so within one exchange, so that trying a few is
//! cheap, and it isn't asked again for as long as most cuts last to change. Without this memory a domain
//! that is cut off as a whole would ask itself first for each request.
//!
//! Invariants: a peer that can't serve gets at most one request each [`UNUSABLE_MS`] from a node, or one each
//! time that its share of the limits may have grown by one.

use crate::ledger::OwnerId;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// The time for which a peer that couldn't serve a request gets no other.
const UNUSABLE_MS: SpanMs = SpanMs(1_000);

/// A live peer that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerCandidate {
    /// The id of the peer's run.
    pub owner: OwnerId,
    /// True if the peer is in this node's failure domain.
    pub same_domain: bool,
}

/// The peers that can't serve this node's requests for now, and its requests in flight at peers.
#[derive(Debug, Default)]
pub struct ForwardPeers {
    /// The end of the time for which a peer gets no requests for a service.
    unusable: FxHashMap<(OwnerId, ServiceName), MonoMs>,
    /// The number of this node's requests in flight at each peer.
    in_flight: FxHashMap<OwnerId, u32>,
}

impl ForwardPeers {
    /// Chooses a peer for a request to `service` that isn't in `avoid`: one with the fewest requests of
    /// this node, of its own failure domain if the peers there can serve, at random (`draw`) among equals.
    pub fn choose(
        &self,
        service: &ServiceName,
        candidates: &[PeerCandidate],
        avoid: &[OwnerId],
        draw: u64,
        now_ms: MonoMs,
    ) -> Option<OwnerId> {
        let is_usable = |peer: &&PeerCandidate| {
            let until_ms = self.unusable.get(&(peer.owner, service.clone()));
            until_ms.is_none_or(|until_ms| *until_ms <= now_ms)
        };
        let is_domain_sound = candidates
            .iter()
            .filter(|peer| peer.same_domain)
            .all(|peer| is_usable(&peer) && !avoid.contains(&peer.owner));
        let usable: Vec<&PeerCandidate> = candidates
            .iter()
            .filter(|peer| !avoid.contains(&peer.owner) && is_usable(peer))
            .collect();
        let rank = |peer: &PeerCandidate| {
            let in_flight = self.in_flight.get(&peer.owner).copied().unwrap_or(0);
            (in_flight, is_domain_sound && !peer.same_domain)
        };
        let best = usable.iter().map(|peer| rank(peer)).min()?;
        let equals: Vec<&&PeerCandidate> =
            usable.iter().filter(|peer| rank(peer) == best).collect();
        let drawn = draw % equals.len() as u64;
        Some(equals[drawn as usize].owner)
    }

    /// Records that a peer couldn't serve a request to `service`.
    pub fn on_unusable(&mut self, owner: OwnerId, service: &ServiceName, now_ms: MonoMs) {
        self.exclude(owner, service, UNUSABLE_MS, now_ms);
    }

    /// Records that a peer may send no request to the replicas of `service` for `wait_ms`.
    pub fn on_limited(
        &mut self,
        owner: OwnerId,
        service: &ServiceName,
        wait_ms: SpanMs,
        now_ms: MonoMs,
    ) {
        self.exclude(owner, service, wait_ms.min(UNUSABLE_MS), now_ms);
    }

    /// Excludes a peer from being chosen for `span_ms`.
    fn exclude(&mut self, owner: OwnerId, service: &ServiceName, span_ms: SpanMs, now_ms: MonoMs) {
        self.unusable.retain(|_, until_ms| *until_ms > now_ms);
        self.unusable
            .insert((owner, service.clone()), now_ms + span_ms);
    }

    /// Records that a request was sent to a peer.
    pub fn begin(&mut self, owner: OwnerId) {
        *self.in_flight.entry(owner).or_default() += 1;
    }

    /// Records the end of a request at a peer.
    pub fn end(&mut self, owner: OwnerId) {
        if let Some(in_flight) = self.in_flight.get_mut(&owner) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight.remove(&owner);
            }
        }
    }
}
