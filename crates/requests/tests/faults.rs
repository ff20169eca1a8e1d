//! One fault at one stage of a request: the outcome, the number of runs and the time that it takes.

mod common;

use bluebell_base::prelude::*;
use common::engine::Faults;
use common::{World, call, set_faults};

/// The fault.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Both engines refuse connections.
    RefuseAll,
    /// The call never arrives, and no error is reported.
    LoseCall,
    /// The call arrives and its connection breaks.
    BreakCall,
    /// The stream's connection breaks.
    BreakStream,
    /// All events are silently lost for one second.
    LoseEvents,
    /// All further events of the engine that has the request are silently lost.
    SilenceEngine,
    /// All further events are duplicated, crossed and reordered.
    DisorderEvents,
    /// The engine that has the request crashes and stays down.
    Kill,
    /// That engine crashes and restarts empty at once.
    Restart,
    /// That engine stops for five seconds.
    Pause,
    /// That engine stops for good.
    Freeze,
}

/// The stages at which the fault occurs, in milliseconds after the call.
const BEFORE_SEND_MS: u64 = 0;
const PREFILL_MS: u64 = 10;
const STREAMING_MS: u64 = 200;

const COMPLETE: Option<Verdict> = None;
const NOT_RUN: Option<Verdict> = Some(Verdict::NotRun);
const MAY_HAVE_RUN: Option<Verdict> = Some(Verdict::MayHaveRun);
const RAN: Option<Verdict> = Some(Verdict::Ran);

/// The class, stage, fault, outcome (the failure's verdict), total runs and time limit.
type Case = (&'static str, u64, Fault, Option<Verdict>, u32, u64);

const CASES: &[Case] = &[
    ("draft", BEFORE_SEND_MS, Fault::RefuseAll, NOT_RUN, 0, 1_000),
    (
        "draft",
        BEFORE_SEND_MS,
        Fault::LoseCall,
        COMPLETE,
        1,
        20_000,
    ),
    (
        "draft",
        BEFORE_SEND_MS,
        Fault::BreakCall,
        COMPLETE,
        1,
        2_000,
    ),
    (
        "draft",
        BEFORE_SEND_MS,
        Fault::DisorderEvents,
        COMPLETE,
        1,
        8_000,
    ),
    ("draft", PREFILL_MS, Fault::Kill, COMPLETE, 2, 3_000),
    ("draft", PREFILL_MS, Fault::Restart, COMPLETE, 2, 3_000),
    ("draft", PREFILL_MS, Fault::Freeze, COMPLETE, 2, 25_000),
    ("draft", STREAMING_MS, Fault::Kill, COMPLETE, 2, 3_000),
    ("draft", STREAMING_MS, Fault::Restart, COMPLETE, 2, 3_000),
    ("draft", STREAMING_MS, Fault::Freeze, COMPLETE, 2, 25_000),
    ("draft", STREAMING_MS, Fault::Pause, COMPLETE, 1, 10_000),
    (
        "draft",
        STREAMING_MS,
        Fault::BreakStream,
        COMPLETE,
        1,
        2_000,
    ),
    ("draft", STREAMING_MS, Fault::LoseEvents, COMPLETE, 1, 5_000),
    (
        "draft",
        STREAMING_MS,
        Fault::SilenceEngine,
        COMPLETE,
        2,
        20_000,
    ),
    (
        "draft",
        STREAMING_MS,
        Fault::DisorderEvents,
        COMPLETE,
        1,
        8_000,
    ),
    (
        "notice",
        BEFORE_SEND_MS,
        Fault::RefuseAll,
        NOT_RUN,
        0,
        1_000,
    ),
    (
        "notice",
        BEFORE_SEND_MS,
        Fault::LoseCall,
        MAY_HAVE_RUN,
        0,
        30_001,
    ),
    (
        "notice",
        BEFORE_SEND_MS,
        Fault::BreakCall,
        COMPLETE,
        1,
        2_000,
    ),
    (
        "notice",
        BEFORE_SEND_MS,
        Fault::DisorderEvents,
        COMPLETE,
        1,
        8_000,
    ),
    ("notice", PREFILL_MS, Fault::Kill, MAY_HAVE_RUN, 1, 30_001),
    ("notice", PREFILL_MS, Fault::Restart, MAY_HAVE_RUN, 1, 5_000),
    ("notice", PREFILL_MS, Fault::Freeze, MAY_HAVE_RUN, 1, 30_001),
    ("notice", PREFILL_MS, Fault::Pause, COMPLETE, 1, 12_000),
    ("notice", STREAMING_MS, Fault::Kill, RAN, 1, 30_001),
    ("notice", STREAMING_MS, Fault::Restart, RAN, 1, 5_000),
    ("notice", STREAMING_MS, Fault::Freeze, RAN, 1, 30_001),
    ("notice", STREAMING_MS, Fault::Pause, COMPLETE, 1, 12_000),
    (
        "notice",
        STREAMING_MS,
        Fault::BreakStream,
        COMPLETE,
        1,
        2_000,
    ),
    (
        "notice",
        STREAMING_MS,
        Fault::LoseEvents,
        COMPLETE,
        1,
        5_000,
    ),
    ("notice", STREAMING_MS, Fault::SilenceEngine, RAN, 1, 30_001),
    (
        "notice",
        STREAMING_MS,
        Fault::DisorderEvents,
        COMPLETE,
        1,
        8_000,
    ),
];

/// Whatever one fault hits a request at whatever stage, its caller receives in time the complete
/// answer or a failure with a true verdict. The engine crashes, stops or refuses; the connection
/// breaks, or it loses, duplicates or reorders events. Work that may be repeated continues
/// elsewhere; other work is resumed on its engine or ends with an unknown verdict.
#[test]
fn each_fault_at_each_stage_has_the_expected_outcome() {
    let failed: Vec<String> = CASES.iter().filter_map(run).collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

fn run(case: &Case) -> Option<String> {
    let (class, moment, fault, end, runs, within_ms) = *case;
    let mut world = World::new(1, 2, 7);
    if moment == BEFORE_SEND_MS {
        inject_fault(&mut world, fault, None);
    }
    let (_, received) = world.complete(0, call(class, "an answer of some length", 80));
    world.run_for(moment.max(1));
    if moment != BEFORE_SEND_MS {
        let request = world.engines.iter().find_map(|engine| {
            let state = engine.state.borrow();
            state.generated.first().map(|call| call.request)
        });
        let engine = world.engine_of(request?);
        inject_fault(&mut world, fault, Some(engine));
    }
    let lasts_ms = match fault {
        Fault::Pause => 5_000,
        Fault::LoseEvents | Fault::LoseCall | Fault::BreakCall => 1_000,
        _ => 0,
    };
    world.run_for(lasts_ms);
    if lasts_ms > 0 {
        set_faults(&world, Faults::default());
        for engine in world.engines.clone() {
            engine.freeze(false, &mut world.stakker);
        }
    }
    world.run_to(31_000);
    received.check("an answer of some length", 80, 0);
    let ended_ms = received.ended_ms();
    let ran: u32 = world
        .engines
        .iter()
        .map(|e| e.state.borrow().runs.values().sum::<u32>())
        .sum();
    let verdict = received.error().map(|error| error.verdict);
    let as_expected = verdict == end && ran == runs && ended_ms.is_some_and(|ms| ms <= within_ms);
    let found = format!(
        "{case:?}: {verdict:?}, {ran} runs, {ended_ms:?}: {}",
        received.summary()
    );
    (!as_expected).then_some(found)
}

fn inject_fault(world: &mut World, fault: Fault, engine: Option<usize>) {
    let core = &mut world.stakker;
    let mut faults = Faults::default();
    let hit = engine.map(|index| world.engines[index].clone());
    match (fault, hit) {
        (Fault::Kill, Some(engine)) => engine.kill(core),
        (Fault::Restart, Some(engine)) => {
            engine.kill(core);
            engine.restart();
        }
        (Fault::Freeze | Fault::Pause, Some(engine)) => engine.freeze(true, core),
        (Fault::BreakStream, Some(engine)) => engine.break_all(core),
        (Fault::SilenceEngine, Some(engine)) => engine.state.borrow_mut().faults.lose_event = 1.0,
        (Fault::RefuseAll, _) => faults.refuse = 1.0,
        (Fault::LoseCall, _) => faults.lose_call = 1.0,
        (Fault::BreakCall, _) => faults.break_call = 1.0,
        (Fault::LoseEvents, _) => faults.lose_event = 1.0,
        (Fault::DisorderEvents, _) => {
            faults.double_event = 0.5;
            faults.cross_event = 0.5;
            faults.delay_event_ms = 100;
        }
        (fault, None) => panic!("{fault:?} needs an engine"),
    }
    if fault != Fault::SilenceEngine {
        set_faults(world, faults);
    }
}
