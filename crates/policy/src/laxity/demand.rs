//! What was seen of the demand: how fast this node's queue is worked off, and how long answers
//! are.
//!
//! Invariants: the drain rate counts only time in which work was waiting, as an empty queue says
//! nothing of how fast it could be worked off.

use bluebell_base::prelude::*;

/// After this long of waiting, what was seen counts for 1/e.
const DECAY_MS: f64 = 20_000.0;
/// Waiting time that must have been seen before the rate is believed.
const BELIEVED_AFTER_MS: f64 = 2_000.0;
/// The weight of a new wait in the pressure.
const PRESSURE_GAIN: f64 = 0.05;
/// A longer wait counts as this share of the laxity.
const MOST_PRESSURE: f64 = 2.0;
/// The weight of a new answer in the mean length.
const GAIN: f64 = 0.05;

/// What was seen of the demand.
#[derive(Debug, Default)]
pub struct Demand {
    sent_tokens: f64,
    waiting_ms: f64,
    waits: bool,
    looked_ms: MonoMs,
    answers: Vec<f64>,
    pressure: f64,
}

impl Demand {
    /// Notes whether work waits from now on.
    pub fn observe_queue(&mut self, waits: bool, now_ms: MonoMs) {
        let span_ms = now_ms.since(self.looked_ms).0 as f64;
        if self.waits {
            let decay = (-span_ms / DECAY_MS).exp();
            self.sent_tokens *= decay;
            self.waiting_ms = self.waiting_ms * decay + span_ms;
        }
        self.waits = waits;
        self.looked_ms = now_ms;
    }

    /// When the queue was last looked at.
    pub fn looked_ms(&self) -> MonoMs {
        self.looked_ms
    }

    /// Notes deferrable work that was sent.
    pub fn sent(&mut self, tokens: f64) {
        if self.waits {
            self.sent_tokens += tokens;
        }
    }

    /// How fast the queue was worked off while there was one, in tokens a second.
    pub fn drain_per_s(&self) -> Option<f64> {
        let believed = self.waiting_ms >= BELIEVED_AFTER_MS;
        believed.then(|| (self.sent_tokens * 1_000.0 / self.waiting_ms).max(1.0))
    }

    /// Notes that a job waited for this share of its laxity before its prefill began.
    pub fn waited(&mut self, share: f64) {
        self.pressure += PRESSURE_GAIN * (share.clamp(0.0, MOST_PRESSURE) - self.pressure);
    }

    /// The mean share of their laxity that jobs waited lately: what is left of the targets.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Notes an answer's length.
    pub fn answered(&mut self, class: ClassId, tokens: Tokens) {
        if self.answers.len() <= class.index() {
            self.answers.resize(class.index() + 1, 0.0);
        }
        let mean = &mut self.answers[class.index()];
        *mean += GAIN * (tokens.0 as f64 - *mean);
    }

    /// The mean length of a class's answers, zero while none was seen.
    pub fn answer_tokens(&self, class: ClassId) -> f64 {
        self.answers.get(class.index()).copied().unwrap_or(0.0)
    }

    /// Forgets what belongs to class ids, which are valid for one configuration only.
    pub fn forget_classes(&mut self) {
        self.answers.clear();
    }
}
