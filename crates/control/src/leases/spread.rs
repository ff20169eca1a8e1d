//! Who takes which duty first, so that the nodes share the duties without talking about it.
//!
//! Ranks come from rendezvous hashing of duty and node: each node orders all live nodes alike,
//! and a node that comes or goes moves only its own duties. Ranks only set delays; should two
//! nodes disagree on who lives, both may try, and the log decides.

use crate::Duty;
use bluebell_base::prelude::*;

/// The delay a rank adds; longer than an append and a read take, so that the next in rank
/// usually sees the first one's take before it tries.
const RANK_STEP_MS: u64 = 700;

/// The highest rank that still adds to the delay.
const RANKS: usize = 8;

/// The delay of a node that already has its share.
const FULL_MS: u64 = 4_000;

/// The live nodes' shares of the duties.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// The live nodes that are not leaving, this one among them.
    pub nodes: Vec<Incarnation>,
}

impl Spread {
    /// How many duties each node should hold at most.
    pub fn share(&self, duties: usize) -> usize {
        duties.div_ceil(self.nodes.len().max(1))
    }

    /// How long `me`, holding `held` duties of `duties`, holds back from taking a free one.
    pub fn delay_ms(&self, duty: Duty, me: Incarnation, held: usize, duties: usize) -> SpanMs {
        let rank = rank(duty, me, &self.nodes).min(RANKS) as u64;
        let full = held >= self.share(duties);
        SpanMs(rank * RANK_STEP_MS + if full { FULL_MS } else { 0 })
    }
}

/// The number of `nodes` that come before `me` for this duty.
pub fn rank(duty: Duty, me: Incarnation, nodes: &[Incarnation]) -> usize {
    let own = (weight(duty, me), me);
    let before = |node: &&Incarnation| (weight(duty, **node), **node) > own;
    nodes.iter().filter(before).count()
}

fn weight(duty: Duty, node: Incarnation) -> u64 {
    let (kind, index) = match duty {
        Duty::Shard(shard) => (1, u64::from(shard.0)),
        Duty::Snapshot => (2, 0),
        Duty::Directory => (3, 0),
        Duty::Steward(group) => (4, u64::from(group)),
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
