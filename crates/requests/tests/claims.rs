//! Idempotency keys: a claim comes first, its answer is believed, and it is settled truly.

mod common;

use bluebell_base::prelude::*;
use bluebell_peers::ClaimState;
use bluebell_requests::call::CallerCall;
use common::engine::Faults;
use common::{Told, World, keyed, set_faults};

const PROMPT: &str = "a notice";

fn notice() -> bluebell_requests::call::Completion {
    keyed("notice", PROMPT, 40, "k")
}

fn verdict_and_kind(told: &Told) -> (Verdict, ErrorKind) {
    let error = told.error().expect("it failed");
    (error.verdict, error.kind)
}

/// A caller gets "not run" at once while the log is down, and may come back.
#[test]
fn without_a_claim_it_does_not_run() {
    let mut world = World::new(1, 1, 1);
    world.claims.down.set(true);
    let (_, told) = world.complete(0, notice());
    world.run_for(10);
    assert_eq!(
        verdict_and_kind(&told),
        (Verdict::NotRun, ErrorKind::Unavailable)
    );
    assert!(told.error().is_some_and(|e| e.retry_after_ms.is_some()));
    world.run_for(5_000);
    assert_eq!(world.runs(told.request().expect("an identity")), 0);
}

/// How a request ends while its claim is under way.
#[derive(Clone, Copy, Debug)]
enum End {
    ClaimTimesOut,
    Deadline,
    Cancel,
    HangUp,
}

/// A caller is told "not run" (or goes away) while the claim is under way; the grant comes
/// afterwards. Kept, it would make every retry hear "may have run" of a request that never did.
#[test]
fn a_late_grant_is_given_back() {
    for end in [End::ClaimTimesOut, End::Deadline, End::Cancel, End::HangUp] {
        let mut world = World::new(1, 1, 1);
        world.claims.delay_ms.set(7_000);
        let mut call = notice();
        if matches!(end, End::Deadline) {
            call.deadline_ms = Some(SpanMs(1_000));
        }
        let (caller, told) = world.complete(0, call);
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
            End::HangUp => world.gone(0, caller),
            End::ClaimTimesOut | End::Deadline => (),
        }
        world.run_to(6_000);
        if !matches!(end, End::HangUp) {
            assert_eq!(verdict_and_kind(&told).0, Verdict::NotRun, "{end:?}");
        }
        world.run_to(8_000);
        assert!(
            world.claims.held.borrow().is_empty(),
            "{end:?}: the key is held"
        );
        world.claims.delay_ms.set(0);
        let (_, again) = world.complete(0, notice());
        world.run_for(3_000);
        assert!(again.is_finished(), "{end:?}: {}", again.brief());
    }
}

/// A claim's late grant comes when the request has ended and another one has its place in the
/// table: that one must not take the grant for its own and run without a claim.
#[test]
fn a_late_grant_is_nobody_elses() {
    let mut world = World::new(1, 1, 1);
    world.claims.delay_ms.set(4_000);
    let mut first = notice();
    first.deadline_ms = Some(SpanMs(1_000));
    world.complete(0, first);
    world.run_for(2_000);
    world.claims.delay_ms.set(60_000);
    let (_, second) = world.complete(0, keyed("notice", PROMPT, 40, "other"));
    world.run_for(4_500);
    assert_eq!(second.all(), [], "it ran by another request's grant");
}

/// A caller that asks again hears what became of its first call, by that call's identity.
#[test]
fn a_held_key_says_who_holds_it_and_how_far_it_came() {
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

/// A caller is told "not run" as no engine took its call; its retry runs.
#[test]
fn a_key_is_free_again_once_nothing_ran() {
    let mut world = World::new(1, 2, 1);
    set_faults(
        &world,
        Faults {
            refuse: 1.0,
            ..Faults::default()
        },
    );
    let (_, told) = world.complete(0, notice());
    world.run_for(2_000);
    assert_eq!(verdict_and_kind(&told).0, Verdict::NotRun);
    set_faults(&world, Faults::default());
    let (_, again) = world.complete(0, notice());
    world.run_for(3_000);
    assert!(again.is_finished(), "{}", again.brief());
}

/// The call to the engine is lost without a word, and its cancel finds nothing there. The engine
/// may as well have run it, restarted and forgotten: the key must stay held.
#[test]
fn a_key_stays_held_while_nobody_can_tell() {
    let mut world = World::new(1, 1, 1);
    set_faults(
        &world,
        Faults {
            lose_call: 1.0,
            ..Faults::default()
        },
    );
    let (_, told) = world.complete(0, notice());
    world.run_for(100);
    set_faults(&world, Faults::default());
    world.run_to(40_000);
    assert_eq!(verdict_and_kind(&told).0, Verdict::MayHaveRun);
    let states: Vec<ClaimState> = world.claims.held.borrow().values().map(|c| c.1).collect();
    assert_eq!(states, [ClaimState::Pending]);
    let (_, again) = world.complete(0, notice());
    world.run_for(10);
    assert_eq!(
        verdict_and_kind(&again),
        (Verdict::MayHaveRun, ErrorKind::Conflict)
    );
}

/// The grant comes in the very instant of the deadline, before its timer: nothing is sent to an
/// engine for a caller that is told next that time is up, and the key is free again.
#[test]
fn a_grant_at_the_deadline_sends_nothing() {
    for delay_ms in 497..=502 {
        let mut world = World::new(1, 1, 1);
        world.claims.delay_ms.set(delay_ms);
        let call = bluebell_requests::call::Completion {
            deadline_ms: Some(SpanMs(500)),
            ..notice()
        };
        let (_, told) = world.complete(0, call);
        world.run_for(1_000);
        let sent = world.engines[0].state.borrow().generated.len();
        // The grant's own timer is rounded up by a millisecond.
        let in_time = delay_ms + 1 < 500;
        assert_eq!(sent, usize::from(in_time), "after {delay_ms} ms");
        if !in_time {
            let ended = (Verdict::NotRun, ErrorKind::DeadlineExceeded);
            assert_eq!(verdict_and_kind(&told), ended);
            assert!(world.claims.held.borrow().is_empty());
        }
    }
}
