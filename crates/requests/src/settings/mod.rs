//! The bounds that the requests keep to, with their defaults.

use bluebell_base::prelude::*;

/// The bounds of one node's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestsSettings {
    /// How long a request whose caller hung up is kept, so that the caller can read on.
    ///
    /// Half of it must be longer than a few exchanges with an engine, so that another node that
    /// reads the answer on has taken the stream back before this node's cancel.
    pub hang_up_grace_ms: SpanMs,
    /// Silence on a stream after which the engine is asked what it knows.
    pub stall_ms: SpanMs,
    /// The longest pause between two such questions while the engine says it is at work.
    pub stall_max_ms: SpanMs,
    /// How long an answer to a lookup, claim, cancel or reservation is awaited.
    pub answer_wait_ms: SpanMs,
    /// How long the answer to a recall's cancel is awaited before the work goes elsewhere.
    pub recall_wait_ms: SpanMs,
    /// How long a claim's answer is awaited.
    pub claim_wait_ms: SpanMs,
    /// The pause before the first try to resume a broken stream; it doubles with each.
    pub backoff_ms: SpanMs,
    /// The longest such pause.
    pub backoff_max_ms: SpanMs,
    /// Tries to resume on the same engine before repeatable work goes elsewhere.
    pub resume_tries: u32,
    /// Tries to resume or look up before work that may not be repeated is given up.
    pub lookup_tries: u32,
    /// Attempts a request may have in all.
    pub attempts: u32,
    /// How long an engine keeps a stream that nobody reads, and a group's reservation.
    pub hold_ms: SpanMs,
    /// Tries to cancel or release upstream before the hold is left to its expiry.
    pub chore_tries: u32,
    /// Retries earned with each admitted request, by its account and by the node.
    pub retry_share: f64,
    /// Retries an account may have saved up.
    pub retry_account_burst: f64,
    /// Retries the node may have saved up.
    pub retry_node_burst: f64,
    /// When a caller refused for a passing reason is told to come back.
    pub retry_after_ms: SpanMs,
    /// Live requests this node takes at most.
    pub live_count: usize,
    /// Bytes of prompts and bodies that live requests may hold together.
    pub live_bytes: Bytes,
    /// Ended requests kept for reports and reading on.
    pub finished_count: usize,
    /// Bytes of answers kept with them.
    pub finished_bytes: Bytes,
    /// How long they are kept.
    pub finished_keep_ms: SpanMs,
}

impl Default for RequestsSettings {
    fn default() -> Self {
        Self {
            hang_up_grace_ms: SpanMs::from_secs(3),
            stall_ms: SpanMs::from_secs(2),
            stall_max_ms: SpanMs::from_secs(15),
            answer_wait_ms: SpanMs::from_secs(2),
            recall_wait_ms: SpanMs(500),
            claim_wait_ms: SpanMs::from_secs(5),
            backoff_ms: SpanMs(100),
            backoff_max_ms: SpanMs::from_secs(3),
            resume_tries: 3,
            lookup_tries: 10,
            attempts: 4,
            hold_ms: SpanMs::from_secs(15),
            chore_tries: 8,
            retry_share: 0.1,
            retry_account_burst: 5.0,
            retry_node_burst: 20.0,
            retry_after_ms: SpanMs::from_secs(1),
            live_count: 20_000,
            live_bytes: Bytes(256 * 1024 * 1024),
            finished_count: 4096,
            finished_bytes: Bytes(16 * 1024 * 1024),
            finished_keep_ms: SpanMs::from_secs(120),
        }
    }
}

impl RequestsSettings {
    /// The silence after which a node that adopted a stream takes it (back): less than the grace
    /// of the node that admitted it, so that it is the owner again before that one's cancel.
    pub fn adopted_stall_ms(&self) -> SpanMs {
        self.stall_ms.min(SpanMs(self.hang_up_grace_ms.0 / 2))
    }

    /// The pause before try number `tries` (counted from 0), without jitter.
    pub fn backoff(&self, tries: u32) -> SpanMs {
        let doubled = self.backoff_ms.0.saturating_mul(1 << tries.min(16));
        SpanMs(doubled.min(self.backoff_max_ms.0))
    }
}
