//! The order in which nodes try to take a free duty. It spreads the duties over the nodes without
//! communication.
//!
//! All nodes rank the live nodes alike: by the number of duties that they hold according to the
//! log, and among equals by rendezvous hashing of duty and node, so that few duties move if a node
//! joins or leaves. The rank only sets a delay. If two nodes disagree on which nodes are live, both
//! may try to take the duty, and the log decides.

use crate::Duty;
use bluebell_base::prelude::*;

/// The delay per rank. It is longer than an append and a read take, so that the next node usually
/// sees the take of the first one before it tries.
const RANK_DELAY_MS: u64 = 1_500;

/// The highest rank that still adds to the delay.
const MAX_DELAYED_RANK: usize = 8;

/// A live node that may take a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: Incarnation,
    /// The number of duties that the node holds or is taking.
    pub held: usize,
}

/// Returns how long `me`, one of `candidates`, waits before it takes a free duty.
pub fn take_delay_ms(duty: Duty, me: Incarnation, candidates: &[Candidate]) -> SpanMs {
    let key = |candidate: &Candidate| {
        (
            candidate.held,
            std::cmp::Reverse(weight(duty, candidate.node)),
        )
    };
    let own = candidates
        .iter()
        .find(|candidate| candidate.node == me)
        .map(key);
    let before = candidates
        .iter()
        .filter(|candidate| Some(key(candidate)) < own);
    SpanMs(before.count().min(MAX_DELAYED_RANK) as u64 * RANK_DELAY_MS)
}

/// Returns the rendezvous weight of the node for the duty. The node with the largest weight is the
/// first choice.
pub fn weight(duty: Duty, node: Incarnation) -> u64 {
    let (kind, index) = match duty {
        Duty::Shard(shard) => (1, u64::from(shard.0)),
        Duty::Snapshot => (2, 0),
        Duty::Directory => (3, 0),
        Duty::Coordinator(group) => (4, u64::from(group)),
    };
    mix(mix(node.0 ^ (kind << 56)) ^ index)
}

/// Applies the finalizer of splitmix64: each input bit changes each output bit with a probability
/// of about one half.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
