//! What a placement costs: the request's own lateness, and that of the writers in its way.
//!
//! Invariants: costs are in units of [`weight`](crate::ledger::weight), never negative, and grow
//! with lateness.

use super::Demand;
use crate::engine::EngineSpec;
use crate::ledger::{Load, Reader, Tolerance};
use crate::replicas::ReplicaKey;
use crate::silence;
use bluebell_base::prelude::*;

/// The part of an answer's use that is lost when it is late. The users value late answers at about
/// a quarter of those on time.
pub const LATE_LOSS: f64 = 0.75;

/// The part of the time allowed from which a pause counts as at risk; chosen, not
/// measured.
const RISK_FROM: f64 = 0.7;

/// The share of a target from which a first event counts as at risk.
const FIRST_RISK_FROM: f64 = 0.5;

/// What a writer loses beyond being late where its engine is silent for so long that it is given up:
/// the rest of its use, and that another engine reads its prompt again.
///
/// Load pattern: in a peak of short work a long prompt finds writers on every engine. As long as any
/// pause beyond the limit cost the same, it was read by few engines for seconds: on a calm day a
/// prompt of 400,000 tokens took six engines for 2.6 s each, and six streams were given up then.
const STALL_LOSS: f64 = 0.75;

/// The share of the silence after which an engine is given up from which a pause counts towards
/// that; chosen, not measured.
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
    if first_event_ms >= demand.silence_left_ms
        || first_event_ms + writing_ms >= demand.deadline_left_ms
    {
        return 1.0;
    }
    let due_ms = demand.target_left_ms.max(1.0);
    let overdue = (first_event_ms - due_ms) / (demand.silence_left_ms - due_ms).max(1.0);
    first_loss(first_event_ms, due_ms) + (1.0 - LATE_LOSS) * overdue.clamp(0.0, 1.0)
}

/// The part of a writer's weight that passes of `pass_ms` put at risk.
pub fn pause_loss(pass_ms: f64, gap_ms: f64) -> f64 {
    LATE_LOSS * risk(pass_ms / gap_ms.max(1.0), RISK_FROM)
}

/// The part of a writer's weight that passes of `pass_ms` put at risk of being given up.
fn stall_loss(pass_ms: f64, gap_ms: f64) -> f64 {
    let silence_ms = silence::between_events(SpanMs(gap_ms as u64));
    STALL_LOSS * risk(pass_ms / silence_ms.0 as f64, STALL_FROM)
}

/// What reading a part costs the writers of an engine; a sound one takes `part_ms` for it.
pub fn hurt(spec: &EngineSpec, load: &Load, part_ms: f64) -> f64 {
    let before_ms = load.pass_ms(spec, load.backlog_ms);
    let after_ms = before_ms + part_ms * load.pace.times();
    let more = |loss: fn(f64, f64) -> f64, t: &Tolerance| {
        t.weight * (loss(after_ms, t.gap_ms) - loss(before_ms, t.gap_ms))
    };
    let on_time = load.tolerances.iter();
    let late: f64 = on_time.clone().map(|t| more(pause_loss, t)).sum();
    let all = on_time.chain(&load.late);
    let given_up: f64 = all.map(|t| more(stall_loss, t)).sum();
    late + given_up
}

/// What parts cost a request whose prompt is being read: they are read before its own. `added_ms` is
/// how long each engine reads for them.
pub fn delay(reader: &Reader, added_ms: impl Fn(ReplicaKey) -> f64) -> f64 {
    let before = reader.ends.iter().map(|(_, end_ms)| *end_ms);
    let ends = reader.ends.iter();
    let after = ends.map(|(key, end_ms)| end_ms + added_ms(*key));
    let before_ms = before.fold(0.0, f64::max);
    let after_ms = after.fold(0.0, f64::max);
    let loss = first_loss(after_ms, reader.due_ms) - first_loss(before_ms, reader.due_ms);
    reader.weight * loss
}

/// The part of a request's weight that a first event after `first_ms` puts at risk.
fn first_loss(first_ms: f64, due_ms: f64) -> f64 {
    LATE_LOSS * risk(first_ms / due_ms.max(1.0), FIRST_RISK_FROM)
}
