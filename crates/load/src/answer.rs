//! The check of one answer: identity, completeness, duplication.
//!
//! Invariants: a token is checked against its position, so that a crossed, repeated or skipped
//! one is found whatever its neighbours are.

use bluebell_base::prelude::*;
use bluebell_upstreams::prompt::{expected_count, expected_token, prompt_hash};
use serde::Serialize;
use std::cmp::Ordering;

/// Knows the answer that a prompt must get.
pub trait Oracle: Send + Sync {
    /// The right answer to a prompt, where at most `max_tokens` are asked for.
    fn answer(&self, prompt: &str, max_tokens: Tokens) -> Box<dyn Expected>;
}

/// The right answer to one prompt.
pub trait Expected {
    /// The token at a position.
    fn token(&self, index: u64) -> Arc<str>;

    /// How many tokens the whole answer has.
    fn count(&self) -> u64;
}

/// Knows the answers of the stand-in engines, which follow from the prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandInOracle;

impl Oracle for StandInOracle {
    fn answer(&self, prompt: &str, max_tokens: Tokens) -> Box<dyn Expected> {
        Box::new(StandInAnswer {
            prompt_hash: prompt_hash(prompt),
            max_tokens,
        })
    }
}

/// A stand-in engine's answer to one prompt.
struct StandInAnswer {
    prompt_hash: u64,
    max_tokens: Tokens,
}

impl Expected for StandInAnswer {
    fn token(&self, index: u64) -> Arc<str> {
        expected_token(self.prompt_hash, index).into()
    }

    fn count(&self) -> u64 {
        expected_count(self.prompt_hash, self.max_tokens)
    }
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// A token is not the one that the prompt must get there.
    Crossed,
    /// A token came twice.
    Doubled,
    /// Tokens are missing before the end.
    Short,
    /// An event can't be read.
    Malformed,
}

/// Checks one answer token by token.
pub struct AnswerCheck {
    expected: Option<Box<dyn Expected>>,
    declared_tokens: Option<u64>,
    count: u64,
    fault: Option<AnswerFault>,
}

impl AnswerCheck {
    /// Checks the answer to a prompt; without an oracle only its completeness.
    pub fn new(oracle: Option<&dyn Oracle>, prompt: &str, max_tokens: Tokens) -> Self {
        Self {
            expected: oracle.map(|oracle| oracle.answer(prompt, max_tokens)),
            declared_tokens: None,
            count: 0,
            fault: None,
        }
    }

    /// The next token came.
    pub fn token(&mut self, text: &str) {
        let index = self.count;
        self.count += 1;
        let Some(expected) = &self.expected else {
            return;
        };
        if *expected.token(index) == *text {
            return;
        }
        let repeated = index > 0 && *expected.token(index - 1) == *text;
        self.note(match repeated {
            true => AnswerFault::Doubled,
            false => AnswerFault::Crossed,
        });
    }

    /// The answer's own count of its tokens came.
    pub fn declared(&mut self, tokens: u64) {
        self.declared_tokens = Some(tokens);
    }

    /// The answer was declared whole: its count must be its own and the oracle's.
    pub fn finished(&mut self) {
        let right = self.expected.as_ref().map(|expected| expected.count());
        for wanted in [right, self.declared_tokens].into_iter().flatten() {
            match self.count.cmp(&wanted) {
                Ordering::Less => self.note(AnswerFault::Short),
                Ordering::Greater => self.note(AnswerFault::Doubled),
                Ordering::Equal => {}
            }
        }
    }

    /// An event could not be read.
    pub fn malformed(&mut self) {
        self.note(AnswerFault::Malformed);
    }

    /// How many tokens came.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The first fault found.
    pub fn fault(&self) -> Option<AnswerFault> {
        self.fault
    }

    /// Keeps the first fault: the later ones often follow from it.
    fn note(&mut self, fault: AnswerFault) {
        self.fault.get_or_insert(fault);
    }
}
