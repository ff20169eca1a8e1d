//! Engines that rejected a request because they were full.
//!
//! Invariants: an engine counts as full for [`FULL_MS`] after its last rejection.

use crate::engine::EngineSpec;
use crate::ledger::Load;
use crate::placement::MAX_QUEUED;
use crate::replicas::ReplicaKey;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// The time for which an engine counts as full. Its queue takes about as long to leave a place, and by then
/// gossip of the peers that filled it has arrived.
const FULL_MS: SpanMs = SpanMs(300);

/// The engines that were full a moment ago.
#[derive(Clone, Debug, Default)]
pub struct FullEngines {
    until_ms: FxHashMap<ReplicaKey, MonoMs>,
}

impl FullEngines {
    /// Records that an engine rejected a request because it was full.
    pub fn note(&mut self, key: ReplicaKey, now_ms: MonoMs) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.until_ms.insert(key, now_ms + FULL_MS);
    }

    /// Returns true if an engine counts as full.
    pub fn is_full(&self, key: ReplicaKey, now_ms: MonoMs) -> bool {
        let until_ms = self.until_ms.get(&key);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Returns true if any engine counts as full.
    pub fn is_any_full(&self, now_ms: MonoMs) -> bool {
        self.until_ms.values().any(|until_ms| now_ms < *until_ms)
    }
}

/// Raises a load to that of an engine which takes no further request, neither to write nor to help.
pub(super) fn fill(load: &mut Load, spec: &EngineSpec) {
    load.writers = load.writers.max(spec.slots + MAX_QUEUED);
    load.helping = load.helping.max(spec.slots);
}
