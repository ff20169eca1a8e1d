//! What callers ask and what they are told, between the callers' interface and the requests.
//!
//! Terms: a *cursor* is the opaque, signed text that a caller gives back to read on from an event;
//! a *sink* takes a request's events to its caller.
//!
//! Invariants: a sink gets events in order and nothing after `Finished` or `Failed`.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// A call for a model's answer, already authenticated and decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Who asks.
    pub account: AccountName,
    /// The model.
    pub model: ModelName,
    /// The class of work.
    pub class: ClassName,
    /// The whole prompt; chat messages are joined to one text.
    pub prompt: Arc<str>,
    /// The most tokens to generate.
    pub max_tokens: Tokens,
    /// The caller's own deadline, counted from arrival, where it is shorter than the class's.
    pub deadline_ms: Option<SpanMs>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A call to a plain service, already authenticated and routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequest {
    /// Who asks.
    pub account: AccountName,
    /// The service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: Arc<str>,
    /// Path and query behind the service's prefix.
    pub path: Arc<str>,
    /// The body's media type.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Vec<u8>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A call to read a request's answer on from an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeAnswer {
    /// Who asks.
    pub account: AccountName,
    /// The request.
    pub request: RequestId,
    /// The cursor of the last event seen; none: from the beginning.
    pub cursor: Option<Arc<str>>,
}

/// What a caller is told of its request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum CallerEvent {
    /// The request has an identity.
    Admitted {
        /// The identity.
        request: RequestId,
    },
    /// One piece of the answer.
    Token {
        /// Its position.
        seq: EventSeq,
        /// Its text.
        text: Arc<str>,
        /// Where to read on behind it.
        cursor: Arc<str>,
    },
    /// The answer is whole.
    Finished {
        /// Why it ended: `stop` or `length`.
        reason: Arc<str>,
        /// The prompt's length.
        prompt_tokens: Tokens,
        /// The answer's length.
        answer_tokens: Tokens,
    },
    /// A plain service's answer.
    Service {
        /// The HTTP status code.
        status: u16,
        /// The body's media type.
        content_type: Option<Arc<str>>,
        /// The body.
        body: Vec<u8>,
    },
    /// The request failed; final.
    Failed {
        /// Its identity, where it got one.
        request: Option<RequestId>,
        /// Why, with the verdict.
        error: Error,
    },
}

impl CallerEvent {
    /// Whether nothing follows.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Admitted { .. } | Self::Token { .. })
    }
}

/// Takes a request's events to its caller; must not block.
pub trait CallerSink: Send {
    /// Queues an event; `false` where the caller is known to be gone.
    fn send(&self, event: CallerEvent) -> bool;
}

/// A call from the callers' interface.
pub enum CallerCall {
    /// A model's answer is wanted.
    Complete {
        /// The connection's number, for [`CallerCall::Disconnected`].
        caller: CallerId,
        /// What is asked.
        completion: Completion,
        /// Where its events go.
        sink: Box<dyn CallerSink>,
    },
    /// A plain service is called.
    Service {
        /// The connection's number.
        caller: CallerId,
        /// What is asked.
        call: ServiceRequest,
        /// Where its answer goes.
        sink: Box<dyn CallerSink>,
    },
    /// A broken stream is read on.
    ResumeAnswer {
        /// The connection's number.
        caller: CallerId,
        /// What is asked.
        call: ResumeAnswer,
        /// Where its events go.
        sink: Box<dyn CallerSink>,
    },
    /// The state of a request is asked.
    Report {
        /// Who asks.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// Takes the answer; `NotFound` for another account's request.
        reply: Box<dyn FnOnce(Result<bluebell_peers::RequestReport, Error>) + Send>,
    },
    /// The caller asks to cancel its request.
    Cancel {
        /// Who asks.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// Takes the answer.
        reply: Box<dyn FnOnce(Result<bluebell_peers::RequestReport, Error>) + Send>,
    },
    /// The connection broke: the caller hung up.
    Disconnected {
        /// The connection's number.
        caller: CallerId,
    },
}

bluebell_base::define_id! {
    /// A caller's connection at this node.
    CallerId(u64) = "caller";
}
