//! What the requests tell the metrics.

pub use bluebell_base::bands::LengthBand;
use bluebell_base::prelude::*;
use bluebell_policy::RefusalReason;

/// Why a request was refused before it was sent anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusedBy {
    /// By the policy.
    Policy(RefusalReason),
    /// The node holds as many requests or as many bytes of prompts as it may.
    NodeFull,
    /// The node is stopping.
    Draining,
    /// No configuration is in force yet.
    NoConfig,
    /// It names a class, model, account or service that the configuration does not.
    Unknown,
    /// Each engine that ran it has ended.
    Quarantined,
    /// Another request holds its idempotency key.
    KeyHeld,
    /// Its idempotency key could not be claimed.
    ClaimFailed,
}

impl RefusedBy {
    /// The label used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Policy(RefusalReason::NoEngine) => "no_engine",
            Self::Policy(RefusalReason::TooLate) => "too_late",
            Self::Policy(RefusalReason::OverShare) => "over_share",
            Self::Policy(RefusalReason::Overloaded) => "overloaded",
            Self::Policy(RefusalReason::TooLong) => "too_long",
            Self::NodeFull => "node_full",
            Self::Draining => "draining",
            Self::NoConfig => "no_config",
            Self::Unknown => "unknown_name",
            Self::Quarantined => "quarantined",
            Self::KeyHeld => "key_held",
            Self::ClaimFailed => "claim_failed",
        }
    }
}

/// Takes what happens to requests, for metrics; must not block.
pub trait RequestObserver {
    /// A request was admitted.
    fn admitted(&mut self, class: &ClassName, band: LengthBand);

    /// A request was refused before it was sent anywhere.
    fn refused(&mut self, by: RefusedBy);

    /// A request's first token came, that long after its arrival.
    fn first_token(&mut self, class: &ClassName, band: LengthBand, after_ms: SpanMs);

    /// A further token came, that long after the one before it.
    fn between_tokens(&mut self, class: &ClassName, band: LengthBand, gap_ms: SpanMs);

    /// An attempt was sent to an upstream.
    fn attempt(&mut self);

    /// An attempt was one more after a failed one.
    fn retry(&mut self);

    /// An attempt was taken back from its engine, to be placed anew.
    fn recalled(&mut self);

    /// A retry was due but the budget was used up.
    fn retry_denied(&mut self);

    /// A request finished, that long after its arrival.
    fn finished(&mut self, class: &ClassName, band: LengthBand, after_ms: SpanMs);

    /// An admitted request failed.
    fn failed(&mut self, error: &Error);

    /// A request was cancelled, by its caller or because the caller hung up.
    fn cancelled(&mut self);

    /// An event or answer came late, crossed or twice and was dropped.
    fn dropped_event(&mut self);

    /// An upstream refused new work before it began.
    fn upstream_refused(&mut self, upstream: &UpstreamName, error: &Error);
}

/// Takes nothing down; for tests and embedded use.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl RequestObserver for NoObserver {
    fn admitted(&mut self, _: &ClassName, _: LengthBand) {}
    fn refused(&mut self, _: RefusedBy) {}
    fn first_token(&mut self, _: &ClassName, _: LengthBand, _: SpanMs) {}
    fn between_tokens(&mut self, _: &ClassName, _: LengthBand, _: SpanMs) {}
    fn attempt(&mut self) {}
    fn retry(&mut self) {}
    fn recalled(&mut self) {}
    fn retry_denied(&mut self) {}
    fn finished(&mut self, _: &ClassName, _: LengthBand, _: SpanMs) {}
    fn failed(&mut self, _: &Error) {}
    fn cancelled(&mut self) {}
    fn dropped_event(&mut self) {}
    fn upstream_refused(&mut self, _: &UpstreamName, _: &Error) {}
}
