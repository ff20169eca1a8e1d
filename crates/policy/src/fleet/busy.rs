//! Estimates how often an engine prefills, and from that how much a late report is worth.
//!
//! Terms: an engine is *busy* while it has prefill work; the *share* is the part of the recent past
//! in which it was busy; an *observation* is a report, the load sent with an answer, or work that
//! this node sent.
//!
//! Invariants: the probability is between 0 and 1; as the latest observation grows old, the
//! probability moves from the observed state to the share, because other nodes send work meanwhile.

use bluebell_base::prelude::*;

/// Weight of one report in the share.
const GAIN: f64 = 0.05;
/// Age in milliseconds at which an observation has the weight 1/e.
const OBSERVATION_DECAY_MS: f64 = 300.0;
/// Minimum prefill backlog of a busy engine, in tokens.
const BUSY_TOKENS: f64 = 512.0;

/// Statistics of how often an engine prefills.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Busy {
    share: f64,
    step_ms: f64,
    observed_ms: MonoMs,
}

impl Busy {
    /// Records a report that describes the engine at `described_ms`.
    pub fn observe(&mut self, backlog_tokens: f64, step_ms: f64, described_ms: MonoMs) {
        let busy = backlog_tokens >= BUSY_TOKENS;
        self.share += GAIN * (f64::from(u8::from(busy)) - self.share);
        if busy && step_ms > 0.0 {
            self.step_ms += GAIN * (step_ms - self.step_ms);
        }
        self.on_observation(described_ms);
    }

    /// Records that the state of the engine at `at_ms` is known.
    pub fn on_observation(&mut self, at_ms: MonoMs) {
        self.observed_ms = self.observed_ms.max(at_ms);
    }

    /// Returns the share of the recent past in which the engine was busy.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the mean duration of a step while the engine is busy, in milliseconds.
    pub fn step_ms(&self) -> f64 {
        self.step_ms
    }

    /// Returns the probability that the engine is busy now. `backlog_tokens` is the backlog that
    /// should be left according to the latest observation.
    pub fn busy_probability(&self, backlog_tokens: f64, now_ms: MonoMs) -> f64 {
        let last_known = f64::from(u8::from(backlog_tokens >= BUSY_TOKENS));
        let age_ms = now_ms.since(self.observed_ms).0 as f64;
        self.share + (last_known - self.share) * (-age_ms / OBSERVATION_DECAY_MS).exp()
    }
}
