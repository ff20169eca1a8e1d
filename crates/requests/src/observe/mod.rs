//! The events that the requests report to the metrics.

pub use bluebell_base::bands::LengthBand;
use bluebell_base::prelude::*;
use bluebell_policy::RefusalReason;

/// The reason why a request was refused before it was sent anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusedBy {
    /// The policy refused it.
    Policy(RefusalReason),
    /// The node holds its limit of requests or of bytes of prompts.
    NodeFull,
    /// The node is stopping.
    Draining,
    /// No configuration is in force yet.
    NoConfig,
    /// It names a class, model, account or service that is not in the configuration.
    Unknown,
    /// Every engine that ran its content crashed.
    Quarantined,
    /// Another request holds its idempotency key.
    KeyHeld,
    /// Its idempotency key could not be claimed.
    ClaimFailed,
}

impl RefusedBy {
    /// Returns the label used in metrics.
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

/// Receives the events of requests for the metrics; must not block.
pub trait RequestObserver {
    /// Records that a request was admitted.
    fn admitted(&mut self, class: &ClassName, band: LengthBand);

    /// Records that a request was refused before it was sent anywhere.
    fn refused(&mut self, by: RefusedBy);

    /// Records a request's first token and its delay since arrival.
    fn first_token(&mut self, class: &ClassName, band: LengthBand, after_ms: SpanMs);

    /// Records a further token and its delay since the token before it.
    fn between_tokens(&mut self, class: &ClassName, band: LengthBand, gap_ms: SpanMs);

    /// Records an attempt sent to an upstream.
    fn attempt(&mut self);

    /// Records an attempt that follows a failed one.
    fn retry(&mut self);

    /// Records an attempt that was recalled from its engine to be placed anew.
    fn recalled(&mut self);

    /// Records a retry that the budget did not allow.
    fn retry_denied(&mut self);

    /// Records a finished request and its duration since arrival.
    fn finished(&mut self, class: &ClassName, band: LengthBand, after_ms: SpanMs);

    /// Records the failure of an admitted request.
    fn failed(&mut self, error: &Error);

    /// Records a request cancelled by its caller, or because the caller hung up.
    fn cancelled(&mut self);

    /// Records a late, crossed or duplicate event or answer that was dropped.
    fn dropped_event(&mut self);

    /// Records that an upstream refused new work before it began.
    fn upstream_refused(&mut self, upstream: &UpstreamName, error: &Error);
}

/// An observer that records nothing; for tests and embedded use.
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
