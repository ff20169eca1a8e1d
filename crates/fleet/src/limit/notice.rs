//! What nodes tell each other of a replica's limit.

use bluebell_base::prelude::*;

use crate::replicas::ReplicaKey;

/// A replica's limit, or that it has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// Whose.
    pub replica: ReplicaKey,
    /// The requests a second that it takes from all nodes together; none where it names none any more.
    pub rate: Option<PerSecond>,
    /// How long ago the replica said so.
    pub age_ms: SpanMs,
    /// Whether its answers to looks name it as well.
    pub probes_carry_limit: bool,
}

impl LimitNotice {
    /// When the replica said so, by this node's clock.
    pub fn at_ms(&self, now_ms: MonoMs) -> MonoMs {
        now_ms - self.age_ms
    }
}
