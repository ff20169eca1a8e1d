//! A world of one or two production request actors on small engines, claims and services, under
//! virtual time.
#![allow(dead_code, missing_docs)]

pub mod engine;

use bluebell_base::prelude::*;
use bluebell_claims::ClaimsPort;
use bluebell_config::FleetConfig;
use bluebell_peers::Settlement;
use bluebell_peers::{ClaimAnswer, ClaimCall, ClaimKey, ClaimState, RequestReport, SettleCall};
use bluebell_policy::{Kind, Policy, PolicySettings};
use bluebell_requests::call::{CallerCall, CallerEvent, CallerId, CallerSink, Completion, ReadOn};
use bluebell_requests::{
    EngineCard, LengthBand, RefusedBy, RequestLookup, RequestObserver, Requests, RequestsHandle,
    RequestsPorts, RequestsSettings,
};
use bluebell_timers::Timers;
use bluebell_upstreams::prompt::{expected_count, expected_token, prompt_hash};
use engine::Engine;
use stakker::{Core, Ret, Stakker, ret_some_do};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const CONFIG: &str = r#"{
  "classes": [
    {"name": "draft", "first_token": [{"within_ms": 20000}], "end_ms": 30000, "idempotent": true},
    {"name": "notice", "first_token": [{"within_ms": 20000}], "end_ms": 30000, "idempotent": false}
  ],
  "accounts": [
    {"name": "parish", "key_sha256": "0000000000000000000000000000000000000000000000000000000000000000"},
    {"name": "paper", "key_sha256": "1111000000000000000000000000000000000000000000000000000000000000"}
  ],
  "models": [{"name": "m", "version": 1}],
  "services": [{"name": "board", "prefix": "/board", "timeout_ms": 5000,
                "no_repeat": [{"method": "POST", "path": "/notices"}]}]
}"#;

/// Collects what one caller is told.
#[derive(Clone, Default)]
pub struct Told {
    events: Arc<Mutex<Vec<(u64, CallerEvent)>>>,
    clock: Arc<std::sync::atomic::AtomicU64>,
}

impl CallerSink for Told {
    fn send(&self, event: CallerEvent) -> bool {
        let now_ms = self.clock.load(std::sync::atomic::Ordering::Relaxed);
        self.events.lock().expect("no panic").push((now_ms, event));
        true
    }
}

impl Told {
    /// What was told, without cursors, for a person.
    pub fn brief(&self) -> String {
        let events = self.events.lock().expect("no panic");
        let mut brief = String::new();
        for (at_ms, event) in events.iter() {
            match event {
                CallerEvent::Token { seq, .. } => brief += &format!("{at_ms}:{} ", seq.0),
                other => brief += &format!("{at_ms}:{other:?} "),
            }
        }
        brief
    }

    pub fn all(&self) -> Vec<CallerEvent> {
        let events = self.events.lock().expect("no panic");
        events.iter().map(|(_, event)| event.clone()).collect()
    }

    /// When the last event came, where it came.
    pub fn ended_ms(&self) -> Option<u64> {
        let events = self.events.lock().expect("no panic");
        let last = events.iter().find(|(_, event)| event.is_last());
        last.map(|(at_ms, _)| *at_ms)
    }

    pub fn texts(&self) -> Vec<(u64, Arc<str>)> {
        let all = self.all().into_iter();
        all.filter_map(|event| match event {
            CallerEvent::Token { seq, text, .. } => Some((seq.0, text)),
            _ => None,
        })
        .collect()
    }

    pub fn last_cursor(&self) -> Option<Arc<str>> {
        let all = self.all().into_iter().rev();
        all.filter_map(|event| match event {
            CallerEvent::Token { cursor, .. } => Some(cursor),
            _ => None,
        })
        .next()
    }

    pub fn request(&self) -> Option<RequestId> {
        self.all().into_iter().find_map(|event| match event {
            CallerEvent::Admitted { request } => Some(request),
            CallerEvent::Failed { request, .. } => request,
            _ => None,
        })
    }

    pub fn error(&self) -> Option<Error> {
        self.all().into_iter().find_map(|event| match event {
            CallerEvent::Failed { error, .. } => Some(error),
            _ => None,
        })
    }

    pub fn is_finished(&self) -> bool {
        matches!(self.all().last(), Some(CallerEvent::Finished { .. }))
    }

    /// Checks order and ends: no gaps, nothing twice, one last event at most, and it last.
    pub fn check(&self, prompt: &str, max_tokens: u64, first: u64) {
        let all = self.all();
        let lasts = all.iter().filter(|event| event.is_last()).count();
        assert!(lasts <= 1, "more than one last event: {}", self.brief());
        if lasts == 1 {
            assert!(
                all.last().is_some_and(CallerEvent::is_last),
                "after the last: {}",
                self.brief()
            );
        }
        let hash = prompt_hash(prompt);
        for (index, (seq, text)) in self.texts().iter().enumerate() {
            assert_eq!(
                *seq,
                first + index as u64,
                "a gap or a token twice: {}",
                self.brief()
            );
            assert_eq!(
                **text,
                expected_token(hash, *seq),
                "another request's token"
            );
        }
        if self.is_finished() {
            let count = first + self.texts().len() as u64;
            assert_eq!(
                count,
                expected_count(hash, Tokens(max_tokens)),
                "not whole: {}",
                self.brief()
            );
        }
    }
}

/// Claims that take effect and are granted together, or with the faults of the switches.
#[derive(Default)]
pub struct Claims {
    pub held: Rc<RefCell<Held>>,
    pub claimed: Cell<u32>,
    pub down: Cell<bool>,
    pub silent: Cell<bool>,
    pub delay_ms: Cell<u64>,
}

type Held = HashMap<ClaimKey, (ClaimCall, ClaimState)>;

fn take(held: &mut Held, call: ClaimCall) -> ClaimAnswer {
    match held.get(&call.key) {
        Some((by, state)) if by.request != call.request => ClaimAnswer::Held {
            by: by.request,
            state: *state,
            same: by.fingerprint == call.fingerprint,
        },
        _ => {
            held.insert(call.key, (call, ClaimState::Pending));
            ClaimAnswer::Granted
        }
    }
}

impl ClaimsPort for Claims {
    fn claim(&self, core: &mut Core, call: ClaimCall, ret: Ret<Result<ClaimAnswer, Error>>) {
        self.claimed.set(self.claimed.get() + 1);
        if self.down.get() {
            return ret.ret(Err(Error::not_run(
                ErrorKind::Unavailable,
                "the log is down",
            )));
        }
        let held = self.held.clone();
        let silent = self.silent.get();
        let at = core.now() + Duration::from_millis(self.delay_ms.get());
        core.timer_add(at, move |core| {
            let answer = take(&mut held.borrow_mut(), call);
            match silent {
                // Taken effect, and the answer is lost without a word.
                true => {
                    let later = core.now() + Duration::from_secs(3600);
                    core.timer_add(later, move |_| drop(ret));
                }
                false => ret.ret(Ok(answer)),
            }
        });
    }

    fn settle(&self, _: &mut Core, call: SettleCall) {
        let mut held = self.held.borrow_mut();
        let ours = held
            .get(&call.key)
            .is_some_and(|(by, _)| by.request == call.request);
        match (ours, call.settlement) {
            (true, Settlement::NotRun) => {
                held.remove(&call.key);
            }
            (true, Settlement::Ran) => {
                held.get_mut(&call.key).expect("held").1 = ClaimState::Ran;
            }
            (false, _) => (),
        }
    }
}

/// Finds requests at the other nodes of the world.
#[derive(Default)]
pub struct Peers {
    nodes: RefCell<HashMap<Incarnation, RequestsHandle>>,
    pub cut: Cell<bool>,
}

impl RequestLookup for Peers {
    fn lookup(
        &self,
        core: &mut Core,
        request: RequestId,
        ret: Ret<Result<Option<RequestReport>, Error>>,
    ) {
        if self.cut.get() {
            let at = core.now() + Duration::from_secs(3600);
            core.timer_add(at, move |_| drop(ret));
            return;
        }
        match self.nodes.borrow().get(&request.incarnation) {
            Some(node) => node.lookup(request, ret_some_do!(move |report| ret.ret(Ok(report)))),
            None => ret.ret(Err(Error::not_run(ErrorKind::Unavailable, "unreachable"))),
        }
    }
}

/// Counts what the observers are told.
#[derive(Default)]
pub struct Counts {
    pub admitted: Cell<u32>,
    pub attempts: Cell<u32>,
    pub retries: Cell<u32>,
    pub recalls: Cell<u32>,
    pub denied: Cell<u32>,
    pub first_tokens: Cell<u32>,
    pub between_tokens: Cell<u32>,
    pub finished: Cell<u32>,
    pub failed: Cell<u32>,
}

struct Counter(Rc<Counts>);

fn add(count: &Cell<u32>) {
    count.set(count.get() + 1);
}

impl RequestObserver for Counter {
    fn admitted(&mut self, _: &ClassName, _: LengthBand) {
        add(&self.0.admitted);
    }
    fn refused(&mut self, _: RefusedBy) {}
    fn first_token(&mut self, _: &ClassName, _: LengthBand, _: SpanMs) {
        add(&self.0.first_tokens);
    }
    fn between_tokens(&mut self, _: &ClassName, _: LengthBand, _: SpanMs) {
        add(&self.0.between_tokens);
    }
    fn attempt(&mut self) {
        add(&self.0.attempts);
    }
    fn retry(&mut self) {
        add(&self.0.retries);
    }
    fn recalled(&mut self) {
        add(&self.0.recalls);
    }
    fn retry_denied(&mut self) {
        add(&self.0.denied);
    }
    fn finished(&mut self, _: &ClassName, _: LengthBand, _: SpanMs) {
        add(&self.0.finished);
    }
    fn failed(&mut self, _: &Error) {
        add(&self.0.failed);
    }
    fn cancelled(&mut self) {}
    fn dropped_event(&mut self) {}
    fn upstream_refused(&mut self, _: &UpstreamName, _: &Error) {}
}

pub struct World {
    pub stakker: Stakker,
    pub origin: Instant,
    pub now_ms: u64,
    pub nodes: Vec<RequestsHandle>,
    pub engines: Vec<Engine>,
    pub claims: Rc<Claims>,
    pub peers: Rc<Peers>,
    pub counts: Rc<Counts>,
    clock: Arc<std::sync::atomic::AtomicU64>,
    callers: u64,
}

impl World {
    pub fn new(nodes: u64, engines: u64, seed: u64) -> Self {
        Self::with(nodes, engines, seed, RequestsSettings::default())
    }

    pub fn with(nodes: u64, engines: u64, seed: u64, settings: RequestsSettings) -> Self {
        Self::deciding(Kind::LeastRequests, nodes, engines, seed, settings)
    }

    /// A world whose nodes decide by the policy `kind`.
    pub fn deciding(
        kind: Kind,
        nodes: u64,
        engines: u64,
        seed: u64,
        settings: RequestsSettings,
    ) -> Self {
        let policy = PolicySettings::of(kind);
        Self::with_policies((nodes, engines), seed, settings, &|config, seed| {
            bluebell_policy::open(policy.clone(), config, seed)
        })
    }

    /// A world whose nodes decide by policies that `open` gives.
    pub fn with_policies(
        (nodes, engines): (u64, u64),
        seed: u64,
        settings: RequestsSettings,
        open: &dyn Fn(&FleetConfig, u64) -> Box<dyn Policy>,
    ) -> Self {
        let origin = Instant::now();
        let mut stakker = Stakker::new(origin);
        let config: Arc<FleetConfig> = Arc::new(bluebell_config::parse(CONFIG).expect("checked"));
        let claims = Rc::new(Claims::default());
        let peers = Rc::new(Peers::default());
        let counts = Rc::new(Counts::default());
        let engines: Vec<Engine> = (0..engines)
            .map(|i| Engine::new(origin, seed.wrapping_mul(31) + i))
            .collect();
        let mut handles = Vec::new();
        for node in 0..nodes {
            let incarnation = Incarnation(0xb0 + node);
            let ports = RequestsPorts {
                timers: Timers::open(origin),
                incarnation,
                fleet_secret: b"secret".to_vec(),
                claims: claims.clone(),
                policy: open(&config, seed + node),
                observer: Box::new(Counter(counts.clone())),
                lookup: peers.clone(),
                seed: seed + node,
            };
            let handle = Requests::spawn(&mut stakker, settings.clone(), ports);
            handle.check_each_step();
            handle.set_config(ConfigVersion(1), config.clone());
            for (index, engine) in engines.iter().enumerate() {
                handle.engine_live(card(index), Rc::new(engine.clone()));
            }
            peers.nodes.borrow_mut().insert(incarnation, handle.clone());
            handles.push(handle);
        }
        let mut world = Self {
            stakker,
            origin,
            now_ms: 0,
            nodes: handles,
            engines,
            claims,
            peers,
            counts,
            clock: Arc::default(),
            callers: 0,
        };
        world.run_to(0);
        world
    }

    /// Moves the clock in small steps, as a busy loop would see it.
    pub fn run_to(&mut self, at_ms: u64) {
        loop {
            let now = self.origin + Duration::from_millis(self.now_ms);
            self.clock
                .store(self.now_ms, std::sync::atomic::Ordering::Relaxed);
            self.stakker.run(now, false);
            if self.now_ms >= at_ms {
                return;
            }
            self.now_ms += 1;
        }
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_to(self.now_ms + ms);
    }

    pub fn told(&self) -> Told {
        Told {
            clock: self.clock.clone(),
            ..Told::default()
        }
    }

    pub fn caller(&mut self) -> CallerId {
        self.callers += 1;
        CallerId(self.callers)
    }

    /// Calls for an answer at a node and returns the caller with what it is told.
    pub fn complete(&mut self, node: usize, call: Completion) -> (CallerId, Told) {
        let (caller, told) = (self.caller(), self.told());
        self.nodes[node].call(CallerCall::Complete {
            caller,
            completion: call,
            sink: Box::new(told.clone()),
        });
        (caller, told)
    }

    /// Reads on at a node.
    pub fn read_on(
        &mut self,
        node: usize,
        account: &str,
        request: RequestId,
        cursor: Option<Arc<str>>,
    ) -> Told {
        let (caller, told) = (self.caller(), self.told());
        let account = AccountName::from(account);
        self.nodes[node].call(CallerCall::ReadOn {
            caller,
            call: ReadOn {
                account,
                request,
                cursor,
            },
            sink: Box::new(told.clone()),
        });
        told
    }

    pub fn gone(&mut self, node: usize, caller: CallerId) {
        self.nodes[node].call(CallerCall::Gone { caller });
    }

    /// A node's process dies; the nodes behind it move up.
    pub fn kill_node(&mut self, node: usize) {
        let incarnation = Incarnation(0xb0 + node as u64);
        self.peers.nodes.borrow_mut().remove(&incarnation);
        self.nodes.remove(node);
    }

    /// How often a request was begun on any engine.
    pub fn runs(&self, request: RequestId) -> u32 {
        let counts = self.engines.iter().map(|engine| {
            let state = engine.state.borrow();
            state.runs.get(&request).copied().unwrap_or(0)
        });
        counts.sum()
    }

    /// Whether no node's policy has a job left.
    pub fn policies_are_empty(&mut self) -> bool {
        let dumps: Rc<RefCell<Vec<Arc<str>>>> = Rc::default();
        for node in &self.nodes {
            let dumps = dumps.clone();
            node.dump(ret_some_do!(move |dump| dumps.borrow_mut().push(dump)));
        }
        self.run_for(1);
        let dumps = dumps.borrow();
        let empty = dumps.iter().filter(|dump| dump.contains("jobs 0,"));
        empty.count() == self.nodes.len()
    }

    pub fn held(&self) -> usize {
        self.engines.iter().map(Engine::held).sum()
    }

    /// The engine that a request was begun on last.
    pub fn engine_of(&self, request: RequestId) -> usize {
        let runs = |engine: &Engine| engine.state.borrow().runs.contains_key(&request);
        self.engines.iter().position(runs).expect("it was begun")
    }
}

pub fn card(index: usize) -> EngineCard {
    EngineCard {
        name: format!("engine-{index}").as_str().into(),
        domain: "galway-a".into(),
        models: vec!["m".into()],
        kv_capacity_tokens: engine::KV_TOKENS,
    }
}

/// Sets faults at all engines.
pub fn set_faults(world: &World, faults: engine::Faults) {
    for engine in &world.engines {
        engine.state.borrow_mut().faults = faults;
    }
}

pub fn call(class: &str, prompt: &str, max_tokens: u64) -> Completion {
    Completion {
        account: "parish".into(),
        model: "m".into(),
        class: class.into(),
        prompt: prompt.into(),
        max_tokens: Tokens(max_tokens),
        deadline_ms: None,
        idempotency_key: None,
    }
}

pub fn keyed(class: &str, prompt: &str, max_tokens: u64, key: &str) -> Completion {
    Completion {
        idempotency_key: Some(key.into()),
        ..call(class, prompt, max_tokens)
    }
}
