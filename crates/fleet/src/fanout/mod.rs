//! To whom a node sends its gossip, so that all peers hear of it, and how long it gathers it.
//!
//! Terms: a peer that gets gossip *through* another gets it from that one, its *relay*, which sends
//! it on to all peers of its own failure domain.
//!
//! Load pattern: hundreds of nodes tell each other of every placement, and what crosses failure
//! domains is dear and shares their links. Sent by each of 195 nodes to each other, 0.35 GB of gossip
//! crossed failure domains in 44 seconds of a calm day; through relays 0.05 GB in 48.
//!
//! Reason for the limits: one copy goes to each other failure domain and is spread there. Each node
//! has a relay of its own in each domain, so that no node carries much more than others and a lost
//! relay takes the gossip of few nodes with it; digests take another relay each time, so that what a
//! relay which is gone unnoticed lost is made up for by the next.
//!
//! Invariants: every peer is reached directly or is in the domain of exactly one relay; a relay is a
//! peer that was heard lately; gossip passes one relay at most.

mod timing;

pub use timing::{batch_delay, digest_interval};

use bluebell_base::prelude::*;
use rustc_hash::FxHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;

use crate::ledger::OwnerId;

/// The most peers of another failure domain that each get a copy of their own: a relay for so few
/// spares little, is a hop more, and one that dies takes gossip along.
const DIRECT_PEERS: usize = 8;

/// A peer, as far as it matters for how it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipPeer {
    /// Its run.
    pub owner: OwnerId,
    /// Its failure domain, once it is known.
    pub domain: Option<DomainName>,
    /// Whether it is heard.
    pub presence: Presence,
}

/// Whether a peer is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It announced itself and wasn't heard yet.
    Announced,
    /// It was heard lately.
    Live,
    /// It was heard, and no longer is.
    Silent,
}

/// What is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipKind {
    /// What just happened. Silent peers aren't told. Those that only announced themselves are: after a
    /// start of all nodes they would else place beside each other's work until the next digests.
    Change,
    /// All work in hand, to everybody, so that a cut that heals is noticed on both sides. The draw
    /// chooses the relays.
    Digest {
        /// Another one each time.
        draw: u64,
    },
}

/// One copy of a node's gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    /// For this peer alone.
    Direct(OwnerId),
    /// For this peer and, through it, for all others of its failure domain.
    Relay(OwnerId),
}

/// The copies that `own` sends, which is in `domain`. Changes take the same relays as long as the
/// same peers are there.
pub fn routes(
    own: OwnerId,
    domain: &DomainName,
    gossip_peers: &[GossipPeer],
    gossip_kind: GossipKind,
) -> Vec<Route> {
    let mut routes = Vec::new();
    let mut elsewhere: BTreeMap<&DomainName, Vec<OwnerId>> = BTreeMap::new();
    for listener in gossip_peers {
        match (listener.presence, &listener.domain) {
            (Presence::Silent, _) if gossip_kind == GossipKind::Change => {}
            (Presence::Live, Some(other)) if other != domain => {
                elsewhere.entry(other).or_default().push(listener.owner);
            }
            _ => routes.push(Route::Direct(listener.owner)),
        }
    }
    let turn = match gossip_kind {
        GossipKind::Change => 0,
        GossipKind::Digest { draw } => draw,
    };
    for peers in elsewhere.into_values() {
        if peers.len() <= DIRECT_PEERS {
            routes.extend(peers.into_iter().map(Route::Direct));
            continue;
        }
        let relay = peers.into_iter().max_by_key(|peer| rank(own, *peer, turn));
        routes.extend(relay.map(Route::Relay));
    }
    routes
}

/// How well a peer suits as a relay of `own`: a peer that comes or goes changes the relays of few.
fn rank(own: OwnerId, peer: OwnerId, turn: u64) -> (u64, OwnerId) {
    let mut hasher = FxHasher::default();
    hasher.write_u64(turn);
    hasher.write_u64(own.0);
    hasher.write_u64(peer.0);
    (hasher.finish(), peer)
}
