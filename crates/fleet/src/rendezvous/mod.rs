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
    let own = weight(own, replica);
    let before = peers.iter().filter(|peer| weight(**peer, replica) > own);
    before.count()
}

/// Returns the peers among the first `count` nodes for a replica, in no particular order.
pub fn first_peers(
    own: OwnerId,
    peers: &[OwnerId],
    replica: ReplicaKey,
    count: usize,
) -> Vec<OwnerId> {
    let mut nodes: Vec<OwnerId> = peers.iter().copied().chain([own]).collect();
    if count < nodes.len() {
        let by_rank = |node: &OwnerId| std::cmp::Reverse(weight(*node, replica));
        nodes.select_nth_unstable_by_key(count, by_rank);
        nodes.truncate(count);
    }
    nodes.retain(|node| *node != own);
    nodes
}

/// Returns the weight of a node for a replica; the node with the highest has rank 0.
fn weight(node: OwnerId, replica: ReplicaKey) -> (u64, OwnerId) {
    let mut hasher = FxHasher::default();
    hasher.write_u64(node.0);
    hasher.write_u32(replica.0);
    (hasher.finish(), node)
}
