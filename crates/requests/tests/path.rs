//! The path without faults: a call is answered completely by one run and leaves nothing behind.

mod common;

use common::{World, call, keyed};

#[test]
fn a_call_is_answered_completely_by_one_run() {
    let mut world = World::new(1, 2, 1);
    let (_, received) = world.complete(0, call("draft", "a notice", 40));
    world.run_for(3_000);
    assert!(received.is_finished(), "{:?}", received.all());
    received.check("a notice", 40, 0);
    assert_eq!(world.runs(received.request().expect("admitted")), 1);
    assert_eq!(world.held(), 0);
    assert_eq!(
        world.claims.claimed.get(),
        0,
        "idempotent work makes no claim"
    );
}

#[test]
fn keyed_work_that_may_not_be_repeated_is_claimed_first() {
    let mut world = World::new(1, 2, 1);
    world.claims.delay_ms.set(50);
    let (_, received) = world.complete(0, keyed("notice", "a notice", 40, "k"));
    world.run_for(40);
    assert_eq!(
        received.all(),
        [],
        "an event was sent before the claim was granted"
    );
    world.run_for(3_000);
    assert!(received.is_finished());
    assert_eq!(world.claims.claimed.get(), 1);
}
