//! Prices of engine time and slots, charged when other requests wait for them.
//!
//! Load pattern: for ten seconds long prompts ask for all the reading that the engines can do, and
//! then short ones for all their slots. Requests are placed in the order in which they come, so
//! prompts that cost much and gain little make many others late.
//!
//! Reason for the limits: with a price that rises with the backlog, the prompts that gain least for
//! their engine time are refused at each level of load. The load needn't be known in advance.
//!
//! Invariants: prices are never negative, and 0 while engines are idle.

use super::Fleet;
use super::contention::Occupancy;
use crate::engine::EngineSpec;

/// Mean backlog of the engines from which reading has a price: about what one prompt of medium
/// length leaves.
pub(super) const BACKLOG_FREE_MS: f64 = 250.0;

/// Mean backlog at which the price of reading is highest: half of the longest time that the longest
/// prompts may wait.
const BACKLOG_FULL_MS: f64 = 1_500.0;

/// Highest price that a backlog sets for a ms of reading, in units of weight. A prompt of some
/// 100,000 tokens can pay it, so that longer ones wait at full backlog.
const READ_PRICE: f64 = 0.022;

/// Share of the engines' time that was requested recently from which reading has a price even
/// without a backlog: what is placed now delays what comes next.
const BUSY_FREE: f64 = 0.0;

/// Share of the engines' time at which that price is highest.
pub(super) const BUSY_FULL: f64 = 0.9;

/// Highest price that recent demand sets for a ms of reading, in units of weight. The price grows
/// with the square of the share; at three quarters of it prompts of some 200,000 tokens wait.
const BUSY_PRICE: f64 = 0.025;

/// Highest price that a request pays for its reading, as a share of its weight. Reading time grows
/// with the square of a prompt's length and weight grows less, so an unbounded price refused the
/// longest prompts: of the longest tenth of one kind of request 13 in 100 were served, of all 85.
/// With the bound they wait longest, and are served where they make no other request late.
const MAX_PAID_SHARE: f64 = 0.5;

/// Share of slots in use from which a slot has a price.
const SLOTS_FREE: f64 = 0.75;

/// Share of slots in use at which the price of a slot is highest.
const SLOTS_FULL: f64 = 0.97;

/// Highest price of a slot, as a share of the request's own weight. Requests that are late in any
/// case then wait, and those that are still on time go first.
const SLOT_PRICE: f64 = 0.6;

/// Prices of reading time and of a slot, computed from the fleet's load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// The price of a ms of reading, in units of weight.
    pub read_ms: f64,
    /// The price of a slot, as a share of the request's weight.
    pub slot: f64,
}

/// Returns 0 up to `from`, 1 from `to` on, and a linear value in between.
fn ramp(value: f64, from: f64, to: f64) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}

impl Prices {
    /// Computes the prices from the load of the fleet.
    pub fn of(spec: &EngineSpec, fleet: &Fleet) -> Self {
        let Occupancy {
            slots_taken,
            backlog_ms,
            reading,
        } = Occupancy::of(spec, fleet);
        let waiting = READ_PRICE * ramp(backlog_ms, BACKLOG_FREE_MS, BACKLOG_FULL_MS);
        let busy = BUSY_PRICE * ramp(reading, BUSY_FREE, BUSY_FULL).powi(2);
        Self {
            read_ms: waiting.max(busy),
            slot: SLOT_PRICE * ramp(slots_taken, SLOTS_FREE, SLOTS_FULL),
        }
    }

    /// Returns the price for a request of this weight whose prompt takes `read_ms` to read.
    pub fn paid(&self, read_ms: f64, weight: f64) -> f64 {
        (self.read_ms * read_ms).min(MAX_PAID_SHARE * weight) + self.slot * weight
    }
}
