//! Speed of engines relative to their configured figures, and the choice of the node that probes
//! each engine.
//!
//! Load pattern: for some seconds a part of the engines takes several times as long for everything,
//! but still answers. Given as much work as the others, they held long prompts until these were
//! given up because of the silence, and short ones past their target.
//!
//! Reason for the limits: an engine reports its own slowdown, so one probe shows more than many
//! late answers. Each engine is probed by one node, which notifies the others. A report that isn't
//! repeated soon expires, since the engine may have recovered.
//!
//! Invariants: an engine without a report is assumed to run at its configured speed.

use bluebell_base::prelude::*;
use rustc_hash::{FxHashMap, FxHasher};
use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use crate::ledger::OwnerId;
use crate::replicas::ReplicaKey;

/// Time between two probes of an engine. With one probe per second, 69 engines cost about a
/// thousandth of what their answers are worth.
pub const PROBE_INTERVAL_MS: SpanMs = SpanMs(1_000);

/// Time after which a report about an engine expires: two lost probes don't end it.
const REPORT_VALID_MS: SpanMs = SpanMs(3_500);

/// Highest slowdown that is recorded: nothing is planned for slower engines in any case.
const MAX_SLOWDOWN: f64 = 50.0;

/// Slowdown up to which an engine counts as running at its configured speed.
const TOLERATED_SLOWDOWN: f64 = 1.05;

/// Pace of an engine: how many times its configured time it takes for its work.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// The configured speed.
    pub const CONFIGURED: Self = Self(1.0);

    /// Returns the pace of an engine that takes `slowdown` times its configured time. No engine is
    /// assumed faster than configured.
    pub fn new(slowdown: f64) -> Self {
        match slowdown > TOLERATED_SLOWDOWN {
            true => Self(slowdown.min(MAX_SLOWDOWN)),
            false => Self::CONFIGURED,
        }
    }

    /// Returns how many times its configured time the engine takes.
    pub fn slowdown(self) -> f64 {
        self.0
    }

    /// Returns true if the engine is slower than configured.
    pub fn is_slow(self) -> bool {
        self > Self::CONFIGURED
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::CONFIGURED
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

/// Error for a text that is no pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a pace is an x and a number")]
pub struct ParsePaceError;

/// The known paces of the engines.
#[derive(Debug, Default)]
pub struct Paces {
    slow: FxHashMap<ReplicaKey, (Pace, MonoMs)>,
}

impl Paces {
    /// Records an engine's pace. Returns true if it differs from the known one.
    pub fn note(&mut self, key: ReplicaKey, pace: Pace, now_ms: MonoMs) -> bool {
        let before = self.of(key, now_ms);
        match pace.is_slow() {
            true => self.slow.insert(key, (pace, now_ms)),
            false => self.slow.remove(&key),
        };
        before != pace
    }

    /// Returns an engine's pace.
    pub fn of(&self, key: ReplicaKey, now_ms: MonoMs) -> Pace {
        let known = self.slow.get(&key);
        let known = known.filter(|(_, seen_ms)| now_ms.since(*seen_ms) < REPORT_VALID_MS);
        known.map_or(Pace::CONFIGURED, |(pace, _)| *pace)
    }

    /// Returns the engines that are known to be slow.
    pub fn slow(&self, now_ms: MonoMs) -> impl Iterator<Item = ReplicaKey> {
        let known = self.slow.iter();
        let valid = known.filter(move |(_, (_, seen_ms))| now_ms.since(*seen_ms) < REPORT_VALID_MS);
        valid.map(|(key, _)| *key)
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now_ms: MonoMs) {
        self.slow
            .retain(|_, (_, seen_ms)| now_ms.since(*seen_ms) < REPORT_VALID_MS);
    }
}

/// The engines that one node probes: those whose hashes lie between the hash of the node before it and
/// its own (consistent hashing).
///
/// The range is found once for all engines, so that its cost grows with the nodes plus the engines. Ranking
/// all nodes for each engine grows with their product.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRange {
    own: u64,
    /// The hash of the node before this one, or `None` for a single node, which probes all engines.
    before: Option<u64>,
}

impl ProbeRange {
    /// Returns the range of `own` among its live `peers`.
    pub fn of(own: OwnerId, peers: &[OwnerId]) -> Self {
        let own = hash(own.0);
        let distance = |peer: u64| own.wrapping_sub(peer);
        let others = peers.iter().map(|peer| hash(peer.0));
        let before = others.min_by_key(|peer| distance(*peer));
        Self { own, before }
    }

    /// Returns true if the node probes this engine.
    pub fn contains(&self, engine: ReplicaKey) -> bool {
        let engine = hash(u64::from(engine.0));
        let distance = |from: u64| self.own.wrapping_sub(from);
        self.before
            .is_none_or(|before| distance(engine) < distance(before))
    }
}

fn hash(number: u64) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(number);
    hasher.finish()
}
