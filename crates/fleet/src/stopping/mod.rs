//! The course of a planned stop.
//!
//! Load pattern: the balancer goes on sending new connections for some two seconds, and callers go
//! on using those that they have. Prompts then still arrive that take longer than what is left of
//! the grace.
//!
//! Reason for the limits: for the time that the balancer needs to notice, everything is taken, since
//! callers can't know better. After that only what ends within the grace is, and the rest is told at
//! once that it has not run, so that it comes back to another node.
//!
//! Invariants: a request that was taken is not cut by the end of the process, unless it overruns
//! its own deadline or was taken while the balancer hadn't noticed.

use bluebell_base::prelude::*;

/// How long a stopping node takes everything and leaves idle connections open: the balancer asks
/// once a second and believes the second answer.
const NOTICE_MS: SpanMs = SpanMs(2_500);

/// How much earlier than the end of its grace a stopping node ends by itself.
const GRACE_MARGIN_MS: SpanMs = SpanMs(300);

/// A planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    began_ms: MonoMs,
    grace_ms: SpanMs,
}

impl StopPlan {
    /// A stop that begins now and may take `grace_ms`.
    pub fn begin(now_ms: MonoMs, grace_ms: SpanMs) -> Self {
        Self {
            began_ms: now_ms,
            grace_ms,
        }
    }

    /// When the balancer has noticed: idle connections may be closed.
    pub fn notice_end_ms(&self) -> MonoMs {
        self.began_ms + NOTICE_MS
    }

    /// When the process ends, whatever is open.
    pub fn end_ms(&self) -> MonoMs {
        self.began_ms + SpanMs(self.grace_ms.0.saturating_sub(GRACE_MARGIN_MS.0))
    }

    /// Whether a request that may last until `deadline_ms` is taken.
    pub fn accepts(&self, deadline_ms: MonoMs, now_ms: MonoMs) -> bool {
        now_ms < self.notice_end_ms() || deadline_ms < self.end_ms()
    }
}
