//! Tests that long prompts of every size are served while there is much to read.

use bluebell_base::prelude::*;
use bluebell_fleet::placement::Fleet;
use bluebell_fleet::prelude::*;

/// Time after which placing a waiting request is tried again.
const RETRY_INTERVAL_MS: u64 = 40;

/// Time for which long prompts keep arriving, and when they begin to.
const PHASE_MS: u64 = 12_000;
const BEGIN_MS: u64 = 100_000;

const TARGET_MS: SpanMs = SpanMs(4_000);
const GAP_MS: SpanMs = SpanMs(1_200);
const ANSWER: Tokens = Tokens(690);

/// A fleet, and the share of its reading time that the prompts ask for.
#[derive(Clone, Debug)]
struct Pattern {
    engines: u32,
    /// The speed of these engines as a multiple of the speed of the users' engines.
    speed: f64,
    load: f64,
}

fn spec(speed: f64) -> EngineSpec {
    EngineSpec {
        slots: 10,
        memory_tokens: Tokens(405_000),
        step_ms: 1.31 / speed,
        per_writer_ms: 0.000917,
        per_context_k_ms: 0.00213,
        read_per_s: 154_000.0 * speed,
        pairs_per_m_ms: 0.162 / speed,
        chunk_tokens: Tokens(2_048),
        stride: 53,
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

    /// Returns the length of a prompt: 260,000 tokens on average, some of them three times as long.
    fn tokens(&mut self) -> Tokens {
        let normal = (-2.0 * self.next().ln()).sqrt() * (std::f64::consts::TAU * self.next()).cos();
        Tokens((225_000.0 * (0.55 * normal).exp()).clamp(40_000.0, 900_000.0) as u64)
    }
}

/// One request: its length, its time of arrival, and whether it was placed.
#[derive(Clone, Debug)]
struct Request {
    tokens: Tokens,
    arrived_ms: MonoMs,
    placed: Option<bool>,
}

struct World {
    pattern: Pattern,
    spec: EngineSpec,
    ledger: Ledger,
    draws: Draws,
    /// The work in progress, with the times at which its writing begins and ends.
    running: Vec<(WorkId, MonoMs, MonoMs)>,
    requests: Vec<Request>,
}

impl World {
    fn new(pattern: &Pattern, seed: u64) -> Self {
        Self {
            spec: spec(pattern.speed),
            pattern: pattern.clone(),
            ledger: Ledger::default(),
            draws: Draws(seed),
            running: Vec::new(),
            requests: Vec::new(),
        }
    }

    fn run(&mut self) {
        let mut next_ms = BEGIN_MS as f64;
        let last_ms = BEGIN_MS + PHASE_MS;
        for now_ms in (BEGIN_MS..last_ms + TARGET_MS.0).step_by(RETRY_INTERVAL_MS as usize) {
            let now_ms = MonoMs(now_ms);
            while next_ms < now_ms.0 as f64 && next_ms < last_ms as f64 {
                next_ms += self.arrive(now_ms);
            }
            self.advance(now_ms);
            for at in 0..self.requests.len() {
                if self.requests[at].placed.is_none() {
                    self.try_place(at, now_ms);
                }
            }
        }
    }

    /// Adds a request. Returns the time until the next, in ms.
    fn arrive(&mut self, now_ms: MonoMs) -> f64 {
        let tokens = self.draws.tokens();
        self.requests.push(Request {
            tokens,
            arrived_ms: now_ms,
            placed: None,
        });
        let engines = f64::from(self.pattern.engines);
        self.spec.read_ms(tokens) / (engines * self.pattern.load)
    }

    fn advance(&mut self, now_ms: MonoMs) {
        for (id, writes_ms, ends_ms) in &self.running {
            if *ends_ms <= now_ms {
                self.ledger.remove(*id);
            } else if *writes_ms <= now_ms {
                self.ledger.set_stage(*id, Stage::Writing);
            }
        }
        self.running.retain(|(_, _, ends_ms)| *ends_ms > now_ms);
    }

    fn try_place(&mut self, at: usize, now_ms: MonoMs) {
        let Request {
            tokens, arrived_ms, ..
        } = self.requests[at];
        let waited_ms = now_ms.since(arrived_ms);
        let timeouts = WaitTimeouts::of(TARGET_MS, GAP_MS);
        let wait_expired = waited_ms >= timeouts.max_wait_ms;
        let left_ms = |span_ms: u64| span_ms.saturating_sub(waited_ms.0) as f64;
        let demand = Demand {
            prompt_tokens: tokens,
            answer_tokens: ANSWER,
            gap_ms: GAP_MS,
            target_ms: TARGET_MS.0 as f64,
            target_left_ms: left_ms(TARGET_MS.0),
            caller_timeout_left_ms: left_ms(timeouts.caller_timeout_ms.0),
            deadline_left_ms: left_ms(15_000),
            cost_limit: WaitTimeouts::cost_limit(waited_ms, TARGET_MS),
            partly_answered: false,
            wait_expired,
            returned: false,
            held: false,
        };
        let keys = (0..self.pattern.engines).map(ReplicaKey);
        let fleet = Fleet::of(keys, self.ledger.loads(now_ms), 1, 0);
        match place_engine(&self.spec, &fleet, &demand) {
            Ok(placement) => self.begin_reading(at, placement, now_ms),
            Err(Refusal::Overloaded {
                cost_pct, in_time, ..
            }) if !wait_expired && WaitTimeouts::waiting_may_help(cost_pct, in_time) => {}
            Err(Refusal::NoRoom { .. }) if !wait_expired => {}
            Err(_) => self.requests[at].placed = Some(false),
        }
    }

    fn begin_reading(&mut self, at: usize, placement: Placement, now_ms: MonoMs) {
        let request = &mut self.requests[at];
        request.placed = Some(true);
        let id = WorkId {
            owner: OwnerId(1),
            sequence: at as u32,
        };
        let work = Work {
            first: placement.first,
            helpers: placement.helpers,
            memory: placement.memory,
            stage: Stage::Reading,
            placed_ms: now_ms,
            prompt_tokens: request.tokens,
            part_ms: placement.part_ms,
            gap_ms: GAP_MS,
            due_ms: request.arrived_ms + TARGET_MS,
        };
        let writes_ms = now_ms + SpanMs(placement.first_event_ms as u64);
        let passes = ANSWER.0.div_ceil(u64::from(self.spec.stride));
        let writing_ms = passes as f64 * self.spec.pass_ms(2, request.tokens);
        let ends_ms = writes_ms + SpanMs(writing_ms as u64);
        self.running.push((id, writes_ms, ends_ms));
        self.ledger.put(id, work, now_ms);
    }
}

/// Returns the share that was placed, of all requests and of the longest tenth of them.
fn served(pattern: &Pattern) -> (f64, f64) {
    let mut requests = Vec::new();
    for seed in 1..=3 {
        let mut world = World::new(pattern, seed);
        world.run();
        requests.extend(world.requests);
    }
    requests.sort_by_key(|request| request.tokens);
    let share = |requests: &[Request]| {
        let placed = requests.iter().filter(|r| r.placed == Some(true)).count();
        placed as f64 / requests.len().max(1) as f64
    };
    (
        share(&requests),
        share(&requests[requests.len() * 9 / 10..]),
    )
}

/// Guards against serving one in ten of the longest prompts while nine in ten of all are served.
/// For ten seconds long prompts ask for most of the engines' time. Engine time has a price, and
/// reading time grows with the square of a prompt's length. For any number of engines, speed and
/// load, the longest tenth must be served at least half as often as all.
#[test]
fn the_longest_prompts_are_served_at_least_half_as_often_as_all() {
    for (engines, speed, load) in [
        (40, 1.0, 0.5),
        (40, 1.0, 0.8),
        (120, 1.0, 0.7),
        (40, 2.0, 0.7),
        (40, 0.5, 0.7),
        (24, 1.7, 1.0),
    ] {
        let pattern = Pattern {
            engines,
            speed,
            load,
        };
        let (all, longest) = served(&pattern);
        assert!(
            longest >= all / 2.0,
            "{pattern:?}: {longest:.2} of {all:.2}"
        );
    }
}
