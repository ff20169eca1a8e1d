//! The plain service port, whose calls are single HTTP exchanges with one replica of a service.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// The request that the call serves. It is sent along so that the service's own logs can name
    /// it.
    pub request: RequestId,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query after the routed prefix, beginning with `/`.
    pub path: Arc<str>,
    /// The media type of the body, if there is a body.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Vec<u8>,
    /// The caller's idempotency key, passed on for services that support it.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The timeout of the answer.
    pub timeout_ms: SpanMs,
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Vec<u8>,
}

/// The port to one replica of a plain service.
pub trait ServicePort {
    /// Sends the call. An error is `NotRun` only if the connection was refused before anything was
    /// sent, or if the service itself reported that.
    fn call(&self, core: &mut Core, call: ServiceCall, ret: Ret<Result<ServiceAnswer, Error>>);

    /// Probes the replica. Succeeds if it accepts work.
    fn health(&self, core: &mut Core, ret: Ret<Result<(), Error>>);
}
