//! Checks one answer for foreign, repeated and missing tokens.
//!
//! Invariants: each token is compared with the expected token at its position, so that a crossed,
//! repeated or skipped token is detected whatever its neighbors are.

use bluebell_base::prelude::*;
use bluebell_upstreams::prompt::{expected_count, expected_token, prompt_hash};
use serde::Serialize;
use std::cmp::Ordering;

/// A source of correct answers.
pub trait Oracle: Send + Sync {
    /// Returns the correct answer to a prompt if at most `max_tokens` are requested.
    fn answer(&self, prompt: &str, max_tokens: Tokens) -> Box<dyn Expected>;
}

/// The correct answer to one prompt.
pub trait Expected {
    /// Returns the token at a position.
    fn token(&self, index: u64) -> Arc<str>;

    /// Returns the number of tokens in the complete answer.
    fn count(&self) -> u64;
}

/// An oracle for the stand-in engines, whose answers are a function of the prompt.
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

/// A fault in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// A token differs from the expected token at its position.
    Crossed,
    /// A token was received twice.
    Doubled,
    /// Tokens are missing before the end.
    Short,
    /// An event can't be parsed.
    Malformed,
}

/// A check of one answer, token by token.
pub struct AnswerCheck {
    expected: Option<Box<dyn Expected>>,
    declared_tokens: Option<u64>,
    count: u64,
    fault: Option<AnswerFault>,
}

impl AnswerCheck {
    /// Creates a check of the answer to a prompt. Without an oracle only the answer's completeness
    /// is checked.
    pub fn new(oracle: Option<&dyn Oracle>, prompt: &str, max_tokens: Tokens) -> Self {
        Self {
            expected: oracle.map(|oracle| oracle.answer(prompt, max_tokens)),
            declared_tokens: None,
            count: 0,
            fault: None,
        }
    }

    /// Checks the next received token.
    pub fn on_token(&mut self, text: &str) {
        let index = self.count;
        self.count += 1;
        let Some(expected) = &self.expected else {
            return;
        };
        if *expected.token(index) == *text {
            return;
        }
        let repeated = index > 0 && *expected.token(index - 1) == *text;
        self.record_fault(match repeated {
            true => AnswerFault::Doubled,
            false => AnswerFault::Crossed,
        });
    }

    /// Records the token count that the answer itself reports.
    pub fn on_declared_count(&mut self, tokens: u64) {
        self.declared_tokens = Some(tokens);
    }

    /// Checks the number of tokens of an answer that was declared complete. It must equal the
    /// oracle's count and the count that the answer reports.
    pub fn on_finished(&mut self) {
        let correct = self.expected.as_ref().map(|expected| expected.count());
        for wanted in [correct, self.declared_tokens].into_iter().flatten() {
            match self.count.cmp(&wanted) {
                Ordering::Less => self.record_fault(AnswerFault::Short),
                Ordering::Greater => self.record_fault(AnswerFault::Doubled),
                Ordering::Equal => {}
            }
        }
    }

    /// Records an event that could not be parsed.
    pub fn on_malformed(&mut self) {
        self.record_fault(AnswerFault::Malformed);
    }

    /// Returns the number of tokens received.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the first fault found.
    pub fn fault(&self) -> Option<AnswerFault> {
        self.fault
    }

    /// Records a fault. Only the first is kept, since later ones often follow from it.
    fn record_fault(&mut self, fault: AnswerFault) {
        self.fault.get_or_insert(fault);
    }
}
