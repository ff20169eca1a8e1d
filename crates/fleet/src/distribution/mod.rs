//! The roles of nodes in the distribution of what the directory holds.
//!
//! Terms: a *reader* reads the directory; a *follower* copies the configuration from its *parent*, a
//! node of its own failure domain, and learns the rest from the readers' notices.
//!
//! Load pattern: one change adds thousands of routes, and every node needs the new text at once. The
//! directory sends a copy to each node that requests it through one link, so that with hundreds of
//! nodes the last of them waits for longer than the change may take. In an outage every node would call
//! it again and again.
//!
//! Reason for the limits: a few readers in each failure domain survive the loss of any two of them, and
//! the load on the directory doesn't grow with the fleet. Each node serves few children, so that neither
//! its link nor the depth of the tree delays the last node much. Followers that hear of nothing call the
//! directory too, at a rate that is the same for a fleet of any size.
//!
//! Invariants: nodes that are live to each other agree on the tree without a message. A parent has a
//! lower position than its children, so there are no cycles.

use bluebell_base::prelude::*;

use crate::ledger::OwnerId;

/// The number of nodes of each failure domain that read the directory.
pub const READERS_PER_DOMAIN: usize = 3;

/// The maximum number of nodes that copy from one node.
const MAX_CHILDREN: usize = 4;

/// The mean interval between calls of followers that hear of nothing, for all of them together.
const FOLLOWER_CALL_INTERVAL_MS: u64 = 50;

/// The shortest interval between the calls of one follower.
const MIN_FOLLOWER_INTERVAL_MS: u64 = 500;

/// The age up to which the list of replicas isn't read again by any node. A replica that leaves must get no
/// new work two seconds later.
const MIN_LIST_AGE_MS: SpanMs = SpanMs(700);

/// The span over which readers spread their reads of the list, so that mostly one of them reads for all.
const READER_SPREAD_MS: SpanMs = SpanMs(500);

/// The age of the list up to which followers rely on the readers' notices.
const FOLLOWER_MIN_LIST_AGE_MS: SpanMs = SpanMs(1_700);

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

/// Returns the time over which the followers among `nodes` nodes spread one call of each to the directory.
pub fn follower_interval(nodes: usize) -> SpanMs {
    let interval_ms = nodes as u64 * FOLLOWER_CALL_INTERVAL_MS;
    SpanMs(interval_ms.max(MIN_FOLLOWER_INTERVAL_MS))
}

/// Returns the age at which a node reads the list of replicas again. `follower_interval_ms` is that of a
/// follower, or `None` for a reader; `draw` is a random number from 0 to 1.
pub fn list_due_age(follower_interval_ms: Option<SpanMs>, draw: f64) -> SpanMs {
    match follower_interval_ms {
        None => MIN_LIST_AGE_MS + READER_SPREAD_MS.mul_f64(draw),
        Some(interval_ms) => FOLLOWER_MIN_LIST_AGE_MS + interval_ms.mul_f64(draw),
    }
}
