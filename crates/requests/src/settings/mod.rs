//! The limits and timeouts of a node's requests, with their defaults.

use bluebell_base::prelude::*;

/// The limits and timeouts of one node's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestsSettings {
    /// The time for which a request is kept after its caller hung up, so that the caller can resume
    /// reading.
    ///
    /// Half of it must be longer than a few exchanges with an engine, so that another node that
    /// continues the answer takes the stream back before this node's cancel.
    pub hang_up_grace_ms: SpanMs,
    /// The silence on a stream after which the engine is queried for its state.
    pub stall_ms: SpanMs,
    /// The longest interval between two such queries while the engine reports that it is working.
    pub stall_max_ms: SpanMs,
    /// The timeout for the answer to a lookup, peer query, cancel or reservation.
    pub answer_wait_ms: SpanMs,
    /// The timeout for the answer to a recall's cancel, after which the work goes elsewhere.
    pub recall_wait_ms: SpanMs,
    /// The timeout for the answer to a claim.
    pub claim_wait_ms: SpanMs,
    /// The pause before the first try to resume a broken stream; it doubles with each try.
    pub backoff_ms: SpanMs,
    /// The longest such pause.
    pub backoff_max_ms: SpanMs,
    /// The number of tries to resume on the same engine before repeatable work goes elsewhere.
    pub resume_tries: u32,
    /// The number of tries to resume or look up before work that may not be repeated is given up.
    pub lookup_tries: u32,
    /// The limit of attempts for one request.
    pub attempts: u32,
    /// The time for which an engine keeps a stream that nobody reads, and a group's reservation.
    pub hold_ms: SpanMs,
    /// The number of tries to cancel or release upstream, after which the hold is left to its
    /// expiry.
    pub cleanup_tries: u32,
    /// The retries that each admitted request earns, for its account and for the node.
    pub retry_share: f64,
    /// The limit of saved retries of one account.
    pub retry_account_burst: f64,
    /// The limit of saved retries of the node.
    pub retry_node_burst: f64,
    /// The retry delay sent to a caller that was refused for a temporary reason.
    pub retry_after_ms: SpanMs,
    /// The limit of live requests on this node.
    pub live_count: usize,
    /// The limit of the bytes of prompts and bodies that live requests hold together.
    pub live_bytes: Bytes,
    /// The limit of ended requests kept for reports and resumed reading.
    pub finished_count: usize,
    /// The limit of the bytes of answers kept with them.
    pub finished_bytes: Bytes,
    /// The time for which they are kept.
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
            cleanup_tries: 8,
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
    /// Returns the silence after which a node that adopted a stream resumes it. It is shorter than
    /// the grace period of the node that admitted the request, so this node is the owner again
    /// before that node's cancel.
    pub fn adopted_stall_ms(&self) -> SpanMs {
        self.stall_ms.min(SpanMs(self.hang_up_grace_ms.0 / 2))
    }

    /// Returns the pause before try number `tries`, counted from 0, without jitter.
    pub fn backoff(&self, tries: u32) -> SpanMs {
        let doubled = self.backoff_ms.0.saturating_mul(1 << tries.min(16));
        SpanMs(doubled.min(self.backoff_max_ms.0))
    }
}
