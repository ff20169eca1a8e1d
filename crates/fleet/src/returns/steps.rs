//! Counts by steps of 100 ms, for the last second and the next five.
//!
//! Invariants: the size is constant; a count is dropped a second after its step at the earliest.

use bluebell_base::prelude::*;

/// Length of a step.
pub const STEP_MS: u64 = 100;

/// Number of steps of the forecast and the schedule: callers are asked to return within 5 s at most.
pub const HORIZON_STEPS: usize = 50;

/// Number of steps over which the recent rate of arrivals is measured. With one second, every refusal
/// in replayed bursts of 0.5 to 1 s said that the load lasts, since the burst was still counted; with
/// half a second those at its end named a free slot. 80 requests per second give the rate to about a
/// sixth.
pub const RECENT_STEPS: usize = 5;

/// Number of steps that are held: the recent ones, the current one and those of the horizon.
const HELD_STEPS: usize = 64;

/// Counts by step. A step is identified by its start, divided by [`STEP_MS`].
#[derive(Clone, Debug)]
pub struct StepCounts {
    counts: [u32; HELD_STEPS],
    /// The first step that isn't held yet.
    end: u64,
}

impl Default for StepCounts {
    fn default() -> Self {
        Self {
            counts: [0; HELD_STEPS],
            end: 0,
        }
    }
}

impl StepCounts {
    /// Adds one to the step of `at_ms`. Instants beyond the horizon are ignored.
    pub fn add(&mut self, at_ms: MonoMs, now_ms: MonoMs) {
        self.advance(now_ms);
        if let Some(count) = self.held(at_ms) {
            *count = count.saturating_add(1);
        }
    }

    /// Subtracts one from the step of `at_ms`, if that is still held.
    pub fn subtract(&mut self, at_ms: MonoMs, now_ms: MonoMs) {
        self.advance(now_ms);
        if let Some(count) = self.held(at_ms) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the sum of the last [`RECENT_STEPS`] whole steps.
    pub fn recent(&self, now_ms: MonoMs) -> u32 {
        let now = step_of(now_ms);
        let steps = now.saturating_sub(RECENT_STEPS as u64)..now;
        steps.map(|step| self.at(step)).sum()
    }

    /// Returns the number per step since the first one in the last [`RECENT_STEPS`] steps, the
    /// current one included. A rate that has just risen isn't averaged with the time before.
    pub fn rate_since_first(&self, now_ms: MonoMs) -> f64 {
        let now = step_of(now_ms);
        let mut steps = now.saturating_sub(RECENT_STEPS as u64)..=now;
        let Some(first) = steps.clone().find(|step| self.at(*step) > 0) else {
            return 0.0;
        };
        let count: u32 = steps.by_ref().map(|step| self.at(step)).sum();
        f64::from(count) / (now - first + 1) as f64
    }

    /// Returns the counts of the current step and of those of the horizon.
    pub fn upcoming(&self, now_ms: MonoMs) -> [u32; HORIZON_STEPS + 1] {
        let now = step_of(now_ms);
        std::array::from_fn(|ahead| self.at(now + ahead as u64))
    }

    fn at(&self, step: u64) -> u32 {
        let is_held = step < self.end && step + HELD_STEPS as u64 >= self.end;
        if is_held { self.counts[index(step)] } else { 0 }
    }

    fn held(&mut self, at_ms: MonoMs) -> Option<&mut u32> {
        let step = step_of(at_ms);
        let is_held = step < self.end && step + HELD_STEPS as u64 >= self.end;
        is_held.then(|| &mut self.counts[index(step)])
    }

    /// Drops the oldest steps, so that those of the horizon are held.
    fn advance(&mut self, now_ms: MonoMs) {
        let end = step_of(now_ms) + HORIZON_STEPS as u64 + 2;
        let first_new = self.end.max(end.saturating_sub(HELD_STEPS as u64));
        for step in first_new..end {
            self.counts[index(step)] = 0;
        }
        self.end = self.end.max(end);
    }
}

/// Returns the step that contains an instant.
pub fn step_of(at_ms: MonoMs) -> u64 {
    at_ms.0 / STEP_MS
}

fn index(step: u64) -> usize {
    (step % HELD_STEPS as u64) as usize
}
