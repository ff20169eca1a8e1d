//! The division of a replica's limit among the nodes.
//!
//! Load pattern: hundreds of nodes each have a request for a replica that accepts one a second. If all
//! of them had a share of the limit, none would ever save up a whole request, or all would send at
//! once after a pause.
//!
//! Reason for the limits: a few nodes *hold* the limit, as many as it has whole requests a second. They
//! are the first by rendezvous hashing. The others send nothing there, so nothing has to be agreed on
//! when a request comes. A node that receives gossip from only some of its peers may be one of several
//! that regard themselves as holders. It therefore uses only a fraction of the limit: the live
//! nodes divided by the known ones, itself included in both. Groups that receive nothing from each other
//! so stay within the whole limit.
//!
//! Invariants: the shares of all nodes that are live to each other add up to the limit at most.

use bluebell_base::prelude::*;

use crate::ledger::OwnerId;
use crate::rendezvous;
use crate::replicas::ReplicaKey;

/// The rate that is used in place of a lower limit, in requests a second. A replica that accepts nothing
/// still gets a request now and then, since only an answer shows that it accepts more again.
const MIN_RATE: PerSecond = PerSecond(0.25);

/// The number of nodes, the first by rendezvous hashing, that repeat a limit to the others. One of them
/// may be lost unnoticed.
const ANNOUNCERS: usize = 2;

/// The nodes among which limits are divided, as far as this node knows them.
#[derive(Clone, Copy, Debug)]
pub struct Nodes<'a> {
    /// This node.
    pub own: OwnerId,
    /// The live peers, from which gossip was received recently.
    pub heard: &'a [OwnerId],
    /// The number of all known peers, live or not.
    pub known: usize,
}

/// One node's share of the limit that a replica set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Share {
    /// The rate at which the node may send; zero if it doesn't hold the limit.
    pub rate: PerSecond,
    /// True if the node repeats the limit to its peers.
    pub announces: bool,
}

impl Share {
    /// Returns the share of the node in a limit of `rate` that `replica` set.
    pub fn of(nodes: &Nodes<'_>, replica: ReplicaKey, rate: PerSecond) -> Self {
        let rank = rendezvous::rank(nodes.own, nodes.heard, replica);
        let live = nodes.heard.len() + 1;
        let holders = holder_count(rate, live);
        let part = live as f64 / (nodes.known + 1).max(live) as f64;
        let held = rate.0.max(MIN_RATE.0) * part / holders as f64;
        Self {
            rate: PerSecond(if rank < holders { held } else { 0.0 }),
            announces: rank < ANNOUNCERS,
        }
    }
}

/// Returns the number of nodes that hold a limit.
fn holder_count(rate: PerSecond, live: usize) -> usize {
    (rate.0 as usize).clamp(1, live)
}

/// Returns the peers that hold a limit of `rate` that `replica` set.
pub(super) fn holding_peers(
    nodes: &Nodes<'_>,
    replica: ReplicaKey,
    rate: PerSecond,
) -> Vec<OwnerId> {
    let count = holder_count(rate, nodes.heard.len() + 1);
    rendezvous::first_peers(nodes.own, nodes.heard, replica, count)
}
