//! Assignment of a replica to one or several of many equal nodes, by rendezvous hashing.
//!
//! Load pattern: otherwise each of hundreds of nodes would do what one can do for all.
//!
//! Reason for the limits: nodes that know each other agree without messages, and a node that joins
//! or leaves moves only its own share.
//!
//! Invariants: among nodes that know each other no two have the same rank for a replica.

use rustc_hash::FxHasher;
use std::hash::Hasher;

use crate::ledger::OwnerId;
use crate::replicas::ReplicaKey;

/// Returns the rank of `own` among the nodes for a replica. The node with rank 0 is responsible for
/// it.
pub fn rank(own: OwnerId, peers: &[OwnerId], replica: ReplicaKey) -> usize {
    let hash_of = |node: OwnerId| {
        let mut hasher = FxHasher::default();
        hasher.write_u64(node.0);
        hasher.write_u32(replica.0);
        (hasher.finish(), node)
    };
    let own = hash_of(own);
    peers.iter().filter(|peer| hash_of(**peer) > own).count()
}
