//! The routes and intervals by which a node's gossip reaches all of its peers.
//!
//! Terms: a *relay* is a peer that receives gossip and passes it on to all peers of its own failure
//! domain.
//!
//! Load pattern: hundreds of nodes report every placement to each other. Traffic between failure domains
//! is expensive and shares their links. When each of 195 nodes sent to each other, 0.35 GB of gossip
//! crossed failure domains in 44 seconds of a calm day; through relays it was 0.05 GB in 48 seconds.
//!
//! Reason for the limits: one copy goes to each other failure domain and is spread there. Each node
//! selects its own relay in each domain, so that no node carries much more than others, and a lost
//! relay drops the gossip of few nodes. Digests go through another relay each time, so that the next
//! one makes up for what a relay lost while its failure was unnoticed. Peers that weren't heard yet are
//! reached through relays as well: when each of 985 nodes that started together sent copies to all others
//! until it heard them, most of a day's bytes between failure domains crossed before the first request.
//! A relay knows few of the peers in the first half second of a start of all nodes, so a bounded number of
//! peers that only announced themselves get copies of their own as well.
//!
//! Invariants: every peer is reached directly or is in the domain of a relay; a relay is a live peer, one
//! whose gossip was received recently, if the domain has any; gossip passes through one relay at most.

mod timing;

pub use timing::{batch_delay, digest_interval};

use bluebell_base::prelude::*;
use rustc_hash::FxHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;

use crate::ledger::OwnerId;

/// The maximum number of peers of another failure domain that each get a copy of their own. A relay for
/// so few saves little, adds a hop, and loses the gossip if it dies.
const MAX_DIRECT_PEERS: usize = 8;

/// The number of relays in a failure domain of which no peer has been heard.
const UNHEARD_RELAYS: usize = 2;

/// The maximum number of peers of all other failure domains together that each get a copy of their own
/// because they only announced themselves, including the relays among them. The number of copies that
/// cross failure domains is constant in the number of nodes.
const MAX_ANNOUNCED_COPIES: usize = 32;

/// A peer as a target of gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipPeer {
    /// The peer's run.
    pub owner: OwnerId,
    /// Its failure domain, or `None` while that isn't known.
    pub domain: Option<DomainName>,
    /// The presence of the peer.
    pub presence: Presence,
}

/// The presence of a peer, by the gossip received from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The peer announced itself, and no gossip was received from it yet.
    Announced,
    /// Gossip was received from the peer recently.
    Live,
    /// Gossip was received from the peer before, but not recently.
    Silent,
}

/// The kind of gossip, which decides who receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipKind {
    /// A report of a recent event. It isn't sent to silent peers. It is sent to peers that only announced
    /// themselves: after a start of all nodes they would otherwise place work without knowing of each
    /// other's until the next digests.
    Change,
    /// A list of all work in flight. It is sent to all peers, so that a healed partition is noticed on
    /// both sides. The draw selects the relays.
    Digest {
        /// A number that differs for each digest.
        draw: u64,
    },
}

/// The target of one copy of a node's gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    /// This peer alone.
    Direct(OwnerId),
    /// This peer, which passes it on to all others of its failure domain.
    Relay(OwnerId),
}

/// Returns the copies that the node `own` in `domain` sends. Changes go through the same relays as long
/// as the same peers are live.
pub fn routes(
    own: OwnerId,
    domain: &DomainName,
    peers: &[GossipPeer],
    gossip_kind: GossipKind,
) -> Vec<Route> {
    let mut routes = Vec::new();
    let mut by_domain: BTreeMap<&DomainName, Vec<&GossipPeer>> = BTreeMap::new();
    for peer in peers {
        match (peer.presence, &peer.domain) {
            (Presence::Silent, _) if gossip_kind == GossipKind::Change => {}
            (_, Some(other)) if other != domain => by_domain.entry(other).or_default().push(peer),
            _ => routes.push(Route::Direct(peer.owner)),
        }
    }
    let draw = match gossip_kind {
        GossipKind::Change => 0,
        GossipKind::Digest { draw } => draw,
    };
    let announced_copies = MAX_ANNOUNCED_COPIES / by_domain.len().max(1);
    for mut peers in by_domain.into_values() {
        if peers.len() <= MAX_DIRECT_PEERS {
            routes.extend(peers.into_iter().map(|peer| Route::Direct(peer.owner)));
            continue;
        }
        peers.sort_unstable_by_key(|peer| std::cmp::Reverse(rank(own, peer.owner, draw)));
        add_relayed(&peers, announced_copies, &mut routes);
    }
    routes
}

/// Adds the routes to the peers of one large failure domain, which are in the order of their ranks. Up to
/// `announced_copies` go to peers that only announced themselves.
fn add_relayed(peers: &[&GossipPeer], announced_copies: usize, routes: &mut Vec<Route>) {
    let with = |presence| peers.iter().filter(move |peer| peer.presence == presence);
    let direct = |peer: &&GossipPeer| Route::Direct(peer.owner);
    if let Some(relay) = with(Presence::Live).next() {
        routes.push(Route::Relay(relay.owner));
        // A relay may not know a peer that is silent here. A few at a time get a copy of their own.
        let silent = with(Presence::Silent).take(MAX_DIRECT_PEERS);
        routes.extend(silent.map(direct));
        let announced = with(Presence::Announced).take(announced_copies);
        routes.extend(announced.map(direct));
        return;
    }
    // Some of the nodes that announced themselves may not run any more.
    let announced = with(Presence::Announced).chain(with(Presence::Silent));
    let relays = announced.take(UNHEARD_RELAYS);
    routes.extend(relays.map(|peer| Route::Relay(peer.owner)));
    let others = with(Presence::Announced).take(announced_copies);
    routes.extend(others.skip(UNHEARD_RELAYS).map(direct));
}

/// Returns the rank of a peer as a relay of `own` (rendezvous hashing): a peer that comes or goes changes
/// the relays of few nodes.
fn rank(own: OwnerId, peer: OwnerId, draw: u64) -> (u64, OwnerId) {
    let mut hasher = FxHasher::default();
    hasher.write_u64(draw);
    hasher.write_u64(own.0);
    hasher.write_u64(peer.0);
    (hasher.finish(), peer)
}
