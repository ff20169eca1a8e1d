//! How long a node gathers gossip.
//!
//! Load pattern: each node takes in the datagrams of all others, so that what it spends on them grows
//! with the fleet while its own requests don't.
//!
//! Reason for the limits: of a large fleet each node places little, so that what one reports late
//! misleads little.
//!
//! Invariants: a node of a larger fleet never sends more often than one of a smaller.

use bluebell_base::prelude::*;

/// Up to how many nodes gossip is gathered for as short as it is anywhere.
const FEW_NODES: u64 = 60;

/// How often a digest goes out where nodes are few: the longest that lost gossip misleads a peer.
const DIGEST_EVERY_MS: SpanMs = SpanMs(500);

/// The longest time between two digests: a peer counts as silent after two and a half of them.
const LONGEST_DIGEST_EVERY_MS: SpanMs = SpanMs(1_000);

/// How long gossip of work that got further is gathered where nodes are few: peers reckon with it until
/// then, which spares an engine for a moment too long.
const GATHER_MS: SpanMs = SpanMs(60);

/// The longest such time: a tenth of the time for which a short prompt is written.
const LONGEST_GATHER_MS: SpanMs = SpanMs(200);

/// How often a node that has `peers` sends a digest.
pub fn digest_interval(peers: usize) -> SpanMs {
    by_nodes(peers, DIGEST_EVERY_MS, LONGEST_DIGEST_EVERY_MS)
}

/// How long a node that has `peers` gathers gossip of work that got further.
pub fn batch_delay(peers: usize) -> SpanMs {
    by_nodes(peers, GATHER_MS, LONGEST_GATHER_MS)
}

/// From `least` where nodes are few in proportion to the nodes, up to `most`.
fn by_nodes(peers: usize, least: SpanMs, most: SpanMs) -> SpanMs {
    let nodes = peers as u64 + 1;
    SpanMs((least.0 * nodes / FEW_NODES).clamp(least.0, most.0))
}
