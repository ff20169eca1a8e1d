//! Idempotency keys: the claim comes first, its answer is obeyed, and it is settled by the actual
//! outcome.

mod common;

use bluebell_base::prelude::*;
use bluebell_peers::ClaimState;
use bluebell_requests::call::CallerCall;
use common::engine::Faults;
use common::{ReceivedEvents, World, keyed, set_faults};

const PROMPT: &str = "a notice";

fn notice() -> bluebell_requests::call::Completion {
    keyed("notice", PROMPT, 40, "k")
}

fn verdict_and_kind(received: &ReceivedEvents) -> (Verdict, ErrorKind) {
    let error = received.error().expect("the request failed");
    (error.verdict, error.kind)
}

/// While the log is down a caller receives "not run" at once, with a retry delay.
#[test]
fn a_request_without_a_claim_does_not_run() {
    let mut world = World::new(1, 1, 1);
    world.claims.down.set(true);
    let (_, received) = world.complete(0, notice());
    world.run_for(10);
    assert_eq!(
        verdict_and_kind(&received),
        (Verdict::NotRun, ErrorKind::Unavailable)
    );
    assert!(received.error().is_some_and(|e| e.retry_after_ms.is_some()));
    world.run_for(5_000);
    assert_eq!(world.runs(received.request().expect("a request id")), 0);
}

/// The end of a request whose claim is under way.
#[derive(Clone, Copy, Debug)]
enum End {
    ClaimTimesOut,
    Deadline,
    Cancel,
    HangUp,
}

/// A caller receives "not run" (or disconnects) while the claim is under way, and the claim is
/// granted afterwards. If the grant were kept, every retry would receive "may have run" for a
/// request that never ran.
#[test]
fn a_late_grant_is_settled_as_not_run() {
    for end in [End::ClaimTimesOut, End::Deadline, End::Cancel, End::HangUp] {
        let mut world = World::new(1, 1, 1);
        world.claims.delay_ms.set(7_000);
        let mut call = notice();
        if matches!(end, End::Deadline) {
            call.deadline_ms = Some(SpanMs(1_000));
        }
        let (caller, received) = world.complete(0, call);
        world.run_for(100);
        match end {
            End::Cancel => {
                let incarnation = Incarnation(0xb0);
                let sequence = 1;
                let request = RequestId {
                    incarnation,
                    sequence,
                };
                let account = AccountName::from("parish");
                let reply = Box::new(|_| ());
                world.nodes[0].call(CallerCall::Cancel {
                    account,
                    request,
                    reply,
                });
            }
            End::HangUp => world.disconnect(0, caller),
            End::ClaimTimesOut | End::Deadline => (),
        }
        world.run_to(6_000);
        if !matches!(end, End::HangUp) {
            assert_eq!(verdict_and_kind(&received).0, Verdict::NotRun, "{end:?}");
        }
        world.run_to(8_000);
        assert!(
            world.claims.held.borrow().is_empty(),
            "{end:?}: the key is held"
        );
        world.claims.delay_ms.set(0);
        let (_, again) = world.complete(0, notice());
        world.run_for(3_000);
        assert!(again.is_finished(), "{end:?}: {}", again.summary());
    }
}

/// A claim is granted after its request has ended and another request occupies its slot in the
/// table. The other request must not take the grant as its own and run without a claim.
#[test]
fn a_late_grant_is_not_taken_by_another_request() {
    let mut world = World::new(1, 1, 1);
    world.claims.delay_ms.set(4_000);
    let mut first = notice();
    first.deadline_ms = Some(SpanMs(1_000));
    world.complete(0, first);
    world.run_for(2_000);
    world.claims.delay_ms.set(60_000);
    let (_, second) = world.complete(0, keyed("notice", PROMPT, 40, "other"));
    world.run_for(4_500);
    assert_eq!(
        second.all(),
        [],
        "the request ran with another request's grant"
    );
}

/// A caller that repeats its call receives the id and the verdict of the first one.
#[test]
fn a_held_key_reports_its_holder_and_verdict() {
    let mut world = World::new(2, 1, 1);
    let (_, first) = world.complete(0, notice());
    world.run_for(100);
    let (_, pending) = world.complete(1, notice());
    let (_, other) = world.complete(1, keyed("notice", "another notice", 40, "k"));
    world.run_for(10);
    assert_eq!(
        verdict_and_kind(&pending),
        (Verdict::MayHaveRun, ErrorKind::Conflict)
    );
    assert_eq!(
        verdict_and_kind(&other),
        (Verdict::NotRun, ErrorKind::Conflict)
    );
    let holder = first.request().expect("admitted").to_string();
    assert!(pending.error().is_some_and(|e| e.message.contains(&holder)));
    world.run_for(3_000);
    assert!(first.is_finished());
    let (_, ran) = world.complete(1, notice());
    world.run_for(10);
    assert_eq!(verdict_and_kind(&ran), (Verdict::Ran, ErrorKind::Conflict));
}

/// A caller receives "not run" because no engine accepted its call; its retry runs.
#[test]
fn a_key_is_released_if_nothing_ran() {
    let mut world = World::new(1, 2, 1);
    set_faults(
        &world,
        Faults {
            refuse: 1.0,
            ..Faults::default()
        },
    );
    let (_, received) = world.complete(0, notice());
    world.run_for(2_000);
    assert_eq!(verdict_and_kind(&received).0, Verdict::NotRun);
    set_faults(&world, Faults::default());
    let (_, again) = world.complete(0, notice());
    world.run_for(3_000);
    assert!(again.is_finished(), "{}", again.summary());
}

/// The call to the engine is lost silently, and its cancel finds nothing there. The engine may as
/// well have run it, restarted and lost its state, so the key must stay held.
#[test]
fn a_key_stays_held_while_the_verdict_is_unknown() {
    let mut world = World::new(1, 1, 1);
    set_faults(
        &world,
        Faults {
            lose_call: 1.0,
            ..Faults::default()
        },
    );
    let (_, received) = world.complete(0, notice());
    world.run_for(100);
    set_faults(&world, Faults::default());
    world.run_to(40_000);
    assert_eq!(verdict_and_kind(&received).0, Verdict::MayHaveRun);
    let states: Vec<ClaimState> = world.claims.held.borrow().values().map(|c| c.1).collect();
    assert_eq!(states, [ClaimState::Pending]);
    let (_, again) = world.complete(0, notice());
    world.run_for(10);
    assert_eq!(
        verdict_and_kind(&again),
        (Verdict::MayHaveRun, ErrorKind::Conflict)
    );
}

/// The claim is granted at the time of the deadline, before the deadline's timer. Nothing is sent
/// to an engine for a caller that is about to receive the deadline error, and the key is released.
#[test]
fn a_grant_at_the_deadline_sends_nothing() {
    for delay_ms in 497..=502 {
        let mut world = World::new(1, 1, 1);
        world.claims.delay_ms.set(delay_ms);
        let call = bluebell_requests::call::Completion {
            deadline_ms: Some(SpanMs(500)),
            ..notice()
        };
        let (_, received) = world.complete(0, call);
        world.run_for(1_000);
        let sent = world.engines[0].state.borrow().generated.len();
        // The timer of the grant is rounded up by a millisecond.
        let in_time = delay_ms + 1 < 500;
        assert_eq!(sent, usize::from(in_time), "after {delay_ms} ms");
        if !in_time {
            let ended = (Verdict::NotRun, ErrorKind::DeadlineExceeded);
            assert_eq!(verdict_and_kind(&received), ended);
            assert!(world.claims.held.borrow().is_empty());
        }
    }
}
