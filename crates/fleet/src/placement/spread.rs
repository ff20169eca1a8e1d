//! Random spread over engines that serve equally well, for nodes that decide at the same time.
//!
//! Load pattern: in a peak hundreds of nodes place some hundred short prompts per second, and in
//! the next peak some ten long ones that take a dozen engines each. They learn of each other's work
//! some ms later. All know the same engines in the same order, so nodes that decide at the same
//! time would choose the same ones. Short prompts would find no slot, and of two long ones on one
//! engine the second would wait for seconds until the first has released its memory.
//!
//! Reason for the limits: a random number decides between engines whose costs differ by less than a
//! few hundredths of the request's weight. It counts more, the likelier it is that others have
//! decided without knowing of each other. One node alone knows all that it placed.
//!
//! Invariants: the same random number gives the same choice.

use super::{Fleet, Spread};
use crate::engine::EngineSpec;
use crate::replicas::ReplicaKey;

/// Highest cost that the random choice adds to an engine for a short prompt, as a share of the
/// prompt's weight. It is less than a spare slot costs, so that no spare slot is taken while other
/// engines have more.
const SHORT_SPREAD_COST: f64 = 0.1;

/// The same for a long prompt. It is half of the probability that another placement is still
/// unknown, since of two prompts that meet on one engine the second is late.
const LONG_SPREAD_COST: f64 = 0.5;

/// Time for which other nodes' placements stay unknown: gossip is collected for some ms, crosses
/// failure domains and is forwarded there. Among 195 nodes this takes 2 to 8 ms.
const GOSSIP_DELAY_MS: f64 = 10.0;

/// Returns the highest cost that the random choice adds to an engine for a prompt, as a share of
/// the prompt's weight.
pub fn max_cost_share(spec: &EngineSpec, fleet: &Fleet, is_long: bool) -> f64 {
    let (min_read_ms, cost) = match is_long {
        true => (spec.long_read_ms(), LONG_SPREAD_COST),
        false => (0.0, SHORT_SPREAD_COST),
    };
    if fleet.spread == Spread::Full {
        return cost;
    }
    let others = fleet.nodes.saturating_sub(1) as f64 / fleet.nodes.max(1) as f64;
    let unknown = fleet.recent_reading.per_ms(min_read_ms) * others * GOSSIP_DELAY_MS;
    cost * unknown / (unknown + 1.0)
}

/// Returns the share of that cost, from 0 to 1, that the random number `draw` adds to an engine.
pub fn share(draw: u64, key: ReplicaKey) -> f64 {
    (mixed(draw, key) >> 32) as f64 / f64::from(u32::MAX)
}

/// Mixes a random number and an engine's key (the last steps of SplitMix64): every bit depends on
/// all bits of both.
fn mixed(draw: u64, key: ReplicaKey) -> u64 {
    let mut bits = draw ^ u64::from(key.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
