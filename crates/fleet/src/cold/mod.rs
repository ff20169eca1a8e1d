//! Replicas that are cold: slow, and able to bear only a low rate of requests, for some time after a start.
//!
//! Load pattern: a whole failure domain of replicas returns at once. They look idle, so all nodes prefer
//! them, and a replica that gets more than it bears crashes.
//!
//! Reason for the limits: the longest time that is known counts, on this node's own clock. A rate of
//! requests from all nodes together is kept by shares, like the limit that a replica sets itself. Each node
//! that holds a share may send one saved request at any moment, so only a part of the rate is shared out.
//!
//! Invariants: a report never shortens the time for which a replica counts as cold.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::replicas::ReplicaKey;

/// The longest time for which a report makes a replica count as cold. Replicas report seconds.
const MAX_COLD_MS: SpanMs = SpanMs(120_000);

/// The part of the rate that is shared out among the nodes.
const SHARED_PART: f64 = 0.5;

/// Returns the rate that the nodes share for a cold replica that bears `rate`.
pub fn shared_rate(rate: PerSecond) -> PerSecond {
    PerSecond(rate.0 * SHARED_PART)
}

/// The cold replicas that this node knows of.
#[derive(Debug, Default)]
pub struct ColdReplicas(FxHashMap<ReplicaKey, MonoMs>);

impl ColdReplicas {
    /// Records that a replica stays cold for `left_ms`.
    pub fn on_report(&mut self, key: ReplicaKey, left_ms: SpanMs, now_ms: MonoMs) {
        if left_ms == SpanMs::ZERO {
            return;
        }
        let until_ms = now_ms + left_ms.min(MAX_COLD_MS);
        let known_ms = self.0.entry(key).or_insert(until_ms);
        *known_ms = until_ms.max(*known_ms);
    }

    /// Returns the time for which a replica stays cold; 0 if it isn't.
    pub fn left_ms(&self, key: ReplicaKey, now_ms: MonoMs) -> SpanMs {
        let until_ms = self.0.get(&key);
        until_ms.map_or(SpanMs::ZERO, |until_ms| until_ms.since(now_ms))
    }

    /// Returns the replicas that are cold.
    pub fn keys(&self, now_ms: MonoMs) -> impl Iterator<Item = ReplicaKey> {
        let cold = self
            .0
            .iter()
            .filter(move |(_, until_ms)| now_ms < **until_ms);
        cold.map(|(key, _)| *key)
    }

    /// Returns true if no replica is or was cold lately.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Forgets the replicas that are no longer cold.
    pub fn expire(&mut self, now_ms: MonoMs) {
        self.0.retain(|_, until_ms| now_ms < *until_ms);
    }
}
