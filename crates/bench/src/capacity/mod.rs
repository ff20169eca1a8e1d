//! The capacity of one engine: its token throughput under the mix, and the time to the first token of a
//! single request.
//!
//! Terms: *capacity* is the prompt tokens a second that one engine finishes while it always has
//! work of the mix waiting; 100 % of a fleet is that times its engines.

use crate::workload::{Mix, Request, generate};
use bluebell_base::prelude::*;
use bluebell_stand_ins::engine::{EngineModel, EngineSettings, ModelCall, ModelEventKind};
use bluebell_upstreams::Priority;

/// Requests kept waiting or running while capacity is measured.
const OUTSTANDING: usize = 24;
/// The number of requests of the measurement.
const REQUESTS: usize = 1_500;

/// The call of a request's attempt, as an engine gets it.
pub fn call_of(request: &Request, id: RequestId, attempt: AttemptNo) -> ModelCall {
    ModelCall {
        request: id,
        attempt,
        owner: id.incarnation,
        model: ModelName::from("writer"),
        prompt_tokens: request.prompt_tokens,
        prompt_hash: request.prompt_hash,
        prefixes: request.prefixes.clone(),
        max_tokens: request.max_tokens,
        priority: Priority(0),
        hold_ms: SpanMs::from_secs(3_600),
        deadline_ms: SpanMs::from_secs(3_600),
        skip_events: 0,
        group: None,
        lent_tokens: Tokens::ZERO,
    }
}

/// The prompt tokens that must be lent by others so that the call fits into one engine.
pub fn lent_tokens(request: &Request, settings: &EngineSettings) -> Tokens {
    let need = request.prompt_tokens + request.max_tokens;
    need.saturating_sub(settings.kv_capacity_tokens)
}

/// Measures one engine's capacity under the mix, in prompt tokens a second.
pub fn measure(settings: &EngineSettings, seed: u64) -> PerSecond {
    let mut requests = generate(&Mix {
        rate: PerSecond(100.0),
        duration_ms: SpanMs::from_secs(60),
        long_work: true,
        hog_factor: 1.0,
        bursts: false,
        seed,
    });
    requests.truncate(REQUESTS);
    let mut model = EngineModel::new(settings.clone(), seed);
    let (mut next, mut open, mut now_us, mut tokens) = (0, 0, 0, 0);
    let mut events = Vec::new();
    while next < requests.len() {
        while open < OUTSTANDING && next < requests.len() {
            let request = &requests[next];
            let mut call = call_of(request, id(next), AttemptNo(1));
            // Nothing is taken from the cache: capacity is work that is computed.
            call.prefixes.clear();
            call.lent_tokens = lent_tokens(request, settings);
            next += 1;
            if model.generate(now_us, call).is_ok() {
                tokens += request.prompt_tokens.0;
                open += 1;
            }
        }
        let Some(step_us) = model.next_step_us() else {
            break;
        };
        now_us = step_us;
        model.advance(now_us, &mut events);
        let ended = |kind: &ModelEventKind| {
            matches!(
                kind,
                ModelEventKind::Finished { .. } | ModelEventKind::Failed(_)
            )
        };
        open -= events.drain(..).filter(|event| ended(&event.kind)).count();
    }
    PerSecond(tokens as f64 * 1e6 / now_us.max(1) as f64)
}

/// Returns the time to the first token of a request on an idle engine with an empty cache, in
/// microseconds.
pub fn first_token_alone_us(settings: &EngineSettings, request: &Request) -> u64 {
    let mut model = EngineModel::new(settings.clone(), 0);
    let mut call = call_of(request, id(0), AttemptNo(1));
    call.lent_tokens = lent_tokens(request, settings);
    if model.generate(0, call).is_err() {
        return 0;
    }
    let mut events = Vec::new();
    while let Some(step_us) = model.next_step_us() {
        model.advance(step_us, &mut events);
        let first = events
            .iter()
            .find(|e| matches!(e.kind, ModelEventKind::Token(_)));
        if let Some(event) = first {
            return event.at_us;
        }
    }
    0
}

fn id(index: usize) -> RequestId {
    RequestId {
        incarnation: Incarnation(1),
        sequence: index as u64 + 1,
    }
}
