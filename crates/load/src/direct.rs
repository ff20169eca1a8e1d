//! Calls an engine over HTTP without the system in between.

use crate::plan::DirectEngine;
use crate::sse::EventReader;
use bluebell_base::prelude::*;
use bluebell_upstreams::engine::{Event, EventBody, Generate, Priority};
use std::io::BufReader;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The path at which an engine starts an answer.
const GENERATE_PATH: &str = "/v1/generate";

/// The timeout for a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The time for which an engine keeps a stream that this process no longer reads.
const HOLD_MS: SpanMs = SpanMs(1_000);

/// A client that calls engines over HTTP in turn.
#[derive(Debug)]
pub struct HttpDirectEngine {
    addresses: Vec<Address>,
    model: ModelName,
    patience_ms: SpanMs,
    owner: Incarnation,
    next: AtomicU64,
    agent: ureq::Agent,
}

impl HttpDirectEngine {
    /// Creates a client for the engines at `addresses`. `owner` must not be the incarnation of any
    /// node.
    pub fn open(
        addresses: Vec<Address>,
        model: ModelName,
        owner: Incarnation,
        patience_ms: SpanMs,
    ) -> Self {
        let agent = ureq::Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_recv_response(Some(patience_ms.into()))
            .timeout_recv_body(Some(patience_ms.into()))
            .build()
            .new_agent();
        Self {
            addresses,
            model,
            patience_ms,
            owner,
            next: AtomicU64::new(0),
            agent,
        }
    }

    fn call(&self, sequence: u64, prompt: &Arc<str>, max_tokens: Tokens) -> Generate {
        Generate {
            request: RequestId {
                incarnation: self.owner,
                sequence,
            },
            attempt: AttemptNo(1),
            owner: self.owner,
            model: self.model.clone(),
            prompt: prompt.clone(),
            max_tokens,
            priority: Priority(0),
            hold_ms: HOLD_MS,
            deadline_ms: self.patience_ms,
            continue_from: Vec::new(),
            group: None,
            group_kv_tokens: Tokens::ZERO,
        }
    }
}

impl DirectEngine for HttpDirectEngine {
    fn run(
        &self,
        prompt: &Arc<str>,
        max_tokens: Tokens,
        on_token: &mut dyn FnMut(),
    ) -> Result<(), Error> {
        let sequence = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let address = &self.addresses[sequence as usize % self.addresses.len()];
        let call = self.call(sequence, prompt, max_tokens);
        let url = format!("http://{address}{GENERATE_PATH}");
        let answer = self.agent.post(url).send_json(&call);
        let mut answer = answer.map_err(|error| engine_error(error.to_string()))?;
        if !answer.status().is_success() {
            let status = answer.status();
            let text = answer.body_mut().read_to_string().unwrap_or_default();
            let refusal = serde_json::from_str(&text);
            return Err(
                refusal.unwrap_or_else(|_| engine_error(format!("the engine answered {status}")))
            );
        }
        let body = answer.into_body().into_reader();
        let mut events = EventReader::new(BufReader::new(body));
        loop {
            let event = events
                .next_event()
                .map_err(|error| engine_error(error.to_string()))?;
            let event = event.ok_or_else(|| engine_error("the stream ended early".into()))?;
            let event: Event = serde_json::from_str(&event.data)
                .map_err(|error| engine_error(format!("an event can't be read: {error}")))?;
            match event.body {
                EventBody::Accepted { .. } => {}
                EventBody::Token { .. } => on_token(),
                EventBody::Finished { .. } => return Ok(()),
                EventBody::Failed { error } => return Err(error),
            }
        }
    }
}

fn engine_error(text: String) -> Error {
    Error::may_have_run(
        ErrorKind::Upstream,
        format!("engine called directly: {text}"),
    )
}
