//! Measures the cost of requests on a node without any engine, network or HTTP: the time per token
//! and per request, and the memory per request under way.
//!
//! `cargo run --release -p bluebell-requests --example cost`

use bluebell_base::prelude::*;
use bluebell_claims::ClaimsPort;
use bluebell_config::FleetConfig;
use bluebell_peers::{ClaimAnswer, ClaimCall, RequestReport, SettleCall};
use bluebell_policy::{Kind, PolicySettings};
use bluebell_requests::call::{CallerCall, CallerEvent, CallerId, CallerSink, Completion};
use bluebell_requests::{
    EngineDescription, NoObserver, RequestLookup, Requests, RequestsPorts, RequestsSettings,
};
use bluebell_timers::Timers;
use bluebell_upstreams::engine::CacheEvents;
use bluebell_upstreams::{
    CancelAnswer, EngineOrder, EnginePort, Event, EventBody, FinishReason, Generate, Hold,
    LoadReport, OrderAnswer, Reserve, Resume, StreamState,
};
use stakker::{Core, Fwd, Ret, Stakker};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// The number of requests under way at once.
const REQUESTS: u64 = 2_000;
/// The number of tokens of each answer.
const TOKENS: u64 = 200;

const CONFIG: &str = r#"{
  "classes": [{"name": "draft", "first_token": [{"within_ms": 600000}], "end_ms": 3600000,
               "idempotent": true}],
  "accounts": [{"name": "a", "key_sha256":
    "0000000000000000000000000000000000000000000000000000000000000000"}],
  "models": [{"name": "m", "version": 1}]
}"#;

/// Collects the streams that were started.
#[derive(Default)]
struct Engine {
    streams: RefCell<Vec<(RequestId, AttemptNo, Fwd<Event>)>>,
}

impl Engine {
    fn send(&self, body: &dyn Fn() -> EventBody) {
        for (request, attempt, events) in self.streams.borrow().iter() {
            events.fwd(Event {
                request: *request,
                attempt: *attempt,
                body: body(),
            });
        }
    }
}

impl EnginePort for Engine {
    fn generate(&self, _: &mut Core, call: Generate, events: Fwd<Event>) {
        let stream = (call.request, call.attempt, events);
        self.streams.borrow_mut().push(stream);
    }
    fn resume(&self, _: &mut Core, _: Resume, _: Fwd<Event>) {}
    fn cancel(
        &self,
        _: &mut Core,
        _: RequestId,
        _: AttemptNo,
        _: Incarnation,
        _: Ret<Result<CancelAnswer, Error>>,
    ) {
    }
    fn lookup(&self, _: &mut Core, _: RequestId, _: Ret<Result<StreamState, Error>>) {}
    fn load(&self, _: &mut Core, _: Ret<Result<LoadReport, Error>>) {}
    fn cache_events(&self, _: &mut Core, _: u64, _: Ret<Result<CacheEvents, Error>>) {}
    fn reserve(&self, _: &mut Core, _: Reserve, _: Ret<Result<(), Error>>) {}
    fn release(&self, _: &mut Core, _: ReservationId, _: Incarnation, _: Ret<Result<(), Error>>) {}
    fn holds(&self, _: &mut Core, _: Ret<Result<Vec<Hold>, Error>>) {}
    fn order(&self, _: &mut Core, _: EngineOrder, _: Fencing, _: Ret<Result<OrderAnswer, Error>>) {}
    fn state(&self, _: &mut Core, _: Ret<Result<OrderAnswer, Error>>) {}
    fn transfer(&self, _: &mut Core, _: RequestId, _: &Address, _: Ret<Result<Tokens, Error>>) {}
}

struct Nothing;

impl ClaimsPort for Nothing {
    fn claim(&self, _: &mut Core, _: ClaimCall, _: Ret<Result<ClaimAnswer, Error>>) {}
    fn settle(&self, _: &mut Core, _: SettleCall) {}
}

impl RequestLookup for Nothing {
    fn lookup(&self, _: &mut Core, _: RequestId, _: Ret<Result<Option<RequestReport>, Error>>) {}
}

impl CallerSink for Nothing {
    fn send(&self, event: CallerEvent) -> bool {
        std::hint::black_box(event);
        true
    }
}

/// Returns the resident memory in bytes; 0 if the system does not report it.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse().ok());
    pages.unwrap_or(0u64) * PAGE_BYTES
}

fn load() -> LoadReport {
    LoadReport {
        kv_capacity_tokens: Tokens(u64::from(u32::MAX)),
        step_ms: 12.0,
        ..LoadReport::default()
    }
}

fn main() {
    let origin = Instant::now();
    let mut stakker = Stakker::new(origin);
    let config: FleetConfig = bluebell_config::parse(CONFIG).expect("the configuration is valid");
    let config = Arc::new(config);
    let ports = RequestsPorts {
        timers: Timers::open(origin),
        incarnation: Incarnation(1),
        fleet_secret: b"secret".to_vec(),
        claims: Rc::new(Nothing),
        policy: bluebell_policy::open(PolicySettings::of(Kind::Laxity), &config, 1),
        observer: Box::new(NoObserver),
        lookup: Rc::new(Nothing),
        seed: 1,
    };
    let requests = Requests::spawn(&mut stakker, RequestsSettings::default(), ports);
    requests.set_config(ConfigVersion(1), config);
    let engine = Rc::new(Engine::default());
    let description = EngineDescription {
        name: "engine".into(),
        domain: "domain".into(),
        models: vec!["m".into()],
        kv_capacity_tokens: Tokens(u64::from(u32::MAX)),
    };
    requests.engine_live(description, engine.clone());
    stakker.run(origin, false);

    let prompt: Arc<str> = "a prompt of a thousand tokens or so ".repeat(112).into();
    let before_bytes = resident_bytes();
    let begun = Instant::now();
    for number in 0..REQUESTS {
        let completion = Completion {
            account: "a".into(),
            model: "m".into(),
            class: "draft".into(),
            prompt: prompt.clone(),
            max_tokens: Tokens(TOKENS),
            deadline_ms: None,
            idempotency_key: None,
        };
        requests.call(CallerCall::Complete {
            caller: CallerId(number),
            completion,
            sink: Box::new(Nothing),
        });
        stakker.run(origin, false);
    }
    let begin_time = begun.elapsed();
    let live_bytes = resident_bytes().saturating_sub(before_bytes);
    assert_eq!(
        engine.streams.borrow().len() as u64,
        REQUESTS,
        "not all were sent"
    );

    engine.send(&|| EventBody::Accepted {
        prompt_tokens: Tokens(1_000),
        cached_tokens: Tokens::ZERO,
        load: load(),
    });
    stakker.run(origin, false);
    let streaming = Instant::now();
    for seq in 0..TOKENS {
        engine.send(&|| EventBody::Token {
            seq: EventSeq(seq),
            text: "token ".into(),
        });
        stakker.run(origin, false);
    }
    let token_time = streaming.elapsed();
    let ending = Instant::now();
    engine.send(&|| EventBody::Finished {
        count: TOKENS,
        reason: FinishReason::Length,
        load: load(),
    });
    stakker.run(origin, false);
    let end_time = ending.elapsed();

    let per = |time: std::time::Duration, count: u64| time.as_secs_f64() * 1e6 / count as f64;
    println!("requests under way at once: {REQUESTS}, tokens each: {TOKENS}");
    println!("begin:  {:7.2} us a request", per(begin_time, REQUESTS));
    println!(
        "token:  {:7.2} us a token",
        per(token_time, REQUESTS * TOKENS)
    );
    println!("end:    {:7.2} us a request", per(end_time, REQUESTS));
    println!(
        "memory: {:7} bytes a request under way, its prompt shared",
        live_bytes / REQUESTS
    );
}
