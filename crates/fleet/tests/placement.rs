//! Where prompts run, under the loads that hurt.

use bluebell_base::prelude::*;
use bluebell_fleet::placement::{Fleet, Prices};
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

/// A request with the target, pause and patience of its length.
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

    /// Lets other nodes place and end prompts of this length, evenly over the last seconds.
    fn pass_through(&mut self, prompt_tokens: u64, per_s: u64) {
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

    /// Where nodes that decide at this moment would let prompts like this one be written.
    fn choices(&mut self, nodes: usize, demand: &Demand) -> Vec<ReplicaKey> {
        let spec = self.spec.clone();
        let fleet = self.fleet();
        let draws = (0..60u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let places = draws.map(|draw| Fleet {
            nodes,
            draw,
            ..fleet.clone()
        });
        let places = places.map(|fleet| place_engine(&spec, &fleet, demand));
        places.map(|p| p.expect("there is room").first).collect()
    }

    /// Puts a draft on an engine.
    fn write_at(&mut self, engine: u32, number: u32, stage: Stage) {
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

    fn writes(&mut self, demand: &Demand) -> Placement {
        let (id, placement) = self.place(demand).expect("there is room");
        self.ledger.set_stage(id, Stage::Writing);
        placement
    }
}

/// A long prompt misses its target on an idle fleet: one engine needs 3.9 s to read it, and 3 s are
/// allowed. Read by several engines it is on time.
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
    let placement = world.writes(&demand(5_000));
    assert!(placement.helpers.is_empty());
}

/// Callers of short drafts see a second of silence in the middle. A long prompt was read on the
/// engine that wrote their drafts while other engines were idle, and an engine reads within the
/// passes in which it writes. Short work is kept together, and long work is read beside it.
#[test]
fn short_work_is_packed_and_long_work_is_read_elsewhere() {
    let mut world = World::new(23);
    let mut fronts: Vec<ReplicaKey> = (0..24)
        .map(|_| world.writes(&demand(5_000)).first)
        .collect();
    fronts.sort_unstable();
    fronts.dedup();
    assert!(
        fronts.len() <= 6,
        "24 short requests are on {} engines",
        fronts.len()
    );
    let (_, long) = world.place(&demand(182_000)).expect("17 engines are idle");
    assert!(!fronts.contains(&long.first));
    let hurt = long
        .helpers
        .iter()
        .filter(|key| fronts.contains(key))
        .count();
    assert_eq!(hurt, 0, "{long:?}");
}

/// A long prompt arrives that was expected to be read after a second and waits for four. Its engine
/// read later ones first: a shared part goes ahead of all that waits. So a prompt that would push
/// another past its target waits at the node or takes other engines.
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

/// In a peak of short requests every engine has its slots taken, and what is sent on waits behind
/// others until it is late, and makes the next late. What can't be on time waits at the node.
#[test]
fn with_all_slots_taken_late_requests_wait() {
    let mut world = World::new(4);
    for _ in 0..64 {
        world.writes(&demand(5_000));
    }
    let mut late = demand(5_000);
    late.target_left_ms = 0.0;
    let refusal = world.place(&late).expect_err("no slot is free");
    assert!(matches!(refusal, Refusal::Overloaded { .. }));
}

/// A prompt longer than an engine's memory was refused on an idle fleet. Memory is set aside at
/// helpers, enough for all of it.
#[test]
fn a_prompt_beyond_one_engine_gets_memory_at_helpers() {
    let mut world = World::new(23);
    let (_, placement) = world.place(&demand(600_000)).expect("the fleet is idle");
    let aside: u64 = placement.memory.iter().map(|(_, tokens)| tokens.0).sum();
    assert!(aside + 405_000 >= 601_300, "{placement:?}");
    for (key, tokens) in &placement.memory {
        assert!(placement.helpers.contains(key));
        assert!(tokens.0 <= 405_000);
    }
}

/// Two prompts of 210,000 tokens are placed; an engine holds one. The second would be put back in
/// the middle of its stream.
#[test]
fn memory_that_is_taken_is_not_given_twice() {
    let mut world = World::new(2);
    let mut long = demand(210_000);
    long.wait_expired = true;
    let first = world.writes(&long);
    world.now_ms = world.now_ms + SpanMs(5_000);
    let second = world.writes(&long);
    assert_ne!(first.first, second.first);
}

/// A prompt that no fleet of this size can hold is told so, instead of being asked back for ever.
#[test]
fn a_prompt_beyond_all_memory_is_too_long() {
    let mut world = World::new(2);
    let refusal = world.place(&demand(900_000)).expect_err("it can't be held");
    assert_eq!(refusal, Refusal::TooLong);
}

/// Nothing has a price on an idle fleet, and reading has one on a busy one, so that the prompts
/// that gain least for their engine time wait first.
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
        "short prompts still go"
    );
}

/// No replica is there at all.
#[test]
fn without_engines_the_refusal_says_so() {
    let mut world = World::new(0);
    assert_eq!(
        world.place(&demand(5_000)).expect_err("none"),
        Refusal::NoReplica
    );
}

/// A draft breaks off midway although engines have free slots. Its engine fell silent, and the rest
/// of it was refused a place like a new request that would be late anyway.
#[test]
fn the_rest_of_a_stream_is_placed_wherever_it_fits() {
    let mut world = World::new(4);
    for _ in 0..62 {
        world.writes(&demand(5_000));
    }
    let mut rest = demand(5_000);
    rest.target_left_ms = 0.0;
    assert!(world.place(&rest).is_err(), "a new one waits");
    rest.partly_answered = true;
    assert!(world.place(&rest).is_ok());
}

/// Many drafts break off at one moment, in a peak in which all engines write. A long prompt was read
/// by few of them for seconds, since every pause beyond the limit cost the same. Streams that are
/// late already break off as well.
#[test]
fn no_prompt_is_read_beside_writers_until_they_are_given_up() {
    for stage in [Stage::Writing, Stage::Late] {
        let mut world = World::new(12);
        for number in 0..12 * 8 {
            world.write_at(number % 12, number, stage);
        }
        let mut long = demand(300_000);
        long.wait_expired = true;
        if let Ok((_, placement)) = world.place(&long) {
            assert!(placement.part_ms < 1_000.0, "{stage:?}: {placement:?}");
        }
    }
}

/// A caller waits five seconds for the answer to a long prompt, and then gets a failure. A fifth of the
/// engines took four times as long for everything; parts of the prompt went to them as to sound ones,
/// and the part that is read last decides. Slow engines get nothing while sound ones do it on time.
#[test]
fn slow_engines_get_no_work_that_sound_ones_do_on_time() {
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
        let (_, placement) = world.place(&demand(180_000)).expect("there is room");
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
        let first = world.writes(&demand(5_000)).first;
        assert!(!slow.contains(&first));
    }
}

/// A draft is refused although engines have free slots. All of them are slow, and slow ones got
/// nothing at all; late is better than not at all, and what is still on time is served.
#[test]
fn slow_engines_serve_where_no_other_does() {
    let mut world = World::new(4);
    for engine in 0..4 {
        world.slow_down(engine, 2.0);
    }
    let placement = world.writes(&demand(20_000));
    let sound_ms = spec().read_ms(Tokens(20_000)) / (1 + placement.helpers.len()) as f64;
    assert!(placement.first_event_ms > 2.0 * sound_ms - 1.0);
    let mut late = demand(5_000);
    late.wait_expired = true;
    for engine in 0..4 {
        world.slow_down(engine, 8.0);
    }
    assert!(world.place(&late).is_ok());
}

/// One draft in ten is turned away by a replica in a peak of drafts. Each draft was read by two engines to
/// gain some ms, the second helps until the draft is written, and one that helps as many as it has slots
/// refuses. Where nothing waits to be read a draft is read by one engine, and busy helpers are left alone.
#[test]
fn drafts_have_no_helpers_where_nothing_waits_to_be_read() {
    let mut world = World::new(12);
    world.spec = fast_spec();
    for number in 0..12 * 9 {
        world.write_at(number % 12, number, Stage::Writing);
    }
    for tokens in [2_000, 5_000, 8_000, 12_000] {
        // It has waited for a slot.
        let mut draft = demand(tokens);
        draft.target_left_ms = 190.0;
        let placement = world.writes(&draft);
        assert!(placement.helpers.is_empty(), "{tokens}: {placement:?}");
    }
}

/// A long prompt is refused by its writing engine. One of its helpers was helping as many as it has
/// slots already, which no node counted.
#[test]
fn engines_that_help_enough_are_not_asked() {
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

/// One draft in eight is late in a peak although slots are free. Nodes that decide at the same moment know
/// the same of the engines, and all chose the same one. They spread over engines that do equally well,
/// and none takes one that does worse; a node alone has nothing to spread.
#[test]
fn nodes_that_decide_at_the_same_moment_choose_different_engines() {
    let mut world = World::new(20);
    world.spec = fast_spec();
    for number in 0..20 * 6 {
        world.write_at(number % 20, number, Stage::Writing);
    }
    for number in 0..5 {
        world.write_at(19, 1_000 + number, Stage::Writing);
    }
    world.pass_through(5_000, 340);
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

/// A caller with a long prompt waits for nine seconds on a calm day. Two nodes placed long prompts on the same
/// engine at the same moment; together they need more memory than it has, and the second waited until the first
/// was written, with the parts of all its helpers. Where many nodes place long prompts they spread as well.
#[test]
fn long_prompts_of_the_same_moment_are_written_by_different_engines() {
    let mut world = World::new(120);
    world.pass_through(182_000, 30);
    let chosen = world.choices(195, &demand(182_000));
    let most = chosen
        .iter()
        .map(|key| chosen.iter().filter(|k| *k == key).count());
    let most = most.max().expect("some were placed");
    assert!(most <= 12, "{most} of {} on one engine", chosen.len());
    let alone = world.choices(1, &demand(182_000));
    assert!(alone.iter().all(|key| *key == alone[0]));
}

/// Faster engines were bought, and prompts that one of them now reads within a pass still took two: what counts as
/// long was a time of its own. With all times halved, prompts of every length are shared as before.
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
