//! The node's own answers.
//!
//! Invariants: 503 and 429 say that the request has not run; 502 and 504 leave it open.

use super::body::FrontBody;
use crate::journal::Event;
use crate::node::Node;
use crate::platform::CallHead;
use bluebell_base::prelude::*;
use bytes::Bytes as Buffer;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// An answer to a caller.
pub type Answer = Response<FrontBody>;

fn own(node: &Node, request: &str, status: StatusCode, verdict: &str, why: &str) -> Answer {
    let text = serde_json::json!({ "verdict": verdict, "error": why }).to_string();
    let mut answer = Response::new(FrontBody::Whole(Some(Buffer::from(text))));
    *answer.status_mut() = status;
    *answer.headers_mut() = node.platform.dialect.node_answer_headers(request);
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// The request has not run, and may come back after `retry_after_ms`; it waited for `age_ms`.
pub fn refused(
    node: &Node,
    head: &CallHead,
    why: &str,
    age_ms: SpanMs,
    retry_after_ms: SpanMs,
) -> Answer {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    node.journal.record(&Event::Refused {
        request: head.request.clone(),
        status: status.as_u16(),
        why: why.into(),
        prompt_tokens: head.prompt_tokens.unwrap_or_default(),
        age_ms,
        retry_after_ms,
    });
    let mut answer = own(node, &head.request, status, "not_run", why);
    let seconds = format!("{:.3}", retry_after_ms.0 as f64 / 1000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// The node is leaving; the request has not run, and another node takes it at once.
pub fn leaving(node: &Node, head: &CallHead) -> Answer {
    let why = "the node is leaving";
    let mut answer = refused(node, head, why, SpanMs::ZERO, SpanMs::ZERO);
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(CONNECTION, close);
    answer
}

/// The request can't be served as it is; it has not run.
pub fn rejected(node: &Node, request: &Arc<str>, status: StatusCode, why: &str) -> Answer {
    node.journal.record(&Event::Refused {
        request: request.clone(),
        status: status.as_u16(),
        why: why.into(),
        prompt_tokens: Tokens::ZERO,
        age_ms: SpanMs::ZERO,
        retry_after_ms: SpanMs::ZERO,
    });
    own(node, request, status, "not_run", why)
}

/// The request may have run.
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
    own(node, request, status, "may_have_run", why)
}
