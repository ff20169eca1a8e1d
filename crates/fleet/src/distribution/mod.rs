//! The roles of nodes in the distribution of the configuration.
//!
//! Terms: a *reader* reads the configuration from the directory; a *follower* copies it from its
//! *parent*, a node of its own failure domain.
//!
//! Load pattern: one change adds thousands of routes, and every node needs the new text at once. The
//! directory sends a copy to each node that requests it through one link, so that with hundreds of
//! nodes the last of them waits for longer than the change may take.
//!
//! Reason for the limits: a few readers in each failure domain survive the loss of any two of them, and
//! the load on the directory doesn't grow with the fleet. Each node serves few children, so that neither
//! its link nor the depth of the tree delays the last node much.
//!
//! Invariants: nodes that are live to each other agree on the tree without a message. A parent has a
//! lower position than its children, so there are no cycles.

use crate::ledger::OwnerId;

/// The number of nodes of each failure domain that read the directory.
pub const READERS_PER_DOMAIN: usize = 3;

/// The maximum number of nodes that copy from one node.
const MAX_CHILDREN: usize = 4;

/// The source of a node's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigRole {
    /// The node reads from the directory.
    Reader,
    /// The node copies from this node.
    Follower(OwnerId),
}

/// Returns the role of `own`, given the live `peers` of its failure domain.
pub fn role(own: OwnerId, peers: &[OwnerId]) -> ConfigRole {
    let mut earlier: Vec<OwnerId> = peers.iter().copied().filter(|peer| *peer < own).collect();
    // Identities are drawn at random, so their order spreads the work.
    let position = earlier.len();
    if position < READERS_PER_DOMAIN {
        return ConfigRole::Reader;
    }
    earlier.sort_unstable();
    ConfigRole::Follower(earlier[(position - READERS_PER_DOMAIN) / MAX_CHILDREN])
}

/// Returns the total number of readers in failure domains of these sizes.
pub fn readers(domain_sizes: impl IntoIterator<Item = usize>) -> usize {
    let sizes = domain_sizes.into_iter();
    sizes.map(|size| size.min(READERS_PER_DOMAIN)).sum()
}
