//! One fault at one moment of a request's life: how it ends, how often it ran, how soon.

mod common;

use bluebell_base::prelude::*;
use common::engine::Faults;
use common::{World, call, set_faults};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Both engines refuse connections.
    RefuseAll,
    /// The call never arrives, and nobody says so.
    LoseCall,
    /// The call arrives and its connection breaks.
    BreakCall,
    /// The stream's connection breaks.
    BreakStream,
    /// Every event is lost for a second, without a word.
    LoseEvents,
    /// Every event of the engine that has it is lost from now on, without a word.
    Mute,
    /// Every event is doubled, crossed and out of order from now on.
    Garble,
    /// The engine that has it dies and stays dead.
    Kill,
    /// It dies and comes back empty at once.
    Restart,
    /// It stops for five seconds.
    Pause,
    /// It stops for good.
    Freeze,
}

/// When it goes wrong, in the fake engine's time.
const BEFORE: u64 = 0;
const PREFILL: u64 = 10;
const STREAMING: u64 = 200;

const WHOLE: Option<Verdict> = None;
const NOT_RUN: Option<Verdict> = Some(Verdict::NotRun);
const MAY_HAVE_RUN: Option<Verdict> = Some(Verdict::MayHaveRun);
const RAN: Option<Verdict> = Some(Verdict::Ran);

/// Class, moment, fault, the end (or the failure's verdict), runs in all, and by when.
type Case = (&'static str, u64, Fault, Option<Verdict>, u32, u64);

const CASES: &[Case] = &[
    ("draft", BEFORE, Fault::RefuseAll, NOT_RUN, 0, 1_000),
    ("draft", BEFORE, Fault::LoseCall, WHOLE, 1, 20_000),
    ("draft", BEFORE, Fault::BreakCall, WHOLE, 1, 2_000),
    ("draft", BEFORE, Fault::Garble, WHOLE, 1, 8_000),
    ("draft", PREFILL, Fault::Kill, WHOLE, 2, 3_000),
    ("draft", PREFILL, Fault::Restart, WHOLE, 2, 3_000),
    ("draft", PREFILL, Fault::Freeze, WHOLE, 2, 25_000),
    ("draft", STREAMING, Fault::Kill, WHOLE, 2, 3_000),
    ("draft", STREAMING, Fault::Restart, WHOLE, 2, 3_000),
    ("draft", STREAMING, Fault::Freeze, WHOLE, 2, 25_000),
    ("draft", STREAMING, Fault::Pause, WHOLE, 1, 10_000),
    ("draft", STREAMING, Fault::BreakStream, WHOLE, 1, 2_000),
    ("draft", STREAMING, Fault::LoseEvents, WHOLE, 1, 5_000),
    ("draft", STREAMING, Fault::Mute, WHOLE, 2, 20_000),
    ("draft", STREAMING, Fault::Garble, WHOLE, 1, 8_000),
    ("notice", BEFORE, Fault::RefuseAll, NOT_RUN, 0, 1_000),
    ("notice", BEFORE, Fault::LoseCall, MAY_HAVE_RUN, 0, 30_001),
    ("notice", BEFORE, Fault::BreakCall, WHOLE, 1, 2_000),
    ("notice", BEFORE, Fault::Garble, WHOLE, 1, 8_000),
    ("notice", PREFILL, Fault::Kill, MAY_HAVE_RUN, 1, 30_001),
    ("notice", PREFILL, Fault::Restart, MAY_HAVE_RUN, 1, 5_000),
    ("notice", PREFILL, Fault::Freeze, MAY_HAVE_RUN, 1, 30_001),
    ("notice", PREFILL, Fault::Pause, WHOLE, 1, 12_000),
    ("notice", STREAMING, Fault::Kill, RAN, 1, 30_001),
    ("notice", STREAMING, Fault::Restart, RAN, 1, 5_000),
    ("notice", STREAMING, Fault::Freeze, RAN, 1, 30_001),
    ("notice", STREAMING, Fault::Pause, WHOLE, 1, 12_000),
    ("notice", STREAMING, Fault::BreakStream, WHOLE, 1, 2_000),
    ("notice", STREAMING, Fault::LoseEvents, WHOLE, 1, 5_000),
    ("notice", STREAMING, Fault::Mute, RAN, 1, 30_001),
    ("notice", STREAMING, Fault::Garble, WHOLE, 1, 8_000),
];

/// A caller hears the whole answer or a failure with a true verdict, soon, whatever one fault
/// hits its request at whatever moment: the engine dies, stops or refuses, the connection breaks,
/// loses, doubles or reorders events. Work that may be repeated goes on elsewhere; other work is
/// read on where it is, or ends in doubt.
#[test]
fn each_fault_at_each_moment_ends_as_it_should() {
    let failed: Vec<String> = CASES.iter().filter_map(run).collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

fn run(case: &Case) -> Option<String> {
    let (class, moment, fault, end, runs, within_ms) = *case;
    let mut world = World::new(1, 2, 7);
    if moment == BEFORE {
        strike(&mut world, fault, None);
    }
    let (_, told) = world.complete(0, call(class, "an answer of some length", 80));
    world.run_for(moment.max(1));
    if moment != BEFORE {
        let request = world.engines.iter().find_map(|engine| {
            let state = engine.state.borrow();
            state.generated.first().map(|call| call.request)
        });
        let engine = world.engine_of(request?);
        strike(&mut world, fault, Some(engine));
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
    told.check("an answer of some length", 80, 0);
    let ended_ms = told.ended_ms();
    let ran: u32 = world
        .engines
        .iter()
        .map(|e| e.state.borrow().runs.values().sum::<u32>())
        .sum();
    let verdict = told.error().map(|error| error.verdict);
    let as_said = verdict == end && ran == runs && ended_ms.is_some_and(|ms| ms <= within_ms);
    let found = format!(
        "{case:?}: {verdict:?}, {ran} runs, {ended_ms:?}: {}",
        told.brief()
    );
    (!as_said).then_some(found)
}

fn strike(world: &mut World, fault: Fault, engine: Option<usize>) {
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
        (Fault::Mute, Some(engine)) => engine.state.borrow_mut().faults.lose_event = 1.0,
        (Fault::RefuseAll, _) => faults.refuse = 1.0,
        (Fault::LoseCall, _) => faults.lose_call = 1.0,
        (Fault::BreakCall, _) => faults.break_call = 1.0,
        (Fault::LoseEvents, _) => faults.lose_event = 1.0,
        (Fault::Garble, _) => {
            faults.double_event = 0.5;
            faults.cross_event = 0.5;
            faults.delay_event_ms = 100;
        }
        (fault, None) => panic!("{fault:?} needs an engine"),
    }
    if fault != Fault::Mute {
        set_faults(world, faults);
    }
}
