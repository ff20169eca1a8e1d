//! The driver: nodes with a policy each, before fake engines, under virtual time.
//!
//! Terms: a *node* has its own policy, clock and upstream ids, and hears of engines only by what
//! the real one would: late load reports, cache events, the load that rides on answers, the ends
//! of its own attempts, and the platform's lagging list.
//!
//! Invariants: the same scenario gives the same records; every request is over at the end.

mod engines;
mod faults;
mod nodes;
mod queue;
mod record;

pub use record::{Fate, Record, Totals};

use crate::scenario::Scenario;
use crate::workload::{Mix, Request, generate, mean_prompt_tokens};
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_policy::Policy;
use bluebell_stand_ins::engine::{EngineModel, ModelEvent};
use bluebell_upstreams::prompt::mix;
use queue::{Attempt, EngineNo, Event, NodeNo, Queue, RequestNo};

/// One way between a node and an engine, in microseconds.
pub const WAY_US: u64 = 1_000;
/// The interval at which a node requests the load of each engine.
const POLL_US: u64 = 1_000_000;
/// The time of the fault, as a share of the time of arrivals.
const FAULT_AT: f64 = 0.4;
/// The maximum duration of a run after the last arrival.
const REST_US: u64 = 700_000_000;

/// A run's result.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// The requests.
    pub requests: Vec<Request>,
    /// The records of the requests.
    pub records: Vec<Record>,
    /// The record of the run.
    pub totals: Totals,
}

struct Engine {
    model: EngineModel,
    alive: bool,
    armed_us: u64,
    open: Vec<Attempt>,
}

struct Node {
    policy: Box<dyn Policy>,
    clock_us: u64,
    wake_us: u64,
    cache_from: Vec<u64>,
    leaving_told: Vec<bool>,
}

/// A request on its way through a run.
#[derive(Clone, Debug, Default)]
struct Live {
    arrived_us: u64,
    number: u32,
    recalled: bool,
    begun: bool,
    avoid: Vec<EngineNo>,
    engine: Option<EngineNo>,
}

struct Driver {
    scenario: Scenario,
    config: FleetConfig,
    requests: Vec<Request>,
    records: Vec<Record>,
    live: Vec<Live>,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    queue: Queue,
    now_us: u64,
    totals: Totals,
    events: Vec<ModelEvent>,
    decisions: Vec<bluebell_policy::Decision>,
    open: usize,
}

/// Runs a scenario whose fleet has the capacity given, in prompt tokens a second.
pub fn run(scenario: &Scenario, capacity: PerSecond) -> RunResult {
    let requests = generate(&Mix {
        rate: PerSecond(scenario.load * capacity.0 / mean_prompt_tokens()),
        duration_ms: scenario.duration_ms,
        long_work: scenario.long_work,
        hog_factor: scenario.hog_factor,
        bursts: scenario.bursts,
        seed: scenario.seed,
    });
    let mut driver = Driver::open(scenario.clone(), requests);
    driver.start();
    driver.run();
    driver.finish()
}

impl Driver {
    fn open(scenario: Scenario, requests: Vec<Request>) -> Self {
        let config = scenario.fleet.config();
        let engines = (0..scenario.fleet.engines())
            .map(|i| engines::open(&scenario, i))
            .collect();
        let nodes = (0..scenario.nodes)
            .map(|i| nodes::open(&scenario, &config, i))
            .collect();
        Self {
            config,
            records: vec![Record::default(); requests.len()],
            live: vec![Live::default(); requests.len()],
            open: requests.len(),
            requests,
            engines,
            nodes,
            queue: Queue::default(),
            now_us: 0,
            totals: Totals::default(),
            events: Vec::new(),
            decisions: Vec::new(),
            scenario,
        }
    }

    fn start(&mut self) {
        for (i, request) in self.requests.iter().enumerate() {
            let event = Event::Arrive(RequestNo(i as u32));
            self.queue.push(request.at_us, event);
        }
        let pairs =
            (0..self.nodes.len()).flat_map(|n| (0..self.engines.len()).map(move |e| (n, e)));
        for (node, engine) in pairs {
            let draw = mix(self.scenario.seed, (node * 1_000 + engine) as u64);
            let event = Event::Poll(NodeNo(node as u32), EngineNo(engine as u32));
            self.queue.push(draw % POLL_US, event);
        }
        let fault_us = (self.scenario.duration_ms.0 as f64 * 1_000.0 * FAULT_AT) as u64;
        self.queue.push(fault_us, Event::Fault);
    }

    fn run(&mut self) {
        let end_us = self.scenario.duration_ms.0 * 1_000 + REST_US;
        while self.open > 0 {
            let Some((at_us, event)) = self.queue.pop() else {
                return;
            };
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Call(attempt) => self.call(attempt),
            Event::Cancel(request, number, engine) => self.cancel(request, number, engine),
            Event::Accepted(request, number, cached_tokens, load) => {
                self.accepted(request, number, cached_tokens, &load);
            }
            Event::Step(engine) => self.step(engine),
            Event::FirstToken(request, number) => self.first_token(request, number),
            Event::End(request, number, outcome) => self.attempt_ended(request, number, outcome),
            Event::Poll(node, engine) => self.poll(node, engine),
            Event::Load(node, engine, report) => self.load(node, engine, &report),
            Event::Cache(node, engine, events, gap) => self.cache(node, engine, &events, gap),
            Event::Wake(node) => self.wake(node),
            Event::Fault => self.fault(),
            Event::Gone(engine) => self.engine_gone(engine),
            Event::ListLeaving(node, engine) => self.list_leaving(node, engine),
            Event::ListGone(node, engine) => self.list_gone(node, engine),
        }
    }

    fn finish(mut self) -> RunResult {
        // What releases the last request's memory is still on its way.
        self.now_us += 10 * WAY_US;
        for engine in &mut self.engines {
            engine.model.advance(self.now_us, &mut self.events);
            let stats = engine.model.stats();
            let capacity = engine.model.settings().kv_capacity_tokens.0 as f64;
            self.totals.computed_tokens += stats.computed_tokens.0;
            self.totals.wasted_tokens += stats.wasted_tokens.0;
            if self.open == 0 {
                self.totals.stranded_tokens += stats.held_tokens.0;
            }
            let share = stats.peak_held_tokens.0 as f64 / capacity;
            self.totals.peak_kv_share = self.totals.peak_kv_share.max(share);
        }
        self.totals.requests = self.requests.len() as u64;
        RunResult {
            requests: self.requests,
            records: self.records,
            totals: self.totals,
        }
    }
}
