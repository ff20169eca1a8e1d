//! The timer service: the one place a part gets the time from and subscribes to later instants.
//!
//! Terms: a *subscription* is a handle; dropping it cancels the timer. The service reads
//! `stakker`'s `now`, so the same code runs under the real clock and under a virtual one that a
//! test moves by calling `Stakker::run` with a later instant.
//!
//! Invariants: `now_ms` never goes back; a subscription fires at most once, never early.

use bluebell_base::prelude::*;
use stakker::{Core, FixedTimerKey, Fwd};
use std::time::{Duration, Instant};

/// The time and the timers of one node; cheap to clone.
#[derive(Clone, Debug)]
pub struct Timers {
    origin: Instant,
}

/// A pending timer; see [`Timers::cancel`].
#[derive(Clone, Copy, Debug)]
pub struct Subscription {
    key: FixedTimerKey,
}

impl Timers {
    /// Opens the service; instants count from `origin`.
    pub fn open(origin: Instant) -> Self {
        Self { origin }
    }

    /// The monotonic instant of the event being handled.
    pub fn now_ms(&self, core: &Core) -> MonoMs {
        let since = core.now().saturating_duration_since(self.origin);
        MonoMs(since.as_millis() as u64)
    }

    /// Calls `fwd` with the instant once `at_ms` is reached.
    pub fn subscribe_at(&self, core: &mut Core, at_ms: MonoMs, fwd: Fwd<MonoMs>) -> Subscription {
        let at = self.origin + Duration::from_millis(at_ms.0);
        let timers = self.clone();
        let key = core.timer_add(at.max(core.now()), move |stakker| {
            let now_ms = timers.now_ms(stakker);
            fwd.fwd(now_ms);
        });
        Subscription { key }
    }

    /// Calls `fwd` once `span_ms` has passed.
    pub fn subscribe_in(&self, core: &mut Core, span_ms: SpanMs, fwd: Fwd<MonoMs>) -> Subscription {
        let at_ms = self.now_ms(core) + span_ms;
        self.subscribe_at(core, at_ms, fwd)
    }

    /// Cancels a subscription; one that has fired is left as it is.
    pub fn cancel(&self, core: &mut Core, subscription: Subscription) {
        core.timer_del(subscription.key);
    }
}
