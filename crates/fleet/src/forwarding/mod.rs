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
//! time that its share of the limits may have grown by one, apart from requests that may wait there until then.

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

/// The time for which a peer can't serve a request at once.
#[derive(Clone, Copy, Debug)]
struct Exclusion {
    until_ms: MonoMs,
    /// True if the peer serves requests that wait there until then.
    serves_waiting: bool,
}

impl Exclusion {
    /// Returns true if a request that may wait for `patience_ms` can be served.
    fn admits(&self, patience_ms: SpanMs, now_ms: MonoMs) -> bool {
        self.serves_waiting && self.until_ms < now_ms + patience_ms
    }
}

/// The peers that can't serve this node's requests for now, and its requests in flight at peers.
#[derive(Debug, Default)]
pub struct ForwardPeers {
    /// The peers that can't serve requests for a service at once.
    unusable: FxHashMap<(OwnerId, ServiceName), Exclusion>,
    /// The number of this node's requests in flight at each peer.
    in_flight: FxHashMap<OwnerId, u32>,
}

impl ForwardPeers {
    /// Chooses a peer for a request to `service` that isn't in `avoid` and may wait there for `patience_ms`: one
    /// that can serve it at once if there is any, with the fewest requests of this node, of its own failure domain if
    /// the peers there can serve, at random (`draw`) among equals.
    pub fn choose(
        &self,
        service: &ServiceName,
        candidates: &[PeerCandidate],
        avoid: &[OwnerId],
        patience_ms: SpanMs,
        draw: u64,
        now_ms: MonoMs,
    ) -> Option<OwnerId> {
        let exclusion = |peer: &PeerCandidate| {
            let exclusion = self.unusable.get(&(peer.owner, service.clone()));
            exclusion.filter(|exclusion| exclusion.until_ms > now_ms)
        };
        let is_domain_sound = candidates
            .iter()
            .filter(|peer| peer.same_domain)
            .all(|peer| exclusion(peer).is_none() && !avoid.contains(&peer.owner));
        let rank = |peer: &PeerCandidate| {
            let exclusion = exclusion(peer);
            if exclusion.is_some_and(|exclusion| !exclusion.admits(patience_ms, now_ms)) {
                return None;
            }
            let in_flight = self.in_flight.get(&peer.owner).copied().unwrap_or(0);
            let is_foreign = is_domain_sound && !peer.same_domain;
            Some((exclusion.is_some(), in_flight, is_foreign))
        };
        let usable: Vec<_> = candidates
            .iter()
            .filter(|peer| !avoid.contains(&peer.owner))
            .filter_map(|peer| Some((rank(peer)?, peer.owner)))
            .collect();
        let best = usable.iter().map(|(rank, _)| *rank).min()?;
        let equals: Vec<OwnerId> = usable
            .iter()
            .filter(|(rank, _)| *rank == best)
            .map(|(_, owner)| *owner)
            .collect();
        Some(equals[(draw % equals.len() as u64) as usize])
    }

    /// Records that a peer couldn't serve a request to `service`.
    pub fn on_unusable(&mut self, owner: OwnerId, service: &ServiceName, now_ms: MonoMs) {
        let exclusion = Exclusion {
            until_ms: now_ms + UNUSABLE_MS,
            serves_waiting: false,
        };
        self.exclude(owner, service, exclusion, now_ms);
    }

    /// Records that a peer may send no request to the replicas of `service` for `wait_ms`.
    pub fn on_limited(
        &mut self,
        owner: OwnerId,
        service: &ServiceName,
        wait_ms: SpanMs,
        now_ms: MonoMs,
    ) {
        let exclusion = Exclusion {
            until_ms: now_ms + wait_ms.min(UNUSABLE_MS),
            serves_waiting: true,
        };
        self.exclude(owner, service, exclusion, now_ms);
    }

    fn exclude(
        &mut self,
        owner: OwnerId,
        service: &ServiceName,
        exclusion: Exclusion,
        now_ms: MonoMs,
    ) {
        self.unusable
            .retain(|_, exclusion| exclusion.until_ms > now_ms);
        self.unusable.insert((owner, service.clone()), exclusion);
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
