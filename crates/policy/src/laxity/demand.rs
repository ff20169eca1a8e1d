//! Statistics of the demand: the rate at which this node's queue drains, and the length of answers.
//!
//! Invariants: the drain rate counts only time in which work was waiting, because an empty queue
//! does not show how fast it could drain.

use bluebell_base::prelude::*;

/// Waiting time in milliseconds after which an observation has the weight 1/e.
const DECAY_MS: f64 = 20_000.0;
/// Waiting time in milliseconds that must be observed before the drain rate is used.
const MIN_WAITING_MS: f64 = 2_000.0;
/// Weight of a new wait in the pressure.
const PRESSURE_GAIN: f64 = 0.05;
/// Upper bound of a wait in the pressure, as a multiple of the laxity.
const MAX_PRESSURE: f64 = 2.0;
/// Weight of a new answer in the mean answer length.
const ANSWER_GAIN: f64 = 0.05;

/// Statistics of the demand at this node.
#[derive(Debug, Default)]
pub struct Demand {
    sent_tokens: f64,
    waiting_ms: f64,
    has_waiting: bool,
    observed_ms: MonoMs,
    answers: Vec<f64>,
    pressure: f64,
}

impl Demand {
    /// Records whether work is waiting in the queue from now on.
    pub fn observe_queue(&mut self, has_waiting: bool, now_ms: MonoMs) {
        let span_ms = now_ms.since(self.observed_ms).0 as f64;
        if self.has_waiting {
            let decay = (-span_ms / DECAY_MS).exp();
            self.sent_tokens *= decay;
            self.waiting_ms = self.waiting_ms * decay + span_ms;
        }
        self.has_waiting = has_waiting;
        self.observed_ms = now_ms;
    }

    /// Returns the time of the last call of [`Demand::observe_queue`].
    pub fn observed_ms(&self) -> MonoMs {
        self.observed_ms
    }

    /// Records deferrable work that was sent.
    pub fn on_sent(&mut self, tokens: f64) {
        if self.has_waiting {
            self.sent_tokens += tokens;
        }
    }

    /// Returns the rate at which the queue drained while work was waiting, in tokens per second, or
    /// `None` if too little waiting was observed.
    pub fn drain_per_s(&self) -> Option<f64> {
        let is_known = self.waiting_ms >= MIN_WAITING_MS;
        is_known.then(|| (self.sent_tokens * 1_000.0 / self.waiting_ms).max(1.0))
    }

    /// Records the wait of a job before its prefill began, as a share of its laxity.
    pub fn record_wait(&mut self, share: f64) {
        self.pressure += PRESSURE_GAIN * (share.clamp(0.0, MAX_PRESSURE) - self.pressure);
    }

    /// Returns the mean share of their laxity that jobs waited recently. It shows how much of the
    /// targets' slack is used up.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Records the length of an answer.
    pub fn record_answer(&mut self, class: ClassId, tokens: Tokens) {
        if self.answers.len() <= class.index() {
            self.answers.resize(class.index() + 1, 0.0);
        }
        let mean = &mut self.answers[class.index()];
        *mean += ANSWER_GAIN * (tokens.0 as f64 - *mean);
    }

    /// Returns the mean length of a class's answers, or zero if none was recorded.
    pub fn answer_tokens(&self, class: ClassId) -> f64 {
        self.answers.get(class.index()).copied().unwrap_or(0.0)
    }

    /// Clears the statistics kept by class id. Class ids are valid for one configuration only.
    pub fn forget_classes(&mut self) {
        self.answers.clear();
    }
}
