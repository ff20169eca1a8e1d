//! The model shared by the driver, the readers and the calls, and its clock.

use crate::engine::model::EngineModel;
use crate::engine::settings::EngineSettings;
use crate::faults::FaultSwitches;
use bluebell_base::prelude::*;
use bluebell_upstreams::LoadReport;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The longest the driver sleeps while nothing is due.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// The model with its lock, clock and wake-ups.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    progress: Condvar,
    work: Condvar,
    origin: Instant,
    time_scale: f64,
}

/// What the lock guards.
#[derive(Debug)]
pub(super) struct State {
    pub model: EngineModel,
    pub faults: FaultSwitches,
    pub stopped: bool,
}

impl Shared {
    pub fn open(settings: EngineSettings, seed: u64) -> Self {
        let time_scale = settings.time_scale.max(f64::MIN_POSITIVE);
        let state = State {
            model: EngineModel::new(settings, seed),
            faults: FaultSwitches::default(),
            stopped: false,
        };
        Self {
            state: Mutex::new(state),
            progress: Condvar::new(),
            work: Condvar::new(),
            origin: Instant::now(),
            time_scale,
        }
    }

    /// Runs a short piece of work on the state, at the model's present instant.
    pub fn with<T>(&self, work: impl FnOnce(&mut State, u64) -> T) -> T {
        let mut state = self.lock();
        let now_us = self.catch_up(&mut state);
        let result = work(&mut state, now_us);
        drop(state);
        self.work.notify_one();
        result
    }

    /// Waits until the model moves on or the time is over.
    pub fn wait_progress<'a>(
        &self,
        state: MutexGuard<'a, State>,
        timeout: Duration,
    ) -> MutexGuard<'a, State> {
        let waited = self.progress.wait_timeout(state, timeout);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Takes the lock; a reader that panicked leaves the model whole, as its calls do not panic.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the switches, and with them what the model itself stands in for.
    pub fn set_faults(&self, faults: FaultSwitches) {
        self.with(|state, now_us| {
            state.model.set_slow_factor(faults.slow_factor);
            state.model.set_leaving(faults.leaving);
            match faults.freeze {
                true => state.model.freeze(now_us),
                false => state.model.thaw(now_us),
            }
            state.faults = faults;
        });
        self.progress.notify_all();
    }

    /// Ends the driver and all readers.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.work.notify_all();
        self.progress.notify_all();
    }

    /// Advances the model until it is stopped.
    pub fn drive(&self) {
        let mut state = self.lock();
        while !state.stopped {
            let now_us = self.catch_up(&mut state);
            let due_us = state.model.next_step_us();
            let sleep = due_us.map_or(LONGEST_SLEEP, |due_us| {
                self.real(due_us.saturating_sub(now_us)).min(LONGEST_SLEEP)
            });
            let waited = self.work.wait_timeout(state, sleep);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// A span of the clock, as the model counts it.
    pub fn model_ms(&self, span_ms: SpanMs) -> SpanMs {
        span_ms.mul_f64(self.time_scale)
    }

    /// A span of the model, as the clock counts it.
    pub fn real_ms(&self, span_ms: SpanMs) -> SpanMs {
        span_ms.mul_f64(1.0 / self.time_scale)
    }

    /// A load report of the model, as callers by the clock see it.
    pub fn real_load(&self, load: LoadReport) -> LoadReport {
        LoadReport {
            step_ms: load.step_ms / self.time_scale,
            age_ms: self.real_ms(load.age_ms),
            ..load
        }
    }

    fn catch_up(&self, state: &mut State) -> u64 {
        let now_us = self.now_us();
        let mut events = Vec::new();
        state.model.advance(now_us, &mut events);
        if !events.is_empty() {
            self.progress.notify_all();
        }
        now_us
    }

    fn now_us(&self) -> u64 {
        (self.origin.elapsed().as_micros() as f64 * self.time_scale) as u64
    }

    fn real(&self, model_us: u64) -> Duration {
        Duration::from_secs_f64(model_us as f64 / 1e6 / self.time_scale)
    }
}
