//! The engine time of a request.

use bluebell_base::prelude::*;

use crate::engine::EngineSpec;
use crate::placement::WRITTEN_SHARE;

/// Returns the engine time that a request takes: the reading of its prompt at the configured speed,
/// and its part of the passes that write its answer on an engine whose slots are all taken.
///
/// The parts of all writers of a full engine add up to its passes, so the work of a service at its
/// capacity adds up to the time of its engines.
pub fn engine_time_ms(spec: &EngineSpec, prompt_tokens: Tokens, answer_tokens: Tokens) -> f64 {
    let part_of_step_ms = spec.step_ms / f64::from(spec.slots.max(1))
        + spec.per_writer_ms
        + spec.per_context_k_ms * prompt_tokens.0 as f64 / 1000.0;
    let steps = answer_tokens.0 as f64 * WRITTEN_SHARE;
    spec.read_ms(prompt_tokens) + part_of_step_ms * steps
}
