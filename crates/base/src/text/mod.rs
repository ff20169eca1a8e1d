//! Text newtypes and the error of parsing any base type.
//!
//! Terms: a *name* identifies a thing across processes, where the integer ids of [`crate::ids`]
//! are local to one process.

use crate as bluebell_base;
use crate::define_text;
use std::sync::Arc;

define_text! {
    /// An upstream as the configuration names it: a model engine or a plain service replica.
    UpstreamName;
    /// A model as callers name it.
    ModelName;
    /// A class of work as operators name it.
    ClassName;
    /// A client account as operators name it.
    AccountName;
    /// A failure domain, such as `north-a`.
    DomainName;
    /// A region, such as `north`.
    RegionName;
    /// A VM as the platform's list names it.
    VmName;
    /// A plain service as the configuration names it.
    ServiceName;
    /// The caller's idempotency key, unique within its client account.
    IdempotencyKey;
    /// A deployment: the upstreams of one kind, such as all replicas of one plain service.
    DeploymentName;
    /// A stream of the platform's log.
    StreamName;
    /// A network address, `ip:port`.
    Address;
}

/// A text that does not denote a value of the wanted type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a valid {wanted}")]
pub struct ParseError {
    /// The type that was wanted.
    pub wanted: &'static str,
    /// The text that was given, cut to a loggable length.
    pub text: Arc<str>,
}

impl ParseError {
    /// The longest part of a refused text that is kept, in characters.
    const KEPT_CHARS: usize = 80;

    /// Makes the error for `text`, keeping only its beginning.
    pub fn new(wanted: &'static str, text: &str) -> Self {
        let kept: String = text.chars().take(Self::KEPT_CHARS).collect();
        Self {
            wanted,
            text: kept.into(),
        }
    }
}
