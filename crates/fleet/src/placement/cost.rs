//! What a placement costs: the request's own lateness, and that of the writers in its way.
//!
//! Invariants: costs are in units of [`weight`](crate::ledger::weight), never negative, and grow
//! with lateness.

use crate::engine::EngineSpec;
use crate::ledger::Load;

/// The part of an answer's use that is lost when it is late. The users value late answers at about
/// a quarter of those on time.
pub const LATE_LOSS: f64 = 0.75;

/// The part of the time allowed from which a pause counts as at risk: predictions of a pass were
/// off by up to a quarter.
const RISK_FROM: f64 = 0.7;

/// The share of a target from which a first event counts as at risk.
const FIRST_RISK_FROM: f64 = 0.5;

/// The risk, from 0 to 1, that something expected at `share` of its limit comes too late.
fn risk(share: f64, from: f64) -> f64 {
    ((share - from) / (1.0 - from)).clamp(0.0, 1.0)
}

/// What the request itself loses when its first event comes after `first_event_ms`, as a part of
/// its weight.
pub fn lateness(first_event_ms: f64, target_left_ms: f64, deadline_left_ms: f64) -> f64 {
    if first_event_ms >= deadline_left_ms {
        return 1.0;
    }
    LATE_LOSS * risk(first_event_ms / target_left_ms.max(1.0), FIRST_RISK_FROM)
}

/// The part of a writer's weight that passes of `pass_ms` put at risk.
pub fn pause_loss(pass_ms: f64, gap_ms: f64) -> f64 {
    LATE_LOSS * risk(pass_ms / gap_ms.max(1.0), RISK_FROM)
}

/// What reading `part_ms` more costs the writers of an engine.
pub fn hurt(spec: &EngineSpec, load: &Load, part_ms: f64, pace: f64) -> f64 {
    let before_ms = load.pass_ms(spec, load.backlog_ms) * pace;
    let after_ms = load.pass_ms(spec, load.backlog_ms + part_ms) * pace;
    let tolerances = load.tolerances.iter();
    tolerances
        .map(|t| t.weight * (pause_loss(after_ms, t.gap_ms) - pause_loss(before_ms, t.gap_ms)))
        .sum()
}
