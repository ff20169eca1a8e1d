//! The notice by which nodes report a replica's limit to each other.

use bluebell_base::prelude::*;

use crate::replicas::ReplicaKey;

/// A replica's limit, or the end of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// The key of the replica that set the limit.
    pub replica: ReplicaKey,
    /// The requests a second that it accepts from all nodes together, or `None` if it has no limit any
    /// more.
    pub rate: Option<PerSecond>,
    /// The time since the replica reported this.
    pub age_ms: SpanMs,
    /// True if its answers to probes carry the limit too.
    pub probes_carry_limit: bool,
}

impl LimitNotice {
    /// Returns the time of the replica's report, by this node's clock.
    pub fn at_ms(&self, now_ms: MonoMs) -> MonoMs {
        now_ms - self.age_ms
    }
}
