//! Groups: several engines that together hold a prompt longer than one engine's memory.
//!
//! Terms: the *leader* runs the work; *members* lend it memory.
//!
//! Invariants: a group's parts add up to what is needed, no engine is in it twice, and no part is
//! larger than what is believed free there. The engines are tried in one order that all nodes
//! share, so that two groups contend for the same first engine and not for each other's rest.

use crate::fleet::Engine;
use crate::job::GroupPart;
use bluebell_base::prelude::*;

/// A part smaller than this is not worth an engine, in tokens.
const SMALLEST_PART: u64 = 4_096;

/// An engine that may take part, and how much it can give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The engine.
    pub upstream: UpstreamId,
    /// The memory it can give.
    pub kv_tokens: u64,
}

/// A leader and its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The engine that runs the work.
    pub leader: UpstreamId,
    /// The engines that lend memory, without the leader.
    pub members: Vec<GroupPart>,
}

/// Builds a group from a leader and the other engines' offers, in their order; none where they
/// do not hold what is needed within so many parts.
pub fn build(leader: Offer, others: &[Offer], need: Tokens, most_parts: usize) -> Option<Group> {
    let mut missing = need.0.saturating_sub(leader.kv_tokens);
    let mut members = Vec::new();
    for offer in others {
        if missing == 0 {
            break;
        }
        if offer.upstream == leader.upstream || offer.kv_tokens < SMALLEST_PART {
            continue;
        }
        if members.len() + 1 >= most_parts {
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

/// The most that a group of so many of these engines can hold when they are empty.
pub fn most_tokens<'a>(engines: impl Iterator<Item = &'a Engine>, parts: usize) -> Tokens {
    let mut sizes: Vec<u64> = engines.map(|e| e.facts.kv_capacity_tokens.0).collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    Tokens(sizes.iter().take(parts).sum())
}
