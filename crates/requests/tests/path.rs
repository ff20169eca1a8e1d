//! The plain path: a call is answered whole, by one run, and leaves nothing behind.

mod common;

use common::{World, call, keyed};

#[test]
fn a_call_is_answered_whole_by_one_run() {
    let mut world = World::new(1, 2, 1);
    let (_, told) = world.complete(0, call("draft", "a notice", 40));
    world.run_for(3_000);
    assert!(told.is_finished(), "{:?}", told.all());
    told.check("a notice", 40, 0);
    assert_eq!(world.runs(told.request().expect("admitted")), 1);
    assert_eq!(world.held(), 0);
    assert_eq!(
        world.claims.claimed.get(),
        0,
        "idempotent work pays for no claim"
    );
}

#[test]
fn keyed_work_that_may_not_be_repeated_claims_first() {
    let mut world = World::new(1, 2, 1);
    world.claims.delay_ms.set(50);
    let (_, told) = world.complete(0, keyed("notice", "a notice", 40, "k"));
    world.run_for(40);
    assert_eq!(
        told.all(),
        [],
        "nothing is said before the claim is granted"
    );
    world.run_for(3_000);
    assert!(told.is_finished());
    assert_eq!(world.claims.claimed.get(), 1);
}
