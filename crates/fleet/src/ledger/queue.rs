//! What each engine has still to read, in the order in which it reads it.
//!
//! An engine reads a prompt of its own whole, after those that came before it. A part of a prompt
//! that several engines read together goes ahead of all that waits, also at the engine that will
//! write, so the newest part is read first.
//!
//! Load pattern: for ten seconds long prompts ask for most of the engines' time, and one follows the
//! other at each engine. Engines take somewhat longer than their figures say, for the passes of their
//! writers and the end of the pass under way.
//!
//! Reason for the limits: a part that should be read by now may still be under way, and what is placed
//! there would go ahead of it. So it stays in the queue until its prompt begins to be written, which
//! its node reports.
//!
//! Invariants: time takes from parts and never removes them; a part stands in a queue at most once.

use super::WorkId;
use crate::pace::Pace;
use bluebell_base::prelude::*;

/// A part of a prompt that waits to be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The work that it belongs to.
    pub work: WorkId,
    /// What is left of it, as the time that a sound engine takes; 0 where it should be read by now.
    pub left_ms: f64,
}

/// One engine's queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadQueue {
    parts: Vec<Part>,
    pace: Pace,
    at_ms: MonoMs,
}

impl ReadQueue {
    /// Takes off what was read since the queue was last looked at.
    pub fn advance(&mut self, now_ms: MonoMs) {
        let mut passed_ms = now_ms.since(self.at_ms).0 as f64 / self.pace.slowdown();
        self.at_ms = self.at_ms.max(now_ms);
        for part in &mut self.parts {
            let read_ms = part.left_ms.min(passed_ms);
            part.left_ms -= read_ms;
            passed_ms -= read_ms;
        }
    }

    /// From when the queue was last looked at, the engine reads at this pace.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// Puts a part in: ahead of the others where it is `shared`, else behind them.
    pub fn put(&mut self, part: Part, shared: bool) {
        match shared {
            true => self.parts.insert(0, part),
            false => self.parts.push(part),
        }
    }

    /// Takes the parts of `work` out.
    pub fn remove(&mut self, work: WorkId) {
        self.parts.retain(|part| part.work != work);
    }

    /// The parts, with the time from now at which each is read.
    pub fn ends(&self) -> impl Iterator<Item = (WorkId, f64)> {
        let mut end_ms = 0.0;
        let slowdown = self.pace.slowdown();
        self.parts.iter().map(move |part| {
            end_ms += part.left_ms * slowdown;
            (part.work, end_ms)
        })
    }

    /// All that is left to read, as time.
    pub fn backlog_ms(&self) -> f64 {
        let left_ms: f64 = self.parts.iter().map(|part| part.left_ms).sum();
        left_ms * self.pace.slowdown()
    }

    /// Whether no prompt is being read.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
