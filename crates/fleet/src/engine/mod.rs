//! Cost model of an engine: the time to read a prompt and the time of a pass of writing.
//!
//! Terms: a *step* writes one token for each writer; a *pass* with writers runs `stride` steps,
//! each of which may also read a *chunk* of waiting prompts; a *pair* is a token and an earlier
//! one.
//!
//! Invariants: costs grow with tokens, and are finite for the values that a configuration may hold.

use bluebell_base::prelude::*;

/// Figures of the engines of one service, from the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The highest number of requests that run at once.
    pub slots: u32,
    /// The memory of one engine, as the number of tokens of prompts and answers that it can hold.
    pub memory_tokens: Tokens,
    /// The base time of a step.
    pub step_ms: f64,
    /// The time that each writer adds to a step.
    pub per_writer_ms: f64,
    /// The time that 1,000 tokens of a writer's context add to a step.
    pub per_context_k_ms: f64,
    /// The number of prompt tokens that are read per second, without the cost of pairs.
    pub read_per_s: f64,
    /// The time that a million pairs add to reading.
    pub pairs_per_m_ms: f64,
    /// The highest number of prompt tokens that one step reads.
    pub chunk_tokens: Tokens,
    /// The number of steps of a pass that has writers.
    pub stride: u32,
    /// The time that reading in parts adds to each step of the writer. No cost here depends on it.
    pub hop_ms: f64,
}

/// Reading time from which a prompt is long, in passes. Two engines that share a shorter prompt
/// would have read it less than a pass sooner than one.
const MIN_LONG_PASSES: f64 = 2.0;

impl EngineSpec {
    /// Returns the reading time from which a prompt is long, so that several engines may share it.
    pub fn long_read_ms(&self) -> f64 {
        self.pass_ms(1, Tokens::ZERO) * MIN_LONG_PASSES
    }

    /// Returns the time that reading a prompt takes one engine that does nothing else.
    pub fn read_ms(&self, prompt_tokens: Tokens) -> f64 {
        let tokens = prompt_tokens.0 as f64;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        tokens * 1000.0 / self.read_per_s.max(1.0) + pairs_m * self.pairs_per_m_ms
    }

    /// Returns the time of a pass without reading.
    pub fn pass_ms(&self, writers: u32, context_tokens: Tokens) -> f64 {
        let step_ms = self.step_ms
            + self.per_writer_ms * f64::from(writers)
            + self.per_context_k_ms * context_tokens.0 as f64 / 1000.0;
        step_ms * f64::from(self.stride.max(1))
    }

    /// Returns the highest number of prompt tokens that one pass with writers reads.
    pub fn pass_tokens(&self) -> Tokens {
        Tokens(self.chunk_tokens.0.max(1) * u64::from(self.stride.max(1)))
    }
}
