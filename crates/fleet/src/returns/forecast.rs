//! Forecast of a service's free slots for the next five seconds.
//!
//! Load pattern: a peak fills all slots for some seconds. Each stream holds its slot for one to a few
//! seconds, and new requests go on arriving at about the rate of the last second.
//!
//! Invariants: requests that arrive or return hold their slots for as long as the present ones
//! usually do. A load at which the slots just suffice has none free at any time.

use super::durations::Durations;
use super::steps::{HORIZON_STEPS, STEP_MS};
use crate::ledger::Work;
use bluebell_base::prelude::*;

/// The requests that take slots besides those that hold one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// The requests that wait for a slot at the nodes.
    pub waiting: f64,
    /// The number of new requests per step.
    pub new_per_step: f64,
}

/// The expected number of free slots at each step, before promised returns.
#[derive(Clone, Debug, PartialEq)]
pub struct Forecast {
    /// The free slots by step from now. Negative where more requests arrive than slots suffice for.
    free: [f64; HORIZON_STEPS + 1],
    /// The number of steps for which a request holds its slot, 1 at least.
    hold_steps: usize,
}

impl Forecast {
    /// Forecasts the free slots of engines that have this many `slots` together. `works` are the
    /// requests that they run or have queued.
    pub fn of<'a>(
        slots: u32,
        works: impl Iterator<Item = &'a Work>,
        durations: &Durations,
        arrivals: Arrivals,
        now_ms: MonoMs,
    ) -> Self {
        let mut ends = [0.0; HORIZON_STEPS + 1];
        let (mut held, mut usual_ms) = (0.0, 0.0);
        for work in works {
            held += 1.0;
            usual_ms += durations.usual_ms(work.prompt_tokens);
            // No slot counts as free now before its end is known.
            let step = (durations.left_ms(work, now_ms) / STEP_MS as f64)
                .ceil()
                .max(1.0) as usize;
            if let Some(ends) = ends.get_mut(step) {
                *ends += 1.0;
            }
        }
        let hold_ms = if held > 0.0 { usual_ms / held } else { 0.0 };
        let hold_steps = ((hold_ms / STEP_MS as f64).ceil() as usize).max(1);
        let mut free_now = f64::from(slots) - held - arrivals.waiting;
        let free = std::array::from_fn(|step| {
            free_now += ends[step];
            free_now - arrivals.new_per_step * step.min(hold_steps) as f64
        });
        Self { free, hold_steps }
    }

    /// Returns the first step from `first` to `last` at which a slot is free for one more return
    /// than the `promised` ones, or `None` if there is none. Those that were promised a later step
    /// keep their slots.
    pub fn first_free(
        &self,
        promised: &[u32; HORIZON_STEPS + 1],
        first: usize,
        last: usize,
    ) -> Option<usize> {
        let spare = self.spare(promised);
        let last = last.min(HORIZON_STEPS);
        (first..=last).find(|step| {
            let held = *step..=(step + self.hold_steps - 1).min(HORIZON_STEPS);
            spare[*step] >= 1.0
                && held
                    .into_iter()
                    .all(|later| promised[later] == 0 || spare[later] >= 1.0)
        })
    }

    /// Returns true if a slot is free now for a request that was promised the step `own`, beyond those
    /// of all others that were promised a step up to that one.
    pub fn has_idle(&self, promised: &[u32; HORIZON_STEPS + 1], own: usize) -> bool {
        let due: u32 = promised[..=own.min(HORIZON_STEPS)].iter().sum();
        let others = due.saturating_sub(1);
        self.free[0] - f64::from(others) >= 1.0
    }

    /// Returns the free slots at each step that aren't promised.
    fn spare(&self, promised: &[u32; HORIZON_STEPS + 1]) -> [f64; HORIZON_STEPS + 1] {
        let mut returned = 0.0;
        std::array::from_fn(|step| {
            returned += f64::from(promised[step]);
            if let Some(ended) = step.checked_sub(self.hold_steps) {
                returned -= f64::from(promised[ended]);
            }
            self.free[step] - returned
        })
    }
}
