//! Memory for prompts that no engine can hold alone.
//!
//! Load pattern: one prompt in twenty-five of the longest class needs more memory than an engine
//! has; without help it could never be served.
//!
//! Reason for the limits: memory is set aside only where it is free as far as this node knows, and
//! not to the last token, so that what other nodes place at the same moment still finds room.
//!
//! Invariants: what is set aside and what the writing engine has free cover the prompt and its
//! answer.

use super::{Candidate, Demand};
use crate::engine::EngineSpec;
use crate::replicas::ReplicaKey;
use bluebell_base::prelude::*;

/// The part of an engine's memory that one prompt may take.
const USABLE_PART: f64 = 0.97;

/// The smallest piece that is set aside: a smaller one isn't worth its orders.
const LEAST_PIECE: Tokens = Tokens(4_096);

/// The memory that a request needs.
pub fn needed(demand: &Demand) -> Tokens {
    Tokens(demand.prompt_tokens.0 + demand.answer_tokens.0)
}

/// The memory of an engine that one prompt may take.
pub fn usable(spec: &EngineSpec) -> Tokens {
    Tokens((spec.memory_tokens.0 as f64 * USABLE_PART) as u64)
}

/// Whether no engine can hold the request alone, so that memory is set aside at helpers.
pub fn needs_helper_memory(spec: &EngineSpec, demand: &Demand) -> bool {
    needed(demand) > usable(spec)
}

/// The memory that an engine has free for one more prompt.
pub fn free(spec: &EngineSpec, candidate: &Candidate) -> Tokens {
    let used = candidate.load.memory_tokens.0;
    Tokens(usable(spec).0.saturating_sub(used))
}

/// What is to be set aside at helpers; none where they haven't enough.
pub fn set_aside(
    spec: &EngineSpec,
    demand: &Demand,
    writer: &Candidate,
    helpers: &[Candidate<'_>],
) -> Option<Vec<(ReplicaKey, Tokens)>> {
    let own = free(spec, writer);
    let mut missing = needed(demand).0.saturating_sub(own.0);
    if missing == 0 {
        return Some(Vec::new());
    }
    let mut by_free: Vec<(ReplicaKey, Tokens)> =
        helpers.iter().map(|c| (c.key, free(spec, c))).collect();
    by_free.sort_unstable_by_key(|(_, free)| std::cmp::Reverse(*free));
    let mut pieces = Vec::new();
    for (key, free) in by_free {
        if missing == 0 || free < LEAST_PIECE {
            break;
        }
        let piece = Tokens(missing.max(LEAST_PIECE.0).min(free.0));
        pieces.push((key, piece));
        missing = missing.saturating_sub(piece.0);
    }
    (missing == 0).then_some(pieces)
}
