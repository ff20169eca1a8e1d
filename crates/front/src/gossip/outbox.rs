//! Gossip that waits to be sent, and the peers that get it.

use super::message::{Gossip, Origin};
use super::{PEER_FORGOTTEN_MS, PEER_SILENT_MS};
use crate::platform::Era;
use crate::watch::ReplicasNotice;
use bluebell_base::prelude::*;
use bluebell_fleet::fanout::{self, GossipKind, GossipPeer, Presence, Route};
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use tokio::sync::Notify;

/// A peer.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    domain: Option<DomainName>,
    heard_ms: MonoMs,
    presence: Presence,
    /// The newest version of the configuration that it named.
    config: Option<ConfigVersion>,
}

impl Peer {
    fn is_there(&self) -> bool {
        self.presence == Presence::Live
    }
}

/// What a change in the peers was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerEvent {
    /// Wasn't known or was silent.
    Found,
    /// Was there already.
    Known,
}

/// Gossip that waits, and the peers.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: RefCell<Vec<Gossip>>,
    peers: RefCell<FxHashMap<OwnerId, Peer>>,
    /// Something waits that peers must hear at once.
    pub(super) urgent: Notify,
    /// Something waits that may be gathered for longer.
    pub(super) patient: Notify,
}

impl Outbox {
    fn push(&self, gossip: Gossip) {
        self.waiting.borrow_mut().push(gossip);
        self.urgent.notify_one();
    }

    fn push_patient(&self, gossip: Gossip) {
        self.waiting.borrow_mut().push(gossip);
        self.patient.notify_one();
    }

    /// Tells that work was placed.
    pub fn placed(&self, sequence: u32, work: &Work, now_ms: MonoMs) {
        let gossip = super::message::WorkGossip::of(sequence, work, now_ms);
        self.push(Gossip::Placed(gossip));
    }

    /// Tells that work writes, on time or late. Of a prompt that one engine read that goes along with
    /// whatever is told next: peers reckon when it is read, and are seldom far off.
    pub fn stage(&self, sequence: u32, stage: Stage, shared: bool) {
        let late = stage == Stage::Late;
        let gossip = Gossip::Stage { sequence, late };
        match shared {
            true => self.push_patient(gossip),
            false => self.waiting.borrow_mut().push(gossip),
        }
    }

    /// Tells that work has ended.
    pub fn ended(&self, sequence: u32) {
        self.push_patient(Gossip::Ended { sequence });
    }

    /// Tells that a replica is doubted.
    pub fn doubted(&self, key: ReplicaKey, for_ms: SpanMs) {
        self.push(Gossip::Doubted {
            replica: key.0,
            for_ms: for_ms.0 as u32,
        });
    }

    /// Tells how slow an engine is.
    pub fn pace(&self, key: ReplicaKey, pace: Pace) {
        self.push(Gossip::Pace {
            replica: key.0,
            pace_pct: (pace.slowdown() * 100.0) as u32,
        });
    }

    /// Tells what is known of a request that ends replicas.
    pub fn request(&self, told: QuarantineNotice) {
        self.push(Gossip::Request(told));
    }

    /// Tells what a replica said of its limit.
    pub fn limit(&self, told: LimitNotice) {
        self.push(Gossip::Limit(told.into()));
    }

    /// Notifies peers that an answer of a replica says that it leaves.
    pub fn leaving(&self, key: ReplicaKey) {
        self.push(Gossip::Leaving { replica: key.0 });
    }

    /// Notifies peers that the directory answers again.
    pub fn directory_back(&self) {
        self.push(Gossip::DirectoryBack);
    }

    /// Tells that the directory's history is another.
    pub fn era(&self, era: Era) {
        self.push(Gossip::Era(era));
    }

    /// Tells which configuration is known.
    pub fn config(&self, version: ConfigVersion) {
        self.push(Gossip::Config { version: version.0 });
    }

    /// Tells that the directory's replicas were read.
    pub fn replicas(&self, told: ReplicasNotice) {
        self.push(Gossip::Replicas(told.into()));
    }

    /// How many peers are there now.
    pub fn live_peer_count(&self) -> usize {
        self.peers
            .borrow()
            .values()
            .filter(|peer| peer.is_there())
            .count()
    }

    /// The peers that are there now.
    pub fn live_peers(&self) -> Vec<OwnerId> {
        let peers = self.peers.borrow();
        let there = peers.iter().filter(|(_, peer)| peer.is_there());
        there.map(|(owner, _)| *owner).collect()
    }

    /// A peer has this version of the configuration.
    pub(super) fn has_config(&self, owner: OwnerId, version: ConfigVersion) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&owner) {
            peer.config = peer.config.max(Some(version));
        }
    }

    /// The peers of a failure domain that are there now.
    pub fn owners_in(&self, domain: &DomainName) -> Vec<OwnerId> {
        let peers = self.peers.borrow();
        let there = peers
            .iter()
            .filter(|(_, peer)| peer.is_there() && peer.domain.as_ref() == Some(domain));
        there.map(|(owner, _)| *owner).collect()
    }

    /// How many peers of each failure domain are there now.
    pub fn domain_sizes(&self) -> FxHashMap<DomainName, usize> {
        let mut sizes = FxHashMap::default();
        for peer in self.peers.borrow().values().filter(|peer| peer.is_there()) {
            if let Some(domain) = &peer.domain {
                *sizes.entry(domain.clone()).or_insert(0) += 1;
            }
        }
        sizes
    }

    /// Where a peer is asked for what it holds.
    pub fn address_of(&self, owner: OwnerId) -> Option<SocketAddr> {
        self.peers.borrow().get(&owner).map(|peer| peer.address)
    }

    /// The peers that are there and have a newer configuration than `held`.
    pub fn holders(&self, held: ConfigVersion) -> Vec<OwnerId> {
        let peers = self.peers.borrow();
        let holders = peers
            .iter()
            .filter(|(_, peer)| peer.is_there() && peer.config > Some(held));
        holders.map(|(owner, _)| *owner).collect()
    }

    /// Takes what waits.
    pub(super) fn take(&self) -> Vec<Gossip> {
        std::mem::take(&mut self.waiting.borrow_mut())
    }

    /// Where gossip goes that `own` tells, and whether it is passed on there.
    pub(super) fn copies(&self, own: &Origin, gossip_kind: GossipKind) -> Vec<(SocketAddr, bool)> {
        let peers = self.peers.borrow();
        let gossip_peers: Vec<GossipPeer> = peers
            .iter()
            .map(|(owner, peer)| GossipPeer {
                owner: *owner,
                domain: peer.domain.clone(),
                presence: peer.presence,
            })
            .collect();
        let domain = DomainName(own.domain.clone());
        let routes = fanout::routes(OwnerId(own.owner), &domain, &gossip_peers, gossip_kind);
        let copies = routes.into_iter().map(|route| match route {
            Route::Direct(peer) => (peer, false),
            Route::Relay(peer) => (peer, true),
        });
        let copies =
            copies.filter_map(|(peer, pass_on)| Some((peers.get(&peer)?.address, pass_on)));
        copies.collect()
    }

    /// The peers of a failure domain to which the gossip of `origin` is passed on.
    pub(super) fn addresses_in(&self, domain: &DomainName, origin: OwnerId) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let there = peers
            .iter()
            .filter(|(owner, peer)| **owner != origin && peer.domain.as_ref() == Some(domain));
        there.map(|(_, peer)| peer.address).collect()
    }

    /// Gossip of a peer came, from itself or through another.
    pub(super) fn heard(&self, origin: &Origin, now_ms: MonoMs) -> PeerEvent {
        let owner = OwnerId(origin.owner);
        let mut peers = self.peers.borrow_mut();
        let known = peers.get(&owner).is_some_and(Peer::is_there);
        let peer = Peer {
            address: origin.address,
            domain: Some(DomainName(origin.domain.clone())),
            heard_ms: now_ms,
            presence: Presence::Live,
            config: peers.get(&owner).and_then(|peer| peer.config),
        };
        peers.insert(owner, peer);
        match known {
            true => PeerEvent::Known,
            false => PeerEvent::Found,
        }
    }

    /// A node's announcement was read; it counts as there only once it is heard.
    pub fn on_announced(&self, owner: OwnerId, address: SocketAddr, now_ms: MonoMs) {
        let mut peers = self.peers.borrow_mut();
        peers.entry(owner).or_insert(Peer {
            address,
            domain: None,
            heard_ms: now_ms,
            presence: Presence::Announced,
            config: None,
        });
    }

    /// Marks silent peers, and forgets those silent for long; returns the newly silent.
    pub(super) fn expire(&self, now_ms: MonoMs) -> Vec<(OwnerId, SpanMs)> {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, peer| now_ms.since(peer.heard_ms) < PEER_FORGOTTEN_MS);
        let mut lost = Vec::new();
        for (owner, peer) in peers.iter_mut() {
            let silent_ms = now_ms.since(peer.heard_ms);
            if peer.is_there() && silent_ms > PEER_SILENT_MS {
                peer.presence = Presence::Silent;
                lost.push((*owner, silent_ms));
            }
        }
        lost
    }

    /// How many peers are known, there or not: those that were cut off take their part of shared
    /// limits as well.
    pub fn peer_count(&self) -> usize {
        self.peers.borrow().len()
    }
}
