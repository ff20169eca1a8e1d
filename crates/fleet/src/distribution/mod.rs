//! Who reads the configuration from the directory, and who copies it from which peer.
//!
//! Terms: a *reader* reads it from the directory; a *follower* copies it from its *parent*, a node of
//! its own failure domain.
//!
//! Load pattern: one change adds thousands of routes, and every node needs the new text at once. The
//! directory sends a copy to each asker through one link, so that at hundreds of nodes the last of them
//! waits for longer than the change may take.
//!
//! Reason for the limits: a few readers a failure domain outlive the loss of any two of them, and what
//! they read doesn't grow with the fleet. Below them each node serves a few children, so that neither
//! its link nor the depth of the tree decides how long the last node waits.
//!
//! Invariants: nodes that hear each other agree on the tree without a message; a parent has a lower
//! place than its children, so there are no cycles.

use crate::ledger::OwnerId;

/// How many nodes of each failure domain read the directory.
pub const READERS_PER_DOMAIN: usize = 3;

/// How many nodes copy from one.
const CHILDREN: usize = 4;

/// How a node gets the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigRole {
    /// From the directory.
    Reader,
    /// From this node.
    Follower(OwnerId),
}

/// The role of `own` beside the `peers` of its failure domain that are heard.
pub fn role(own: OwnerId, peers: &[OwnerId]) -> ConfigRole {
    let mut order: Vec<OwnerId> = peers.iter().copied().filter(|peer| *peer < own).collect();
    // Identities are drawn at random, so their order spreads the work.
    let place = order.len();
    if place < READERS_PER_DOMAIN {
        return ConfigRole::Reader;
    }
    order.sort_unstable();
    ConfigRole::Follower(order[(place - READERS_PER_DOMAIN) / CHILDREN])
}

/// How many readers failure domains of these sizes have together.
pub fn readers(domain_sizes: impl IntoIterator<Item = usize>) -> usize {
    let sizes = domain_sizes.into_iter();
    sizes.map(|size| size.min(READERS_PER_DOMAIN)).sum()
}
