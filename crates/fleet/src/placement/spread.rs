//! How far nodes that decide at the same moment spread over engines that serve equally well.
//!
//! Load pattern: in a peak hundreds of nodes place some hundred short prompts a second, and in the
//! next some ten long ones that take a dozen engines each. They learn of each other's work some ms
//! later. All know the same engines in the same order, so those that decide at the same moment
//! choose the same ones: short prompts find no slot, and of two long ones on one engine the second
//! waits for seconds until the first has given its memory back.
//!
//! Reason for the limits: a draw decides between engines whose costs differ by less than a few
//! hundredths of what the request is worth. It counts the more, the more others are likely to have
//! decided without knowing of each other; one node alone knows all that it placed.
//!
//! Invariants: the same draw gives the same choice.

use super::Fleet;
use crate::engine::EngineSpec;
use crate::replicas::ReplicaKey;

/// What a draw counts at most between engines for a short prompt, as a part of its weight: less
/// than a spare slot, so that none is taken while other engines have more.
const SHORT_SPREAD_WEIGHT: f64 = 0.1;

/// The same for a long prompt: half of the chance that another is placed unknown, since of two that
/// meet on one engine the second is late.
const LONG_SPREAD_WEIGHT: f64 = 0.5;

/// How long other nodes' placements stay unknown: gossip is gathered for some ms, crosses failure
/// domains and is passed on there.
const UNKNOWN_MS: f64 = 10.0;

/// What the draw counts at most between engines for a prompt, as a part of its weight.
pub fn most(spec: &EngineSpec, fleet: &Fleet, is_long: bool) -> f64 {
    let (least_read_ms, weight) = match is_long {
        true => (spec.long_read_ms(), LONG_SPREAD_WEIGHT),
        false => (0.0, SHORT_SPREAD_WEIGHT),
    };
    let others = fleet.nodes.saturating_sub(1) as f64 / fleet.nodes.max(1) as f64;
    let unknown = fleet.placed.per_ms(least_read_ms) * others * UNKNOWN_MS;
    weight * unknown / (unknown + 1.0)
}

/// The part of that which the draw counts against an engine, from 0 to 1.
pub fn part(draw: u64, key: ReplicaKey) -> f64 {
    (mixed(draw, key) >> 32) as f64 / f64::from(u32::MAX)
}

/// Mixes a draw and an engine (the last steps of SplitMix64): every bit depends on all of both.
fn mixed(draw: u64, key: ReplicaKey) -> u64 {
    let mut bits = draw ^ u64::from(key.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
