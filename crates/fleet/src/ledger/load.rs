//! What engines have to do, as placements look at it.
//!
//! Invariants: a load is what the shares of its engine's work add up to; `backlog_ms` and `ends` are
//! as of the last [`Ledger::loads`](super::Ledger::loads).

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::sync::LazyLock;

use super::{Engine, PlacedLately, WorkId};
use crate::engine::EngineSpec;
use crate::pace::Pace;
use crate::replicas::ReplicaKey;

/// What one engine has to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Work that it writes, or will write.
    pub writers: u32,
    /// The length of the prompts of that work.
    pub context_tokens: Tokens,
    /// Work that others write, of whose prompts it read a part: it holds that until they are written.
    pub helping: u32,
    /// The memory that its own work and what is set aside for others' take.
    pub memory_tokens: Tokens,
    /// What it has still to read, as the time that it takes for that.
    pub backlog_ms: f64,
    /// How slow it is.
    pub pace: Pace,
    /// The writers that have been on time so far, by the pauses that they bear.
    pub tolerances: Vec<Tolerance>,
    /// The same of those that are late already: they can still be made to break off.
    pub late: Vec<Tolerance>,
    /// The requests of which it reads, with the time from now at which each part is read; 0 where it
    /// should be read by now and its request hasn't begun.
    pub ends: Vec<(WorkId, f64)>,
}

/// Writers of one engine that a long pass would hurt, and that bear equally long pauses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The longest pause that is on time.
    pub gap_ms: f64,
    /// What their lateness counts.
    pub weight: f64,
    /// How many there are.
    pub writers: u32,
}

/// A request whose prompt is being read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reader {
    /// When the last of its engines has read its part, from now.
    pub last_end_ms: f64,
    /// Until when its first event is on time, from now.
    pub due_ms: f64,
    /// What its lateness counts.
    pub weight: f64,
}

/// What all engines have to do at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Loads<'a> {
    pub(super) engines: &'a FxHashMap<ReplicaKey, Engine>,
    /// All requests whose prompts are being read.
    pub readers: &'a FxHashMap<WorkId, Reader>,
    /// The reading that was placed lately.
    pub placed: &'a PlacedLately,
}

static IDLE: LazyLock<Load> = LazyLock::new(Load::default);

impl<'a> Loads<'a> {
    /// What an engine has to do.
    pub fn of(&self, key: ReplicaKey) -> &'a Load {
        let engine = self.engines.get(&key);
        engine.map_or(&*IDLE, |engine| &engine.load)
    }
}

impl Load {
    /// The time of a pass that also reads for `reading_ms`.
    pub fn pass_ms(&self, spec: &EngineSpec, reading_ms: f64) -> f64 {
        let writing_ms = spec.pass_ms(self.writers, self.context_tokens);
        writing_ms * self.pace.slowdown() + reading_ms
    }

    pub(super) fn is_idle(&self) -> bool {
        let held = self.writers + self.helping;
        held == 0 && self.memory_tokens == Tokens::ZERO && !self.pace.is_slow()
    }

    /// Adds the share of a piece of work.
    pub(super) fn add(&mut self, share: &Load) {
        self.writers += share.writers;
        self.context_tokens.0 += share.context_tokens.0;
        self.helping += share.helping;
        self.memory_tokens.0 += share.memory_tokens.0;
        add_all(&mut self.tolerances, &share.tolerances);
        add_all(&mut self.late, &share.late);
    }

    /// Takes the share of a piece of work away that was added before.
    pub(super) fn subtract(&mut self, share: &Load) {
        self.writers -= share.writers;
        self.context_tokens.0 -= share.context_tokens.0;
        self.helping -= share.helping;
        self.memory_tokens.0 -= share.memory_tokens.0;
        take_all(&mut self.tolerances, &share.tolerances);
        take_all(&mut self.late, &share.late);
    }

    /// A writer that was on time is late from now on.
    pub(super) fn on_late(&mut self, writer: &Tolerance) {
        take_all(&mut self.tolerances, std::slice::from_ref(writer));
        add_all(&mut self.late, std::slice::from_ref(writer));
    }
}

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

fn take_all(from: &mut Vec<Tolerance>, writers: &[Tolerance]) {
    for fewer in writers {
        if let Some(known) = from.iter_mut().find(|known| known.gap_ms == fewer.gap_ms) {
            known.weight -= fewer.weight;
            known.writers -= fewer.writers;
        }
    }
    from.retain(|known| known.writers > 0);
}
