//! The engine model: all of an engine's behaviour as pure calls on a clock that the caller moves.
//!
//! Whoever drives it calls [`EngineModel::advance`] at the instant given by
//! [`EngineModel::next_step_us`], and before each other call, with a clock that never goes back.
//! Nothing here does I/O, sleeps or reads a clock.
//!
//! Terms: *now* is in microseconds of the caller's clock. The passes over the model stand in
//! modules of their own: [`step`] batches, [`life`] begins and ends streams, [`reads`] serves
//! readers, [`holds`] keeps memory for others, [`orders`] changes what is served.

mod cache;
mod holds;
mod life;
mod orders;
mod reads;
mod report;
mod step;
mod stream;
mod verify;

pub use holds::ExportedKv;

use crate::engine::call::ModelEvent;
use crate::engine::settings::EngineSettings;
use bluebell_base::prelude::*;
use bluebell_upstreams::engine::LoadedModel;
use bluebell_upstreams::{Reserve, Role};
use cache::PrefixCache;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use step::Step;
use stream::{StreamKey, StreamTable};

/// One model engine.
#[derive(Debug)]
pub struct EngineModel {
    settings: EngineSettings,
    seed: u64,
    streams: StreamTable,
    waiting: Vec<StreamKey>,
    running: Vec<StreamKey>,
    tombstones: HashMap<RequestId, AttemptNo>,
    reservations: BTreeMap<ReservationId, Timed<Reserve>>,
    exports: BTreeMap<RequestId, Timed<ExportedKv>>,
    cache: PrefixCache,
    held_tokens: u64,
    step: Step,
    due: BTreeSet<(u64, Due)>,
    loads: VecDeque<report::Snapshot>,
    served: Served,
    counts: report::Counts,
    slow_factor: f64,
    frozen_since_us: Option<u64>,
    leaving: bool,
    next_number: u64,
    events: Vec<ModelEvent>,
}

/// What the engine serves and whose orders it obeyed last.
#[derive(Debug)]
struct Served {
    models: Vec<LoadedModel>,
    loading: Vec<Timed<LoadedModel>>,
    any_model: bool,
    role: Role,
    fencing: Fencing,
}

/// Something with the instant at which it ends or is done.
#[derive(Clone, Debug)]
struct Timed<T> {
    what: T,
    due_us: u64,
}

/// Something that happens by time alone; looked up again when it is due, as it may have moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Stream(StreamKey),
    Tombstone(RequestId),
    Reservation(ReservationId),
    Export(RequestId),
    Loaded,
}

impl EngineModel {
    /// Opens an idle engine; `seed` decides which cache events are lost.
    pub fn new(settings: EngineSettings, seed: u64) -> Self {
        let served = Served {
            models: settings.models.clone(),
            loading: Vec::new(),
            any_model: settings.models.is_empty(),
            role: settings.role,
            fencing: Fencing(0),
        };
        Self {
            settings,
            seed,
            streams: StreamTable::default(),
            waiting: Vec::new(),
            running: Vec::new(),
            tombstones: HashMap::new(),
            reservations: BTreeMap::new(),
            exports: BTreeMap::new(),
            cache: PrefixCache::default(),
            held_tokens: 0,
            step: Step::default(),
            due: BTreeSet::new(),
            loads: VecDeque::new(),
            served,
            counts: report::Counts::default(),
            slow_factor: 1.0,
            frozen_since_us: None,
            leaving: false,
            next_number: 0,
            events: Vec::new(),
        }
    }

    /// The settings it was opened with.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// The instant at which [`Self::advance`] should be called next; none while nothing can
    /// happen by time alone.
    pub fn next_step_us(&self) -> Option<u64> {
        if self.frozen_since_us.is_some() {
            return None;
        }
        let due_us = self.due.first().map(|due| due.0);
        match (self.step.ends_us(), due_us) {
            (Some(step_us), Some(due_us)) => Some(step_us.min(due_us)),
            (step_us, due_us) => step_us.or(due_us),
        }
    }

    /// Does all that is due until `now_us` and adds what happened since the last call.
    pub fn advance(&mut self, now_us: u64, out: &mut Vec<ModelEvent>) {
        if self.frozen_since_us.is_none() {
            while let Some(at_us) = self.next_step_us().filter(|at_us| *at_us <= now_us) {
                self.advance_to(at_us);
            }
        }
        out.append(&mut self.events);
    }

    /// Sets how many times longer than usual each step takes, from the next step on.
    pub fn set_slow_factor(&mut self, factor: f64) {
        self.slow_factor = factor.max(f64::MIN_POSITIVE);
    }

    /// Refuses new work from now on (or takes it again); what runs goes on.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Stops all computing until [`Self::thaw`]; calls are still answered, as by a process whose
    /// accelerator hangs. A whole process that hangs is the driver's to stand in for.
    pub fn freeze(&mut self, now_us: u64) {
        self.frozen_since_us.get_or_insert(now_us);
    }

    /// Goes on computing where it stopped.
    pub fn thaw(&mut self, now_us: u64) {
        if let Some(since_us) = self.frozen_since_us.take() {
            self.step.delay(now_us.saturating_sub(since_us));
            self.start_waiting(now_us);
            self.begin_step(now_us);
        }
    }

    fn advance_to(&mut self, at_us: u64) {
        while let Some((due_us, due)) = self.due.first().copied() {
            if due_us > at_us {
                break;
            }
            self.due.pop_first();
            self.fire(due, at_us);
        }
        if self.step.ends_us().is_some_and(|ends_us| ends_us <= at_us) {
            self.end_step(at_us);
        }
        self.start_waiting(at_us);
        self.begin_step(at_us);
    }

    fn fire(&mut self, due: Due, now_us: u64) {
        match due {
            Due::Stream(key) => self.stream_due(key, now_us),
            Due::Tombstone(request) => {
                self.tombstones.remove(&request);
            }
            Due::Reservation(reservation) => self.reservation_due(reservation, now_us),
            Due::Export(request) => self.export_due(request, now_us),
            Due::Loaded => self.finish_loading(now_us),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn free_tokens(&self) -> u64 {
        self.settings
            .kv_capacity_tokens
            .0
            .saturating_sub(self.held_tokens)
    }

    fn hold(&mut self, tokens: u64, now_us: u64) {
        self.held_tokens += tokens;
        self.counts.peak_held_tokens = self.counts.peak_held_tokens.max(self.held_tokens);
        self.cache.shrink(self.free_tokens(), now_us);
    }

    fn free(&mut self, tokens: u64) {
        self.held_tokens -= tokens;
    }
}
