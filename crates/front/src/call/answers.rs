//! The answers that the node itself gives.
//!
//! Invariants: 503 and 429 state that the request has not run; with 502 and 504 it may have run.

use super::body::FrontBody;
use crate::forward::Outcome;
use crate::journal::{Event, PromiseKind};
use crate::node::Node;
use crate::platform::CallHead;
use crate::returns::Promised;
use bluebell_base::prelude::*;
use bytes::Bytes as Buffer;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The HTTP response to a caller.
pub type Answer = Response<FrontBody>;

/// Builds an answer of the node's own, with the verdict and the reason as JSON.
fn node_answer(
    node: &Node,
    request: &str,
    status: StatusCode,
    verdict: Verdict,
    why: &str,
) -> Answer {
    let text = serde_json::json!({ "verdict": verdict.as_str(), "error": why }).to_string();
    let mut answer = Response::new(FrontBody::Whole(Some(Buffer::from(text))));
    *answer.status_mut() = status;
    *answer.headers_mut() = node.platform.dialect.node_answer_headers(request);
    answer.extensions_mut().insert(Outcome::Node(verdict));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Records a refusal and returns its answer (503): the request has not run and may be sent again
/// after `retry_after_ms`. `age_ms` is the time since it arrived.
pub fn refused(
    node: &Node,
    head: &CallHead,
    why: &str,
    age_ms: SpanMs,
    retry_after_ms: SpanMs,
) -> Answer {
    record_refused(node, head, why, age_ms, retry_after_ms, None);
    refusal(node, head, why, retry_after_ms)
}

/// Records a refusal whose return time is promised to the caller, and returns its answer (503).
pub fn promised(
    node: &Node,
    head: &CallHead,
    why: &str,
    age_ms: SpanMs,
    promise: &Promised,
) -> Answer {
    let retry_after_ms = promise.after_ms;
    let kind = Some(promise.kind);
    record_refused(node, head, why, age_ms, retry_after_ms, kind);
    refusal(node, head, why, retry_after_ms)
}

fn record_refused(
    node: &Node,
    head: &CallHead,
    why: &str,
    age_ms: SpanMs,
    retry_after_ms: SpanMs,
    promised: Option<PromiseKind>,
) {
    node.journal.record(&Event::Refused {
        request: head.request.clone(),
        status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        why: why.into(),
        prompt_tokens: head.prompt_tokens.unwrap_or_default(),
        age_ms,
        retry_after_ms,
        promised,
    });
}

/// Builds the answer (503) of a refusal with its retry time.
fn refusal(node: &Node, head: &CallHead, why: &str, retry_after_ms: SpanMs) -> Answer {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut answer = node_answer(node, &head.request, status, Verdict::NotRun, why);
    let seconds = format!("{:.3}", retry_after_ms.0 as f64 / 1000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// Returns the answer to a forwarded request that this node can't serve: the request has not run, and
/// another node may serve it. This node may serve requests again after `retry_after_ms`; zero if it doesn't
/// know.
pub fn unavailable(node: &Node, head: &CallHead, why: &str, retry_after_ms: SpanMs) -> Answer {
    let mut answer = refused(node, head, why, SpanMs::ZERO, retry_after_ms);
    answer.extensions_mut().insert(Outcome::Unavailable);
    answer
}

/// Returns the refusal of a node that is about to stop: the request has not run, and another node
/// can take it at once.
pub fn leaving(node: &Node, head: &CallHead) -> Answer {
    let why = "the node is leaving";
    let mut answer = refused(node, head, why, SpanMs::ZERO, SpanMs::ZERO);
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(CONNECTION, close);
    answer
}

/// Records a rejection and returns its answer: the request can't be served as it is and has not
/// run.
pub fn rejected(node: &Node, request: &Arc<str>, status: StatusCode, why: &str) -> Answer {
    node.journal.record(&Event::Refused {
        request: request.clone(),
        status: status.as_u16(),
        why: why.into(),
        prompt_tokens: Tokens::ZERO,
        age_ms: SpanMs::ZERO,
        retry_after_ms: SpanMs::ZERO,
        promised: None,
    });
    node_answer(node, request, status, Verdict::NotRun, why)
}

/// Records a failure and returns its answer: the request may have run. `age_ms` is the time since
/// it arrived.
pub fn failed(
    node: &Node,
    request: &Arc<str>,
    status: StatusCode,
    why: &str,
    age_ms: SpanMs,
) -> Answer {
    node.journal.record(&Event::Failed {
        request: request.clone(),
        status: status.as_u16(),
        why: why.into(),
        age_ms,
    });
    node_answer(node, request, status, Verdict::MayHaveRun, why)
}
