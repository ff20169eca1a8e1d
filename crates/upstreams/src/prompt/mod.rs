//! Computes lengths and hashes of prompts. Nodes and engines compute them in the same way.
//!
//! Terms: a *token* is [`BYTES_PER_TOKEN`] bytes of text, rounded up over the whole prompt; a
//! *block* is a fixed number of tokens, the granularity of an engine's prefix cache; a *prefix
//! hash* identifies the prompt from its beginning to the end of a block.
//!
//! Invariants: equal texts give equal results on every machine; no function copies the prompt.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The number of bytes that count as one token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// The default number of tokens in a block of the prefix cache.
pub const DEFAULT_BLOCK_TOKENS: u64 = 1024;

/// The initial value of every hash.
const HASH_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// The odd multiplier that distributes the bits of each word over the hash.
const HASH_FACTOR: u64 = 0xff51_afd7_ed55_8ccd;

/// The hash and length of a prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PrefixHash {
    /// The hash, as engines report it in cache events.
    pub hash: u64,
    /// The length of the prefix.
    pub tokens: Tokens,
}

/// Returns the length of a text in tokens.
pub fn count_tokens(text: &str) -> Tokens {
    Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN))
}

/// Returns the hash of a whole prompt.
pub fn prompt_hash(text: &str) -> u64 {
    hash_bytes(HASH_SEED, text.as_bytes())
}

/// Returns the hashes of a prompt's prefixes, one for each whole block, by ascending length.
pub fn prefix_hashes(text: &str, block_tokens: u64) -> Vec<PrefixHash> {
    let block_tokens = block_tokens.max(1);
    let block_bytes = (block_tokens * BYTES_PER_TOKEN) as usize;
    let mut hash = HASH_SEED;
    let mut tokens = Tokens::ZERO;
    let blocks = text.as_bytes().chunks_exact(block_bytes);
    blocks
        .map(|block| {
            hash = hash_bytes(hash, block);
            tokens += Tokens(block_tokens);
            PrefixHash { hash, tokens }
        })
        .collect()
}

/// Returns the text of event `index` of the answer that the stand-in engine gives to a prompt.
pub fn expected_token(prompt_hash: u64, index: u64) -> String {
    format!("{:08x} ", mix(prompt_hash, index) as u32)
}

/// Returns the number of token events in the answer that the stand-in engine gives to a prompt:
/// between half of `max_tokens` and all of it, and at least one.
pub fn expected_count(prompt_hash: u64, max_tokens: Tokens) -> u64 {
    let least = max_tokens.0.div_ceil(2).max(1);
    let most = max_tokens.0.max(1);
    least + mix(prompt_hash, u64::MAX) % (most - least + 1)
}

/// Hashes two numbers to 64 bits. Equal numbers give equal results.
pub fn mix(a: u64, b: u64) -> u64 {
    let x = (a ^ b.wrapping_mul(HASH_SEED)).wrapping_mul(HASH_FACTOR);
    let y = (x ^ (x >> 33)).wrapping_mul(HASH_FACTOR);
    y ^ (y >> 29)
}

fn hash_bytes(start: u64, bytes: &[u8]) -> u64 {
    const WORD_BYTES: usize = 8;
    let mut words = bytes.chunks_exact(WORD_BYTES);
    let mut hash = start;
    for word in &mut words {
        let mut buffer = [0; WORD_BYTES];
        buffer.copy_from_slice(word);
        hash = mix(hash, u64::from_le_bytes(buffer));
    }
    let mut rest = [0; WORD_BYTES];
    let tail = words.remainder();
    rest[..tail.len()].copy_from_slice(tail);
    mix(mix(hash, u64::from_le_bytes(rest)), bytes.len() as u64)
}
