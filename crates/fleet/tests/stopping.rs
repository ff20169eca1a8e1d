//! Tests of planned stops.

use bluebell_base::prelude::*;
use bluebell_fleet::stopping::StopPlan;

/// Guards against a caller's stream that breaks off during a planned stop. A kept connection brought a
/// long prompt six seconds after the node's signal, the stopping node accepted everything, and its grace
/// period ended while the engine was at work.
#[test]
fn requests_that_can_not_end_within_the_grace_period_are_not_accepted() {
    let plan = StopPlan::begin(MonoMs(10_000), SpanMs(8_000));
    assert!(
        plan.accepts(MonoMs(20_100), MonoMs(10_100)),
        "the balancer can't have noticed the stop"
    );
    assert!(
        !plan.accepts(MonoMs(24_845), MonoMs(14_845)),
        "a long prompt late in the stop is not accepted"
    );
    assert!(
        plan.accepts(MonoMs(15_445), MonoMs(14_845)),
        "a short call that still ends in time is accepted"
    );
    assert!(
        !plan.accepts(MonoMs(18_100), MonoMs(17_500)),
        "a short call at the very end is not accepted"
    );
}
