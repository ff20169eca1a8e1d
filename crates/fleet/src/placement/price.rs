//! What engine time and slots cost when others wait for them.
//!
//! Load pattern: for ten seconds long prompts ask for all the reading that the engines can do, and
//! then short ones for all their slots. Whatever is placed first comes first, so prompts that cost
//! much and gain little make many others late.
//!
//! Reason for the limits: a price that rises with the backlog turns away, at each level of load,
//! what gains least for the engine time that it takes. Nobody has to know the load of the day.
//!
//! Invariants: prices are never negative, and nothing costs anything while engines are idle.

use super::Fleet;
use crate::engine::EngineSpec;

/// The mean backlog of the engines from which reading has a price.
const BACKLOG_FREE_MS: f64 = 250.0;

/// The mean backlog at which reading costs the most.
const BACKLOG_FULL_MS: f64 = 1_500.0;

/// The highest price of a ms of reading that a backlog makes, in units of weight.
const READ_PRICE: f64 = 0.022;

/// The share of the engines' time that was asked for lately from which reading has a price even
/// where nothing waits: what is placed now is in the way of what comes next.
const BUSY_FREE: f64 = 0.0;

/// The share at which that price is highest.
const BUSY_FULL: f64 = 0.9;

/// The highest price of a ms of reading for that reason, in units of weight; the price grows with
/// the square of the share.
const BUSY_PRICE: f64 = 0.025;

/// The most that a request pays for being read, as a part of its weight. Reading grows with the square
/// of a prompt's length and its weight grows less, so an unbounded price would shut the longest out.
const MOST_PAID: f64 = 0.5;

/// The share of slots taken from which a slot has a price.
const SLOTS_FREE: f64 = 0.75;

/// The share of slots taken at which a slot costs the most.
const SLOTS_FULL: f64 = 0.97;

/// The highest price of a slot, as a part of the request's own weight: what is late anyway then
/// waits, and what is still on time goes first.
const SLOT_PRICE: f64 = 0.6;

/// The prices at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Of a ms of reading, in units of weight.
    pub read_ms: f64,
    /// Of a slot, as a part of the request's weight.
    pub slot: f64,
}

fn ramp(value: f64, from: f64, to: f64) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}

impl Prices {
    /// The prices that the load of the fleet makes.
    pub fn of(spec: &EngineSpec, fleet: &Fleet) -> Self {
        let candidates = &fleet.candidates;
        let count = candidates.len().max(1) as f64;
        let sound: f64 = candidates
            .iter()
            .map(|c| 1.0 / c.load.pace.slowdown())
            .sum();
        let backlog_ms: f64 = candidates.iter().map(|c| c.load.backlog_ms).sum();
        let writers: u32 = candidates.iter().map(|c| c.load.writers).sum();
        let taken = f64::from(writers) / (count * f64::from(spec.slots.max(1)));
        let waiting = READ_PRICE * ramp(backlog_ms / count, BACKLOG_FREE_MS, BACKLOG_FULL_MS);
        let busy = BUSY_PRICE
            * ramp(
                fleet.placed.reading_engines() / sound.max(1.0),
                BUSY_FREE,
                BUSY_FULL,
            )
            .powi(2);
        Self {
            read_ms: waiting.max(busy),
            slot: SLOT_PRICE * ramp(taken, SLOTS_FREE, SLOTS_FULL),
        }
    }

    /// What a request of this weight pays that takes `read_ms` to read.
    pub fn paid(&self, read_ms: f64, weight: f64) -> f64 {
        (self.read_ms * read_ms).min(MOST_PAID * weight) + self.slot * weight
    }
}
