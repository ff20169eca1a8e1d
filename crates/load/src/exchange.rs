//! Runs one request from its scheduled time to its end: calls a node, retries through other nodes,
//! resumes broken streams and checks the answer.
//!
//! Invariants: a keyed request carries the same idempotency key at every attempt. A request is sent
//! again only if its answer says that nothing ran, if it never reached a node, or if it may be
//! repeated or carries a key. Tokens are counted over all connections of one answer.

use crate::answer::AnswerCheck;
use crate::balancer::Balancer;
use crate::client::{CallResult, classify_result};
use crate::plan::{ClassPlan, LoadPlan};
use crate::prompt::PromptMaker;
use crate::schedule::{Kind, Planned};
use crate::sse::{EventReader, ServerEvent};
use crate::tally::{Outcome, RequestRecord};
use crate::wire::{Chunk, CompletionBody, DONE, ErrorAnswer, ErrorBody};
use bluebell_base::prelude::*;
use std::io::BufReader;
use std::time::{Duration, Instant};
use ureq::Body;
use ureq::http::Response;

/// The delay before a broken stream is first resumed, so that a node that just died is detected as
/// dead. It doubles with each further resumption.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// The longest delay before a stream is resumed.
const MAX_RESUME_PAUSE: Duration = Duration::from_secs(2);

/// The maximum number of times that one answer is resumed.
const MAX_RESUMES: u64 = 20;

/// The longest error body that is read, in bytes.
const MAX_ERROR_BYTES: u64 = 64 * 1024;

/// The state that all requests of a run share.
pub struct Shared {
    /// The configuration of the run.
    pub plan: LoadPlan,
    /// Selects the node for each call.
    pub balancer: Balancer,
    /// Generates the prompts.
    pub prompts: PromptMaker,
    /// The HTTP client.
    pub agent: ureq::Agent,
    /// The start of the schedule.
    pub start: Instant,
}

/// The result of reading the events of one connection.
enum ReadResult {
    /// The answer ended with this outcome.
    Ended(Outcome),
    /// The connection ended before the answer; contains the error text.
    Broken(String),
}

/// A request in progress.
pub struct Exchange<'a> {
    shared: &'a Shared,
    planned: Planned,
    scheduled: Instant,
    check: AnswerCheck,
    prompt: Arc<str>,
    /// The id of the last event, from which the stream can be resumed.
    cursor: Option<String>,
    last_token: Option<Instant>,
    /// The kind of the last error received.
    error_kind: Option<ErrorKind>,
    record: RequestRecord,
}

impl<'a> Exchange<'a> {
    /// Runs a request to its end.
    pub fn run(shared: &'a Shared, planned: Planned) -> RequestRecord {
        let scheduled = shared.start + Duration::from_micros(planned.at_us);
        let plan = &shared.plan;
        let prompt = shared.prompts.prompt(
            planned.sequence,
            planned.account,
            planned.prompt_tokens,
            plan.shared_prefix_tokens,
        );
        let mut exchange = Self {
            shared,
            planned,
            scheduled,
            check: AnswerCheck::new(
                plan.oracle.as_deref(),
                &prompt,
                class_of(plan, &planned).answer_tokens,
            ),
            prompt,
            cursor: None,
            last_token: None,
            error_kind: None,
            record: RequestRecord {
                planned,
                outcome: Outcome::Lost,
                fault: None,
                first_token_us: None,
                between_us: Vec::new(),
                end_us: 0,
                late_us: since_us(scheduled),
                retries: 0,
                resumes: 0,
                connects_refused: 0,
                requests: Vec::new(),
                key: key_of(shared, &planned),
                error_text: None,
            },
        };
        exchange.record.outcome = match planned.kind {
            Kind::Direct => exchange.call_engine(),
            Kind::Service | Kind::Completion | Kind::KeyedCompletion => exchange.call_nodes(),
        };
        exchange.record.end_us = since_us(scheduled);
        exchange.record.fault = exchange.check.fault();
        exchange.record
    }

    /// Calls the engine directly.
    fn call_engine(&mut self) -> Outcome {
        let Some(engine) = self.shared.plan.direct.clone() else {
            return Outcome::Lost;
        };
        let prompt = self.prompt.clone();
        let max_tokens = class_of(&self.shared.plan, &self.planned).answer_tokens;
        match engine.run(&prompt, max_tokens, &mut || self.record_token_time()) {
            Ok(()) => Outcome::Whole,
            Err(error) => {
                self.record.error_text = Some(error.message.to_string());
                Outcome::Failed(error.verdict)
            }
        }
    }

    /// Calls nodes in turn until one gives an answer that isn't retried.
    fn call_nodes(&mut self) -> Outcome {
        let body = self.body();
        let mut avoid = None;
        let mut outcome = Outcome::Lost;
        let mut tries = 0;
        let mut refused = 0;
        while tries < self.shared.plan.tries && refused <= self.max_refusals() {
            let node = self.shared.balancer.next(avoid.as_ref());
            match self.post(&node, &body) {
                CallResult::Refused => {
                    self.shared.balancer.on_refused(&node);
                    self.record.connects_refused += 1;
                    refused += 1;
                }
                CallResult::Broken(text) => {
                    self.record.error_text = Some(text);
                    outcome = Outcome::Lost;
                    tries += 1;
                }
                CallResult::Answer(answer) => {
                    outcome = self.read_answer(*answer, &node);
                    tries += 1;
                    if !self.may_send_again(outcome) {
                        break;
                    }
                }
            }
            avoid = Some(node);
        }
        self.record.retries = u64::from(tries.saturating_sub(1));
        if outcome == Outcome::Whole {
            self.record.error_text = None;
        }
        outcome
    }

    /// Returns true if the request should be sent again through another node.
    fn may_send_again(&self, outcome: Outcome) -> bool {
        // Tokens already received belong to the first answer. Those of a second answer would be
        // counted in addition.
        let no_tokens_received = self.check.count() == 0;
        match outcome {
            Outcome::Failed(Verdict::NotRun) => no_tokens_received && self.other_node_may_serve(),
            Outcome::Lost => no_tokens_received,
            Outcome::Whole | Outcome::Failed(_) | Outcome::NoVerdict => false,
        }
    }

    /// Returns true if another node may serve the request at once. All other refusals say when to
    /// retry, and an open-loop load counts them as they are.
    fn other_node_may_serve(&self) -> bool {
        let is_node_specific = matches!(
            self.error_kind,
            Some(ErrorKind::Unavailable | ErrorKind::Upstream)
        );
        is_node_specific && self.shared.balancer.len() > 1
    }

    /// Returns the number of refused connections that one request tolerates. They don't count as
    /// attempts, but the request must end if the whole fleet is down.
    fn max_refusals(&self) -> usize {
        self.shared.balancer.len() * 2
    }

    /// Builds the request body, which is the same at every attempt.
    fn body(&mut self) -> Vec<u8> {
        // The prompt may have several megabytes, so only the body is kept from here on.
        let prompt = std::mem::take(&mut self.prompt);
        let plan = &self.shared.plan;
        let class = class_of(plan, &self.planned);
        let body = CompletionBody {
            model: plan.model.as_str(),
            class: class.name.as_str(),
            prompt: &prompt,
            max_tokens: class.answer_tokens.0,
            stream: true,
        };
        serde_json::to_vec(&body).expect("strings and numbers can be written as JSON")
    }

    fn path(&self) -> &str {
        match (&self.shared.plan.service, self.planned.kind) {
            (Some(service), Kind::Service) => &service.path,
            _ => "/v1/completions",
        }
    }

    fn bearer(&self) -> String {
        let key = &self.shared.plan.accounts[self.planned.account];
        format!("Bearer {}", key.expose())
    }

    fn post(&self, node: &Address, body: &[u8]) -> CallResult {
        let url = format!("http://{node}{}", self.path());
        let mut request = self
            .shared
            .agent
            .post(url)
            .header("authorization", self.bearer())
            .header("content-type", "application/json");
        if let Some(key) = &self.record.key {
            request = request.header("idempotency-key", &**key);
        }
        classify_result(request.send(body))
    }

    fn get_events(&self, node: &Address, request: RequestId) -> CallResult {
        let url = format!("http://{node}/v1/requests/{request}/events");
        let mut get = self
            .shared
            .agent
            .get(url)
            .header("authorization", self.bearer());
        if let Some(cursor) = &self.cursor {
            get = get.header("last-event-id", cursor);
        }
        classify_result(get.call())
    }

    fn read_answer(&mut self, answer: Response<Body>, node: &Address) -> Outcome {
        self.record_request_header(&answer);
        if !answer.status().is_success() {
            return self.read_error(answer);
        }
        if self.planned.kind == Kind::Service {
            return self.read_service(answer);
        }
        let mut read = self.read_events(answer);
        let mut node = node.clone();
        loop {
            match read {
                ReadResult::Ended(outcome) => return outcome,
                ReadResult::Broken(text) => self.record.error_text = Some(text),
            }
            let Some(request) = self.record.requests.last().copied() else {
                return Outcome::Lost;
            };
            if self.record.resumes >= MAX_RESUMES {
                // The request was admitted, and no node reports its outcome.
                return Outcome::Failed(Verdict::MayHaveRun);
            }
            self.record.resumes += 1;
            std::thread::sleep(resume_pause(self.record.resumes));
            node = self.shared.balancer.next(Some(&node));
            read = self.resume_answer(&node, request);
        }
    }

    /// Resumes a broken answer through another node.
    fn resume_answer(&mut self, node: &Address, request: RequestId) -> ReadResult {
        match self.get_events(node, request) {
            CallResult::Refused => {
                self.shared.balancer.on_refused(node);
                self.record.connects_refused += 1;
                ReadResult::Broken("connection refused".into())
            }
            CallResult::Broken(text) => ReadResult::Broken(text),
            CallResult::Answer(answer) if answer.status().is_success() => self.read_events(*answer),
            CallResult::Answer(answer) => match self.read_error(*answer) {
                // This verdict applies to the call that resumes the stream, not to the request,
                // which was admitted earlier.
                Outcome::Failed(Verdict::NotRun) => {
                    ReadResult::Broken(self.record.error_text.clone().unwrap_or_default())
                }
                outcome => ReadResult::Ended(outcome),
            },
        }
    }

    fn read_service(&mut self, mut answer: Response<Body>) -> Outcome {
        match answer.body_mut().read_to_vec() {
            Ok(_) => Outcome::Whole,
            Err(error) => {
                self.record.error_text = Some(error.to_string());
                Outcome::Lost
            }
        }
    }

    fn read_error(&mut self, mut answer: Response<Body>) -> Outcome {
        let status = answer.status().as_u16();
        let text = answer
            .body_mut()
            .with_config()
            .limit(MAX_ERROR_BYTES)
            .read_to_string();
        let Ok(text) = text else {
            self.record.error_text = Some(format!("{status} with a body that broke off"));
            return Outcome::Lost;
        };
        match serde_json::from_str::<ErrorAnswer>(&text) {
            Ok(answer) => self.record_error(&format!("{status} "), answer.error),
            Err(_) => {
                self.record.error_text = Some(format!("{status} without a JSON error"));
                Outcome::NoVerdict
            }
        }
    }

    /// Records an error and returns its outcome; `prefix` precedes the message in the error text.
    fn record_error(&mut self, prefix: &str, error: ErrorBody) -> Outcome {
        if let Some(Ok(request)) = error.request.as_deref().map(str::parse) {
            self.record_request(request);
        }
        self.error_kind = error.kind;
        let message = error.message.unwrap_or_default();
        self.record.error_text = Some(format!("{prefix}{message}"));
        error.verdict.map_or(Outcome::NoVerdict, Outcome::Failed)
    }

    fn read_events(&mut self, answer: Response<Body>) -> ReadResult {
        let body = answer.into_body().into_reader();
        let mut events = EventReader::new(BufReader::new(body));
        loop {
            match events.next_event() {
                Ok(Some(event)) => {
                    if let Some(outcome) = self.on_event(event) {
                        return ReadResult::Ended(outcome);
                    }
                }
                Ok(None) => return ReadResult::Broken("the stream ended before [DONE]".into()),
                Err(error) => return ReadResult::Broken(error.to_string()),
            }
        }
    }

    /// Processes one event and returns the outcome if it was the last.
    fn on_event(&mut self, event: ServerEvent) -> Option<Outcome> {
        if event.id.is_some() {
            self.cursor = event.id;
        }
        if event.data == DONE {
            self.check.on_finished();
            return Some(Outcome::Whole);
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            self.check.on_malformed();
            return None;
        };
        match chunk.id.as_deref().map(str::parse) {
            Some(Ok(request)) => self.record_request(request),
            Some(Err(_)) => self.check.on_malformed(),
            None => {}
        }
        if let Some(error) = chunk.error {
            return Some(self.record_error("", error));
        }
        for choice in &chunk.choices {
            if let Some(text) = choice.text.as_deref().filter(|text| !text.is_empty()) {
                self.record_token_time();
                self.check.on_token(text);
            }
        }
        if let Some(usage) = chunk.usage {
            self.check.on_declared_count(usage.completion_tokens);
        }
        None
    }

    /// Records the time at which a token was received.
    fn record_token_time(&mut self) {
        let now = Instant::now();
        match self.last_token {
            None => self.record.first_token_us = Some(since_us(self.scheduled)),
            Some(last) => {
                let between = now.duration_since(last);
                self.record.between_us.push(between.as_micros() as u64);
            }
        }
        self.last_token = Some(now);
    }

    fn record_request_header(&mut self, answer: &Response<Body>) {
        // The header of a call that isn't admitted yet names its connection, not a request.
        let header = answer.headers().get("x-request-id");
        let text = header.and_then(|value| value.to_str().ok());
        if let Some(Ok(request)) = text.map(str::parse) {
            self.record_request(request);
        }
    }

    fn record_request(&mut self, request: RequestId) {
        if !self.record.requests.contains(&request) {
            self.record.requests.push(request);
        }
    }
}

/// Returns the idempotency key, which is unique in the run and the same at every attempt; `None`
/// for requests without a key.
fn key_of(shared: &Shared, planned: &Planned) -> Option<Arc<str>> {
    match planned.kind {
        Kind::KeyedCompletion | Kind::Service => Some(shared.prompts.key(planned.sequence)),
        Kind::Completion | Kind::Direct => None,
    }
}

/// Returns the class under which a request is sent.
fn class_of(plan: &LoadPlan, planned: &Planned) -> ClassPlan {
    match (&plan.keyed, planned.kind) {
        (Some(keyed), Kind::KeyedCompletion) => ClassPlan {
            name: keyed.class.clone(),
            up_to_tokens: None,
            answer_tokens: keyed.answer_tokens,
        },
        _ => plan.classes[planned.class].clone(),
    }
}

/// Returns the delay before a stream is resumed for the `resumes`th time.
fn resume_pause(resumes: u64) -> Duration {
    let doublings = resumes.saturating_sub(1).min(8) as u32;
    (RESUME_PAUSE * 2u32.pow(doublings)).min(MAX_RESUME_PAUSE)
}

/// Returns the microseconds since an instant; zero if it is in the future.
fn since_us(instant: Instant) -> u64 {
    Instant::now()
        .saturating_duration_since(instant)
        .as_micros() as u64
}
