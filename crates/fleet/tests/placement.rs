//! Tests of placements under difficult loads.

use bluebell_base::prelude::*;
use bluebell_fleet::placement::{Fleet, Prices, is_contended};
use bluebell_fleet::prelude::*;

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: Tokens(405_000),
        step_ms: 1.31,
        per_writer_ms: 0.000917,
        per_context_k_ms: 0.00213,
        read_per_s: 154_000.0,
        pairs_per_m_ms: 0.162,
        chunk_tokens: Tokens(2_048),
        stride: 34,
        hop_ms: 0.1,
    }
}

/// Engines that read faster, with fewer slots and longer passes.
fn fast_spec() -> EngineSpec {
    EngineSpec {
        slots: 12,
        memory_tokens: Tokens(382_500),
        step_ms: 0.925,
        per_writer_ms: 0.00483,
        per_context_k_ms: 0.00254,
        read_per_s: 256_000.0,
        pairs_per_m_ms: 0.0917,
        stride: 52,
        ..spec()
    }
}

fn key(number: u32) -> ReplicaKey {
    ReplicaKey(number)
}

/// Returns a request with the target, longest pause and timeouts of its length.
fn demand(prompt_tokens: u64) -> Demand {
    let (target_ms, gap_ms) = match prompt_tokens {
        0..24_000 => (300, 250),
        24_000..110_000 => (1_500, 600),
        _ => (3_000, 1_000),
    };
    let timeouts = WaitTimeouts::of(SpanMs(target_ms), SpanMs(gap_ms));
    Demand {
        prompt_tokens: Tokens(prompt_tokens),
        answer_tokens: Tokens(1_300),
        gap_ms: SpanMs(gap_ms),
        target_ms: target_ms as f64,
        target_left_ms: target_ms as f64,
        caller_timeout_left_ms: timeouts.caller_timeout_ms.0 as f64,
        deadline_left_ms: 15_000.0,
        cost_limit: 1.0,
        partly_answered: false,
        wait_expired: false,
        returned: false,
        held: false,
    }
}

/// A fleet of engines and the work on it.
struct World {
    spec: EngineSpec,
    ledger: Ledger,
    paces: Paces,
    engines: u32,
    now_ms: MonoMs,
    placed: u32,
}

impl World {
    fn new(engines: u32) -> Self {
        Self {
            spec: spec(),
            ledger: Ledger::default(),
            paces: Paces::default(),
            engines,
            now_ms: MonoMs(100_000),
            placed: 0,
        }
    }

    fn fleet(&mut self) -> Fleet<'_> {
        self.ledger.set_paces(&self.paces, self.now_ms);
        let loads = self.ledger.loads(self.now_ms);
        Fleet::of((0..self.engines).map(key), loads, 1, 0)
    }

    fn slow_down(&mut self, engine: u32, slowdown: f64) {
        self.paces
            .note(key(engine), Pace::new(slowdown), self.now_ms);
    }

    fn place(&mut self, demand: &Demand) -> Result<(WorkId, Placement), Refusal> {
        let spec = self.spec.clone();
        let placement = place_engine(&spec, &self.fleet(), demand)?;
        self.placed += 1;
        let id = WorkId {
            owner: OwnerId(1),
            sequence: self.placed,
        };
        let work = Work {
            first: placement.first,
            helpers: placement.helpers.clone(),
            memory: placement.memory.clone(),
            stage: Stage::Reading,
            placed_ms: self.now_ms,
            prompt_tokens: demand.prompt_tokens,
            part_ms: placement.part_ms,
            gap_ms: demand.gap_ms,
            due_ms: self.now_ms + SpanMs(demand.target_left_ms as u64),
        };
        self.ledger.put(id, work, self.now_ms);
        Ok((id, placement))
    }

    /// Adds prompts of this length that other nodes placed and finished, evenly over the last
    /// seconds.
    fn add_finished_prompts(&mut self, prompt_tokens: u64, per_s: u64) {
        let now_ms = self.now_ms;
        for number in 0..per_s * 4 {
            let placed_ms = now_ms - SpanMs(4_000 - number * 1_000 / per_s);
            let work = Work {
                first: key(number as u32 % self.engines),
                helpers: Vec::new(),
                memory: Vec::new(),
                stage: Stage::Reading,
                placed_ms,
                prompt_tokens: Tokens(prompt_tokens),
                part_ms: self.spec.read_ms(Tokens(prompt_tokens)),
                gap_ms: SpanMs(250),
                due_ms: now_ms,
            };
            let id = WorkId {
                owner: OwnerId(9),
                sequence: number as u32,
            };
            self.ledger.put(id, work, placed_ms);
            self.ledger.remove(id);
        }
    }

    /// Returns the writing engines that nodes would choose for this request if they all decided
    /// now.
    fn choices(&mut self, nodes: usize, demand: &Demand) -> Vec<ReplicaKey> {
        let spec = self.spec.clone();
        let fleet = self.fleet();
        let draws = (0..60u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let fleets = draws.map(|draw| Fleet {
            nodes,
            draw,
            ..fleet.clone()
        });
        let placements = fleets.map(|fleet| place_engine(&spec, &fleet, demand));
        placements
            .map(|p| p.expect("an engine has a free slot").first)
            .collect()
    }

    /// Adds a short request that is written on an engine.
    fn add_short_request(&mut self, engine: u32, number: u32, stage: Stage) {
        let work = Work {
            first: key(engine),
            helpers: Vec::new(),
            memory: Vec::new(),
            stage,
            placed_ms: self.now_ms,
            prompt_tokens: Tokens(5_000),
            part_ms: 34.0,
            gap_ms: SpanMs(250),
            due_ms: self.now_ms + SpanMs(300),
        };
        let id = WorkId {
            owner: OwnerId(2),
            sequence: number,
        };
        self.ledger.put(id, work, self.now_ms);
    }

    fn place_and_begin(&mut self, demand: &Demand) -> Placement {
        let (id, placement) = self.place(demand).expect("an engine has a free slot");
        self.ledger.set_stage(id, Stage::Writing);
        placement
    }
}

/// Guards against a long prompt that misses its target on an idle fleet. One engine needs 3.9 s to
/// read it, and 3 s are allowed; read by several engines it is on time.
#[test]
fn a_long_prompt_is_read_by_as_many_engines_as_its_target_needs() {
    let mut world = World::new(23);
    let (_, placement) = world.place(&demand(182_000)).expect("the fleet is idle");
    assert!(!placement.helpers.is_empty());
    assert!(placement.first_event_ms < 1_600.0, "{placement:?}");
    assert!(!placement.helpers.contains(&placement.first));
}

/// A short prompt gains nothing from helpers.
#[test]
fn a_short_prompt_is_read_alone() {
    let mut world = World::new(23);
    let placement = world.place_and_begin(&demand(5_000));
    assert!(placement.helpers.is_empty());
}

/// Guards against callers of short answers seeing a second of silence in the middle. A long prompt
/// was read on the engine that wrote their answers while other engines were idle, and an engine
/// reads within the passes in which it writes. Short work must be packed on few engines and long
/// work read on others.
#[test]
fn short_work_is_packed_and_long_work_is_read_elsewhere() {
    let mut world = World::new(23);
    let mut short_work_engines: Vec<ReplicaKey> = (0..24)
        .map(|_| world.place_and_begin(&demand(5_000)).first)
        .collect();
    short_work_engines.sort_unstable();
    short_work_engines.dedup();
    assert!(
        short_work_engines.len() <= 6,
        "24 short requests are on {} engines",
        short_work_engines.len()
    );
    let (_, long) = world.place(&demand(182_000)).expect("17 engines are idle");
    assert!(!short_work_engines.contains(&long.first));
    let delayed = long
        .helpers
        .iter()
        .filter(|key| short_work_engines.contains(key))
        .count();
    assert_eq!(delayed, 0, "{long:?}");
}

/// Guards against a long prompt that waits four seconds although it was expected to be read after
/// one. Its engine read later prompts first, since a shared part overtakes everything that waits. A
/// prompt that would delay another past its target must wait at the node or take other engines.
#[test]
fn a_prompt_that_would_make_another_late_takes_other_engines() {
    let mut world = World::new(6);
    let mut urgent = demand(182_000);
    urgent.target_left_ms = 1_400.0;
    let (_, first) = world.place(&urgent).expect("the fleet is idle");
    world.now_ms = world.now_ms + SpanMs(100);
    let busy: Vec<ReplicaKey> = first.helpers.iter().copied().chain([first.first]).collect();
    let mut patient = demand(182_000);
    patient.cost_limit = 0.25;
    match world.place(&patient) {
        Err(Refusal::Overloaded { .. }) => {}
        Ok((_, second)) => {
            let shared = second.helpers.iter().chain([&second.first]);
            let delayed = shared.filter(|key| busy.contains(key)).count();
            assert_eq!(delayed, 0, "{first:?} then {second:?}");
        }
        Err(other) => panic!("{other}"),
    }
}

/// In a peak of short requests the slots of all engines are taken. A request that is placed
/// regardless waits behind others until it is late, and makes the next one late. A request that
/// can't be on time must wait at the node.
#[test]
fn with_all_slots_taken_late_requests_wait() {
    let mut world = World::new(4);
    for _ in 0..64 {
        world.place_and_begin(&demand(5_000));
    }
    let mut late = demand(5_000);
    late.target_left_ms = 0.0;
    let refusal = world.place(&late).expect_err("no slot is free");
    assert!(matches!(refusal, Refusal::Overloaded { .. }));
}

/// Guards against refusing a prompt longer than an engine's memory on an idle fleet. Enough memory
/// for all of it must be reserved at helpers.
#[test]
fn a_prompt_beyond_one_engine_gets_memory_at_helpers() {
    let mut world = World::new(23);
    let (_, placement) = world.place(&demand(600_000)).expect("the fleet is idle");
    let reserved: u64 = placement.memory.iter().map(|(_, tokens)| tokens.0).sum();
    assert!(reserved + 405_000 >= 601_300, "{placement:?}");
    for (key, tokens) in &placement.memory {
        assert!(placement.helpers.contains(key));
        assert!(tokens.0 <= 405_000);
    }
}

/// Two prompts of 210,000 tokens are placed, and an engine can hold one. On the same engine the
/// second would be set back in the middle of its stream.
#[test]
fn memory_in_use_is_not_assigned_again() {
    let mut world = World::new(2);
    let mut long = demand(210_000);
    long.wait_expired = true;
    let first = world.place_and_begin(&long);
    world.now_ms = world.now_ms + SpanMs(5_000);
    let second = world.place_and_begin(&long);
    assert_ne!(first.first, second.first);
}

/// A prompt that no fleet of this size can hold must be refused as too long. Otherwise its caller
/// would be asked to retry for ever.
#[test]
fn a_prompt_beyond_all_memory_is_too_long() {
    let mut world = World::new(2);
    let refusal = world.place(&demand(900_000)).expect_err("it can't be held");
    assert_eq!(refusal, Refusal::TooLong);
}

/// Reading must have no price on an idle fleet and a price on a busy one, so that the prompts that
/// gain least for their engine time wait first.
#[test]
fn reading_has_a_price_only_where_engines_are_busy() {
    let mut world = World::new(8);
    assert_eq!(Prices::of(&spec(), &world.fleet()), Prices::default());
    while world.place(&demand(150_000)).is_ok() {
        world.now_ms = world.now_ms + SpanMs(50);
    }
    assert!(Prices::of(&spec(), &world.fleet()).read_ms > 0.0);
    assert!(
        world.place(&demand(5_000)).is_ok(),
        "short prompts are still placed"
    );
}

/// The refusal without any replica.
#[test]
fn without_engines_the_refusal_is_no_replica() {
    let mut world = World::new(0);
    assert_eq!(
        world.place(&demand(5_000)).expect_err("none"),
        Refusal::NoReplica
    );
}

/// Guards against a short answer that breaks off midway although engines have free slots. Its
/// engine became silent, and the rest of the answer was refused like a new request that would be
/// late anyway.
#[test]
fn the_rest_of_a_stream_is_placed_wherever_it_fits() {
    let mut world = World::new(4);
    for _ in 0..62 {
        world.place_and_begin(&demand(5_000));
    }
    let mut rest = demand(5_000);
    rest.target_left_ms = 0.0;
    assert!(world.place(&rest).is_err(), "a new request waits");
    rest.partly_answered = true;
    assert!(world.place(&rest).is_ok());
}

/// Guards against many short answers that break off at the same time, in a peak in which all
/// engines write. A long prompt was read by few of them for seconds, since every pause beyond the
/// limit cost the same. Streams that are late already break off as well.
#[test]
fn no_prompt_is_read_next_to_writers_until_they_are_given_up() {
    for stage in [Stage::Writing, Stage::Late] {
        let mut world = World::new(12);
        for number in 0..12 * 8 {
            world.add_short_request(number % 12, number, stage);
        }
        let mut long = demand(300_000);
        long.wait_expired = true;
        if let Ok((_, placement)) = world.place(&long) {
            assert!(placement.part_ms < 1_000.0, "{stage:?}: {placement:?}");
        }
    }
}

/// Guards against a caller who waits five seconds for the answer to a long prompt and then gets a
/// failure. A fifth of the engines took four times as long for everything, but got parts of the
/// prompt like the others, and the part that is read last decides. Slow engines must get nothing
/// while others do it on time.
#[test]
fn slow_engines_get_no_work_that_others_do_on_time() {
    let slow: Vec<ReplicaKey> = (0..4).map(|n| key(n * 5)).collect();
    let with_slow_engines = || {
        let mut world = World::new(20);
        for engine in 0..4 {
            world.slow_down(engine * 5, 4.0);
        }
        world
    };
    let mut world = with_slow_engines();
    for _ in 0..3 {
        let (_, placement) = world
            .place(&demand(180_000))
            .expect("an engine has a free slot");
        assert!(!slow.contains(&placement.first), "{placement:?}");
        assert!(
            placement
                .helpers
                .iter()
                .all(|helper| !slow.contains(helper))
        );
    }
    let mut world = with_slow_engines();
    for _ in 0..40 {
        let first = world.place_and_begin(&demand(5_000)).first;
        assert!(!slow.contains(&first));
    }
}

/// Guards against refusing a short request although engines have free slots. All of them were slow,
/// and slow engines got nothing at all. A late answer is better than none, and a request that is
/// still on time must be served.
#[test]
fn slow_engines_serve_where_no_other_does() {
    let mut world = World::new(4);
    for engine in 0..4 {
        world.slow_down(engine, 2.0);
    }
    let placement = world.place_and_begin(&demand(20_000));
    let configured_ms = spec().read_ms(Tokens(20_000)) / (1 + placement.helpers.len()) as f64;
    assert!(placement.first_event_ms > 2.0 * configured_ms - 1.0);
    let mut late = demand(5_000);
    late.wait_expired = true;
    for engine in 0..4 {
        world.slow_down(engine, 8.0);
    }
    assert!(world.place(&late).is_ok());
}

/// Guards against replicas that refuse one short request in ten in a peak. Each prompt was read by
/// two engines to gain some ms, the second engine helps until the answer is written, and an engine
/// that helps as many requests as it has slots refuses. A short prompt must be read by one engine
/// where nothing waits to be read, and busy helpers must not be used.
#[test]
fn short_prompts_have_no_helpers_where_nothing_waits_to_be_read() {
    let mut world = World::new(12);
    world.spec = fast_spec();
    for number in 0..12 * 9 {
        world.add_short_request(number % 12, number, Stage::Writing);
    }
    for tokens in [2_000, 5_000, 8_000, 12_000] {
        // The request has waited for a slot.
        let mut short = demand(tokens);
        short.target_left_ms = 190.0;
        let placement = world.place_and_begin(&short);
        assert!(placement.helpers.is_empty(), "{tokens}: {placement:?}");
    }
}

/// Guards against a long prompt that its writing engine refuses. One of its helpers was already
/// helping as many requests as it has slots, which no node counted.
#[test]
fn engines_without_free_helper_slots_are_not_chosen() {
    let mut world = World::new(20);
    for number in 0..14 {
        let id = WorkId {
            owner: OwnerId(3),
            sequence: number,
        };
        let work = Work {
            first: key(1),
            helpers: vec![key(7)],
            memory: Vec::new(),
            stage: Stage::Writing,
            placed_ms: world.now_ms,
            prompt_tokens: Tokens(5_000),
            part_ms: 17.0,
            gap_ms: SpanMs(250),
            due_ms: world.now_ms,
        };
        world.ledger.put(id, work, world.now_ms);
    }
    let (_, placement) = world.place(&demand(380_000)).expect("the fleet is idle");
    assert!(placement.helpers.len() > 8, "{placement:?}");
    assert!(!placement.helpers.contains(&key(7)));
}

/// Guards against one short answer in eight being late in a peak although slots are free. Nodes
/// that decide at the same time know the same about the engines, and all chose the same one. They
/// must spread over engines that serve equally well and use none that serves worse. A single node
/// has no reason to spread.
#[test]
fn nodes_that_decide_at_the_same_moment_choose_different_engines() {
    let mut world = World::new(20);
    world.spec = fast_spec();
    for number in 0..20 * 6 {
        world.add_short_request(number % 20, number, Stage::Writing);
    }
    for number in 0..5 {
        world.add_short_request(19, 1_000 + number, Stage::Writing);
    }
    world.add_finished_prompts(5_000, 340);
    let mut distinct = |nodes: usize| {
        let mut chosen = world.choices(nodes, &demand(5_000));
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    };
    assert_eq!(distinct(1).len(), 1);
    let spread = distinct(60);
    assert!(spread.len() >= 5, "{spread:?}");
    assert!(!spread.contains(&key(19)), "it has no slot left");
}

/// Guards against a caller with a long prompt who waits for nine seconds on a calm day. Two nodes
/// placed long prompts on the same engine at the same time. Together they needed more memory than
/// it has, so the second waited until the first was written, with the parts of all its helpers.
/// Where many nodes place long prompts they must spread as well.
#[test]
fn long_prompts_of_the_same_moment_are_written_by_different_engines() {
    let mut world = World::new(120);
    world.add_finished_prompts(182_000, 30);
    let chosen = world.choices(195, &demand(182_000));
    let most = chosen
        .iter()
        .map(|key| chosen.iter().filter(|k| *k == key).count());
    let most = most.max().expect("some were placed");
    assert!(most <= 12, "{most} of {} on one engine", chosen.len());
    let alone = world.choices(1, &demand(182_000));
    assert!(alone.iter().all(|key| *key == alone[0]));
}

/// Guards against faster engines sharing prompts that one of them reads within a pass, because the
/// limit for long prompts was a fixed time. With all times halved, prompts of every length must be
/// shared as before.
#[test]
fn engines_twice_as_fast_share_prompts_alike() {
    let twice = EngineSpec {
        step_ms: spec().step_ms / 2.0,
        per_writer_ms: spec().per_writer_ms / 2.0,
        per_context_k_ms: spec().per_context_k_ms / 2.0,
        read_per_s: spec().read_per_s * 2.0,
        pairs_per_m_ms: spec().pairs_per_m_ms / 2.0,
        ..spec()
    };
    for tokens in [
        5_000, 9_000, 12_000, 16_000, 24_000, 45_000, 110_000, 182_000, 390_000,
    ] {
        let usual = Demand {
            // One engine alone would be late.
            target_left_ms: spec().read_ms(Tokens(tokens)) * 0.8,
            ..demand(tokens)
        };
        let halved = Demand {
            gap_ms: SpanMs(usual.gap_ms.0 / 2),
            target_ms: usual.target_ms / 2.0,
            target_left_ms: usual.target_left_ms / 2.0,
            caller_timeout_left_ms: usual.caller_timeout_left_ms / 2.0,
            deadline_left_ms: usual.deadline_left_ms / 2.0,
            ..usual.clone()
        };
        let helpers = |spec: &EngineSpec, demand: &Demand| {
            let mut world = World::new(40);
            world.spec = spec.clone();
            let (_, placement) = world.place(demand).expect("the fleet is idle");
            placement.helpers.len()
        };
        let (slow, fast) = (helpers(&spec(), &usual), helpers(&twice, &halved));
        assert_eq!(slow, fast, "{tokens} tokens");
    }
}

/// Guards against a held request that is placed like others: late, or at a cost that rises while it
/// waits. On idle engines it is placed like any other.
#[test]
fn a_held_request_is_placed_where_it_costs_little_and_is_in_time() {
    let held = Demand {
        held: true,
        ..demand(5_000)
    };
    let mut world = World::new(4);
    assert!(world.place(&held).is_ok());
    let expired = Demand {
        wait_expired: true,
        ..held.clone()
    };
    let overdue = Demand {
        target_left_ms: 5.0,
        ..held.clone()
    };
    assert!(matches!(
        world.place(&overdue),
        Err(Refusal::Overloaded { .. })
    ));
    assert!(
        world
            .place(&Demand {
                held: false,
                ..overdue
            })
            .is_ok()
    );
    // 14 of 16 slots of each engine are in use, so a slot costs more than a quarter of the weight.
    for number in 0..56 {
        world.add_short_request(number % 4, number, Stage::Writing);
    }
    for demand in [&held, &expired] {
        assert!(matches!(
            world.place(demand),
            Err(Refusal::Overloaded { .. })
        ));
    }
    assert!(world.place(&demand(5_000)).is_ok());
}

/// Guards against shares that act while slots are idle, or not before all are taken.
#[test]
fn engines_are_contended_from_nine_in_ten_slots() {
    let mut world = World::new(4);
    let spec = world.spec.clone();
    for number in 0..57 {
        world.add_short_request(number % 4, number, Stage::Writing);
    }
    assert!(!is_contended(&spec, &world.fleet()));
    world.add_short_request(1, 57, Stage::Writing);
    assert!(is_contended(&spec, &world.fleet()));
    let mut reading = World::new(4);
    reading.add_finished_prompts(100_000, 1);
    assert!(!is_contended(&spec, &reading.fleet()));
    reading.add_finished_prompts(100_000, 4);
    assert!(is_contended(&spec, &reading.fleet()));
}
