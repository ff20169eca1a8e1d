//! The calls and events exchanged between the callers' interface and the requests.
//!
//! Terms: a *cursor* is the opaque, signed text with which a caller resumes reading after an event.
//! A *sink* delivers a request's events to its caller.
//!
//! Invariants: a sink receives events in order, and nothing after `Finished` or `Failed`.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// A call for a model's answer, already authenticated and decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The client account.
    pub account: AccountName,
    /// The model.
    pub model: ModelName,
    /// The class of work.
    pub class: ClassName,
    /// The whole prompt; chat messages are joined into one text.
    pub prompt: Arc<str>,
    /// The limit of tokens to generate.
    pub max_tokens: Tokens,
    /// The caller's own deadline, counted from arrival; it applies if it is shorter than the
    /// class's.
    pub deadline_ms: Option<SpanMs>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A call to a plain service, already authenticated and routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequest {
    /// The client account.
    pub account: AccountName,
    /// The service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query after the service's prefix.
    pub path: Arc<str>,
    /// The body's media type.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Vec<u8>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A call to resume reading a request's answer after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeAnswer {
    /// The client account.
    pub account: AccountName,
    /// The request.
    pub request: RequestId,
    /// The cursor of the last event received; `None` reads from the beginning.
    pub cursor: Option<Arc<str>>,
}

/// An event sent to a caller about its request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum CallerEvent {
    /// The request was assigned an id.
    Admitted {
        /// The id.
        request: RequestId,
    },
    /// One token of the answer.
    Token {
        /// Its position.
        seq: EventSeq,
        /// Its text.
        text: Arc<str>,
        /// The cursor that resumes reading after this token.
        cursor: Arc<str>,
    },
    /// The answer is complete.
    Finished {
        /// The reason for the end: `stop` or `length`.
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
    /// The request failed; no event follows.
    Failed {
        /// The request's id, if it was assigned one.
        request: Option<RequestId>,
        /// The error, with the verdict.
        error: Error,
    },
}

impl CallerEvent {
    /// Returns true if no event follows this one.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Admitted { .. } | Self::Token { .. })
    }
}

/// Delivers a request's events to its caller; must not block.
pub trait CallerSink: Send {
    /// Queues an event; returns `false` if the caller is known to be gone.
    fn send(&self, event: CallerEvent) -> bool;
}

/// A call from the callers' interface.
pub enum CallerCall {
    /// Requests a model's answer.
    Complete {
        /// The connection's number, for [`CallerCall::Disconnected`].
        caller: CallerId,
        /// The call's content.
        completion: Completion,
        /// The receiver of its events.
        sink: Box<dyn CallerSink>,
    },
    /// Calls a plain service.
    Service {
        /// The connection's number.
        caller: CallerId,
        /// The call's content.
        call: ServiceRequest,
        /// The receiver of the answer.
        sink: Box<dyn CallerSink>,
    },
    /// Resumes reading a broken stream.
    ResumeAnswer {
        /// The connection's number.
        caller: CallerId,
        /// The request and the position.
        call: ResumeAnswer,
        /// The receiver of its events.
        sink: Box<dyn CallerSink>,
    },
    /// Requests the state of a request.
    Report {
        /// The client account.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// Receives the answer; `NotFound` for another account's request.
        reply: Box<dyn FnOnce(Result<bluebell_peers::RequestReport, Error>) + Send>,
    },
    /// Cancels a request.
    Cancel {
        /// The client account.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// Receives the answer.
        reply: Box<dyn FnOnce(Result<bluebell_peers::RequestReport, Error>) + Send>,
    },
    /// Reports that the caller's connection closed.
    Disconnected {
        /// The connection's number.
        caller: CallerId,
    },
}

bluebell_base::define_id! {
    /// A caller's connection to this node.
    CallerId(u64) = "caller";
}
