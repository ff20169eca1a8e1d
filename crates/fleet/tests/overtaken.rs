//! Tests that long prompts begin when they were expected to, while others keep arriving.

use bluebell_base::prelude::*;
use bluebell_fleet::placement::Fleet;
use bluebell_fleet::prelude::*;
use std::collections::HashMap;

const STEP_MS: u64 = 20;
const BEGIN_MS: u64 = 100_000;
const PHASE_MS: u64 = 10_000;

const TARGET_MS: SpanMs = SpanMs(4_000);
const GAP_MS: SpanMs = SpanMs(1_000);
const DEADLINE_MS: u64 = 15_000;
const ANSWER: Tokens = Tokens(680);

/// Highest number of engines that read one prompt.
const MAX_WIDTH: f64 = 17.0;

/// Factor and addition by which real engines take longer than their figures say: the passes of
/// their writers, and the end of the current pass.
const ENGINE_TIME_FACTOR: f64 = 1.1;
const PASS_END_MS: f64 = 80.0;

/// A fleet, and the share of its reading time that the prompts ask for.
#[derive(Clone, Copy, Debug)]
struct Pattern {
    engines: u32,
    /// The speed of these engines as a multiple of the speed of the users' engines.
    speed: f64,
    load: f64,
}

fn spec(speed: f64) -> EngineSpec {
    EngineSpec {
        slots: 12,
        memory_tokens: Tokens(344_250),
        step_ms: 1.31 / speed,
        per_writer_ms: 0.000917,
        per_context_k_ms: 0.00213,
        read_per_s: 154_000.0 * speed,
        pairs_per_m_ms: 0.162 / speed,
        chunk_tokens: Tokens(2_048),
        stride: 38,
        hop_ms: 0.1,
    }
}

/// Reproducible pseudo-random numbers from 0 to 1.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        let next = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = next.wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64 + 0.5) / (1u64 << 31) as f64
    }

    /// Returns the length of a prompt: 260,000 tokens on average.
    fn tokens(&mut self) -> Tokens {
        let normal = (-2.0 * self.next().ln()).sqrt() * (std::f64::consts::TAU * self.next()).cos();
        Tokens((225_000.0 * (0.55 * normal).exp()).clamp(110_000.0, 900_000.0) as u64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Reading { expected_ms: MonoMs },
    Begun { expected_ms: MonoMs, at_ms: MonoMs },
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    tokens: Tokens,
    arrived_ms: MonoMs,
    state: State,
}

impl Request {
    fn due_ms(&self) -> MonoMs {
        self.arrived_ms + TARGET_MS
    }
}

/// The parts that the engines really have to read, the newest shared part first.
#[derive(Default)]
struct Engines {
    parts: HashMap<ReplicaKey, Vec<(usize, f64)>>,
}

impl Engines {
    fn put(&mut self, at: usize, placement: &Placement) {
        let part = (at, PASS_END_MS + placement.part_ms * ENGINE_TIME_FACTOR);
        let shared = !placement.helpers.is_empty();
        for key in placement.helpers.iter().chain([&placement.first]) {
            let parts = self.parts.entry(*key).or_default();
            match shared {
                true => parts.insert(0, part),
                false => parts.push(part),
            }
        }
    }

    fn advance(&mut self) {
        for parts in self.parts.values_mut() {
            let mut passed_ms = STEP_MS as f64;
            while passed_ms > 0.0 && !parts.is_empty() {
                let read_ms = parts[0].1.min(passed_ms);
                parts[0].1 -= read_ms;
                passed_ms -= read_ms;
                parts.retain(|(_, left_ms)| *left_ms > 0.0);
            }
        }
    }

    fn is_read(&self, at: usize) -> bool {
        let mut parts = self.parts.values().flatten();
        parts.all(|(reading, _)| *reading != at)
    }
}

/// One node that knows all work.
struct World {
    pattern: Pattern,
    spec: EngineSpec,
    ledger: Ledger,
    engines: Engines,
    draws: Draws,
    requests: Vec<Request>,
    now_ms: MonoMs,
}

fn id(at: usize) -> WorkId {
    WorkId {
        owner: OwnerId(1),
        sequence: at as u32,
    }
}

impl World {
    fn new(pattern: Pattern, seed: u64) -> Self {
        Self {
            spec: spec(pattern.speed),
            pattern,
            ledger: Ledger::default(),
            engines: Engines::default(),
            draws: Draws(seed),
            requests: Vec::new(),
            now_ms: MonoMs(BEGIN_MS),
        }
    }

    fn run(&mut self) {
        let mut next_ms = BEGIN_MS as f64;
        let last_ms = BEGIN_MS + PHASE_MS;
        while self.now_ms.0 < last_ms + DEADLINE_MS {
            while next_ms < self.now_ms.0 as f64 && next_ms < last_ms as f64 {
                next_ms += self.arrive();
            }
            for at in 0..self.requests.len() {
                match self.requests[at].state {
                    State::Waiting => self.try_place(at),
                    State::Reading { expected_ms } => self.finish_reading(at, expected_ms),
                    State::Begun { at_ms, .. } => self.finish_writing(at, at_ms),
                    State::Refused => {}
                }
            }
            self.engines.advance();
            self.now_ms = self.now_ms + SpanMs(STEP_MS);
        }
    }

    /// Adds a request. Returns the time until the next, in ms.
    fn arrive(&mut self) -> f64 {
        let tokens = self.draws.tokens();
        self.requests.push(Request {
            tokens,
            arrived_ms: self.now_ms,
            state: State::Waiting,
        });
        let engines = f64::from(self.pattern.engines);
        self.spec.read_ms(tokens) / (engines * self.pattern.load)
    }

    fn try_place(&mut self, at: usize) {
        let request = self.requests[at];
        let waited_ms = self.now_ms.since(request.arrived_ms);
        if !waited_ms.0.is_multiple_of(TARGET_MS.0 / 25) {
            return;
        }
        let timeouts = WaitTimeouts::of(TARGET_MS, GAP_MS);
        let wait_expired = waited_ms >= timeouts.max_wait_ms;
        let left_ms = |span_ms: u64| span_ms.saturating_sub(waited_ms.0) as f64;
        let demand = Demand {
            prompt_tokens: request.tokens,
            answer_tokens: ANSWER,
            gap_ms: GAP_MS,
            target_ms: TARGET_MS.0 as f64,
            target_left_ms: left_ms(TARGET_MS.0),
            caller_timeout_left_ms: left_ms(timeouts.caller_timeout_ms.0),
            deadline_left_ms: left_ms(DEADLINE_MS),
            cost_limit: WaitTimeouts::cost_limit(waited_ms, TARGET_MS),
            partly_answered: false,
            wait_expired,
            returned: false,
            held: false,
        };
        let keys = (0..self.pattern.engines).map(ReplicaKey);
        let fleet = Fleet::of(keys, self.ledger.loads(self.now_ms), 1, 0);
        match place_engine(&self.spec, &fleet, &demand) {
            Ok(placement) => self.begin_reading(at, placement),
            Err(Refusal::Overloaded {
                cost_pct, in_time, ..
            }) if !wait_expired && WaitTimeouts::waiting_may_help(cost_pct, in_time) => {}
            Err(Refusal::NoRoom { .. }) if !wait_expired => {}
            Err(_) => self.requests[at].state = State::Refused,
        }
    }

    fn begin_reading(&mut self, at: usize, placement: Placement) {
        let request = &mut self.requests[at];
        request.state = State::Reading {
            expected_ms: self.now_ms + SpanMs(placement.first_event_ms as u64),
        };
        self.engines.put(at, &placement);
        let work = Work {
            first: placement.first,
            helpers: placement.helpers,
            memory: placement.memory,
            stage: Stage::Reading,
            placed_ms: self.now_ms,
            prompt_tokens: request.tokens,
            part_ms: placement.part_ms,
            gap_ms: GAP_MS,
            due_ms: request.due_ms(),
        };
        self.ledger.put(id(at), work, self.now_ms);
    }

    fn finish_reading(&mut self, at: usize, expected_ms: MonoMs) {
        if self.engines.is_read(at) {
            self.ledger.set_stage(id(at), Stage::Writing);
            self.requests[at].state = State::Begun {
                expected_ms,
                at_ms: self.now_ms,
            };
        }
    }

    fn finish_writing(&mut self, at: usize, begun_ms: MonoMs) {
        let passes = ANSWER.0.div_ceil(u64::from(self.spec.stride));
        let writing_ms = passes as f64 * self.spec.pass_ms(2, self.requests[at].tokens);
        if self.now_ms.since(begun_ms).0 as f64 >= writing_ms {
            self.ledger.remove(id(at));
        }
    }
}

/// Results of the requests of one pattern, as shares.
#[derive(Debug)]
struct Outcome {
    /// The share that began in time, of the requests that were placed and expected to begin in
    /// time.
    begun_as_expected: f64,
    /// The share that began in time, of all requests.
    in_time: f64,
    /// The share that was refused, of the requests that the widest placement reads within half of
    /// their target.
    refused: f64,
}

fn outcome(pattern: Pattern) -> Outcome {
    let (mut expected, mut begun_as_expected, mut all) = (0.0, 0.0, 0.0);
    let (mut refused, mut servable) = (0.0, 0.0);
    for seed in 1..=3 {
        let mut world = World::new(pattern, seed);
        world.run();
        for request in &world.requests {
            all += 1.0;
            let read_ms = world.spec.read_ms(request.tokens) / MAX_WIDTH;
            if read_ms <= TARGET_MS.0 as f64 / 2.0 {
                servable += 1.0;
                refused += f64::from(u8::from(request.state == State::Refused));
            }
            let State::Begun { expected_ms, at_ms } = request.state else {
                continue;
            };
            let due_ms = request.due_ms() + SpanMs(STEP_MS);
            expected += f64::from(u8::from(expected_ms <= due_ms));
            begun_as_expected += f64::from(u8::from(expected_ms <= due_ms && at_ms <= due_ms));
        }
    }
    Outcome {
        begun_as_expected: begun_as_expected / expected,
        in_time: begun_as_expected / all,
        refused: refused / servable,
    }
}

/// Guards against a caller that waits eight seconds for a prompt that should have begun after two.
/// Each engine was assumed to be free when it should have read its part, and was given the next
/// one, which overtakes it.
#[test]
fn a_prompt_that_should_be_read_by_now_is_not_overtaken() {
    for (engines, speed, load) in [
        (78, 1.0, 0.5),
        (78, 1.0, 0.75),
        (78, 2.0, 0.75),
        (40, 1.0, 0.75),
        (195, 1.0, 0.75),
    ] {
        let pattern = Pattern {
            engines,
            speed,
            load,
        };
        let outcome = outcome(pattern);
        assert!(outcome.begun_as_expected >= 0.9, "{pattern:?}: {outcome:?}");
        assert!(outcome.in_time >= 0.8, "{pattern:?}: {outcome:?}");
    }
}

/// Guards against long prompts that begin last after waiting their turn. Each new one took engines
/// that were still reading and overtook what they read, even if other engines would be free before
/// it is due.
#[test]
fn a_long_prompt_waits_for_engines_that_read_nothing() {
    for (engines, speed, load) in [(78, 2.0, 0.75), (40, 1.0, 0.75), (40, 1.0, 0.6)] {
        let pattern = Pattern {
            engines,
            speed,
            load,
        };
        let outcome = outcome(pattern);
        assert!(
            outcome.begun_as_expected >= 0.98,
            "{pattern:?}: {outcome:?}"
        );
        assert!(outcome.in_time >= 0.95, "{pattern:?}: {outcome:?}");
    }
}

/// Guards against refusing a caller at once although engines that could serve it become free before
/// it is due.
#[test]
fn a_long_prompt_waits_for_engines_that_come_free_in_time() {
    for (engines, speed, load) in [
        (40, 1.0, 0.75),
        (40, 1.0, 0.6),
        (78, 1.0, 0.75),
        (40, 2.0, 0.75),
    ] {
        let pattern = Pattern {
            engines,
            speed,
            load,
        };
        let outcome = outcome(pattern);
        println!("{pattern:?} {outcome:?}");
        assert!(outcome.refused <= 0.02, "{pattern:?}: {outcome:?}");
    }
}
