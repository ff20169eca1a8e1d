//! Planned stops.

use bluebell_base::prelude::*;
use bluebell_fleet::stopping::StopPlan;

/// A caller's stream breaks off although only a planned stop is under way. The node got its signal,
/// the caller's kept connection brought a long prompt six seconds later, the node took it, and its
/// grace ended while the engine was at work. The cause was that a stopping node took everything.
#[test]
fn what_can_not_end_within_the_grace_is_not_taken() {
    let plan = StopPlan::begin(MonoMs(10_000), SpanMs(8_000));
    assert!(
        plan.accepts(MonoMs(20_100), MonoMs(10_100)),
        "the balancer can't have noticed"
    );
    assert!(
        !plan.accepts(MonoMs(24_845), MonoMs(14_845)),
        "a long prompt late in the stop"
    );
    assert!(
        plan.accepts(MonoMs(15_445), MonoMs(14_845)),
        "a short call still ends in time"
    );
    assert!(
        !plan.accepts(MonoMs(18_100), MonoMs(17_500)),
        "nor a short call at the very end"
    );
}
