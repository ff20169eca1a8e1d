//! Recalls: work that is queued behind other work is cancelled and placed anew, whatever happens to
//! the cancel.

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::Kind;
use bluebell_requests::RequestsSettings;
use bluebell_requests::call::{CallerCall, CallerId, Completion};
use common::engine::Faults;
use common::{ReceivedEvents, World, call, set_faults};

const PROMPT: &str = "an answer of some length";
const MAX_TOKENS: u64 = 80;
/// Far more work ahead than the policy assumes of another engine.
const BACKLOG: Tokens = Tokens(50_000);
/// A deadline that passes while the cancel's answer is awaited.
const SHORT_DEADLINE_MS: u64 = 300;

/// The fault that affects the cancel of the recalled attempt or occurs meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The cancel is answered at once: the attempt had not begun.
    NotRun,
    /// The cancel is answered at once: the attempt had begun.
    Ran,
    /// The cancel takes effect, and its answer is lost.
    LoseAnswer,
    /// The cancel never arrives, so the first token and all others cross it.
    LoseCancel,
    /// The cancel's connection breaks before the answer arrives.
    Break,
    /// The cancel's connection is refused for a second.
    Refuse,
    /// The cancel arrives so late that the first token crosses it.
    Late,
    /// The engine stops for good.
    Freeze,
    /// The engine crashes.
    Kill,
    /// The engine crashes and restarts empty.
    Restart,
    /// The platform's list reports the engine as gone; it is only disconnected.
    Gone,
    /// As `LoseCancel`, and the request's deadline passes.
    Deadline,
    /// As `LoseCancel`, and the caller hangs up for good.
    HangUp,
    /// As `LoseCancel`, and the caller cancels; a later try of the recall's cancel returns the
    /// verdict.
    Cancel,
    /// As `NotRun`, and the caller cancels while the recall's cancel is on its way.
    CancelNotRun,
}

const COMPLETE: Option<(ErrorKind, Verdict)> = None;
const HUNG_UP: Option<(ErrorKind, Verdict)> = None;

const fn failed(kind: ErrorKind, verdict: Verdict) -> Option<(ErrorKind, Verdict)> {
    Some((kind, verdict))
}

/// The fault, outcome, attempts sent, total runs and time limit.
type Case = (Fault, Option<(ErrorKind, Verdict)>, usize, u32, u64);

const EXPIRED: Option<(ErrorKind, Verdict)> =
    failed(ErrorKind::DeadlineExceeded, Verdict::MayHaveRun);

const CASES: &[Case] = &[
    (Fault::NotRun, COMPLETE, 2, 1, 2_000),
    (Fault::Ran, COMPLETE, 2, 2, 2_000),
    (Fault::LoseAnswer, COMPLETE, 2, 2, 2_500),
    (Fault::LoseCancel, COMPLETE, 2, 2, 2_500),
    (Fault::Break, COMPLETE, 2, 2, 2_500),
    (Fault::Refuse, COMPLETE, 2, 2, 2_500),
    (Fault::Late, COMPLETE, 2, 2, 2_500),
    (Fault::Freeze, COMPLETE, 2, 2, 2_500),
    (Fault::Kill, COMPLETE, 2, 2, 2_500),
    (Fault::Restart, COMPLETE, 2, 2, 2_500),
    (Fault::Gone, COMPLETE, 2, 2, 2_000),
    (Fault::Deadline, EXPIRED, 1, 1, SHORT_DEADLINE_MS + 1),
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

/// A node's view of an engine is out of date: another node has just sent the engine work, and the
/// engine reports that when it accepts the request. The request is recalled and gets its complete
/// answer elsewhere, or ends in time with a true verdict, whatever happens to the cancel. No retry
/// is spent on it, and no memory stays held on an engine.
#[test]
fn each_fault_during_a_recall_has_the_expected_outcome() {
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
        deadline_ms: (fault == Fault::Deadline).then_some(SpanMs(SHORT_DEADLINE_MS)),
        ..call("draft", PROMPT, MAX_TOKENS)
    };
    let (caller, received) = world.complete(0, completion);
    let engine = run_until_sent(&mut world);
    inject_fault(&mut world, fault, engine, (caller, &received));
    // The cancel has arrived by then; the work ahead is done.
    world.run_for(3);
    world.engines[engine].state.borrow_mut().queued = false;
    world.run_for(1_000);
    set_faults(&world, Faults::default());
    world.run_to(60_000);
    received.check(PROMPT, MAX_TOKENS, 0);
    let error = received.error().map(|error| (error.kind, error.verdict));
    let ran: u32 = engines_sum(&world, |state| state.runs.values().sum());
    let sent = engines_sum(&world, |state| state.generated.len() as u32) as usize;
    let ended_ms = received.ended_ms();
    let hung_up = fault == Fault::HangUp;
    let in_time = hung_up || ended_ms.is_some_and(|ms| ms <= within_ms);
    let held = world.engines.iter().filter(|e| !e.state.borrow().frozen);
    let held: usize = held.map(|engine| engine.held()).sum();
    let is_clear = world.policies_are_empty();
    let counts = &world.counts;
    let as_expected = error == end
        && (sent, ran, held) == (attempts, runs, 0)
        && in_time
        && is_clear
        && counts.recalls.get() == 1
        && counts.retries.get() == 0;
    let found = format!(
        "{case:?}: {error:?}, {sent} sent, {ran} runs, {held} held, {} recalls, {} retries, {}",
        counts.recalls.get(),
        counts.retries.get(),
        received.summary()
    );
    (!as_expected).then_some(found)
}

fn engines_sum(world: &World, count: impl Fn(&common::engine::EngineState) -> u32) -> u32 {
    world.engines.iter().map(|e| count(&e.state.borrow())).sum()
}

/// Runs until the work is about to be accepted; returns its engine.
fn run_until_sent(world: &mut World) -> usize {
    let began = |e: &common::engine::Engine| !e.state.borrow().generated.is_empty();
    while !world.engines.iter().any(began) {
        assert!(world.now_ms < 1_000, "nothing was sent");
        world.run_for(1);
    }
    world
        .engines
        .iter()
        .position(began)
        .expect("the request was sent")
}

/// Runs until the cancel of the recalled attempt is on its way, and clears the backlogs of all
/// engines.
fn run_until_recalled(world: &mut World) {
    let sent_ms = world.now_ms;
    while world.counts.recalls.get() == 0 {
        assert!(world.now_ms < sent_ms + 10, "nothing was recalled");
        world.run_for(1);
    }
    set_backlogs(world, Tokens::ZERO);
}

fn inject_fault(
    world: &mut World,
    fault: Fault,
    engine: usize,
    (caller, received): (CallerId, &ReceivedEvents),
) {
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
    run_until_recalled(world);
    match fault {
        Fault::Kill => hit.kill(&mut world.stakker),
        Fault::Restart => {
            hit.kill(&mut world.stakker);
            hit.restart();
        }
        Fault::Gone => world.nodes[0].engine_gone(common::engine_description(engine).name),
        Fault::HangUp => world.disconnect(0, caller),
        Fault::Cancel | Fault::CancelNotRun => {
            let request = received.request().expect("admitted");
            world.nodes[0].call(CallerCall::Cancel {
                account: "parish".into(),
                request,
                reply: Box::new(|_| ()),
            });
        }
        _ => (),
    }
}

/// The engine continues the recalled attempt, and its tokens arrive while the answer to the cancel
/// is awaited. None of them may reach the caller, or the answer would mix two attempts.
#[test]
fn tokens_of_a_recalled_attempt_are_dropped() {
    let mut world = world(2);
    let (_, received) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    let engine = run_until_sent(&mut world);
    inject_fault(
        &mut world,
        Fault::LoseCancel,
        engine,
        (CallerId(0), &received),
    );
    let waits_ms = RequestsSettings::default().recall_wait_ms.0;
    world.run_for(waits_ms - 1);
    assert_eq!(world.counts.recalls.get(), 1);
    assert!(received.texts().is_empty(), "{}", received.summary());
    world.run_for(100);
    assert!(!received.texts().is_empty(), "{}", received.summary());
}

/// The first token arrives before the policy learns of the engine's load. The attempt stays,
/// because its answer has begun.
#[test]
fn a_started_answer_is_not_recalled() {
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
        let (_, received) = world.complete(0, call("draft", &prompt, MAX_TOKENS));
        world.run_for(10_000);
        received.check(&prompt, MAX_TOKENS, 0);
        assert!(received.is_finished(), "{}", received.summary());
    }
    let recalls = world.counts.recalls.get();
    assert!(recalls > 0, "nothing was recalled");
    assert_eq!(world.held(), 0);
}

/// Work that may not be repeated stays on its engine, however long it waits there.
#[test]
fn work_that_may_not_be_repeated_is_not_recalled() {
    let mut world = world(3);
    let (_, received) = world.complete(0, call("notice", PROMPT, MAX_TOKENS));
    world.run_for(10_000);
    assert!(received.is_finished(), "{}", received.summary());
    assert_eq!(world.counts.recalls.get(), 0);
}
