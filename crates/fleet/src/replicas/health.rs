//! The trust in one replica, from its answers.
//!
//! Load pattern: a replica that fails at once looks idle, so it attracts more and more work; one
//! that is silent holds each request until a timeout.
//!
//! Reason for the limits: a pause that doubles keeps a flapping replica out for longer each time,
//! and one request on trial bounds what its return can cost.
//!
//! Invariants: the pause grows only with failures after a pause; one good answer on trial ends it.

use bluebell_base::prelude::*;

/// The first pause after a failure that says the replica is away.
const FIRST_PAUSE_MS: SpanMs = SpanMs(1_000);

/// The longest pause, which bounds how late a replica that came back gets work again.
const LONGEST_PAUSE_MS: SpanMs = SpanMs(8_000);

/// The weight of the newest answer in the failure share: about the last eight answers count.
const NEWEST_WEIGHT: f32 = 0.12;

/// The failure share above which a replica is doubted. Sound replicas of the users' services fail
/// up to one call in seven by themselves.
const DOUBTED_SHARE: f32 = 0.32;

/// What an answer, or its absence, says about a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// A whole answer, or the first event of a stream.
    Good,
    /// It can't be reached, or reset the connection.
    Unreachable,
    /// It is silent for longer than its work can take.
    Silent,
    /// It answered with a failure of its own, or broke an answer off.
    Failed,
    /// It said that it is full.
    Full,
    /// Its answer wasn't the answer to the request.
    Mismatched,
    /// It had no time to show anything.
    Inconclusive,
}

impl Symptom {
    /// What a silence of `waited_ms` says of a replica that was expected to answer after
    /// `expected_ms`. Some callers leave so little time that no replica could answer: doubting it
    /// for that took sound ones out for seconds.
    pub fn of_silence(waited_ms: SpanMs, expected_ms: SpanMs) -> Self {
        match waited_ms >= expected_ms {
            true => Symptom::Silent,
            false => Symptom::Inconclusive,
        }
    }
}

/// The trust in one replica.
#[derive(Clone, Debug)]
pub struct Health {
    failure_share: f32,
    pause_ms: SpanMs,
    doubted_until_ms: Option<MonoMs>,
    on_trial: u32,
    garbled_at_ms: Option<MonoMs>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_share: 0.0,
            pause_ms: SpanMs::ZERO,
            doubted_until_ms: None,
            on_trial: 0,
            garbled_at_ms: None,
        }
    }
}

impl Health {
    /// Takes a symptom in; returns whether the replica became doubted by it.
    pub fn on_symptom(&mut self, symptom: Symptom, now_ms: MonoMs) -> bool {
        match symptom {
            Symptom::Good => {
                self.fade(0.0);
                if self.is_doubted(now_ms) {
                    return false;
                }
                self.doubted_until_ms = None;
                if self.failure_share < DOUBTED_SHARE / 2.0 {
                    self.pause_ms = SpanMs::ZERO;
                }
                false
            }
            Symptom::Unreachable | Symptom::Silent => {
                self.fade(1.0);
                self.doubt(now_ms)
            }
            Symptom::Failed => {
                self.fade(1.0);
                self.failure_share > DOUBTED_SHARE && self.doubt(now_ms)
            }
            Symptom::Mismatched => {
                self.garbled_at_ms = Some(now_ms);
                false
            }
            Symptom::Full | Symptom::Inconclusive => false,
        }
    }

    fn fade(&mut self, newest: f32) {
        self.failure_share += (newest - self.failure_share) * NEWEST_WEIGHT;
    }

    fn doubt(&mut self, now_ms: MonoMs) -> bool {
        if self.is_doubted(now_ms) {
            return false;
        }
        let doubled = SpanMs(self.pause_ms.0 * 2);
        self.pause_ms = doubled.clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
        self.doubted_until_ms = Some(now_ms + self.pause_ms);
        true
    }

    /// A peer doubts the replica until then.
    pub fn on_peer_doubt(&mut self, until_ms: MonoMs) {
        let until_ms = self
            .doubted_until_ms
            .map_or(until_ms, |own| own.max(until_ms));
        self.doubted_until_ms = Some(until_ms);
    }

    /// Whether it gets no work at all.
    pub fn is_doubted(&self, now_ms: MonoMs) -> bool {
        self.doubted_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Whether it may get a request: it is trusted, or nothing is on trial.
    pub fn admits(&self, now_ms: MonoMs) -> bool {
        match self.doubted_until_ms {
            None => true,
            Some(until_ms) => now_ms >= until_ms && self.on_trial == 0,
        }
    }

    /// A request was sent; returns whether it is on trial.
    pub fn begin(&mut self) -> bool {
        if self.doubted_until_ms.is_none() {
            return false;
        }
        self.on_trial += 1;
        true
    }

    /// A request that was on trial has ended.
    pub fn end_trial(&mut self) {
        self.on_trial = self.on_trial.saturating_sub(1);
    }

    /// Whether it mixed up answers within the last `span_ms`.
    pub fn mismatched_within(&self, span_ms: SpanMs, now_ms: MonoMs) -> bool {
        self.garbled_at_ms
            .is_some_and(|at_ms| now_ms.since(at_ms) < span_ms)
    }
}
