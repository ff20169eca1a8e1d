//! Recalls: work that lands behind other work is taken back and placed anew, whatever happens to
//! the cancel meanwhile.

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::Kind;
use bluebell_requests::RequestsSettings;
use bluebell_requests::call::{CallerCall, CallerId, Completion};
use common::engine::Faults;
use common::{Told, World, call, set_faults};

const PROMPT: &str = "an answer of some length";
const MAX_TOKENS: u64 = 80;
/// Far more work ahead than another engine is believed to have.
const BACKLOG: Tokens = Tokens(50_000);
/// A deadline that comes while the cancel is awaited.
const SOON_MS: u64 = 300;

/// What happens to the cancel of the recalled attempt, and meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Answered at once: nothing had begun.
    NotRun,
    /// Answered at once: it had begun.
    Ran,
    /// Takes effect, and its answer is lost.
    LoseAnswer,
    /// Never arrives, so that the first token and all others cross it.
    LoseCancel,
    /// Its connection breaks with the answer on the way.
    Break,
    /// Its connection is refused for a second.
    Refuse,
    /// Arrives so late that the first token crosses it.
    Late,
    /// The engine stops for good.
    Freeze,
    /// The engine dies.
    Kill,
    /// The engine dies and comes back empty.
    Restart,
    /// The platform's list says that the engine is gone; it is only cut off.
    Gone,
    /// As `LoseCancel`, and the request's deadline passes.
    Deadline,
    /// As `LoseCancel`, and the caller hangs up for good.
    HangUp,
    /// As `LoseCancel`, and the caller cancels; a later try of the recall's cancel tells the truth.
    Cancel,
    /// As `NotRun`, and the caller cancels while the cancel is on its way.
    CancelNotRun,
}

const WHOLE: Option<(ErrorKind, Verdict)> = None;
const HUNG_UP: Option<(ErrorKind, Verdict)> = None;

const fn failed(kind: ErrorKind, verdict: Verdict) -> Option<(ErrorKind, Verdict)> {
    Some((kind, verdict))
}

/// Fault, how it ends, attempts sent, runs in all, and by when.
type Case = (Fault, Option<(ErrorKind, Verdict)>, usize, u32, u64);

const EXPIRED: Option<(ErrorKind, Verdict)> =
    failed(ErrorKind::DeadlineExceeded, Verdict::MayHaveRun);

const CASES: &[Case] = &[
    (Fault::NotRun, WHOLE, 2, 1, 2_000),
    (Fault::Ran, WHOLE, 2, 2, 2_000),
    (Fault::LoseAnswer, WHOLE, 2, 2, 2_500),
    (Fault::LoseCancel, WHOLE, 2, 2, 2_500),
    (Fault::Break, WHOLE, 2, 2, 2_500),
    (Fault::Refuse, WHOLE, 2, 2, 2_500),
    (Fault::Late, WHOLE, 2, 2, 2_500),
    (Fault::Freeze, WHOLE, 2, 2, 2_500),
    (Fault::Kill, WHOLE, 2, 2, 2_500),
    (Fault::Restart, WHOLE, 2, 2, 2_500),
    (Fault::Gone, WHOLE, 2, 2, 2_000),
    (Fault::Deadline, EXPIRED, 1, 1, SOON_MS + 1),
    (Fault::HangUp, HUNG_UP, 2, 2, 30_000),
    (
        Fault::Cancel,
        failed(ErrorKind::Cancelled, Verdict::Ran),
        1,
        1,
        2_500,
    ),
    (
        Fault::CancelNotRun,
        failed(ErrorKind::Cancelled, Verdict::NotRun),
        1,
        0,
        10,
    ),
];

/// A node's picture of an engine is late: the engine was just filled by another node, and says so
/// when it takes the work. The work is taken back there and gets its whole answer elsewhere, or
/// ends in time with a true verdict, whatever happens to the cancel; no retry is spent on it, and
/// no engine's memory is left behind.
#[test]
fn each_fault_during_a_recall_ends_as_it_should() {
    let failed: Vec<String> = CASES.iter().filter_map(run).collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

fn world(engines: u64) -> World {
    let kind = Kind::Laxity;
    let world = World::deciding(kind, 1, engines, 7, RequestsSettings::default());
    set_backlogs(&world, BACKLOG);
    world
}

fn set_backlogs(world: &World, backlog_tokens: Tokens) {
    for engine in &world.engines {
        engine.state.borrow_mut().backlog_tokens = backlog_tokens;
    }
}

fn run(case: &Case) -> Option<String> {
    let (fault, end, attempts, runs, within_ms) = *case;
    let mut world = world(2);
    let completion = Completion {
        deadline_ms: (fault == Fault::Deadline).then_some(SpanMs(SOON_MS)),
        ..call("draft", PROMPT, MAX_TOKENS)
    };
    let (caller, told) = world.complete(0, completion);
    let engine = until_sent(&mut world);
    strike(&mut world, fault, engine, (caller, &told));
    // The cancel is there by then; the work ahead is done.
    world.run_for(3);
    world.engines[engine].state.borrow_mut().queued = false;
    world.run_for(1_000);
    set_faults(&world, Faults::default());
    world.run_to(60_000);
    told.check(PROMPT, MAX_TOKENS, 0);
    let error = told.error().map(|error| (error.kind, error.verdict));
    let ran: u32 = engines_sum(&world, |state| state.runs.values().sum());
    let sent = engines_sum(&world, |state| state.generated.len() as u32) as usize;
    let ended_ms = told.ended_ms();
    let hung_up = fault == Fault::HangUp;
    let in_time = hung_up || ended_ms.is_some_and(|ms| ms <= within_ms);
    let held = world.engines.iter().filter(|e| !e.state.borrow().frozen);
    let held: usize = held.map(|engine| engine.held()).sum();
    let is_clear = world.policies_are_empty();
    let counts = &world.counts;
    let as_said = error == end
        && (sent, ran, held) == (attempts, runs, 0)
        && in_time
        && is_clear
        && counts.recalls.get() == 1
        && counts.retries.get() == 0;
    let found = format!(
        "{case:?}: {error:?}, {sent} sent, {ran} runs, {held} held, {} recalls, {} retries, {}",
        counts.recalls.get(),
        counts.retries.get(),
        told.brief()
    );
    (!as_said).then_some(found)
}

fn engines_sum(world: &World, count: impl Fn(&common::engine::EngineState) -> u32) -> u32 {
    world.engines.iter().map(|e| count(&e.state.borrow())).sum()
}

/// Runs until the work is about to be accepted; gives its engine.
fn until_sent(world: &mut World) -> usize {
    let began = |e: &common::engine::Engine| !e.state.borrow().generated.is_empty();
    while !world.engines.iter().any(began) {
        assert!(world.now_ms < 1_000, "nothing was sent");
        world.run_for(1);
    }
    world.engines.iter().position(began).expect("it was sent")
}

/// Runs until the cancel of the recalled attempt is on its way; the next engine has nothing ahead.
fn until_recalled(world: &mut World) {
    let sent_ms = world.now_ms;
    while world.counts.recalls.get() == 0 {
        assert!(world.now_ms < sent_ms + 10, "nothing was recalled");
        world.run_for(1);
    }
    set_backlogs(world, Tokens::ZERO);
}

fn strike(world: &mut World, fault: Fault, engine: usize, (caller, told): (CallerId, &Told)) {
    let hit = world.engines[engine].clone();
    let mut faults = Faults::default();
    match fault {
        Fault::NotRun | Fault::CancelNotRun => hit.state.borrow_mut().queued = true,
        Fault::Ran | Fault::Gone => (),
        Fault::LoseAnswer => faults.lose_answer = 1.0,
        Fault::Break => faults.break_call = 1.0,
        Fault::Refuse => faults.refuse = 1.0,
        Fault::LoseCancel | Fault::Deadline | Fault::HangUp | Fault::Cancel => {
            faults.lose_call = 1.0;
        }
        Fault::Late => faults.delay_call_ms = 900,
        Fault::Freeze => hit.freeze(true, &mut world.stakker),
        Fault::Kill | Fault::Restart => (),
    }
    hit.state.borrow_mut().faults = faults;
    until_recalled(world);
    match fault {
        Fault::Kill => hit.kill(&mut world.stakker),
        Fault::Restart => {
            hit.kill(&mut world.stakker);
            hit.restart();
        }
        Fault::Gone => world.nodes[0].engine_gone(common::engine_description(engine).name),
        Fault::HangUp => world.gone(0, caller),
        Fault::Cancel | Fault::CancelNotRun => {
            let request = told.request().expect("admitted");
            world.nodes[0].call(CallerCall::Cancel {
                account: "parish".into(),
                request,
                reply: Box::new(|_| ()),
            });
        }
        _ => (),
    }
}

/// The recalled engine goes on as if nothing had happened, and its tokens come while its cancel is
/// awaited: none of them may reach the caller, or the answer would mix two attempts.
#[test]
fn tokens_of_a_recalled_attempt_are_dropped() {
    let mut world = world(2);
    let (_, told) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    let engine = until_sent(&mut world);
    strike(&mut world, Fault::LoseCancel, engine, (CallerId(0), &told));
    let waits_ms = RequestsSettings::default().recall_wait_ms.0;
    world.run_for(waits_ms - 1);
    assert_eq!(world.counts.recalls.get(), 1);
    assert!(told.texts().is_empty(), "{}", told.brief());
    world.run_for(100);
    assert!(!told.texts().is_empty(), "{}", told.brief());
}

/// The first token came before the policy heard of the engine's load: the attempt stays, as its
/// answer has begun.
#[test]
fn an_answer_that_has_begun_is_not_recalled() {
    let mut world = world(2);
    set_faults(
        &world,
        Faults {
            double_event: 1.0,
            delay_event_ms: 60,
            ..Faults::default()
        },
    );
    for index in 0..40 {
        let prompt = format!("{PROMPT} {index}");
        let (_, told) = world.complete(0, call("draft", &prompt, MAX_TOKENS));
        world.run_for(10_000);
        told.check(&prompt, MAX_TOKENS, 0);
        assert!(told.is_finished(), "{}", told.brief());
    }
    let recalls = world.counts.recalls.get();
    assert!(recalls > 0, "nothing was recalled");
    assert_eq!(world.held(), 0);
}

/// Work that may not be repeated stays where it is, however long the wait there.
#[test]
fn work_that_may_not_be_repeated_is_not_recalled() {
    let mut world = world(3);
    let (_, told) = world.complete(0, call("notice", PROMPT, MAX_TOKENS));
    world.run_for(10_000);
    assert!(told.is_finished(), "{}", told.brief());
    assert_eq!(world.counts.recalls.get(), 0);
}
