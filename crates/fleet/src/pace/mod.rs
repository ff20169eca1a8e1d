//! How fast engines are against their configured figures, and who probes them.
//!
//! Load pattern: for some seconds a part of the engines takes several times as long for everything,
//! and answers all the same. Given work as sound ones, they held long prompts until these were given
//! up as silent, and short ones past their target.
//!
//! Reason for the limits: an engine says of itself how slow it is, so one probe shows more than many
//! late answers. Each engine is probed by one node, which notifies the others; a report that isn't
//! repeated soon no longer counts, since the engine may have recovered.
//!
//! Invariants: an engine of which nothing is known is taken to be as configured.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::fmt;
use std::str::FromStr;

use crate::ledger::OwnerId;
use crate::rendezvous;
use crate::replicas::ReplicaKey;

/// How often an engine is probed.
pub const PROBE_INTERVAL_MS: SpanMs = SpanMs(1_000);

/// How long a report about an engine counts: two lost probes don't end it.
const BELIEVED_MS: SpanMs = SpanMs(3_500);

/// The largest pace that is believed: nothing is planned for slower engines in any case.
const SLOWEST: f64 = 50.0;

/// The pace up to which an engine counts as being as fast as configured.
const SOUND: f64 = 1.05;

/// How many times its configured figures an engine takes for its work.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// As configured.
    pub const SOUND: Self = Self(1.0);

    /// The pace of an engine that takes `slowdown` as long as configured; an engine is never taken to
    /// be faster than that.
    pub fn new(slowdown: f64) -> Self {
        match slowdown > SOUND {
            true => Self(slowdown.min(SLOWEST)),
            false => Self::SOUND,
        }
    }

    /// How many times as long work takes.
    pub fn slowdown(self) -> f64 {
        self.0
    }

    /// Whether the engine is slower than configured.
    pub fn is_slow(self) -> bool {
        self > Self::SOUND
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::SOUND
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "x{:.2}", self.0)
    }
}

impl FromStr for Pace {
    type Err = ParsePaceError;

    fn from_str(text: &str) -> Result<Self, ParsePaceError> {
        let slowdown = text.strip_prefix('x').and_then(|t| t.parse::<f64>().ok());
        let slowdown = slowdown.filter(|slowdown| slowdown.is_finite());
        slowdown.map(Self::new).ok_or(ParsePaceError)
    }
}

/// A text that is no pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a pace is an x and a number")]
pub struct ParsePaceError;

/// What is known of the engines' paces.
#[derive(Debug, Default)]
pub struct Paces {
    slow: FxHashMap<ReplicaKey, (Pace, MonoMs)>,
}

impl Paces {
    /// An engine's pace was seen; returns whether that is new.
    pub fn note(&mut self, key: ReplicaKey, pace: Pace, now_ms: MonoMs) -> bool {
        let before = self.of(key, now_ms);
        match pace.is_slow() {
            true => self.slow.insert(key, (pace, now_ms)),
            false => self.slow.remove(&key),
        };
        before != pace
    }

    /// An engine's pace.
    pub fn of(&self, key: ReplicaKey, now_ms: MonoMs) -> Pace {
        let known = self.slow.get(&key);
        let known = known.filter(|(_, seen_ms)| now_ms.since(*seen_ms) < BELIEVED_MS);
        known.map_or(Pace::SOUND, |(pace, _)| *pace)
    }

    /// The engines that are known to be slow.
    pub fn slow(&self, now_ms: MonoMs) -> impl Iterator<Item = ReplicaKey> {
        let known = self.slow.iter();
        let counts = known.filter(move |(_, (_, seen_ms))| now_ms.since(*seen_ms) < BELIEVED_MS);
        counts.map(|(key, _)| *key)
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now_ms: MonoMs) {
        self.slow
            .retain(|_, (_, seen_ms)| now_ms.since(*seen_ms) < BELIEVED_MS);
    }
}

/// Whether `own` is the one of the nodes that probes an engine.
pub fn is_prober(own: OwnerId, peers: &[OwnerId], engine: ReplicaKey) -> bool {
    rendezvous::rank(own, peers, engine) == 0
}
