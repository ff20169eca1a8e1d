//! What each engine has still to read, in the order in which it reads it.
//!
//! An engine reads a prompt of its own whole, after those that came before it. A part of a prompt
//! that several engines read together goes ahead of all that waits, also at the engine that will
//! write, so the newest part is read first.
//!
//! Invariants: time only takes from queues; a part stands in a queue at most once.

use super::WorkId;
use crate::pace::Pace;
use bluebell_base::prelude::*;

/// A part of a prompt that waits to be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The work that it belongs to.
    pub work: WorkId,
    /// What is left of it, as the time that a sound engine takes.
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
        let mut passed_ms = now_ms.since(self.at_ms).0 as f64 / self.pace.times();
        self.at_ms = self.at_ms.max(now_ms);
        let mut read = 0;
        for part in &mut self.parts {
            if part.left_ms > passed_ms {
                part.left_ms -= passed_ms;
                break;
            }
            passed_ms -= part.left_ms;
            read += 1;
        }
        self.parts.drain(..read);
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
        let times = self.pace.times();
        self.parts.iter().map(move |part| {
            end_ms += part.left_ms * times;
            (part.work, end_ms)
        })
    }

    /// All that is left to read, as time.
    pub fn backlog_ms(&self) -> f64 {
        let left_ms: f64 = self.parts.iter().map(|part| part.left_ms).sum();
        left_ms * self.pace.times()
    }

    /// Whether nothing is left to read.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
