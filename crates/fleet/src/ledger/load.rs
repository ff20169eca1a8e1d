//! Load of each engine, as placements use it.
//!
//! Invariants: a load is the sum of the shares of its engine's work; `backlog_ms` and `read_ends`
//! are as of the last [`Ledger::loads`](super::Ledger::loads).

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::sync::LazyLock;

use super::{Engine, RecentReading, WorkId};
use crate::engine::EngineSpec;
use crate::pace::Pace;
use crate::replicas::ReplicaKey;

/// Load of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// The number of requests that the engine writes or will write.
    pub writers: u32,
    /// The length of the prompts of those requests.
    pub context_tokens: Tokens,
    /// The number of requests that other engines write and for which this engine read a part of the
    /// prompt. It holds that part until the answer is written.
    pub helping: u32,
    /// The memory that the engine's own requests and the reservations for other engines' requests
    /// take.
    pub memory_tokens: Tokens,
    /// The time that the engine still needs for reading.
    pub backlog_ms: f64,
    /// The engine's pace.
    pub pace: Pace,
    /// The writers that have been on time so far, grouped by their longest allowed pause.
    pub tolerances: Vec<Tolerance>,
    /// The writers that are late already, grouped likewise: their streams can still be broken off
    /// by a long pause.
    pub late: Vec<Tolerance>,
    /// The requests whose prompts the engine reads, with the time from now at which each part is
    /// read. The time is 0 where the part should be read by now and the answer hasn't begun.
    pub read_ends: Vec<(WorkId, f64)>,
}

/// Writers of one engine with the same longest allowed pause, which a longer pass makes late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The longest pause that is on time.
    pub gap_ms: f64,
    /// The sum of their weights.
    pub weight: f64,
    /// The number of writers.
    pub writers: u32,
}

/// A request whose prompt is being read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReadingRequest {
    /// The time from now until the last of its engines has read its part.
    pub last_end_ms: f64,
    /// The time from now until which its first event is on time.
    pub due_ms: f64,
    /// The request's weight.
    pub weight: f64,
}

/// The loads of all engines at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Loads<'a> {
    pub(super) engines: &'a FxHashMap<ReplicaKey, Engine>,
    /// All requests whose prompts are being read.
    pub reading_requests: &'a FxHashMap<WorkId, ReadingRequest>,
    /// The reading that was placed recently.
    pub recent_reading: &'a RecentReading,
}

static IDLE: LazyLock<Load> = LazyLock::new(Load::default);

impl<'a> Loads<'a> {
    /// Returns the load of an engine; an unknown engine is idle.
    pub fn of(&self, key: ReplicaKey) -> &'a Load {
        let engine = self.engines.get(&key);
        engine.map_or(&*IDLE, |engine| &engine.load)
    }
}

impl Load {
    /// Returns the time of a pass that also reads for `reading_ms`.
    pub fn pass_ms(&self, spec: &EngineSpec, reading_ms: f64) -> f64 {
        let writing_ms = spec.pass_ms(self.writers, self.context_tokens);
        writing_ms * self.pace.slowdown() + reading_ms
    }

    pub(super) fn is_idle(&self) -> bool {
        let held = self.writers + self.helping;
        held == 0 && self.memory_tokens == Tokens::ZERO && !self.pace.is_slow()
    }

    /// Adds the share of one request.
    pub(super) fn add(&mut self, share: &Load) {
        self.writers += share.writers;
        self.context_tokens.0 += share.context_tokens.0;
        self.helping += share.helping;
        self.memory_tokens.0 += share.memory_tokens.0;
        add_all(&mut self.tolerances, &share.tolerances);
        add_all(&mut self.late, &share.late);
    }

    /// Subtracts the share of one request that was added before.
    pub(super) fn subtract(&mut self, share: &Load) {
        self.writers -= share.writers;
        self.context_tokens.0 -= share.context_tokens.0;
        self.helping -= share.helping;
        self.memory_tokens.0 -= share.memory_tokens.0;
        subtract_all(&mut self.tolerances, &share.tolerances);
        subtract_all(&mut self.late, &share.late);
    }

    /// Moves a writer that was on time to the late ones.
    pub(super) fn mark_late(&mut self, writer: &Tolerance) {
        subtract_all(&mut self.tolerances, std::slice::from_ref(writer));
        add_all(&mut self.late, std::slice::from_ref(writer));
    }
}

/// Adds writers to groups with the same longest allowed pause.
fn add_all(to: &mut Vec<Tolerance>, writers: &[Tolerance]) {
    for more in writers {
        match to.iter_mut().find(|known| known.gap_ms == more.gap_ms) {
            Some(known) => {
                known.weight += more.weight;
                known.writers += more.writers;
            }
            None => to.push(*more),
        }
    }
}

/// Removes writers from their groups, and groups without writers.
fn subtract_all(from: &mut Vec<Tolerance>, writers: &[Tolerance]) {
    for fewer in writers {
        if let Some(known) = from.iter_mut().find(|known| known.gap_ms == fewer.gap_ms) {
            known.weight -= fewer.weight;
            known.writers -= fewer.writers;
        }
    }
    from.retain(|known| known.writers > 0);
}
