//! The reading that all nodes placed lately.
//!
//! Invariants: nothing in it is older than [`LATELY_MS`] when it is looked at.

use bluebell_base::prelude::*;
use std::collections::VecDeque;

/// The span over which the reading that was placed is counted: about as long as a long prompt is in
/// hand.
const LATELY_MS: SpanMs = SpanMs(4_000);

/// A prompt that was placed.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    at_ms: MonoMs,
    /// The engine time that its reading takes.
    read_ms: f64,
}

/// The prompts that were placed lately, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct PlacedLately {
    prompts: VecDeque<Prompt>,
}

impl PlacedLately {
    /// Notes a prompt whose reading takes the engines `read_ms` together.
    pub(super) fn note(&mut self, read_ms: f64, at_ms: MonoMs) {
        self.prompts.push_back(Prompt { at_ms, read_ms });
    }

    /// Forgets what is no longer lately.
    pub(super) fn expire(&mut self, now_ms: MonoMs) {
        let is_old = |prompt: &Prompt| now_ms.since(prompt.at_ms) > LATELY_MS;
        while self.prompts.front().is_some_and(is_old) {
            self.prompts.pop_front();
        }
    }

    /// How many engines that reading keeps busy.
    pub fn reading_engines(&self) -> f64 {
        let read_ms: f64 = self.prompts.iter().map(|prompt| prompt.read_ms).sum();
        read_ms / LATELY_MS.0 as f64
    }

    /// How many prompts were placed in a ms whose reading takes `least_read_ms` or more.
    pub fn per_ms(&self, least_read_ms: f64) -> f64 {
        let prompts = self.prompts.iter();
        let counted = prompts.filter(|prompt| prompt.read_ms >= least_read_ms);
        counted.count() as f64 / LATELY_MS.0 as f64
    }
}
