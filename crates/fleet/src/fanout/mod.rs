//! To whom a node sends its news, so that all peers hear of it.
//!
//! Terms: a peer that gets news *through* another gets it from that one, its *relay*, which sends
//! it on to all peers of its own failure domain.
//!
//! Load pattern: hundreds of nodes tell each other of every placement, and what crosses failure
//! domains is dear and shares their links. Sent by each node to each, news on 302 nodes was
//! most of a quarter of all that answers are worth.
//!
//! Reason for the limits: one copy goes to each other failure domain and is spread there. Each node
//! has a relay of its own in each domain, so that no node carries much more than others and a lost
//! relay takes the news of few nodes with it; digests take another relay each time, so that what a
//! relay which is gone unnoticed lost is made up for by the next.
//!
//! Invariants: every peer is reached directly or is in the domain of exactly one relay; a relay is a
//! peer that was heard lately; news passes one relay at most.

use bluebell_base::prelude::*;
use rustc_hash::FxHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;

use crate::ledger::OwnerId;

/// The most peers of another failure domain that each get a copy of their own. A relay is one more
/// hop, and where it dies its peers hear nothing for a moment: with three nodes to a domain it cost
/// 0.019 of what answers are worth (ten paired days of nine nodes).
const DIRECT_PEERS: usize = 8;

/// A peer, as far as it matters for how it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// Its run.
    pub owner: OwnerId,
    /// Its failure domain, once it is known.
    pub domain: Option<DomainName>,
    /// Whether it was heard lately.
    pub there: bool,
}

/// One copy of a node's news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    /// For this peer alone.
    To(OwnerId),
    /// For this peer and, through it, for all others of its failure domain.
    Through(OwnerId),
}

/// The copies that `own` sends, which is in `domain`. The same `turn` gives the same relays as long
/// as the same peers are there.
pub fn routes(own: OwnerId, domain: &DomainName, listeners: &[Listener], turn: u64) -> Vec<Route> {
    let mut routes = Vec::new();
    let mut elsewhere: BTreeMap<&DomainName, Vec<OwnerId>> = BTreeMap::new();
    for listener in listeners {
        match &listener.domain {
            Some(other) if listener.there && other != domain => {
                elsewhere.entry(other).or_default().push(listener.owner);
            }
            _ => routes.push(Route::To(listener.owner)),
        }
    }
    for peers in elsewhere.into_values() {
        if peers.len() <= DIRECT_PEERS {
            routes.extend(peers.into_iter().map(Route::To));
            continue;
        }
        let relay = peers.into_iter().max_by_key(|peer| rank(own, *peer, turn));
        routes.extend(relay.map(Route::Through));
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
