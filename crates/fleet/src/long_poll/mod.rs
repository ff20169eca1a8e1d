//! Timeouts of the long polls with which nodes read the directory.
//!
//! Load pattern: the directory answers an open read as soon as there is something new, so a read
//! has a cost only if it ends without an update. But a connection can fail silently, and then its
//! read never ends. If the directory itself lost the connections, this happens at all nodes at
//! once.
//!
//! Reason for the limits: live peers notify each other of what is new. It is enough that some node
//! begins a read every now and then, so reads may stay open longer, the more nodes there are. A
//! node without live peers has to detect updates itself.
//!
//! Invariants: a node of a larger fleet never reads more often than one of a smaller.

use bluebell_base::prelude::*;

/// Time for which a read stays open at a node without live peers. It bounds the delay of a new
/// configuration behind a silent connection; the users allow two seconds.
const ISOLATED_TIMEOUT_MS: SpanMs = SpanMs(1_200);

/// Number of live peers from which a read stays open longer: a single peer may be affected by the
/// same network failure.
const MIN_PEERS: usize = 2;

/// Mean time between the reads that some node of the fleet begins: a fifth of the two seconds that
/// the users allow.
const FLEET_READ_INTERVAL_MS: u64 = 400;

/// Shortest timeout at a node that has live peers.
const MIN_TIMEOUT_MS: u64 = 8_000;

/// Longest timeout; directories answer after half a minute at the latest.
const MAX_TIMEOUT_MS: u64 = 25_000;

/// Share of the timeout by which nodes that started together drift apart.
const SPREAD_SHARE: f64 = 0.5;

/// Returns the time for which the next read stays open at a node with `peers` live peers. `draw` is
/// a random number from 0 to 1.
pub fn long_poll_timeout(peers: usize, draw: f64) -> SpanMs {
    if peers < MIN_PEERS {
        return ISOLATED_TIMEOUT_MS;
    }
    let nodes = peers as u64 + 1;
    let wait_ms = SpanMs((nodes * FLEET_READ_INTERVAL_MS).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS));
    wait_ms.mul_f64(1.0 - SPREAD_SHARE * draw)
}

/// Returns true if a node with `peers` live peers may rely on them to detect what is new.
pub fn can_rely_on_peers(peers: usize) -> bool {
    peers >= MIN_PEERS
}
