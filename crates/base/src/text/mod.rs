//! Text newtypes, and the parse error of all base types.
//!
//! Terms: a *name* identifies an entity across processes, whereas the integer ids of [`crate::ids`]
//! are local to one process.

use crate as bluebell_base;
use crate::define_text;
use std::sync::Arc;

define_text! {
    /// Name of an upstream in the configuration. An upstream is a model engine or a replica of a
    /// plain service.
    UpstreamName;
    /// Name of a model, as used by callers.
    ModelName;
    /// Name of a class of work, given by operators.
    ClassName;
    /// Name of a client account, given by operators.
    AccountName;
    /// Name of a failure domain, such as `north-a`.
    DomainName;
    /// Name of a region, such as `north`.
    RegionName;
    /// Name of a VM in the platform's list.
    VmName;
    /// Name of a plain service in the configuration.
    ServiceName;
    /// Idempotency key of a caller, unique within its client account.
    IdempotencyKey;
    /// Name of a deployment: all upstreams of one kind, such as the replicas of one plain service.
    DeploymentName;
    /// Name of a stream of the platform's log.
    StreamName;
    /// Network address, `ip:port`.
    Address;
}

/// Error for a text that is not a value of the expected type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a valid {expected}")]
pub struct ParseError {
    /// Name of the expected type.
    pub expected: &'static str,
    /// Rejected text, cut to a length suitable for logs.
    pub text: Arc<str>,
}

impl ParseError {
    /// Length to which a rejected text is cut, in characters.
    const MAX_KEPT_CHARS: usize = 80;

    /// Creates the error for `text`, of which it keeps only the beginning.
    pub fn new(expected: &'static str, text: &str) -> Self {
        let kept: String = text.chars().take(Self::MAX_KEPT_CHARS).collect();
        Self {
            expected,
            text: kept.into(),
        }
    }
}
