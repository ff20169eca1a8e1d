//! Replicas that turned a request of this node away and said for how long they want none.
//!
//! Terms: a *rest* is that time; a *trial* is a request sent once it is over.
//!
//! Load pattern: a replica that turns requests away has nothing in hand, so it looks idle and draws
//! more of them the more it turns away.
//!
//! Reason for the limits: each node was asked for itself, and heeds it for itself. After a rest the
//! replica gets one request at a time until it serves one, since all that waited would else arrive
//! at the same moment.
//!
//! Invariants: within a rest nothing is sent; a rest belongs to one run of a replica.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::limit::Admission;
use crate::replicas::ReplicaKey;

/// The longest rest that is granted: a replica that names more is tried again after that.
const LONGEST_MS: SpanMs = SpanMs(600_000);

/// The rest of a replica that asks for one and doesn't say readably for how long.
const UNREADABLE_MS: SpanMs = SpanMs(1_000);

/// The time between two trials.
const TRIAL_EVERY_MS: SpanMs = SpanMs(250);

/// How long after its rest a replica is on trial that serves nothing because nothing is sent.
const TRIAL_MS: SpanMs = SpanMs(5_000);

/// What an answer of a replica says of the time for which it wants no requests from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterSignal {
    /// Nothing.
    Absent,
    /// It wants none for so long.
    For(SpanMs),
    /// It names something that is no time.
    Unreadable,
}

impl RetryAfterSignal {
    /// Reads a number of seconds, fractions included.
    pub fn read(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                let longest_s = LONGEST_MS.0 as f64 / 1_000.0;
                Self::For(SpanMs((seconds.min(longest_s) * 1_000.0) as u64))
            }
            _ => Self::Unreadable,
        }
    }

    /// The rest to grant; none where there is none.
    fn span_ms(self) -> Option<SpanMs> {
        match self {
            Self::Absent | Self::For(SpanMs::ZERO) => None,
            Self::For(rest_ms) => Some(rest_ms),
            Self::Unreadable => Some(UNREADABLE_MS),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    until_ms: MonoMs,
    next_trial_ms: MonoMs,
}

/// The replicas that rest, or are on trial after a rest.
#[derive(Debug, Default)]
pub struct ReplicaBackoffs(FxHashMap<ReplicaKey, Rest>);

impl ReplicaBackoffs {
    /// A replica turned a request away. Returns its rest where that is new.
    pub fn on_rejected(
        &mut self,
        key: ReplicaKey,
        signal: RetryAfterSignal,
        now_ms: MonoMs,
    ) -> Option<SpanMs> {
        let rest_ms = signal.span_ms()?;
        let until_ms = now_ms + rest_ms;
        let known = self.0.get(&key).map(|rest| rest.until_ms);
        let until_ms = known.map_or(until_ms, |known| known.max(until_ms));
        let rest = Rest {
            until_ms,
            next_trial_ms: until_ms,
        };
        self.0.insert(key, rest);
        let rested = known.is_none_or(|known| known <= now_ms);
        rested.then_some(rest_ms)
    }

    /// A replica took a request. Answers to what was sent before its rest end nothing.
    pub fn on_served(&mut self, key: ReplicaKey, now_ms: MonoMs) {
        if self.0.get(&key).is_some_and(|rest| rest.until_ms <= now_ms) {
            self.0.remove(&key);
        }
    }

    /// Something is sent to a replica.
    pub fn on_sent(&mut self, key: ReplicaKey, now_ms: MonoMs) {
        if let Some(rest) = self.0.get_mut(&key) {
            rest.next_trial_ms = rest.next_trial_ms.max(now_ms + TRIAL_EVERY_MS);
        }
    }

    /// Whether a request may be sent to a replica.
    pub fn admission(&self, key: ReplicaKey, now_ms: MonoMs) -> Admission {
        match self.0.get(&key) {
            Some(rest) if rest.next_trial_ms > now_ms => {
                Admission::After(rest.next_trial_ms.since(now_ms))
            }
            _ => Admission::Now,
        }
    }

    /// Whether nothing is to be sent to a replica.
    pub fn is_backing_off(&self, key: ReplicaKey, now_ms: MonoMs) -> bool {
        self.0.get(&key).is_some_and(|rest| rest.until_ms > now_ms)
    }

    /// Whether no replica rests or is on trial.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Ends trials in which nothing was sent.
    pub fn expire(&mut self, now_ms: MonoMs) {
        self.0.retain(|_, rest| now_ms < rest.until_ms + TRIAL_MS);
    }
}
