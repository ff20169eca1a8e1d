//! Occupancy of the engines, and the point from which requests compete for them.

use super::Fleet;
use super::price::{BACKLOG_FREE_MS, BUSY_FULL};
use crate::engine::EngineSpec;

/// Share of slots in use from which requests compete for the others. Below it each request finds a
/// free slot within the time for which other nodes' placements stay unknown.
const CONTENDED_SLOTS: f64 = 0.9;

/// Occupancy of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Occupancy {
    /// The share of the slots that are in use.
    pub slots_taken: f64,
    /// The mean time that an engine still needs for reading.
    pub backlog_ms: f64,
    /// The share of the engines' time that was recently requested for reading.
    pub reading: f64,
}

impl Occupancy {
    /// Returns the occupancy of a fleet.
    pub fn of(spec: &EngineSpec, fleet: &Fleet) -> Self {
        let candidates = &fleet.candidates;
        let count = candidates.len().max(1) as f64;
        let configured_engines: f64 = candidates
            .iter()
            .map(|c| 1.0 / c.load.pace.slowdown())
            .sum();
        let backlog_ms: f64 = candidates.iter().map(|c| c.load.backlog_ms).sum();
        let writers: u32 = candidates.iter().map(|c| c.load.writers).sum();
        Self {
            slots_taken: f64::from(writers) / (count * f64::from(spec.slots.max(1))),
            backlog_ms: backlog_ms / count,
            reading: fleet.recent_reading.reading_engines() / configured_engines.max(1.0),
        }
    }
}

/// Returns true if requests compete for the engines: for their slots, or for their reading, when the
/// engines have a backlog or prompts ask for nearly all their time.
pub fn is_contended(spec: &EngineSpec, fleet: &Fleet) -> bool {
    let occupancy = Occupancy::of(spec, fleet);
    occupancy.slots_taken >= CONTENDED_SLOTS
        || occupancy.backlog_ms > BACKLOG_FREE_MS
        || occupancy.reading >= BUSY_FULL
}
