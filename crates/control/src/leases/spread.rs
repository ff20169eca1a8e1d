//! Who takes which duty first, so that the nodes share the duties without talking about it.
//!
//! Each node orders all live nodes alike: by the number of duties they hold, which the log tells,
//! and among equals by rendezvous hashing of duty and node, so that a node that comes or goes
//! moves few duties. The place in that order only sets a delay; should two nodes disagree on who
//! lives, both may try, and the log decides.

use crate::Duty;
use bluebell_base::prelude::*;

/// The delay each place adds; longer than an append and a read take, so that the next in line
/// usually sees the first one's take before it tries.
const PLACE_MS: u64 = 1_500;

/// The last place that still adds to the delay.
const PLACES: usize = 8;

/// A live node with what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Taker {
    /// The node.
    pub node: Incarnation,
    /// The number of duties it holds or is about to hold.
    pub held: usize,
}

/// How long `me`, one of `takers`, holds back from taking a free duty.
pub fn take_delay_ms(duty: Duty, me: Incarnation, takers: &[Taker]) -> SpanMs {
    let key = |taker: &Taker| (taker.held, std::cmp::Reverse(weight(duty, taker.node)));
    let own = takers.iter().find(|taker| taker.node == me).map(key);
    let before = takers.iter().filter(|taker| Some(key(taker)) < own);
    SpanMs(before.count().min(PLACES) as u64 * PLACE_MS)
}

/// How well the duty suits the node; the node with the largest weight is its first choice.
pub fn weight(duty: Duty, node: Incarnation) -> u64 {
    let (kind, index) = match duty {
        Duty::Shard(shard) => (1, u64::from(shard.0)),
        Duty::Snapshot => (2, 0),
        Duty::Directory => (3, 0),
        Duty::Coordinator(group) => (4, u64::from(group)),
    };
    mix(mix(node.0 ^ (kind << 56)) ^ index)
}

/// The finalizer of splitmix64: every input bit changes each output bit with even odds.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
