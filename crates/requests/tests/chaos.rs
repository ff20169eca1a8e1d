//! Random faults on production actors over many seeds; the guarantees hold whatever fails.
//!
//! `REQUESTS_SEED=n` replays one seed; `REQUESTS_SEEDS=n` runs that many (a longer soak).

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::Kind;
use bluebell_requests::RequestsSettings;
use bluebell_requests::call::{CallerCall, CallerId, Completion};
use common::engine::{Faults, KV_TOKENS};
use common::{ReceivedEvents, World, call, engine_description, keyed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The number of seeds if the environment sets none.
const SEEDS: u64 = 150;
/// The number of requests in one seed.
const REQUESTS: usize = 14;
/// The end target of each class in the test configuration.
const END_MS: u64 = 30_000;
/// Timers are rounded up to a fraction of the world's step of one millisecond.
const TICK_MS: u64 = 1;

struct IssuedRequest {
    call: Completion,
    node: usize,
    caller: CallerId,
    received: ReceivedEvents,
    at_ms: u64,
    hung_up: bool,
    /// The position of the first token wanted; above 0 for a caller that resumes reading.
    first: u64,
}

struct Chaos {
    world: World,
    rng: ChaCha8Rng,
    issued: Vec<IssuedRequest>,
}

#[test]
fn guarantees_hold_under_random_faults() {
    let ends = run_seeds(false, |_| ());
    assert!(ends.len() > 5, "{ends:#?}");
    assert!(ends.contains_key("finished by a group"), "{ends:#?}");
}

/// The same with engines that are busier than the policy assumes, so that work is recalled.
#[test]
fn guarantees_hold_under_random_faults_with_recalls() {
    let mut recalls = 0;
    let ends = run_seeds(true, |world| recalls += world.counts.recalls.get());
    println!("{recalls} recalls");
    assert!(recalls > SEEDS as u32 / 2, "{recalls} recalls");
    assert!(ends.len() > 5, "{ends:#?}");
}

/// Runs the seeds that the environment selects; with `filled`, the engines have work from the
/// start. Returns the outcomes of the requests and their counts.
fn run_seeds(filled: bool, mut after: impl FnMut(&World)) -> BTreeMap<String, usize> {
    let one = std::env::var("REQUESTS_SEED")
        .ok()
        .and_then(|s| s.parse().ok());
    let many = std::env::var("REQUESTS_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok());
    let seeds = match one {
        Some(seed) => seed..seed + 1,
        None => 0..many.unwrap_or(SEEDS),
    };
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for seed in seeds {
        // The test harness prints the seed only if the test fails.
        println!("REQUESTS_SEED={seed}");
        let mut chaos = Chaos::new(filled, seed);
        for end in chaos.run() {
            *ends.entry(end).or_default() += 1;
        }
        after(&chaos.world);
    }
    // Faults that never take effect, or a world in which nothing succeeds, would prove nothing.
    println!("{ends:#?}");
    ends
}

impl Chaos {
    fn new(filled: bool, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (nodes, engines) = (rng.random_range(1..=2), rng.random_range(2..=4));
        // Alternates between the production policy and a baseline; only the former recalls work.
        let kind = match seed % 2 {
            _ if filled => Kind::Laxity,
            0 => Kind::Laxity,
            _ => Kind::LeastRequests,
        };
        let settings = RequestsSettings::default();
        let world = World::deciding(kind, nodes, engines, seed, settings);
        let mut chaos = Self {
            world,
            rng,
            issued: Vec::new(),
        };
        chaos.set_faults();
        if filled {
            (0..engines as usize).for_each(|engine| chaos.fill(engine));
        }
        chaos
    }

    fn set_faults(&self) {
        let mut rng = self.rng.clone();
        for engine in &self.world.engines {
            let mut some = |most: f64| match rng.random_bool(0.4) {
                true => rng.random_range(0.0..most),
                false => 0.0,
            };
            let faults = Faults {
                lose_call: some(0.2),
                lose_answer: some(0.2),
                break_call: some(0.2),
                refuse: some(0.3),
                lose_event: some(0.05),
                double_event: some(0.2),
                cross_event: some(0.2),
                break_stream: some(0.05),
                delay_call_ms: some(2_000.0) as u64,
                delay_event_ms: some(300.0) as u64,
            };
            engine.state.borrow_mut().faults = faults;
        }
    }

    fn run(&mut self) -> Vec<String> {
        for index in 0..REQUESTS {
            self.issue(index);
            for _ in 0..self.rng.random_range(0..4) {
                self.inject_fault();
                let pause_ms = self.rng.random_range(1..800);
                self.world.run_for(pause_ms);
            }
        }
        self.world.run_for(END_MS + 1);
        self.clear_faults();
        self.world.run_for(60_000);
        self.retry_keys();
        self.world.run_for(END_MS + 1);
        self.check_all()
    }

    fn issue(&mut self, index: usize) {
        // One in four prompts needs the memory of two engines.
        let repeats = if self.rng.random_bool(0.25) { 7_000 } else { 1 };
        let prompt = format!("prompt {index} ").repeat(repeats);
        let max_tokens = self.rng.random_range(1..60);
        let completion = match self.rng.random_range(0..3) {
            0 => call("draft", &prompt, max_tokens),
            1 => call("notice", &prompt, max_tokens),
            _ => keyed("notice", &prompt, max_tokens, &format!("key {index}")),
        };
        self.send(completion);
    }

    fn send(&mut self, completion: Completion) {
        let node = self.rng.random_range(0..self.world.nodes.len());
        let (caller, received) = self.world.complete(node, completion.clone());
        self.issued.push(IssuedRequest {
            call: completion,
            node,
            caller,
            received,
            at_ms: self.world.now_ms,
            hung_up: false,
            first: 0,
        });
    }

    /// Injects one fault or lets a caller act.
    fn inject_fault(&mut self) {
        let engine = self.rng.random_range(0..self.world.engines.len());
        let engine_port = self.world.engines[engine].clone();
        let issued = self.rng.random_range(0..self.issued.len());
        match self.rng.random_range(0..16) {
            0 => engine_port.kill(&mut self.world.stakker),
            1 | 2 => engine_port.restart(),
            3 => engine_port.freeze(true, &mut self.world.stakker),
            4 | 5 => engine_port.freeze(false, &mut self.world.stakker),
            6 => self.announce(engine, false),
            7 => self.announce(engine, true),
            8 => self.hang_up(issued),
            9 => self.resume_answer(issued),
            10 => self.cancel(issued),
            11 => self.send(self.issued[issued].call.clone()),
            12 => self.inject_claims_fault(),
            13 | 14 => self.fill(engine),
            _ => (),
        }
    }

    /// Sets or clears the work that an engine has ahead of new requests.
    fn fill(&mut self, engine: usize) {
        let mut state = self.world.engines[engine].state.borrow_mut();
        state.queued = self.rng.random_bool(0.3);
        state.backlog_tokens = Tokens(self.rng.random_range(0..40_000));
    }

    fn inject_claims_fault(&mut self) {
        let claims = self.world.claims.clone();
        claims.down.set(self.rng.random_bool(0.3));
        claims.silent.set(self.rng.random_bool(0.2));
        claims.delay_ms.set(self.rng.random_range(0..7_000));
    }

    fn announce(&mut self, engine: usize, live: bool) {
        for node in &self.world.nodes {
            let port = Rc::new(self.world.engines[engine].clone());
            match live {
                true => node.engine_live(engine_description(engine), port),
                false => node.engine_gone(engine_description(engine).name),
            }
        }
    }

    fn hang_up(&mut self, issued: usize) {
        let issued = &mut self.issued[issued];
        issued.hung_up = true;
        self.world.nodes[issued.node].call(CallerCall::Disconnected {
            caller: issued.caller,
        });
    }

    fn resume_answer(&mut self, issued: usize) {
        let node = self.rng.random_range(0..self.world.nodes.len());
        let before = &self.issued[issued];
        let Some(request) = before.received.request() else {
            return;
        };
        let cursor = before.received.last_cursor();
        let texts = before.received.texts();
        let first = texts.last().map_or(0, |(seq, _)| seq + 1);
        let call = before.call.clone();
        let received = self.world.resume_answer(node, "parish", request, cursor);
        self.issued.push(IssuedRequest {
            call,
            node,
            caller: CallerId(u64::MAX),
            received,
            at_ms: self.world.now_ms,
            hung_up: false,
            first,
        });
    }

    fn cancel(&mut self, issued: usize) {
        let issued = &self.issued[issued];
        if let Some(request) = issued.received.request() {
            let account = AccountName::from("parish");
            let reply = Box::new(|_| ());
            self.world.nodes[issued.node].call(CallerCall::Cancel {
                account,
                request,
                reply,
            });
        }
    }

    /// Ends all faults.
    fn clear_faults(&mut self) {
        for engine in self.world.engines.clone() {
            engine.state.borrow_mut().faults = Faults::default();
            engine.state.borrow_mut().queued = false;
            engine.restart();
            engine.freeze(false, &mut self.world.stakker);
        }
        self.world.claims.down.set(false);
        self.world.claims.silent.set(false);
    }

    /// Repeats every call with a key; a request that ran must not run again.
    fn retry_keys(&mut self) {
        let keyed = self
            .issued
            .iter()
            .filter(|a| a.call.idempotency_key.is_some());
        let calls: Vec<Completion> = keyed.map(|issued| issued.call.clone()).collect();
        calls.into_iter().for_each(|call| self.send(call));
    }

    fn check_all(&mut self) -> Vec<String> {
        let mut by_key: HashMap<IdempotencyKey, u32> = HashMap::new();
        let mut seen = Vec::new();
        for issued in &self.issued {
            self.check_request(issued);
            let Some(request) = issued.received.request() else {
                continue;
            };
            if issued.call.class == ClassName::from("notice") && !seen.contains(&request) {
                seen.push(request);
                let runs = self.world.runs(request);
                assert!(runs <= 1, "{request} ran {runs} times");
                if let Some(key) = &issued.call.idempotency_key {
                    *by_key.entry(key.clone()).or_default() += runs;
                }
            }
        }
        for (key, runs) in by_key {
            assert!(runs <= 1, "{key} ran {runs} times");
        }
        assert_eq!(self.world.held(), 0, "memory is held without an owner");
        assert!(
            self.world.policies_are_empty(),
            "the policies still have jobs"
        );
        let issued = self.issued.iter().filter(|issued| !issued.hung_up);
        issued.map(outcome_of).collect()
    }

    fn check_request(&self, issued: &IssuedRequest) {
        let received = &issued.received;
        received.check(&issued.call.prompt, issued.call.max_tokens.0, issued.first);
        if !issued.hung_up {
            let ended_ms = received.ended_ms().expect("a last event");
            let took_ms = ended_ms - issued.at_ms;
            assert!(
                took_ms <= END_MS + TICK_MS,
                "after {took_ms} ms: {}",
                received.summary()
            );
        }
        let Some(request) = received.request() else {
            return;
        };
        if received
            .error()
            .is_some_and(|e| e.verdict == Verdict::NotRun)
        {
            assert_eq!(
                self.world.runs(request),
                0,
                "{request} ran: {}",
                received.summary()
            );
        }
        if received.error().is_some_and(|e| e.verdict == Verdict::Ran) && !is_conflict(received) {
            assert!(self.world.runs(request) > 0, "{request} never ran");
        }
    }
}

fn outcome_of(issued: &IssuedRequest) -> String {
    match issued.received.error() {
        Some(error) => format!("{:?} {}", error.kind, error.verdict),
        None if issued.call.prompt.len() > 4 * KV_TOKENS.0 as usize => "finished by a group".into(),
        None => "finished".into(),
    }
}

fn is_conflict(received: &ReceivedEvents) -> bool {
    received
        .error()
        .is_some_and(|e| e.kind == ErrorKind::Conflict)
}
