//! Queue of what each engine still has to read, in the order in which it reads.
//!
//! An engine reads a whole prompt after those that came before it. A part of a prompt that several
//! engines read together overtakes everything that waits, also at the writing engine, so the newest
//! part is read first.
//!
//! Load pattern: for ten seconds long prompts ask for most of the engines' time, and one follows
//! the other at each engine. Engines take somewhat longer than their figures say, because of the
//! passes of their writers and the end of the current pass.
//!
//! Reason for the limits: a part that should be read by now may still be in progress, and what is
//! placed there would overtake it. So it stays in the queue until its answer begins, which its node
//! reports.
//!
//! Invariants: passing time shortens parts and never removes them; a queue contains a part at most
//! once.

use super::WorkId;
use crate::pace::Pace;
use bluebell_base::prelude::*;

/// A part of a prompt that waits to be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedPart {
    /// The work that the part belongs to.
    pub work: WorkId,
    /// The reading time that is left at the configured speed; 0 if the part should be read by now.
    pub left_ms: f64,
}

/// The parts of prompts that one engine still has to read, in the order in which it reads them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadQueue {
    parts: Vec<QueuedPart>,
    pace: Pace,
    at_ms: MonoMs,
}

impl ReadQueue {
    /// Subtracts what was read since the last update of the queue.
    pub fn advance(&mut self, now_ms: MonoMs) {
        let mut passed_ms = now_ms.since(self.at_ms).0 as f64 / self.pace.slowdown();
        self.at_ms = self.at_ms.max(now_ms);
        for part in &mut self.parts {
            let read_ms = part.left_ms.min(passed_ms);
            part.left_ms -= read_ms;
            passed_ms -= read_ms;
        }
    }

    /// Sets the pace at which the engine reads from the last update on.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// Inserts a part: before the others if it is `shared`, otherwise after them.
    pub fn put(&mut self, part: QueuedPart, shared: bool) {
        match shared {
            true => self.parts.insert(0, part),
            false => self.parts.push(part),
        }
    }

    /// Removes the parts of `work`.
    pub fn remove(&mut self, work: WorkId) {
        self.parts.retain(|part| part.work != work);
    }

    /// Returns the work of each part, with the time from now at which the part is read.
    pub fn read_ends(&self) -> impl Iterator<Item = (WorkId, f64)> {
        let mut end_ms = 0.0;
        let slowdown = self.pace.slowdown();
        self.parts.iter().map(move |part| {
            end_ms += part.left_ms * slowdown;
            (part.work, end_ms)
        })
    }

    /// Returns the time that the engine needs for all parts.
    pub fn backlog_ms(&self) -> f64 {
        let left_ms: f64 = self.parts.iter().map(|part| part.left_ms).sum();
        left_ms * self.pace.slowdown()
    }

    /// Returns true if the queue has no parts.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
