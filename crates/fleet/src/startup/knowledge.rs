//! The end of the warm-up: when a node knows enough of the others' work.

use bluebell_base::prelude::*;

/// The longest warm-up. A peer that is silent for so long is taken for dead as well.
pub const MAX_WARM_UP_MS: SpanMs = SpanMs(2_500);

/// The share of the known peers whose digests make knowledge complete. The others may have stopped since
/// they were heard by those that told of them.
const DIGEST_SHARE: f64 = 0.9;

/// What a node knows of its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerKnowledge {
    /// The number of peers that are known and haven't fallen silent.
    pub known: usize,
    /// The number of those of which a whole digest was received.
    pub with_digest: usize,
}

/// The reason for the end of a warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpEnd {
    /// The node has the digests of its peers.
    Complete,
    /// The longest warm-up has passed.
    Timeout,
}

impl WarmUpEnd {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Timeout => "timeout",
        }
    }
}

impl PeerKnowledge {
    /// Returns the end of a warm-up that has taken `took_ms`, at a node that has known of peers for
    /// `known_for_ms`. Peers that start together are told of each other within one digest interval.
    pub(super) fn warm_up_end(
        self,
        known_for_ms: Option<SpanMs>,
        digest_interval_ms: SpanMs,
        took_ms: SpanMs,
    ) -> Option<WarmUpEnd> {
        let is_met = known_for_ms.is_some_and(|known_ms| known_ms >= digest_interval_ms);
        let has_digests = self.with_digest as f64 >= self.known as f64 * DIGEST_SHARE;
        match () {
            () if self.known > 0 && is_met && has_digests => Some(WarmUpEnd::Complete),
            () if took_ms >= MAX_WARM_UP_MS => Some(WarmUpEnd::Timeout),
            () => None,
        }
    }
}
