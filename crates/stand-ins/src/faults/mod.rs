//! The faults of stand-in upstreams, as switches that can be set while they run.
//!
//! Terms: a *switch* lasts until it is set otherwise; a *rule* of an in-process stand-in strikes
//! one call and is used up.
//!
//! Invariants: with all switches at their defaults a stand-in has no faults.

mod events;
mod rules;

pub use events::EventFaults;
pub use rules::{CallFault, CallRule, FaultRules};

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The switches of one stand-in upstream; a field left out is off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSwitches {
    /// Every call's connection breaks without an answer and without effect.
    pub down: bool,
    /// How many times longer than usual all computing takes.
    pub slow_factor: f64,
    /// Nothing is computed or answered until it is off again; calls made meanwhile take effect
    /// then.
    pub freeze: bool,
    /// Calls take effect, then their connection breaks without an answer.
    pub lose_answer: bool,
    /// Answers and events are held up by so many milliseconds.
    pub delay_ms: SpanMs,
    /// Each event is sent twice.
    pub duplicate: bool,
    /// Neighbouring events change places.
    pub reorder: bool,
    /// An event of another attempt, and one of another request, is sent before each token.
    pub cross: bool,
    /// Streams break off behind so many events.
    pub truncate_after: Option<u64>,
    /// New work is refused as `NotRun`; what runs goes on.
    pub leaving: bool,
}

impl Default for FaultSwitches {
    fn default() -> Self {
        Self {
            down: false,
            slow_factor: 1.0,
            freeze: false,
            lose_answer: false,
            delay_ms: SpanMs::ZERO,
            duplicate: false,
            reorder: false,
            cross: false,
            truncate_after: None,
            leaving: false,
        }
    }
}
