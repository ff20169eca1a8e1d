//! Groups: several engines that together hold a prompt longer than one engine's memory.
//!
//! Terms: the *leader* runs the work; *members* lend it memory.
//!
//! Invariants: a group's parts add up to the needed memory, no engine is in it twice, and no part
//! is larger than the memory estimated to be free there. Engines are tried in an order that all
//! nodes share, so that two groups contend for the same first engine instead of each holding a part
//! of what the other needs.

use crate::fleet::Engine;
use crate::job::GroupPart;
use bluebell_base::prelude::*;

/// Minimum size of a part for which an engine is used, in tokens.
const MIN_PART_TOKENS: u64 = 4_096;

/// An engine that may take part, and the memory that it can give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The engine.
    pub upstream: UpstreamId,
    /// Memory that the engine can give, in tokens.
    pub kv_tokens: u64,
}

/// A leader and its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Engine that runs the work.
    pub leader: UpstreamId,
    /// Engines that lend memory, without the leader.
    pub members: Vec<GroupPart>,
}

/// Builds a group from a leader and the offers of other engines, used in their order. Returns
/// `None` if `max_parts` engines do not hold the needed memory.
pub fn build(leader: Offer, others: &[Offer], needed: Tokens, max_parts: usize) -> Option<Group> {
    let mut missing = needed.0.saturating_sub(leader.kv_tokens);
    let mut members = Vec::new();
    for offer in others {
        if missing == 0 {
            break;
        }
        if offer.upstream == leader.upstream || offer.kv_tokens < MIN_PART_TOKENS {
            continue;
        }
        if members.len() + 1 >= max_parts {
            break;
        }
        let part = missing.min(offer.kv_tokens);
        missing -= part;
        members.push(GroupPart {
            upstream: offer.upstream,
            kv_tokens: Tokens(part),
        });
    }
    (missing == 0).then_some(Group {
        leader: leader.upstream,
        members,
    })
}

/// Returns the most memory that a group of up to `parts` of these engines has when they are empty.
pub fn max_group_tokens<'a>(engines: impl Iterator<Item = &'a Engine>, parts: usize) -> Tokens {
    let mut sizes: Vec<u64> = engines.map(|e| e.facts.kv_capacity_tokens.0).collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    Tokens(sizes.iter().take(parts).sum())
}
