//! One request from its scheduled instant to its end: calls, retries through other nodes, broken
//! streams read on, and the check of its answer.
//!
//! Invariants: a keyed request carries the same idempotency key at every try; a request is sent
//! again only where its answer says that nothing ran, where it never reached a node, or where it
//! may be repeated or carries a key; tokens are counted over all connections of one answer.

use crate::answer::AnswerCheck;
use crate::balancer::Balancer;
use crate::client::{Called, called};
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

/// The wait before a broken stream is first read on, so that a node that just died is seen as
/// such; doubled at each further try.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// The longest such wait.
const MAX_RESUME_PAUSE: Duration = Duration::from_secs(2);

/// How often one answer is read on.
const MAX_RESUMES: u64 = 20;

/// The longest error body that is read, in bytes.
const MAX_ERROR_BYTES: u64 = 64 * 1024;

/// What all requests of a run share.
pub struct Shared {
    /// What was asked for.
    pub plan: LoadPlan,
    /// Chooses nodes.
    pub balancer: Balancer,
    /// Makes prompts.
    pub prompts: PromptMaker,
    /// The HTTP client.
    pub agent: ureq::Agent,
    /// When the schedule began.
    pub start: Instant,
}

/// What reading one connection's events came to.
enum Read {
    /// The answer ended.
    Ended(Outcome),
    /// The connection ended first.
    Broken(String),
}

/// A request under way.
pub struct Exchange<'a> {
    shared: &'a Shared,
    planned: Planned,
    scheduled: Instant,
    check: AnswerCheck,
    prompt: Arc<str>,
    /// Where to read on from.
    cursor: Option<String>,
    last_token: Option<Instant>,
    /// The kind of the last error.
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
            Kind::Direct => exchange.direct(),
            Kind::Service | Kind::Completion | Kind::KeyedCompletion => exchange.through_nodes(),
        };
        exchange.record.end_us = since_us(scheduled);
        exchange.record.fault = exchange.check.fault();
        exchange.record
    }

    /// Calls the engine itself.
    fn direct(&mut self) -> Outcome {
        let Some(engine) = self.shared.plan.direct.clone() else {
            return Outcome::Lost;
        };
        let prompt = self.prompt.clone();
        let max_tokens = class_of(&self.shared.plan, &self.planned).answer_tokens;
        match engine.run(&prompt, max_tokens, &mut || self.time_token()) {
            Ok(()) => Outcome::Whole,
            Err(error) => {
                self.record.error_text = Some(error.message.to_string());
                Outcome::Failed(error.verdict)
            }
        }
    }

    /// Calls nodes in turn until one gives an answer that stands.
    fn through_nodes(&mut self) -> Outcome {
        let body = self.body();
        let mut avoid = None;
        let mut outcome = Outcome::Lost;
        let mut tries = 0;
        let mut refused = 0;
        while tries < self.shared.plan.tries && refused <= self.most_refusals() {
            let node = self.shared.balancer.next(avoid.as_ref());
            match self.post(&node, &body) {
                Called::Refused => {
                    self.shared.balancer.refused(&node);
                    self.record.connects_refused += 1;
                    refused += 1;
                }
                Called::Broken(text) => {
                    self.record.error_text = Some(text);
                    outcome = Outcome::Lost;
                    tries += 1;
                }
                Called::Answer(answer) => {
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

    /// Whether an answer calls for a try through another node.
    fn may_send_again(&self, outcome: Outcome) -> bool {
        // Tokens that came belong to an answer; a second answer would be counted on top.
        let nothing_came = self.check.count() == 0;
        match outcome {
            Outcome::Failed(Verdict::NotRun) => nothing_came && self.another_may_serve(),
            Outcome::Lost => nothing_came,
            Outcome::Whole | Outcome::Failed(_) | Outcome::NoVerdict => false,
        }
    }

    /// Whether another node may fare better at once; all other refusals say when to come back,
    /// and open-loop load counts them as they are.
    fn another_may_serve(&self) -> bool {
        let is_the_nodes_own = matches!(
            self.error_kind,
            Some(ErrorKind::Unavailable | ErrorKind::Upstream)
        );
        is_the_nodes_own && self.shared.balancer.len() > 1
    }

    /// Refused connections cost nothing, but a fleet that is wholly down must end the request.
    fn most_refusals(&self) -> usize {
        self.shared.balancer.len() * 2
    }

    /// The body to post, the same at every try.
    fn body(&mut self) -> Vec<u8> {
        // The prompt may be megabytes; from here on only the body is kept.
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

    fn post(&self, node: &Address, body: &[u8]) -> Called {
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
        called(request.send(body))
    }

    fn get_events(&self, node: &Address, request: RequestId) -> Called {
        let url = format!("http://{node}/v1/requests/{request}/events");
        let mut get = self
            .shared
            .agent
            .get(url)
            .header("authorization", self.bearer());
        if let Some(cursor) = &self.cursor {
            get = get.header("last-event-id", cursor);
        }
        called(get.call())
    }

    fn read_answer(&mut self, answer: Response<Body>, node: &Address) -> Outcome {
        self.note_request_header(&answer);
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
                Read::Ended(outcome) => return outcome,
                Read::Broken(text) => self.record.error_text = Some(text),
            }
            let Some(request) = self.record.requests.last().copied() else {
                return Outcome::Lost;
            };
            if self.record.resumes >= MAX_RESUMES {
                // The request was admitted, and nobody says what became of it.
                return Outcome::Failed(Verdict::MayHaveRun);
            }
            self.record.resumes += 1;
            std::thread::sleep(resume_pause(self.record.resumes));
            node = self.shared.balancer.next(Some(&node));
            read = self.read_on(&node, request);
        }
    }

    /// Reads a broken answer on through another node.
    fn read_on(&mut self, node: &Address, request: RequestId) -> Read {
        match self.get_events(node, request) {
            Called::Refused => {
                self.shared.balancer.refused(node);
                self.record.connects_refused += 1;
                Read::Broken("connection refused".into())
            }
            Called::Broken(text) => Read::Broken(text),
            Called::Answer(answer) if answer.status().is_success() => self.read_events(*answer),
            Called::Answer(answer) => match self.read_error(*answer) {
                // Said of the call to read on, not of the request, which was admitted before.
                Outcome::Failed(Verdict::NotRun) => {
                    Read::Broken(self.record.error_text.clone().unwrap_or_default())
                }
                outcome => Read::Ended(outcome),
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
            Ok(answer) => self.failed(&format!("{status} "), answer.error),
            Err(_) => {
                self.record.error_text = Some(format!("{status} without a JSON error"));
                Outcome::NoVerdict
            }
        }
    }

    /// Notes an error; `prefix` says where it came.
    fn failed(&mut self, prefix: &str, error: ErrorBody) -> Outcome {
        if let Some(Ok(request)) = error.request.as_deref().map(str::parse) {
            self.note_request(request);
        }
        self.error_kind = error.kind;
        let message = error.message.unwrap_or_default();
        self.record.error_text = Some(format!("{prefix}{message}"));
        error.verdict.map_or(Outcome::NoVerdict, Outcome::Failed)
    }

    fn read_events(&mut self, answer: Response<Body>) -> Read {
        let body = answer.into_body().into_reader();
        let mut events = EventReader::new(BufReader::new(body));
        loop {
            match events.next_event() {
                Ok(Some(event)) => {
                    if let Some(outcome) = self.event(event) {
                        return Read::Ended(outcome);
                    }
                }
                Ok(None) => return Read::Broken("the stream ended before [DONE]".into()),
                Err(error) => return Read::Broken(error.to_string()),
            }
        }
    }

    /// Takes one event; the outcome where it was the last.
    fn event(&mut self, event: ServerEvent) -> Option<Outcome> {
        if event.id.is_some() {
            self.cursor = event.id;
        }
        if event.data == DONE {
            self.check.finished();
            return Some(Outcome::Whole);
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            self.check.malformed();
            return None;
        };
        match chunk.id.as_deref().map(str::parse) {
            Some(Ok(request)) => self.note_request(request),
            Some(Err(_)) => self.check.malformed(),
            None => {}
        }
        if let Some(error) = chunk.error {
            return Some(self.failed("", error));
        }
        for choice in &chunk.choices {
            if let Some(text) = choice.text.as_deref().filter(|text| !text.is_empty()) {
                self.time_token();
                self.check.token(text);
            }
        }
        if let Some(usage) = chunk.usage {
            self.check.declared(usage.completion_tokens);
        }
        None
    }

    /// Notes when a token came.
    fn time_token(&mut self) {
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

    fn note_request_header(&mut self, answer: &Response<Body>) {
        // A call that was not admitted yet bears its connection's name, which is no identity.
        let header = answer.headers().get("x-request-id");
        let text = header.and_then(|value| value.to_str().ok());
        if let Some(Ok(request)) = text.map(str::parse) {
            self.note_request(request);
        }
    }

    fn note_request(&mut self, request: RequestId) {
        if !self.record.requests.contains(&request) {
            self.record.requests.push(request);
        }
    }
}

/// The idempotency key: unique in the run, the same at every try.
fn key_of(shared: &Shared, planned: &Planned) -> Option<Arc<str>> {
    match planned.kind {
        Kind::KeyedCompletion | Kind::Service => Some(shared.prompts.key(planned.sequence)),
        Kind::Completion | Kind::Direct => None,
    }
}

/// The class that a request is sent as.
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

/// The wait before a stream is read on for the `resumes`th time.
fn resume_pause(resumes: u64) -> Duration {
    let doublings = resumes.saturating_sub(1).min(8) as u32;
    (RESUME_PAUSE * 2u32.pow(doublings)).min(MAX_RESUME_PAUSE)
}

/// Microseconds since an instant; zero where it is to come.
fn since_us(instant: Instant) -> u64 {
    Instant::now()
        .saturating_duration_since(instant)
        .as_micros() as u64
}
