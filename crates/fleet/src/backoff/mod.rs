//! Replicas that rejected a request of this node and asked for a pause.
//!
//! Terms: a *back-off* is the time for which a replica wants no requests from this node; a *trial* is a
//! request that is sent once it is over.
//!
//! Load pattern: a replica that rejects requests has nothing in flight, so it looks idle and attracts
//! more of them the more it rejects.
//!
//! Reason for the limits: each node is asked separately, and complies separately. After a back-off the
//! replica gets one request at a time until it accepts one, since all requests that waited would
//! otherwise arrive at the same time.
//!
//! Invariants: during a back-off nothing is sent; a back-off belongs to one run of a replica.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::limit::Admission;
use crate::replicas::ReplicaKey;

/// The longest back-off. A replica that asks for more is tried again after this time.
const MAX_BACKOFF_MS: SpanMs = SpanMs(600_000);

/// The back-off for a replica that asks for one without a readable time.
const UNREADABLE_BACKOFF_MS: SpanMs = SpanMs(1_000);

/// The interval between two trials.
const TRIAL_INTERVAL_MS: SpanMs = SpanMs(250);

/// The time after its back-off for which a replica stays on trial if nothing is sent to it.
const TRIAL_EXPIRY_MS: SpanMs = SpanMs(5_000);

/// The content of an answer's request for a pause: the time for which this node is to send the replica no
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterSignal {
    /// The answer names no time.
    Absent,
    /// The replica wants no requests for this time.
    For(SpanMs),
    /// The answer names something that is not a time.
    Unreadable,
}

impl RetryAfterSignal {
    /// Parses a number of seconds, which may have a fraction.
    pub fn read(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                let max_s = MAX_BACKOFF_MS.0 as f64 / 1_000.0;
                Self::For(SpanMs((seconds.min(max_s) * 1_000.0) as u64))
            }
            _ => Self::Unreadable,
        }
    }

    /// Returns the back-off to apply, or `None` if there is none.
    fn span_ms(self) -> Option<SpanMs> {
        match self {
            Self::Absent | Self::For(SpanMs::ZERO) => None,
            Self::For(backoff_ms) => Some(backoff_ms),
            Self::Unreadable => Some(UNREADABLE_BACKOFF_MS),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// The end of the back-off, after which trials begin.
    until_ms: MonoMs,
    /// The time from which the next trial may be sent.
    next_trial_ms: MonoMs,
}

/// The replicas that are backing off, or on trial after a back-off.
#[derive(Debug, Default)]
pub struct ReplicaBackoffs(FxHashMap<ReplicaKey, Backoff>);

impl ReplicaBackoffs {
    /// Records that a replica rejected a request. Returns the back-off if the replica wasn't backing off
    /// already.
    pub fn on_rejected(
        &mut self,
        key: ReplicaKey,
        signal: RetryAfterSignal,
        now_ms: MonoMs,
    ) -> Option<SpanMs> {
        let backoff_ms = signal.span_ms()?;
        let until_ms = now_ms + backoff_ms;
        let known = self.0.get(&key).map(|backoff| backoff.until_ms);
        let until_ms = known.map_or(until_ms, |known| known.max(until_ms));
        let backoff = Backoff {
            until_ms,
            next_trial_ms: until_ms,
        };
        self.0.insert(key, backoff);
        let is_new = known.is_none_or(|known| known <= now_ms);
        is_new.then_some(backoff_ms)
    }

    /// Records that a replica accepted a request. An answer to a request sent before the back-off began
    /// doesn't end it.
    pub fn on_served(&mut self, key: ReplicaKey, now_ms: MonoMs) {
        if self
            .0
            .get(&key)
            .is_some_and(|backoff| backoff.until_ms <= now_ms)
        {
            self.0.remove(&key);
        }
    }

    /// Records that something is sent to a replica.
    pub fn on_sent(&mut self, key: ReplicaKey, now_ms: MonoMs) {
        if let Some(backoff) = self.0.get_mut(&key) {
            backoff.next_trial_ms = backoff.next_trial_ms.max(now_ms + TRIAL_INTERVAL_MS);
        }
    }

    /// Returns the permission to send a request to a replica.
    pub fn admission(&self, key: ReplicaKey, now_ms: MonoMs) -> Admission {
        match self.0.get(&key) {
            Some(backoff) if backoff.next_trial_ms > now_ms => {
                Admission::After(backoff.next_trial_ms.since(now_ms))
            }
            _ => Admission::Now,
        }
    }

    /// Returns true if nothing may be sent to a replica.
    pub fn is_backing_off(&self, key: ReplicaKey, now_ms: MonoMs) -> bool {
        self.0
            .get(&key)
            .is_some_and(|backoff| backoff.until_ms > now_ms)
    }

    /// Returns true if no replica is backing off or on trial.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Ends trials in which nothing was sent.
    pub fn expire(&mut self, now_ms: MonoMs) {
        self.0
            .retain(|_, backoff| now_ms < backoff.until_ms + TRIAL_EXPIRY_MS);
    }
}
