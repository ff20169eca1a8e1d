//! Who of many equal nodes sees to a replica, by rendezvous hashing.
//!
//! Load pattern: each of hundreds of nodes would else do what one is enough for.
//!
//! Reason for the limits: nodes that know each other agree without a word, and a node that comes or
//! goes moves only its own part.
//!
//! Invariants: among nodes that know each other no two have the same place for a replica.

use rustc_hash::FxHasher;
use std::hash::Hasher;

use crate::ledger::OwnerId;
use crate::replicas::ReplicaKey;

/// The place of `own` among the nodes for a replica; the one with place 0 sees to it.
pub fn rank(own: OwnerId, peers: &[OwnerId], replica: ReplicaKey) -> usize {
    let rank = |node: OwnerId| {
        let mut hasher = FxHasher::default();
        hasher.write_u64(node.0);
        hasher.write_u32(replica.0);
        (hasher.finish(), node)
    };
    let own = rank(own);
    peers.iter().filter(|peer| rank(**peer) > own).count()
}
