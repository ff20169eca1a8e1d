//! Generates prompts of a requested length at low cost.
//!
//! Invariants: two requests of a run never have the same prompt. A prompt has the requested length
//! in tokens as engines count them.

use bluebell_base::prelude::*;
use bluebell_upstreams::prompt;

/// The number of bytes that count as one token.
const BYTES_PER_TOKEN: usize = prompt::BYTES_PER_TOKEN as usize;

/// The words of the filler text. Each has four bytes, including the space after it.
const WORDS: [&str; 8] = ["the", "gas", "war", "kin", "old", "day", "fee", "log"];

/// The number of words in the filler text before it repeats.
const FILLER_WORDS: usize = 16 * 1024;

/// A generator of prompts and idempotency keys.
#[derive(Debug)]
pub struct PromptMaker {
    /// The run's number, which distinguishes its prompts from those of other runs.
    run: u64,
    filler: String,
}

impl PromptMaker {
    /// Creates a generator for the run with this number.
    pub fn new(run: u64) -> Self {
        let mut filler = String::with_capacity(FILLER_WORDS * BYTES_PER_TOKEN);
        for i in 0..FILLER_WORDS {
            // A multiplicative hash varies the words without the state of a random generator.
            let word = (i.wrapping_mul(2_654_435_761) >> 7) % WORDS.len();
            filler.push_str(WORDS[word]);
            filler.push(' ');
        }
        Self { run, filler }
    }

    /// Returns the prompt of a request: an optional prefix shared by all prompts of `account`, a
    /// unique text with the numbers of the run and the request, and filler up to the length.
    pub fn prompt(
        &self,
        sequence: u64,
        account: usize,
        prompt_tokens: Tokens,
        shared_prefix_tokens: Tokens,
    ) -> Arc<str> {
        let bytes = prompt_tokens.0 as usize * BYTES_PER_TOKEN;
        let nonce = format!("r{:016x} n{sequence:08x} ", self.run);
        let mut text = String::with_capacity(bytes + nonce.len());
        let prefix_bytes = shared_prefix_tokens.0 as usize * BYTES_PER_TOKEN;
        if prefix_bytes > 0 && prefix_bytes + nonce.len() < bytes {
            text.push_str(&format!("a{account:06x} "));
            self.fill(&mut text, prefix_bytes);
        }
        text.push_str(&nonce);
        self.fill(&mut text, bytes);
        text.into()
    }

    /// Returns the idempotency key of a request, which is unique in the run.
    pub fn key(&self, sequence: u64) -> Arc<str> {
        format!("load-{:016x}-{sequence:x}", self.run).into()
    }

    /// Appends filler until the text has `bytes` bytes.
    fn fill(&self, text: &mut String, bytes: usize) {
        while text.len() < bytes {
            let wanted = (bytes - text.len()).min(self.filler.len());
            text.push_str(&self.filler[..wanted]);
        }
    }
}
