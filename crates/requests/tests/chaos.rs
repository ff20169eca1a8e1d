//! Many seeds of random faults on production actors: whatever fails, the promises hold.
//!
//! `REQUESTS_SEED=n` replays one seed; `REQUESTS_SEEDS=n` runs that many (a longer soak).

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::Kind;
use bluebell_requests::RequestsSettings;
use bluebell_requests::call::{CallerCall, CallerId, Completion};
use common::engine::{Faults, KV_TOKENS};
use common::{Told, World, call, engine_description, keyed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Seeds run where the environment says nothing.
const SEEDS: u64 = 150;
/// Requests of one seed.
const REQUESTS: usize = 14;
/// Each class's end target in the test configuration.
const END_MS: u64 = 30_000;
/// Timers are rounded up to a fraction of the world's step of a millisecond.
const TICK_MS: u64 = 1;

struct Asked {
    call: Completion,
    node: usize,
    caller: CallerId,
    told: Told,
    at_ms: u64,
    hung_up: bool,
    /// The first token wanted, for a caller that reads on.
    first: u64,
}

struct Chaos {
    world: World,
    rng: ChaCha8Rng,
    asked: Vec<Asked>,
}

#[test]
fn the_promises_hold_under_random_faults() {
    let ends = run_seeds(false, |_| ());
    assert!(ends.len() > 5, "{ends:#?}");
    assert!(ends.contains_key("finished by a group"), "{ends:#?}");
}

/// The same where engines are busier than they were believed to be, so that work is taken back.
#[test]
fn the_promises_hold_under_random_faults_with_recalls() {
    let mut recalls = 0;
    let ends = run_seeds(true, |world| recalls += world.counts.recalls.get());
    println!("{recalls} recalls");
    assert!(recalls > SEEDS as u32 / 2, "{recalls} recalls");
    assert!(ends.len() > 5, "{ends:#?}");
}

/// Runs the seeds that the environment names, with engines that are `filled` from the beginning or
/// not; gives how the requests ended, and how often.
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
        // The seed is printed by the harness only where the test fails.
        println!("REQUESTS_SEED={seed}");
        let mut chaos = Chaos::new(filled, seed);
        for end in chaos.run() {
            *ends.entry(end).or_default() += 1;
        }
        after(&chaos.world);
    }
    // Faults that never hit, or a world where nothing succeeds, would prove nothing.
    println!("{ends:#?}");
    ends
}

impl Chaos {
    fn new(filled: bool, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (nodes, engines) = (rng.random_range(1..=2), rng.random_range(2..=4));
        // The production policy and a baseline in turn; only the former recalls.
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
            asked: Vec::new(),
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
            self.ask(index);
            for _ in 0..self.rng.random_range(0..4) {
                self.strike();
                let pause_ms = self.rng.random_range(1..800);
                self.world.run_for(pause_ms);
            }
        }
        self.world.run_for(END_MS + 1);
        self.calm();
        self.world.run_for(60_000);
        self.retry_keys();
        self.world.run_for(END_MS + 1);
        self.check_all()
    }

    fn ask(&mut self, index: usize) {
        // One in four needs two engines' memory.
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
        let (caller, told) = self.world.complete(node, completion.clone());
        self.asked.push(Asked {
            call: completion,
            node,
            caller,
            told,
            at_ms: self.world.now_ms,
            hung_up: false,
            first: 0,
        });
    }

    /// Lets one thing go wrong, or a caller do something.
    fn strike(&mut self) {
        let engine = self.rng.random_range(0..self.world.engines.len());
        let engine_port = self.world.engines[engine].clone();
        let asked = self.rng.random_range(0..self.asked.len());
        match self.rng.random_range(0..16) {
            0 => engine_port.kill(&mut self.world.stakker),
            1 | 2 => engine_port.restart(),
            3 => engine_port.freeze(true, &mut self.world.stakker),
            4 | 5 => engine_port.freeze(false, &mut self.world.stakker),
            6 => self.announce(engine, false),
            7 => self.announce(engine, true),
            8 => self.hang_up(asked),
            9 => self.resume_answer(asked),
            10 => self.cancel(asked),
            11 => self.send(self.asked[asked].call.clone()),
            12 => self.strike_claims(),
            13 | 14 => self.fill(engine),
            _ => (),
        }
    }

    /// The engine has work ahead of whatever comes next, or has it no more.
    fn fill(&mut self, engine: usize) {
        let mut state = self.world.engines[engine].state.borrow_mut();
        state.queued = self.rng.random_bool(0.3);
        state.backlog_tokens = Tokens(self.rng.random_range(0..40_000));
    }

    fn strike_claims(&mut self) {
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

    fn hang_up(&mut self, asked: usize) {
        let asked = &mut self.asked[asked];
        asked.hung_up = true;
        self.world.nodes[asked.node].call(CallerCall::Disconnected {
            caller: asked.caller,
        });
    }

    fn resume_answer(&mut self, asked: usize) {
        let node = self.rng.random_range(0..self.world.nodes.len());
        let before = &self.asked[asked];
        let Some(request) = before.told.request() else {
            return;
        };
        let cursor = before.told.last_cursor();
        let texts = before.told.texts();
        let first = texts.last().map_or(0, |(seq, _)| seq + 1);
        let call = before.call.clone();
        let told = self.world.resume_answer(node, "parish", request, cursor);
        self.asked.push(Asked {
            call,
            node,
            caller: CallerId(u64::MAX),
            told,
            at_ms: self.world.now_ms,
            hung_up: false,
            first,
        });
    }

    fn cancel(&mut self, asked: usize) {
        let asked = &self.asked[asked];
        if let Some(request) = asked.told.request() {
            let account = AccountName::from("parish");
            let reply = Box::new(|_| ());
            self.world.nodes[asked.node].call(CallerCall::Cancel {
                account,
                request,
                reply,
            });
        }
    }

    /// All faults end.
    fn calm(&mut self) {
        for engine in self.world.engines.clone() {
            engine.state.borrow_mut().faults = Faults::default();
            engine.state.borrow_mut().queued = false;
            engine.restart();
            engine.freeze(false, &mut self.world.stakker);
        }
        self.world.claims.down.set(false);
        self.world.claims.silent.set(false);
    }

    /// Every caller with a key asks once more: whatever ran must not run again.
    fn retry_keys(&mut self) {
        let keyed = self
            .asked
            .iter()
            .filter(|a| a.call.idempotency_key.is_some());
        let calls: Vec<Completion> = keyed.map(|asked| asked.call.clone()).collect();
        calls.into_iter().for_each(|call| self.send(call));
    }

    fn check_all(&mut self) -> Vec<String> {
        let mut by_key: HashMap<IdempotencyKey, u32> = HashMap::new();
        let mut seen = Vec::new();
        for asked in &self.asked {
            self.check_one(asked);
            let Some(request) = asked.told.request() else {
                continue;
            };
            if asked.call.class == ClassName::from("notice") && !seen.contains(&request) {
                seen.push(request);
                let runs = self.world.runs(request);
                assert!(runs <= 1, "{request} ran {runs} times");
                if let Some(key) = &asked.call.idempotency_key {
                    *by_key.entry(key.clone()).or_default() += runs;
                }
            }
        }
        for (key, runs) in by_key {
            assert!(runs <= 1, "{key} ran {runs} times");
        }
        assert_eq!(self.world.held(), 0, "memory is held by nobody");
        assert!(self.world.policies_are_empty(), "jobs of nobody are left");
        let asked = self.asked.iter().filter(|asked| !asked.hung_up);
        asked.map(end_of).collect()
    }

    fn check_one(&self, asked: &Asked) {
        let told = &asked.told;
        told.check(&asked.call.prompt, asked.call.max_tokens.0, asked.first);
        if !asked.hung_up {
            let ended_ms = told.ended_ms().expect("a last event");
            let took_ms = ended_ms - asked.at_ms;
            assert!(
                took_ms <= END_MS + TICK_MS,
                "after {took_ms} ms: {}",
                told.brief()
            );
        }
        let Some(request) = told.request() else {
            return;
        };
        if told.error().is_some_and(|e| e.verdict == Verdict::NotRun) {
            assert_eq!(
                self.world.runs(request),
                0,
                "{request} ran: {}",
                told.brief()
            );
        }
        if told.error().is_some_and(|e| e.verdict == Verdict::Ran) && !is_conflict(told) {
            assert!(self.world.runs(request) > 0, "{request} never ran");
        }
    }
}

fn end_of(asked: &Asked) -> String {
    match asked.told.error() {
        Some(error) => format!("{:?} {}", error.kind, error.verdict),
        None if asked.call.prompt.len() > 4 * KV_TOKENS.0 as usize => "finished by a group".into(),
        None => "finished".into(),
    }
}

fn is_conflict(told: &Told) -> bool {
    told.error().is_some_and(|e| e.kind == ErrorKind::Conflict)
}
