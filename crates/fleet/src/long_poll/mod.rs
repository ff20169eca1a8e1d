//! How long a node's read of the directory stays open.
//!
//! Load pattern: the directory answers an open read as soon as there is something new, so a read
//! only costs where it ends without an update; but a connection can fall silent, and then its read never
//! ends, at all nodes at once where the directory itself lost them.
//!
//! Reason for the limits: nodes that hear each other tell of what is new. It is enough that some
//! node begins a read every now and then, so each one's may stay open for longer the more there
//! are. A node that hears nobody has to notice by itself.
//!
//! Invariants: a node of a larger fleet never reads more often than one of a smaller.

use bluebell_base::prelude::*;

/// How long a read stays open where no peer is heard. It bounds how late a configuration comes into
/// force behind a silent connection; the users allow two seconds.
const ALONE_MS: SpanMs = SpanMs(1_200);

/// How many peers must be heard for a longer read: one alone may be behind the same cut.
const HEARD_PEERS: usize = 2;

/// How often some node of the fleet begins a read: a fifth of the two seconds.
const FLEET_EVERY_MS: u64 = 400;

/// The shortest read of a node that hears its peers.
const LEAST_MS: u64 = 8_000;

/// The longest read; directories answer after half a minute at the latest.
const LONGEST_MS: u64 = 25_000;

/// The part of the wait over which nodes that started together drift apart.
const SPREAD_PART: f64 = 0.5;

/// How long the next read stays open at a node that hears `peers`; `draw` is from 0 to 1.
pub fn long_poll_timeout(peers: usize, draw: f64) -> SpanMs {
    if peers < HEARD_PEERS {
        return ALONE_MS;
    }
    let nodes = peers as u64 + 1;
    let wait_ms = SpanMs((nodes * FLEET_EVERY_MS).clamp(LEAST_MS, LONGEST_MS));
    wait_ms.mul_f64(1.0 - SPREAD_PART * draw)
}

/// Whether a node that hears `peers` may leave it to them to notice what is new.
pub fn can_rely_on_peers(peers: usize) -> bool {
    peers >= HEARD_PEERS
}
