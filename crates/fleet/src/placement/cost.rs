//! Cost of a placement: the lateness of the request itself and of the requests that it delays.
//!
//! Invariants: costs are in units of [`weight`](crate::ledger::weight), never negative, and grow
//! with lateness.

use super::Demand;
use crate::engine::EngineSpec;
use crate::ledger::{Load, ReadingRequest, Tolerance};
use crate::silence;
use bluebell_base::prelude::*;

/// Share of an answer's value that is lost when it is late: to the users late answers keep about a
/// quarter of their value.
pub const LATE_LOSS: f64 = 0.75;

/// Share of the longest allowed pause from which a pause counts as at risk.
const PAUSE_RISK_FROM: f64 = 0.7;

/// Share of a target from which a first event counts as at risk.
const FIRST_EVENT_RISK_FROM: f64 = 0.5;

/// Share of its weight that a writer loses in addition to being late, when its engine is silent for
/// so long that it is given up. The rest of its value is lost, and another engine reads its prompt
/// again.
///
/// Load pattern: in a peak of short work a long prompt finds writers on every engine. If all pauses
/// beyond the limit cost the same, few engines would read it for seconds: a prompt of 400,000
/// tokens took six engines for 2.6 s each, and six streams were given up.
const STALL_LOSS: f64 = 0.75;

/// Share of the silence limit of an engine from which a pause counts towards giving the engine up.
const STALL_RISK_FROM: f64 = 0.3;

/// Returns the risk, from 0 to 1, that something expected at `share` of its limit is too late. The
/// risk is 0 up to `from` and rises linearly to 1 at the limit.
fn risk(share: f64, from: f64) -> f64 {
    ((share - from) / (1.0 - from)).clamp(0.0, 1.0)
}

/// Returns the share of its own weight that a request loses when its first event comes after
/// `first_event_ms` and its last event `writing_ms` later.
///
/// A late answer keeps some value, which falls to 0 at the moment at which the caller gives up.
pub fn lateness_loss(first_event_ms: f64, writing_ms: f64, demand: &Demand) -> f64 {
    if first_event_ms >= demand.caller_timeout_left_ms
        || first_event_ms + writing_ms >= demand.deadline_left_ms
    {
        return 1.0;
    }
    let due_ms = demand.target_left_ms.max(1.0);
    let overdue = (first_event_ms - due_ms) / (demand.caller_timeout_left_ms - due_ms).max(1.0);
    first_event_loss(first_event_ms, due_ms) + (1.0 - LATE_LOSS) * overdue.clamp(0.0, 1.0)
}

/// Returns the share of a writer's weight that passes of `pass_ms` put at risk by being late.
pub fn pause_loss(pass_ms: f64, gap_ms: f64) -> f64 {
    LATE_LOSS * risk(pass_ms / gap_ms.max(1.0), PAUSE_RISK_FROM)
}

/// Returns the share of a writer's weight that passes of `pass_ms` put at risk by its engine being
/// given up.
fn stall_loss(pass_ms: f64, gap_ms: f64) -> f64 {
    let silence_ms = silence::pause_timeout(SpanMs(gap_ms as u64));
    STALL_LOSS * risk(pass_ms / silence_ms.0 as f64, STALL_RISK_FROM)
}

/// Cost of reading a prompt on one engine to the requests that the engine writes, whose pauses get
/// longer.
#[derive(Clone, Copy, Debug)]
pub struct PauseCost<'a> {
    load: &'a Load,
    /// The length of a pass before the reading is added.
    current_pass_ms: f64,
    /// The cost of passes of that length.
    current_loss: f64,
}

impl<'a> PauseCost<'a> {
    /// Returns the cost for an engine with this load.
    pub fn of(spec: &EngineSpec, load: &'a Load) -> Self {
        let current_pass_ms = load.pass_ms(spec, load.backlog_ms);
        Self {
            load,
            current_pass_ms,
            current_loss: writers_loss(load, current_pass_ms),
        }
    }

    /// Returns the cost of reading a part that takes `part_ms` at the configured speed.
    pub fn added_by(&self, part_ms: f64) -> f64 {
        if self.load.writers == 0 {
            return 0.0;
        }
        let after_ms = self.current_pass_ms + part_ms * self.load.pace.slowdown();
        writers_loss(self.load, after_ms) - self.current_loss
    }
}

/// Returns the cost of passes of `pass_ms` to all writers of an engine.
fn writers_loss(load: &Load, pass_ms: f64) -> f64 {
    let lost = |loss: fn(f64, f64) -> f64, t: &Tolerance| t.weight * loss(pass_ms, t.gap_ms);
    let on_time = load.tolerances.iter();
    let late: f64 = on_time.clone().map(|t| lost(pause_loss, t)).sum();
    let all = on_time.chain(&load.late);
    let given_up: f64 = all.map(|t| lost(stall_loss, t)).sum();
    late + given_up
}

/// Returns the cost to a request whose prompt is being read if the last of its parts is read after
/// `end_ms`, because other parts overtake its own.
pub fn reader_delay_cost(reader: &ReadingRequest, end_ms: f64) -> f64 {
    let before_ms = reader.last_end_ms;
    let after_ms = end_ms.max(before_ms);
    let loss =
        first_event_loss(after_ms, reader.due_ms) - first_event_loss(before_ms, reader.due_ms);
    reader.weight * loss
}

/// Returns the share of a request's weight that a first event after `first_ms` puts at risk.
fn first_event_loss(first_ms: f64, due_ms: f64) -> f64 {
    LATE_LOSS * risk(first_ms / due_ms.max(1.0), FIRST_EVENT_RISK_FROM)
}
