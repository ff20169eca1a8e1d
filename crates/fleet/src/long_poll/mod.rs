//! Timeouts of the long polls with which nodes read the directory.
//!
//! Load pattern: the directory answers an open read as soon as there is something new, so a read
//! has a cost only if it ends without an update. But a connection can fail silently, and then its
//! read never ends. If the directory itself lost the connections, this happens at all nodes at
//! once, and all nodes may have begun their reads at the same moment.
//!
//! Reason for the limits: the readers check in turn, by short reads on other connections, that their
//! open reads have missed nothing, and notify their peers. The delay of an update behind silent
//! connections is bounded by these checks and not by the timeout, so reads stay open for as long as the
//! directory allows.

use bluebell_base::prelude::*;

/// Number of live peers from which a node relies on them to detect what is new: a single peer may be
/// affected by the same network failure.
const MIN_PEERS: usize = 2;

/// Longest timeout; directories answer after half a minute at the latest.
const MAX_TIMEOUT_MS: SpanMs = SpanMs(25_000);

/// Share of the timeout by which nodes that started together drift apart.
const SPREAD_SHARE: f64 = 0.5;

/// Returns the time for which the next read stays open. `draw` is a random number from 0 to 1.
pub fn long_poll_timeout(draw: f64) -> SpanMs {
    MAX_TIMEOUT_MS.mul_f64(1.0 - SPREAD_SHARE * draw)
}

/// Returns true if a node with `peers` live peers may rely on them to detect what is new.
pub fn can_rely_on_peers(peers: usize) -> bool {
    peers >= MIN_PEERS
}
