//! A world of one or two production request actors on small engines, claims and services, under
//! virtual time.
#![allow(dead_code, missing_docs)]

pub mod engine;
pub mod ports;
pub mod received;

pub use received::ReceivedEvents;

use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_policy::{Kind, Policy, PolicySettings};
use bluebell_requests::call::{CallerCall, CallerId, Completion, ResumeAnswer};
use bluebell_requests::{
    EngineDescription, Requests, RequestsHandle, RequestsPorts, RequestsSettings,
};
use bluebell_timers::Timers;
use engine::Engine;
use ports::{Claims, CountingObserver, Counts, Peers};
use stakker::{Stakker, ret_some_do};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
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

pub struct World {
    pub stakker: Stakker,
    pub origin: Instant,
    pub now_ms: u64,
    pub nodes: Vec<RequestsHandle>,
    pub engines: Vec<Engine>,
    pub claims: Rc<Claims>,
    pub peers: Rc<Peers>,
    pub counts: Rc<Counts>,
    clock: Arc<AtomicU64>,
    callers: u64,
}

impl World {
    pub fn new(nodes: u64, engines: u64, seed: u64) -> Self {
        Self::with(nodes, engines, seed, RequestsSettings::default())
    }

    pub fn with(nodes: u64, engines: u64, seed: u64, settings: RequestsSettings) -> Self {
        Self::deciding(Kind::LeastRequests, nodes, engines, seed, settings)
    }

    /// Creates a world whose nodes use the policy `kind`.
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

    /// Creates a world whose nodes use the policies that `open` returns.
    pub fn with_policies(
        (nodes, engines): (u64, u64),
        seed: u64,
        settings: RequestsSettings,
        open: &dyn Fn(&FleetConfig, u64) -> Box<dyn Policy>,
    ) -> Self {
        let origin = Instant::now();
        let mut stakker = Stakker::new(origin);
        let config: Arc<FleetConfig> =
            Arc::new(bluebell_config::parse(CONFIG).expect("the configuration is valid"));
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
                observer: Box::new(CountingObserver(counts.clone())),
                lookup: peers.clone(),
                seed: seed + node,
            };
            let handle = Requests::spawn(&mut stakker, settings.clone(), ports);
            handle.check_each_step();
            handle.set_config(ConfigVersion(1), config.clone());
            for (index, engine) in engines.iter().enumerate() {
                handle.engine_live(engine_description(index), Rc::new(engine.clone()));
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

    /// Advances the clock in steps of a millisecond, as a busy loop would.
    pub fn run_to(&mut self, at_ms: u64) {
        loop {
            let now = self.origin + Duration::from_millis(self.now_ms);
            self.clock.store(self.now_ms, Ordering::Relaxed);
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

    pub fn received(&self) -> ReceivedEvents {
        ReceivedEvents::new(self.clock.clone())
    }

    pub fn caller(&mut self) -> CallerId {
        self.callers += 1;
        CallerId(self.callers)
    }

    /// Sends a call for an answer to a node; returns the caller and the events that it receives.
    pub fn complete(&mut self, node: usize, call: Completion) -> (CallerId, ReceivedEvents) {
        let (caller, received) = (self.caller(), self.received());
        self.nodes[node].call(CallerCall::Complete {
            caller,
            completion: call,
            sink: Box::new(received.clone()),
        });
        (caller, received)
    }

    /// Resumes reading at a node.
    pub fn resume_answer(
        &mut self,
        node: usize,
        account: &str,
        request: RequestId,
        cursor: Option<Arc<str>>,
    ) -> ReceivedEvents {
        let (caller, received) = (self.caller(), self.received());
        let account = AccountName::from(account);
        self.nodes[node].call(CallerCall::ResumeAnswer {
            caller,
            call: ResumeAnswer {
                account,
                request,
                cursor,
            },
            sink: Box::new(received.clone()),
        });
        received
    }

    pub fn disconnect(&mut self, node: usize, caller: CallerId) {
        self.nodes[node].call(CallerCall::Disconnected { caller });
    }

    /// Kills a node's process; the nodes after it move up by one index.
    pub fn kill_node(&mut self, node: usize) {
        let incarnation = Incarnation(0xb0 + node as u64);
        self.peers.nodes.borrow_mut().remove(&incarnation);
        self.nodes.remove(node);
    }

    /// Returns the number of times that a request was started on all engines.
    pub fn runs(&self, request: RequestId) -> u32 {
        let counts = self.engines.iter().map(|engine| {
            let state = engine.state.borrow();
            state.runs.get(&request).copied().unwrap_or(0)
        });
        counts.sum()
    }

    /// Returns true if no node's policy has a job left.
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

    /// Returns the first engine that a request was started on.
    pub fn engine_of(&self, request: RequestId) -> usize {
        let runs = |engine: &Engine| engine.state.borrow().runs.contains_key(&request);
        self.engines
            .iter()
            .position(runs)
            .expect("the request was started")
    }
}

pub fn engine_description(index: usize) -> EngineDescription {
    EngineDescription {
        name: format!("engine-{index}").as_str().into(),
        domain: "galway-a".into(),
        models: vec!["m".into()],
        kv_capacity_tokens: engine::KV_TOKENS,
    }
}

/// Sets the faults of all engines.
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
