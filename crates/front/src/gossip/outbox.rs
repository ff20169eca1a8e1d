//! Queued gossip, and the table of peers to which it is sent.

use super::account_work::AccountWorkGossip;
use super::message::{Gossip, Origin};
use super::{PEER_FORGOTTEN_MS, PEER_SILENT_MS};
use crate::platform::Era;
use crate::watch::ReplicasNotice;
use bluebell_base::prelude::*;
use bluebell_fleet::fanout::{self, GossipKind, GossipPeer, Presence, Route};
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// A known peer, from its announcement in the directory or from its gossip.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    domain: Option<DomainName>,
    /// The time at which gossip of the peer was last received, or at which its announcement was read.
    received_ms: MonoMs,
    presence: Presence,
    /// The newest version of the configuration that the peer has announced.
    config: Option<ConfigVersion>,
    /// The time at which the peer last introduced itself to this node by a request.
    introduced_ms: Option<MonoMs>,
    /// True if a digest of the peer was received.
    has_digest: bool,
}

impl Peer {
    /// Returns true if gossip of the peer was received recently.
    fn is_live(&self) -> bool {
        self.presence == Presence::Live
    }
}

/// The effect of received gossip on the peer table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerEvent {
    /// The peer was unknown or silent.
    Found,
    /// The peer was already live.
    Known,
}

/// The queue of gossip that waits to be sent, and the table of known peers.
#[derive(Debug, Default)]
pub struct Outbox {
    queued: RefCell<Vec<Gossip>>,
    peers: RefCell<FxHashMap<OwnerId, Peer>>,
    /// Notified when gossip is queued that must be sent at once.
    pub(super) urgent: Notify,
    /// Notified when gossip is queued that may be gathered for longer.
    pub(super) deferred: Notify,
    /// Notified when peers became known that haven't received gossip of this node.
    pub(super) introduction: Notify,
    /// True while a digest for peers that introduced themselves is due.
    pub(super) introduction_due: Cell<bool>,
}

impl Outbox {
    /// Queues gossip that must be sent at once.
    fn push(&self, gossip: Gossip) {
        self.queued.borrow_mut().push(gossip);
        self.urgent.notify_one();
    }

    /// Queues gossip that may be gathered for longer.
    fn push_deferred(&self, gossip: Gossip) {
        self.queued.borrow_mut().push(gossip);
        self.deferred.notify_one();
    }

    /// Queues gossip that work was placed.
    pub fn placed(&self, sequence: u32, work: &Work, now_ms: MonoMs) {
        let gossip = super::message::WorkGossip::from_work(sequence, work, now_ms);
        self.push(Gossip::Placed(gossip));
    }

    /// Queues gossip that events of work have begun to arrive, on time or late.
    ///
    /// For a prompt that a single engine read (`shared` is false) it is sent along with the next
    /// gossip: peers estimate when the prompt is read, and are seldom far off.
    pub fn stage(&self, sequence: u32, stage: Stage, shared: bool) {
        let late = stage == Stage::Late;
        let gossip = Gossip::Stage { sequence, late };
        match shared {
            true => self.push_deferred(gossip),
            false => self.queued.borrow_mut().push(gossip),
        }
    }

    /// Queues gossip that work ended.
    pub fn ended(&self, sequence: u32) {
        self.push_deferred(Gossip::Ended { sequence });
    }

    /// Has the promised return times that peers don't know sent along with other gossip, soon.
    pub fn promised(&self) {
        self.deferred.notify_one();
    }

    /// Queues gossip that this node doubts a failed replica for `for_ms`.
    pub fn doubted(&self, key: ReplicaKey, for_ms: SpanMs) {
        self.push(Gossip::Doubted {
            replica: key.0,
            for_ms: for_ms.0 as u32,
        });
    }

    /// Queues gossip of the work that an engine reported.
    pub fn engine_work(&self, key: ReplicaKey, work: &EngineWork) {
        self.push(Gossip::EngineWork {
            replica: key.0,
            running: work.running,
            waiting: work.waiting,
            memory_tokens: work.memory_tokens.0,
        });
    }

    /// Returns the peers that haven't fallen silent, whether they were heard or only announced themselves.
    pub fn expected_peers(&self) -> Vec<OwnerId> {
        let peers = self.peers.borrow();
        let expected = peers.iter();
        let expected = expected.filter(|(_, peer)| peer.presence != Presence::Silent);
        expected.map(|(owner, _)| *owner).collect()
    }

    /// Queues gossip of an engine's pace.
    pub fn pace(&self, key: ReplicaKey, pace: Pace) {
        self.push(Gossip::Pace {
            replica: key.0,
            pace_pct: (pace.slowdown() * 100.0) as u32,
        });
    }

    /// Queues a notice about a request that may be fatal to replicas.
    pub fn request(&self, notice: QuarantineNotice) {
        self.push(Gossip::Request(notice));
    }

    /// Queues a notice about a part of prompts that may be fatal to replicas.
    pub fn part(&self, notice: PartNotice) {
        self.push(Gossip::Part(notice));
    }

    /// Queues a notice of the request rate limit that a replica set, or of its end.
    pub fn limit(&self, notice: LimitNotice) {
        self.push(Gossip::Limit(notice.into()));
    }

    /// Queues gossip that a replica said in an answer that it is leaving.
    pub fn leaving(&self, key: ReplicaKey) {
        self.push(Gossip::Leaving { replica: key.0 });
    }

    /// Queues gossip that the directory answers again after an outage.
    pub fn directory_back(&self) {
        self.push(Gossip::DirectoryBack);
    }

    /// Queues gossip that the directory was renewed.
    pub fn era(&self, era: Era) {
        self.push(Gossip::Era(era));
    }

    /// Queues gossip of a failure domain's evacuation or its end.
    pub fn evacuation(&self, entry: EvacuationEntry) {
        self.push(Gossip::Evacuation(entry));
    }

    /// Queues gossip of the work of this node's accounts on a service.
    pub fn account_work(&self, service: ServiceKey, report: WorkReport) {
        let gossip = AccountWorkGossip::of(service, &report);
        self.push_deferred(Gossip::AccountWork(gossip));
    }

    /// Queues gossip of the newest configuration version that this node knows.
    pub fn config(&self, version: ConfigVersion) {
        self.push(Gossip::Config { version: version.0 });
    }

    /// Queues a notice that this node has read the replica list from the directory.
    pub fn replicas(&self, notice: ReplicasNotice) {
        self.push(Gossip::Replicas(notice.into()));
    }

    /// Returns the number of live peers.
    pub fn live_peer_count(&self) -> usize {
        self.peers
            .borrow()
            .values()
            .filter(|peer| peer.is_live())
            .count()
    }

    /// Returns true if gossip of a peer was received recently.
    pub fn is_live(&self, owner: OwnerId) -> bool {
        self.peers.borrow().get(&owner).is_some_and(Peer::is_live)
    }

    /// Returns the live peers to which a node in `domain` may forward requests.
    pub fn forward_candidates(&self, domain: &DomainName) -> Vec<PeerCandidate> {
        let peers = self.peers.borrow();
        let live = peers.iter().filter(|(_, peer)| peer.is_live());
        let candidates = live.map(|(owner, peer)| PeerCandidate {
            owner: *owner,
            same_domain: peer.domain.as_ref() == Some(domain),
        });
        candidates.collect()
    }

    /// Returns the live peers.
    pub fn live_peers(&self) -> Vec<OwnerId> {
        let peers = self.peers.borrow();
        let live = peers.iter().filter(|(_, peer)| peer.is_live());
        live.map(|(owner, _)| *owner).collect()
    }

    /// Records that a peer has this version of the configuration.
    pub(super) fn note_config(&self, owner: OwnerId, version: ConfigVersion) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&owner) {
            peer.config = peer.config.max(Some(version));
        }
    }

    /// Returns the live peers in a failure domain.
    pub fn live_peers_in(&self, domain: &DomainName) -> Vec<OwnerId> {
        let peers = self.peers.borrow();
        let live = peers
            .iter()
            .filter(|(_, peer)| peer.is_live() && peer.domain.as_ref() == Some(domain));
        live.map(|(owner, _)| *owner).collect()
    }

    /// Returns the number of live peers by failure domain.
    pub fn domain_sizes(&self) -> FxHashMap<DomainName, usize> {
        let mut sizes = FxHashMap::default();
        for peer in self.peers.borrow().values().filter(|peer| peer.is_live()) {
            if let Some(domain) = &peer.domain {
                *sizes.entry(domain.clone()).or_insert(0) += 1;
            }
        }
        sizes
    }

    /// Returns the address of a peer, for gossip by datagram and for copies by connection, or `None` if
    /// the peer isn't known.
    pub fn address_of(&self, owner: OwnerId) -> Option<SocketAddr> {
        self.peers.borrow().get(&owner).map(|peer| peer.address)
    }

    /// Returns the live peers that have a newer configuration than `held`.
    pub fn config_holders(&self, held: ConfigVersion) -> Vec<OwnerId> {
        let peers = self.peers.borrow();
        let holders = peers
            .iter()
            .filter(|(_, peer)| peer.is_live() && peer.config > Some(held));
        holders.map(|(owner, _)| *owner).collect()
    }

    /// Takes all queued gossip.
    pub(super) fn take(&self) -> Vec<Gossip> {
        std::mem::take(&mut self.queued.borrow_mut())
    }

    /// Returns the addresses to which gossip of `own` is sent. The flag is true if the receiver is to
    /// forward it.
    pub(super) fn destinations(
        &self,
        own: &Origin,
        gossip_kind: GossipKind,
    ) -> Vec<(SocketAddr, bool)> {
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

    /// Returns the addresses of the peers in a failure domain to which gossip of `origin` is forwarded.
    pub(super) fn addresses_in(&self, domain: &DomainName, origin: OwnerId) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let others = peers
            .iter()
            .filter(|(owner, peer)| **owner != origin && peer.domain.as_ref() == Some(domain));
        others.map(|(_, peer)| peer.address).collect()
    }

    /// Records that gossip of a peer was received, directly or through a relay.
    pub(super) fn on_received(&self, origin: &Origin, now_ms: MonoMs) -> PeerEvent {
        let owner = OwnerId(origin.owner);
        let mut peers = self.peers.borrow_mut();
        let known = peers.get(&owner).is_some_and(Peer::is_live);
        let peer = Peer {
            address: origin.address,
            domain: Some(DomainName(origin.domain.clone())),
            received_ms: now_ms,
            presence: Presence::Live,
            config: peers.get(&owner).and_then(|peer| peer.config),
            introduced_ms: peers.get(&owner).and_then(|peer| peer.introduced_ms),
            has_digest: peers.get(&owner).is_some_and(|peer| peer.has_digest),
        };
        peers.insert(owner, peer);
        match known {
            true => PeerEvent::Known,
            false => PeerEvent::Found,
        }
    }

    /// Sends a digest soon, because peers became known that haven't received gossip of this node.
    pub fn introduce(&self) {
        self.introduction.notify_one();
    }

    /// Returns the identities of the live peers whose failure domain is known.
    pub(crate) fn live_origins(&self) -> Vec<Origin> {
        self.origins(Peer::is_live)
    }

    /// Returns the identities of the peers for which `is_listed` returns true and whose failure domain is known.
    fn origins(&self, is_listed: impl Fn(&Peer) -> bool) -> Vec<Origin> {
        let peers = self.peers.borrow();
        let listed = peers.iter().filter(|(_, peer)| is_listed(peer));
        listed
            .filter_map(|(owner, peer)| {
                Some(Origin {
                    owner: owner.0,
                    address: peer.address,
                    domain: peer.domain.as_ref()?.0.clone(),
                })
            })
            .collect()
    }

    /// Records a node that announced itself in the directory, or of which a peer told. It counts as live
    /// only once its gossip is received.
    pub fn on_announced(
        &self,
        owner: OwnerId,
        address: SocketAddr,
        domain: Option<DomainName>,
        now_ms: MonoMs,
    ) {
        let mut peers = self.peers.borrow_mut();
        peers.entry(owner).or_insert(Peer {
            address,
            domain,
            received_ms: now_ms,
            presence: Presence::Announced,
            config: None,
            introduced_ms: None,
            has_digest: false,
        });
    }

    /// Records a node that introduced itself by a request. Returns true if it is to get a digest soon: it
    /// hadn't introduced itself before, and wasn't heard.
    pub(super) fn on_introduced(&self, peer: &Origin, now_ms: MonoMs) -> bool {
        let owner = OwnerId(peer.owner);
        let domain = Some(DomainName(peer.domain.clone()));
        self.on_announced(owner, peer.address, domain, now_ms);
        let mut peers = self.peers.borrow_mut();
        peers.get_mut(&owner).is_some_and(|known| {
            let before = known.introduced_ms.replace(now_ms);
            before.is_none() && !known.is_live()
        })
    }

    /// Returns the identities that this node's state lists: of the live peers, and of those that recently
    /// introduced themselves to this node. Nodes that others announced aren't passed on: two nodes would
    /// keep telling each other of a third that is gone.
    pub(crate) fn listed_origins(&self, now_ms: MonoMs) -> Vec<Origin> {
        let is_listed = |peer: &Peer| {
            let introduced = peer.introduced_ms;
            peer.is_live() || introduced.is_some_and(|at_ms| now_ms.since(at_ms) < PEER_SILENT_MS)
        };
        self.origins(is_listed)
    }

    /// Returns what this node knows of its peers: how many haven't fallen silent, and of how many of these a
    /// digest was received.
    pub fn knowledge(&self) -> PeerKnowledge {
        let peers = self.peers.borrow();
        let known = peers
            .values()
            .filter(|peer| peer.presence != Presence::Silent);
        PeerKnowledge {
            known: known.clone().count(),
            with_digest: known.filter(|peer| peer.has_digest).count(),
        }
    }

    /// Records that a whole digest of a peer was received.
    pub(super) fn on_digest(&self, owner: OwnerId) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&owner) {
            peer.has_digest = true;
        }
    }

    /// Marks peers as silent after [`PEER_SILENT_MS`] and forgets them after [`PEER_FORGOTTEN_MS`].
    /// Returns the newly silent peers with the duration of their silence.
    pub(super) fn expire(&self, now_ms: MonoMs) -> Vec<(OwnerId, SpanMs)> {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, peer| now_ms.since(peer.received_ms) < PEER_FORGOTTEN_MS);
        let mut lost = Vec::new();
        for (owner, peer) in peers.iter_mut() {
            let silent_ms = now_ms.since(peer.received_ms);
            if peer.is_live() && silent_ms > PEER_SILENT_MS {
                peer.presence = Presence::Silent;
                lost.push((*owner, silent_ms));
            }
        }
        lost
    }

    /// Returns the number of known peers, live or not. Peers that are cut off still use their share of
    /// limits that all nodes share.
    pub fn peer_count(&self) -> usize {
        self.peers.borrow().len()
    }
}
