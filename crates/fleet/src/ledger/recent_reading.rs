//! Reading that all nodes placed recently.
//!
//! Invariants: after [`RecentReading::expire`] nothing is older than [`WINDOW_MS`].

use bluebell_base::prelude::*;
use std::collections::VecDeque;

/// Time over which placed reading is counted: about as long as a long prompt is in progress.
const WINDOW_MS: SpanMs = SpanMs(4_000);

/// A prompt that was placed.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    at_ms: MonoMs,
    /// The time that its reading takes, summed over its engines.
    read_ms: f64,
}

/// The prompts that were placed recently, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct RecentReading {
    prompts: VecDeque<Prompt>,
}

impl RecentReading {
    /// Records a prompt whose reading takes `read_ms`, summed over its engines.
    pub(super) fn record(&mut self, read_ms: f64, at_ms: MonoMs) {
        self.prompts.push_back(Prompt { at_ms, read_ms });
    }

    /// Removes prompts that are older than the window.
    pub(super) fn expire(&mut self, now_ms: MonoMs) {
        let is_old = |prompt: &Prompt| now_ms.since(prompt.at_ms) > WINDOW_MS;
        while self.prompts.front().is_some_and(is_old) {
            self.prompts.pop_front();
        }
    }

    /// Returns the mean number of engines that this reading occupies over the window.
    pub fn reading_engines(&self) -> f64 {
        let read_ms: f64 = self.prompts.iter().map(|prompt| prompt.read_ms).sum();
        read_ms / WINDOW_MS.0 as f64
    }

    /// Returns the number of prompts per ms whose reading takes `min_read_ms` or more.
    pub fn per_ms(&self, min_read_ms: f64) -> f64 {
        let prompts = self.prompts.iter();
        let counted = prompts.filter(|prompt| prompt.read_ms >= min_read_ms);
        counted.count() as f64 / WINDOW_MS.0 as f64
    }
}
