//! The intervals at which a node sends gossip.
//!
//! Load pattern: each node receives the datagrams of all others, so the time that it spends on them grows
//! with the fleet, while its own requests don't.
//!
//! Reason for the limits: in a large fleet each node places few requests, so a late report of one node
//! misleads its peers little. With these intervals 195 nodes used 75 s of processor time on a calm day,
//! in place of 99 s.
//!
//! Invariants: a node of a larger fleet never sends more often than one of a smaller fleet.

use bluebell_base::prelude::*;

/// The number of nodes up to which the shortest intervals apply.
const SMALL_FLEET_NODES: u64 = 60;

/// The digest interval in a small fleet. It is the longest time for which lost gossip misleads a peer.
const DIGEST_INTERVAL_MS: SpanMs = SpanMs(500);

/// The longest digest interval. A peer counts as silent after two and a half of them.
const MAX_DIGEST_INTERVAL_MS: SpanMs = SpanMs(1_000);

/// The time for which gossip of work that progressed is batched in a small fleet. Until it arrives, peers
/// count the work as it was before, and so avoid its engine slightly too long. Without batching, small
/// nodes spend so much processor time on gossip that more short requests are late.
const BATCH_DELAY_MS: SpanMs = SpanMs(60);

/// The longest such delay: a tenth of the time for which the answer to a short prompt is written.
const MAX_BATCH_DELAY_MS: SpanMs = SpanMs(200);

/// Returns the digest interval of a node with this number of `peers`.
pub fn digest_interval(peers: usize) -> SpanMs {
    scale_by_nodes(peers, DIGEST_INTERVAL_MS, MAX_DIGEST_INTERVAL_MS)
}

/// Returns the time for which a node with this number of `peers` batches gossip of work that progressed.
pub fn batch_delay(peers: usize) -> SpanMs {
    scale_by_nodes(peers, BATCH_DELAY_MS, MAX_BATCH_DELAY_MS)
}

/// Returns an interval that grows in proportion to the number of nodes, within `min` and `max`.
fn scale_by_nodes(peers: usize, min: SpanMs, max: SpanMs) -> SpanMs {
    let nodes = peers as u64 + 1;
    SpanMs((min.0 * nodes / SMALL_FLEET_NODES).clamp(min.0, max.0))
}
