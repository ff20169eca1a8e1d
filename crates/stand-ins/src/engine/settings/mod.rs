//! The settings of a stand-in engine: step times, memory, lags and what it serves.

use bluebell_base::prelude::*;
use bluebell_upstreams::Role;
use bluebell_upstreams::engine::LoadedModel;
use bluebell_upstreams::prompt::DEFAULT_BLOCK_TOKENS;
use serde::{Deserialize, Serialize};

/// The settings of a stand-in engine; every field left out takes its default.
///
/// One step takes `base_step_us + per_decode_us * decoding + per_prefill_token_ns * chunk` and the
/// attention terms that grow with the context.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// What every step takes, in microseconds.
    pub base_step_us: u64,
    /// What each generating stream adds to a step, in microseconds.
    pub per_decode_us: u64,
    /// What each prefilled token adds to a step, in nanoseconds.
    pub per_prefill_token_ns: u64,
    /// What each prefilled token adds per 1000 tokens of context before it, in picoseconds.
    pub prefill_attention_ps: u64,
    /// What each generating stream adds per 1000 tokens of its context, in nanoseconds.
    pub decode_attention_ns: u64,
    /// Prompt tokens that one step prefills at most.
    pub chunk_tokens: Tokens,
    /// Streams that run at once at most.
    pub slots: u32,
    /// Streams that wait at most; more are refused with a time to come back.
    pub waiting_limit: u32,
    /// KV memory, in tokens.
    pub kv_capacity_tokens: Tokens,
    /// Tokens in a block of the prefix cache, for prompts that come as text.
    pub block_tokens: u64,
    /// How old load reports are, in milliseconds.
    pub load_lag_ms: SpanMs,
    /// How old cache events are when they can first be read, in milliseconds.
    pub cache_lag_ms: SpanMs,
    /// How many of 1000 cache events are lost.
    pub cache_loss_per_mille: u64,
    /// How long ended streams and early cancels are remembered, in milliseconds.
    pub remember_ms: SpanMs,
    /// What importing one token of KV takes, in nanoseconds.
    pub transfer_token_ns: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// The models served from the start; empty: whatever is asked for.
    pub models: Vec<LoadedModel>,
    /// The role from the start.
    pub role: Role,
    /// The size of a model's weights, for the time that loading takes.
    pub model_bytes: Bytes,
    /// The rate at which weights come from the store, in bytes per second.
    pub weight_bytes_per_second: PerSecond,
    /// How much faster than the clock the engine's time runs, where it runs by a real clock.
    pub time_scale: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            base_step_us: 12_000,
            per_decode_us: 125,
            per_prefill_token_ns: 25_000,
            prefill_attention_ps: 10_000,
            decode_attention_ns: 1_000,
            chunk_tokens: Tokens(8192),
            slots: 64,
            waiting_limit: 512,
            kv_capacity_tokens: Tokens(480_000),
            block_tokens: DEFAULT_BLOCK_TOKENS,
            load_lag_ms: SpanMs(500),
            cache_lag_ms: SpanMs(500),
            cache_loss_per_mille: 10,
            remember_ms: SpanMs::from_secs(600),
            transfer_token_ns: 1_000,
            checks_fencing: true,
            models: Vec::new(),
            role: Role::Mixed,
            model_bytes: Bytes(16_000_000_000),
            weight_bytes_per_second: PerSecond(2_000_000_000.0),
            time_scale: 1.0,
        }
    }
}
