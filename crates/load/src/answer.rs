//! The check of one answer: identity, completeness, duplication.
//!
//! Invariants: a token is checked against its position, so that a crossed, repeated or skipped
//! one is found whatever its neighbours are.

use bluebell_base::prelude::*;
use serde::Serialize;

/// Knows the answer that a prompt must get.
pub trait Oracle: Send + Sync {
    /// The tokens of the prompt's answer, by position.
    fn answer(&self, prompt: &str) -> Box<dyn Fn(u64) -> Arc<str>>;
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
    expected: Option<Box<dyn Fn(u64) -> Arc<str>>>,
    count: u64,
    fault: Option<AnswerFault>,
}

impl AnswerCheck {
    /// Checks the answer to a prompt; without an oracle only its completeness.
    pub fn new(oracle: Option<&dyn Oracle>, prompt: &str) -> Self {
        Self {
            expected: oracle.map(|oracle| oracle.answer(prompt)),
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
        if *expected(index) == *text {
            return;
        }
        let repeated = index > 0 && *expected(index - 1) == *text;
        self.note(match repeated {
            true => AnswerFault::Doubled,
            false => AnswerFault::Crossed,
        });
    }

    /// The answer was declared whole, with that many tokens by its own count.
    pub fn finished(&mut self, declared_tokens: Option<u64>) {
        let Some(declared_tokens) = declared_tokens else {
            return;
        };
        match self.count.cmp(&declared_tokens) {
            std::cmp::Ordering::Less => self.note(AnswerFault::Short),
            std::cmp::Ordering::Greater => self.note(AnswerFault::Doubled),
            std::cmp::Ordering::Equal => {}
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
