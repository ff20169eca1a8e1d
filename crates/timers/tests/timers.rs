//! Subscriptions with a virtual clock.

use bluebell_base::prelude::*;
use bluebell_timers::Timers;
use stakker::{Fwd, Stakker};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[test]
fn subscriptions_fire_once_never_early_and_can_be_cancelled() {
    let origin = Instant::now();
    let mut stakker = Stakker::new(origin);
    let timers = Timers::open(origin);
    let fired = Rc::new(RefCell::new(Vec::new()));
    let log = Rc::clone(&fired);
    let fwd = Fwd::new(move |at: MonoMs| log.borrow_mut().push(at));

    timers.subscribe_in(&mut stakker, SpanMs::from_secs(3600), fwd.clone());
    let cancelled = timers.subscribe_in(&mut stakker, SpanMs(10), fwd);
    timers.cancel(&mut stakker, cancelled);

    stakker.run(origin + Duration::from_millis(3_599_999), false);
    assert!(fired.borrow().is_empty());
    stakker.run(origin + Duration::from_millis(3_600_001), false);
    stakker.run(origin + Duration::from_millis(9_000_000), false);
    assert_eq!(fired.borrow().len(), 1);
    assert!(fired.borrow()[0] >= MonoMs(3_600_000));
}
