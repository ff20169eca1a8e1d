//! The phases of a planned stop.
//!
//! Load pattern: the balancer goes on sending new connections for some two seconds, and callers go on
//! using the connections that they have. Prompts may then still arrive that take longer than what is
//! left of the grace period.
//!
//! Reason for the limits: while the balancer hasn't noticed the stop, all requests are accepted, since
//! callers can't know of it. After that, only requests that end within the grace period are accepted.
//! The others are at once answered as not run, so that they are retried at another node.
//!
//! Invariants: an accepted request isn't cut off by the end of the process, unless it overruns its own
//! deadline or was accepted before the balancer noticed the stop.

use bluebell_base::prelude::*;

/// The time for which a stopping node accepts all requests and leaves idle connections open. The balancer
/// polls once a second and acts on the second result.
const BALANCER_NOTICE_MS: SpanMs = SpanMs(2_500);

/// The time before the end of its grace period at which a stopping node ends by itself.
const GRACE_MARGIN_MS: SpanMs = SpanMs(300);

/// The schedule of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    began_ms: MonoMs,
    grace_ms: SpanMs,
}

impl StopPlan {
    /// Returns the plan of a stop that begins now and has a grace period of `grace_ms`.
    pub fn begin(now_ms: MonoMs, grace_ms: SpanMs) -> Self {
        Self {
            began_ms: now_ms,
            grace_ms,
        }
    }

    /// Returns the time by which the balancer has noticed the stop, so that idle connections may be closed.
    pub fn notice_end_ms(&self) -> MonoMs {
        self.began_ms + BALANCER_NOTICE_MS
    }

    /// Returns the time at which the process ends, even if requests or connections are open.
    pub fn end_ms(&self) -> MonoMs {
        self.began_ms + SpanMs(self.grace_ms.0.saturating_sub(GRACE_MARGIN_MS.0))
    }

    /// Returns true if the stopping node still accepts a request that may last until `deadline_ms`.
    pub fn accepts(&self, deadline_ms: MonoMs, now_ms: MonoMs) -> bool {
        now_ms < self.notice_end_ms() || deadline_ms < self.end_ms()
    }
}
