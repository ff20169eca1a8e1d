//! The health of one replica, judged by its answers.
//!
//! Load pattern: a replica that fails at once looks idle, so it attracts more and more work. A silent
//! one holds each request until a timeout.
//!
//! Reason for the limits: a pause that doubles keeps a flapping replica out for longer each time, and a
//! single request on trial limits what its return can cost.
//!
//! Invariants: the pause grows only with failures after a pause; one good answer on trial ends it.

use bluebell_base::prelude::*;

/// The first pause after a failure that shows the replica to be away.
const FIRST_PAUSE_MS: SpanMs = SpanMs(1_000);

/// The longest pause. It bounds how late a replica that came back gets work again.
const LONGEST_PAUSE_MS: SpanMs = SpanMs(8_000);

/// The weight of the newest answer in the moving failure share: about the last eight answers count.
const NEWEST_WEIGHT: f32 = 0.12;

/// The failure share above which a replica is doubted. Healthy replicas of the users' services fail up
/// to one call in seven by themselves.
const DOUBT_FAILURE_SHARE: f32 = 0.32;

/// The meaning of an answer, or of its absence, for the health of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// The replica sent a whole answer, or the first event of a stream.
    Good,
    /// The replica can't be reached, or it reset the connection.
    Unreachable,
    /// The replica is silent for longer than its work can take.
    Silent,
    /// The replica answered with a failure of its own, or broke off an answer.
    Failed,
    /// The replica reported that it is full.
    Full,
    /// The replica returned something that isn't the answer to the request.
    Mismatched,
    /// The replica had too little time for any conclusion.
    Inconclusive,
}

impl Symptom {
    /// Returns the symptom of a replica that has been silent for `waited_ms` and was expected to answer
    /// within `expected_ms`. Some callers leave so little time that no replica could answer. Doubting a
    /// replica for that took healthy ones out of service for seconds.
    pub fn of_silence(waited_ms: SpanMs, expected_ms: SpanMs) -> Self {
        match waited_ms >= expected_ms {
            true => Symptom::Silent,
            false => Symptom::Inconclusive,
        }
    }
}

/// The health of one replica: the share of recent attempts that failed, the pause in which it gets no work,
/// and the requests that it has on trial.
#[derive(Clone, Debug)]
pub struct Health {
    failure_share: f32,
    /// The length of the latest pause; zero if the next failure gets the first pause.
    pause_ms: SpanMs,
    /// The end of the latest pause, set by this node or a peer. `None` before the first pause, and once a
    /// good answer has followed it.
    doubted_until_ms: Option<MonoMs>,
    /// The number of requests on trial that this node has sent and that haven't ended.
    on_trial: u32,
    /// The time of the last mismatched answer.
    mismatched_at_ms: Option<MonoMs>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_share: 0.0,
            pause_ms: SpanMs::ZERO,
            doubted_until_ms: None,
            on_trial: 0,
            mismatched_at_ms: None,
        }
    }
}

impl Health {
    /// Records a symptom. Returns true if the replica became doubted by it.
    pub fn on_symptom(&mut self, symptom: Symptom, now_ms: MonoMs) -> bool {
        match symptom {
            Symptom::Good => {
                self.update_failure_share(0.0);
                if self.is_doubted(now_ms) {
                    return false;
                }
                self.doubted_until_ms = None;
                if self.failure_share < DOUBT_FAILURE_SHARE / 2.0 {
                    self.pause_ms = SpanMs::ZERO;
                }
                false
            }
            Symptom::Unreachable | Symptom::Silent => {
                self.update_failure_share(1.0);
                self.start_pause(now_ms)
            }
            Symptom::Failed => {
                self.update_failure_share(1.0);
                self.failure_share > DOUBT_FAILURE_SHARE && self.start_pause(now_ms)
            }
            Symptom::Mismatched => {
                self.mismatched_at_ms = Some(now_ms);
                false
            }
            Symptom::Full | Symptom::Inconclusive => false,
        }
    }

    fn update_failure_share(&mut self, newest: f32) {
        self.failure_share += (newest - self.failure_share) * NEWEST_WEIGHT;
    }

    fn start_pause(&mut self, now_ms: MonoMs) -> bool {
        if self.is_doubted(now_ms) {
            return false;
        }
        let doubled = SpanMs(self.pause_ms.0 * 2);
        self.pause_ms = doubled.clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
        self.doubted_until_ms = Some(now_ms + self.pause_ms);
        true
    }

    /// Ends the doubt, because the failures were those of this node's own links.
    pub fn clear(&mut self) {
        self.failure_share = 0.0;
        self.pause_ms = SpanMs::ZERO;
        self.doubted_until_ms = None;
    }

    /// Records that a peer doubts the replica until `until_ms`.
    pub fn on_peer_doubt(&mut self, until_ms: MonoMs) {
        let until_ms = self
            .doubted_until_ms
            .map_or(until_ms, |own| own.max(until_ms));
        self.doubted_until_ms = Some(until_ms);
    }

    /// Returns true if the replica gets no work at all.
    pub fn is_doubted(&self, now_ms: MonoMs) -> bool {
        self.doubted_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Returns true if the replica may get a request: it isn't doubted, or its pause is over and no
    /// request is on trial.
    pub fn admits(&self, now_ms: MonoMs) -> bool {
        match self.doubted_until_ms {
            None => true,
            Some(until_ms) => now_ms >= until_ms && self.on_trial == 0,
        }
    }

    /// Records that a request was sent. Returns true if the request is on trial.
    pub fn begin(&mut self) -> bool {
        if self.doubted_until_ms.is_none() {
            return false;
        }
        self.on_trial += 1;
        true
    }

    /// Records the end of a request that was on trial.
    pub fn end_trial(&mut self) {
        self.on_trial = self.on_trial.saturating_sub(1);
    }

    /// Returns true if the replica sent a mismatched answer within the last `span_ms`.
    pub fn mismatched_within(&self, span_ms: SpanMs, now_ms: MonoMs) -> bool {
        self.mismatched_at_ms
            .is_some_and(|at_ms| now_ms.since(at_ms) < span_ms)
    }
}
