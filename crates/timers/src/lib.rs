//! The timer service: the only source of the time and of timers for actors.
//!
//! Terms: a *subscription* is the handle of a timer; [`Timers::cancel`] cancels the timer, and dropping
//! the handle does not. The service reads `stakker`'s `now`, so the same code runs with the real clock
//! and with a virtual clock that a test advances by calling `Stakker::run` with a later instant.
//!
//! Invariants: `now_ms` never decreases; a subscription fires at most once and never early.

use bluebell_base::prelude::*;
use stakker::{Core, FixedTimerKey, Fwd};
use std::time::{Duration, Instant};

/// The time and the timers of a node. It is cheap to clone.
#[derive(Clone, Debug)]
pub struct Timers {
    origin: Instant,
}

/// The handle of a timer, for [`Timers::cancel`].
#[derive(Clone, Copy, Debug)]
pub struct Subscription {
    key: FixedTimerKey,
}

impl Timers {
    /// Creates the service. Times are counted from `origin`.
    pub fn open(origin: Instant) -> Self {
        Self { origin }
    }

    /// Returns the monotonic time of the event being handled.
    pub fn now_ms(&self, core: &Core) -> MonoMs {
        let since = core.now().saturating_duration_since(self.origin);
        MonoMs(since.as_millis() as u64)
    }

    /// Calls `fwd` with the current time once `at_ms` is reached.
    pub fn subscribe_at(&self, core: &mut Core, at_ms: MonoMs, fwd: Fwd<MonoMs>) -> Subscription {
        let at = self.origin + Duration::from_millis(at_ms.0);
        let timers = self.clone();
        let key = core.timer_add(at.max(core.now()), move |stakker| {
            let now_ms = timers.now_ms(stakker);
            fwd.fwd(now_ms);
        });
        Subscription { key }
    }

    /// Calls `fwd` with the current time once `span_ms` has passed.
    pub fn subscribe_in(&self, core: &mut Core, span_ms: SpanMs, fwd: Fwd<MonoMs>) -> Subscription {
        let at_ms = self.now_ms(core) + span_ms;
        self.subscribe_at(core, at_ms, fwd)
    }

    /// Cancels a subscription. Has no effect if it has already fired.
    pub fn cancel(&self, core: &mut Core, subscription: Subscription) {
        core.timer_del(subscription.key);
    }
}
