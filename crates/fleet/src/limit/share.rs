//! Which nodes send to a replica that named a limit, and how much each.
//!
//! Load pattern: hundreds of nodes each have a request for a replica that takes one a second. Shares
//! of a limit for all of them would be requests that no node ever saves up for, or that all send at
//! once after a pause.
//!
//! Reason for the limits: a few nodes *hold* the limit, as many as it has whole requests a second,
//! the first by rendezvous hashing; the others send nothing there, so that nothing is to be agreed
//! on when a request comes. A node that hears only a part of its peers may be one of several that
//! take themselves for holders: it takes only the part of the limit that the nodes it hears are of
//! those it knows, so that groups which don't hear each other stay within the whole.
//!
//! Invariants: the parts of all nodes that hear each other add up to the limit at most.

use bluebell_base::prelude::*;

use crate::ledger::OwnerId;
use crate::rendezvous;
use crate::replicas::ReplicaKey;

/// The limit that is reckoned with where less is named: what takes nothing is asked for all the same,
/// seldom, since only an answer tells that it takes more again.
const LEAST_RATE: PerSecond = PerSecond(0.25);

/// How many of the first nodes tell the others of a limit again and again: one may be lost unnoticed.
const TELLERS: usize = 2;

/// The nodes, as one of them sees them.
#[derive(Clone, Copy, Debug)]
pub struct Nodes<'a> {
    /// This node.
    pub own: OwnerId,
    /// The peers that it hears.
    pub heard: &'a [OwnerId],
    /// How many peers it knows, heard or not.
    pub known: usize,
}

/// What a node has to do with a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Share {
    /// What it may send.
    pub rate: PerSecond,
    /// Whether it tells the others of it.
    pub tells: bool,
}

impl Share {
    /// The share of the node in a limit of `rate` that `replica` named.
    pub fn of(nodes: &Nodes<'_>, replica: ReplicaKey, rate: PerSecond) -> Self {
        let rank = rendezvous::rank(nodes.own, nodes.heard, replica);
        let heard = nodes.heard.len() + 1;
        let holders = (rate.0 as usize).clamp(1, heard);
        let part = heard as f64 / (nodes.known + 1).max(heard) as f64;
        let held = rate.0.max(LEAST_RATE.0) * part / holders as f64;
        Self {
            rate: PerSecond(if rank < holders { held } else { 0.0 }),
            tells: rank < TELLERS,
        }
    }
}
