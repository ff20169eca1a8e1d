//! What a placement costs: the request's own lateness, and that of the writers in its way.
//!
//! Invariants: costs are in units of [`weight`](crate::ledger::weight), never negative, and grow
//! with lateness.

use super::Demand;
use crate::engine::EngineSpec;
use crate::ledger::{Load, Reader, Tolerance};
use crate::silence;
use bluebell_base::prelude::*;

/// The part of an answer's use that is lost when it is late.
pub const LATE_LOSS: f64 = 0.75;

/// The part of the time allowed from which a pause counts as at risk.
const RISK_FROM: f64 = 0.7;

/// The share of a target from which a first event counts as at risk.
const FIRST_RISK_FROM: f64 = 0.5;

/// What a writer loses beyond being late where its engine is silent for so long that it is given up:
/// the rest of its use, and that another engine reads its prompt again.
///
/// Load pattern: in a peak of short work a long prompt finds writers on every engine, and few engines
/// would read it for seconds if all pauses beyond the limit cost the same.
const STALL_LOSS: f64 = 0.75;

/// The share of the silence after which an engine is given up from which a pause counts towards
/// that.
const STALL_FROM: f64 = 0.3;

/// The risk, from 0 to 1, that something expected at `share` of its limit comes too late.
fn risk(share: f64, from: f64) -> f64 {
    ((share - from) / (1.0 - from)).clamp(0.0, 1.0)
}

/// What the request itself loses when its first event comes after `first_event_ms` and its last
/// `writing_ms` later, as a part of its weight.
///
/// A late answer still counts something, and the less the nearer it is to the moment at which the
/// caller gives up.
pub fn lateness(first_event_ms: f64, writing_ms: f64, demand: &Demand) -> f64 {
    if first_event_ms >= demand.caller_timeout_left_ms
        || first_event_ms + writing_ms >= demand.deadline_left_ms
    {
        return 1.0;
    }
    let due_ms = demand.target_left_ms.max(1.0);
    let overdue = (first_event_ms - due_ms) / (demand.caller_timeout_left_ms - due_ms).max(1.0);
    first_loss(first_event_ms, due_ms) + (1.0 - LATE_LOSS) * overdue.clamp(0.0, 1.0)
}

/// The part of a writer's weight that passes of `pass_ms` put at risk.
pub fn pause_loss(pass_ms: f64, gap_ms: f64) -> f64 {
    LATE_LOSS * risk(pass_ms / gap_ms.max(1.0), RISK_FROM)
}

/// The part of a writer's weight that passes of `pass_ms` put at risk of being given up.
fn stall_loss(pass_ms: f64, gap_ms: f64) -> f64 {
    let silence_ms = silence::pause_timeout(SpanMs(gap_ms as u64));
    STALL_LOSS * risk(pass_ms / silence_ms.0 as f64, STALL_FROM)
}

/// What reading would cost the writers of one engine.
#[derive(Clone, Copy, Debug)]
pub struct Hurt<'a> {
    load: &'a Load,
    /// The passes before the reading.
    before_ms: f64,
    /// What they cost already.
    before: f64,
}

impl<'a> Hurt<'a> {
    /// Looks at the writers of an engine.
    pub fn of(spec: &EngineSpec, load: &'a Load) -> Self {
        let before_ms = load.pass_ms(spec, load.backlog_ms);
        Self {
            load,
            before_ms,
            before: writers_loss(load, before_ms),
        }
    }

    /// What reading a part costs that takes a sound engine `part_ms`.
    pub fn by(&self, part_ms: f64) -> f64 {
        if self.load.writers == 0 {
            return 0.0;
        }
        let after_ms = self.before_ms + part_ms * self.load.pace.slowdown();
        writers_loss(self.load, after_ms) - self.before
    }
}

/// What passes of `pass_ms` cost all writers of an engine.
fn writers_loss(load: &Load, pass_ms: f64) -> f64 {
    let lost = |loss: fn(f64, f64) -> f64, t: &Tolerance| t.weight * loss(pass_ms, t.gap_ms);
    let on_time = load.tolerances.iter();
    let late: f64 = on_time.clone().map(|t| lost(pause_loss, t)).sum();
    let all = on_time.chain(&load.late);
    let given_up: f64 = all.map(|t| lost(stall_loss, t)).sum();
    late + given_up
}

/// What it costs a request whose prompt is being read that the last of its parts is read after
/// `end_ms` only, since other parts go ahead of its own.
pub fn delay(reader: &Reader, end_ms: f64) -> f64 {
    let before_ms = reader.last_end_ms;
    let after_ms = end_ms.max(before_ms);
    let loss = first_loss(after_ms, reader.due_ms) - first_loss(before_ms, reader.due_ms);
    reader.weight * loss
}

/// The part of a request's weight that a first event after `first_ms` puts at risk.
fn first_loss(first_ms: f64, due_ms: f64) -> f64 {
    LATE_LOSS * risk(first_ms / due_ms.max(1.0), FIRST_RISK_FROM)
}
