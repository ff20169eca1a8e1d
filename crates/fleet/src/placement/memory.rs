//! Memory for prompts that no engine can hold alone.
//!
//! Load pattern: one prompt in twenty-five of the longest class needs more memory than an engine
//! has. Without memory at other engines it could never be served.
//!
//! Reason for the limits: memory is reserved only where it is free as far as this node knows. A
//! margin is left, so that requests that other nodes place at the same time still fit.
//!
//! Invariants: the reserved memory and the free memory of the writing engine cover the prompt and
//! its answer.

use super::{Candidate, Demand};
use crate::engine::EngineSpec;
use crate::replicas::ReplicaKey;
use bluebell_base::prelude::*;

/// Share of an engine's memory that one prompt may take.
const USABLE_SHARE: f64 = 0.97;

/// Smallest piece that is reserved: a smaller one isn't worth its orders.
const MIN_PIECE_TOKENS: Tokens = Tokens(4_096);

/// Returns the memory that a request needs for its prompt and its answer.
pub fn needed(demand: &Demand) -> Tokens {
    Tokens(demand.prompt_tokens.0 + demand.answer_tokens.0)
}

/// Returns the memory of an engine that one prompt may take.
pub fn usable(spec: &EngineSpec) -> Tokens {
    Tokens((spec.memory_tokens.0 as f64 * USABLE_SHARE) as u64)
}

/// Returns true if no engine can hold the request alone, so that memory is reserved at helpers.
pub fn needs_helper_memory(spec: &EngineSpec, demand: &Demand) -> bool {
    needed(demand) > usable(spec)
}

/// Returns the memory that an engine has free for one more prompt.
pub fn free(spec: &EngineSpec, candidate: &Candidate) -> Tokens {
    let used = candidate.load.memory_tokens.0;
    Tokens(usable(spec).0.saturating_sub(used))
}

/// Returns the memory to reserve at each helper, or `None` if they don't have enough.
pub fn reservations(
    spec: &EngineSpec,
    demand: &Demand,
    writing_engine: &Candidate,
    helpers: &[Candidate<'_>],
) -> Option<Vec<(ReplicaKey, Tokens)>> {
    let own = free(spec, writing_engine);
    let mut missing = needed(demand).0.saturating_sub(own.0);
    if missing == 0 {
        return Some(Vec::new());
    }
    let mut by_free: Vec<(ReplicaKey, Tokens)> =
        helpers.iter().map(|c| (c.key, free(spec, c))).collect();
    by_free.sort_unstable_by_key(|(_, free)| std::cmp::Reverse(*free));
    let mut pieces = Vec::new();
    for (key, free) in by_free {
        if missing == 0 || free < MIN_PIECE_TOKENS {
            break;
        }
        let piece = Tokens(missing.max(MIN_PIECE_TOKENS.0).min(free.0));
        pieces.push((key, piece));
        missing = missing.saturating_sub(piece.0);
    }
    (missing == 0).then_some(pieces)
}
