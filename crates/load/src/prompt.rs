//! Prompts of a wanted length, built cheaply.
//!
//! Invariants: two requests of a run never have the same prompt; a prompt has its
//! length in tokens as engines count them.

use bluebell_base::prelude::*;
use bluebell_upstreams::prompt;

/// Bytes that count as one token.
const BYTES_PER_TOKEN: usize = prompt::BYTES_PER_TOKEN as usize;

/// The words of the filler; four bytes each with the space.
const WORDS: [&str; 8] = ["the", "gas", "war", "kin", "old", "day", "fee", "log"];

/// Words of the filler before it repeats.
const FILLER_WORDS: usize = 16 * 1024;

/// Makes prompts.
#[derive(Debug)]
pub struct PromptMaker {
    /// Distinguishes this run's prompts from another's.
    run: u64,
    filler: String,
}

impl PromptMaker {
    /// Makes prompts that begin with the run's number and the request's.
    pub fn new(run: u64) -> Self {
        let mut filler = String::with_capacity(FILLER_WORDS * BYTES_PER_TOKEN);
        for i in 0..FILLER_WORDS {
            // A multiplicative hash spreads the words without a generator's state.
            let word = (i.wrapping_mul(2_654_435_761) >> 7) % WORDS.len();
            filler.push_str(WORDS[word]);
            filler.push(' ');
        }
        Self { run, filler }
    }

    /// The prompt of a request: an optional prefix shared by all prompts of `account`, then a
    /// unique text, then filler up to the length.
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

    /// The idempotency key of a request, unique in the run.
    pub fn key(&self, sequence: u64) -> Arc<str> {
        format!("load-{:016x}-{sequence:x}", self.run).into()
    }

    /// Adds filler until the text has that many bytes.
    fn fill(&self, text: &mut String, bytes: usize) {
        while text.len() < bytes {
            let wanted = (bytes - text.len()).min(self.filler.len());
            text.push_str(&self.filler[..wanted]);
        }
    }
}
