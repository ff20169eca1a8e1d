//! The plain service port: one HTTP exchange with one replica of a service.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};

/// One call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// The request it serves; sent along so that the service's own logs can name it.
    pub request: RequestId,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query behind the routed prefix, beginning with `/`.
    pub path: Arc<str>,
    /// The body's media type, where there is a body.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Vec<u8>,
    /// The caller's idempotency key, handed on for services that know it.
    pub idempotency_key: Option<IdempotencyKey>,
    /// How long the answer may take.
    pub timeout_ms: SpanMs,
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The body's media type.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Vec<u8>,
}

/// One replica of a plain service.
pub trait ServicePort {
    /// Makes the call; `NotRun` only where the connection was refused before anything was sent, or
    /// where the service itself said so.
    fn call(&self, core: &mut Core, call: ServiceCall, ret: Ret<Result<ServiceAnswer, Error>>);

    /// Probes whether the replica takes work.
    fn health(&self, core: &mut Core, ret: Ret<Result<(), Error>>);
}
