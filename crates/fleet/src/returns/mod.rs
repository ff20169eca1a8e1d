//! Order in which refused requests return: the moment that a refusal names, and the treatment of
//! the requests that come back.
//!
//! Terms: a refusal *promises* a moment to its caller, which becomes known to peers; a request that
//! comes back returns *in time* from that moment until a second after it, and *early* before it.
//!
//! Load pattern: a peak of a few seconds fills all slots. Callers retry once, at a time that the
//! refusal names, and mostly reach another node. Some ignore it and retry at once. If all are told
//! the same delay, whatever the load, they meet the same peak again.
//!
//! Reason for the limits: callers honour times up to a third of the time that they have left, so
//! no later one is named. Forecasts reach 5 s ahead. Streams last for one to a few seconds, so what
//! happens later depends on requests that haven't arrived.
//!
//! Invariants: the state is bounded by constants for each service, and the promises of a node by
//! [`MAX_PROMISES`]. A promise unknown to a node has no effect there. A repeated request never
//! brings its promised moment forward.

mod durations;
mod forecast;
mod promises;
mod steps;

pub use durations::Durations;
pub use forecast::{Arrivals, Forecast};
pub use promises::{GRACE_MS, MAX_PROMISES, Promise, PromiseTable, Source};
pub use steps::{HORIZON_STEPS, STEP_MS, StepCounts};

use crate::ledger::{Stage, Work};
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use steps::{RECENT_STEPS, step_of};

/// Share of the time left to a caller up to which it honours a return time.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// Latest return time that is named: the end of the forecast.
const MAX_RETURN_MS: SpanMs = SpanMs(HORIZON_STEPS as u64 * STEP_MS);

/// A refused request that needs a return time.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest<'a> {
    /// The service that refused it.
    pub service: &'a ServiceName,
    /// The first 64 bits of its digest.
    pub digest: u64,
    /// The shortest time after which a return is useful.
    pub soonest_ms: SpanMs,
    /// The time that the caller has left.
    pub left_ms: SpanMs,
    /// A random number from 0 to 1 that spreads returns over a step.
    pub draw: f64,
}

/// The state of the load at a promised moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedLoad {
    /// A slot is expected to be free then.
    Passes,
    /// No slot is expected to be free within the time that the caller honours.
    Lasts,
}

/// The time that a refusal names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnTime {
    /// The time until the promised moment.
    pub after_ms: SpanMs,
    /// The load expected then.
    pub load: ExpectedLoad,
}

/// The class of a request by its promise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Returning {
    /// No open promise is known for the request, so it counts as new.
    #[default]
    Unknown,
    /// The request returns at its promised moment or soon after.
    InTime,
    /// The request returns this long before its promised moment.
    Early {
        /// The time left until that moment.
        left_ms: SpanMs,
    },
}

/// The arrivals and promised returns of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReturns {
    /// The promised returns by step.
    promised: StepCounts,
    /// The requests that were placed, by the step in which this became known.
    placed: StepCounts,
    /// The requests that were refused, likewise.
    refused: StepCounts,
    durations: Durations,
}

impl ServiceReturns {
    /// Returns the arrivals that a forecast reckons with, if a request that is refused now has waited
    /// for `waited_ms`. Those that arrived after it wait as well.
    fn arrivals(&self, waited_ms: SpanMs, now_ms: MonoMs) -> Arrivals {
        let recent = |counts: &StepCounts| f64::from(counts.recent(now_ms)) / RECENT_STEPS as f64;
        let refused = self.refused.rate_since_first(now_ms);
        let new_per_step = (recent(&self.placed) + refused - recent(&self.promised)).max(0.0);
        Arrivals {
            waiting: new_per_step * waited_ms.0 as f64 / STEP_MS as f64,
            new_per_step,
        }
    }
}

/// The return times that this node and its peers have promised.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    services: FxHashMap<ServiceName, ServiceReturns>,
    promises: PromiseTable,
    /// The promises of this node of which the peers haven't been told.
    unsent: Vec<Promise>,
}

impl Returns {
    /// Records that this node or a peer placed a request.
    pub fn on_placed(&mut self, service: &ServiceName, now_ms: MonoMs) {
        self.service_mut(service).placed.add(now_ms, now_ms);
    }

    /// Records that a request that was placed has ended. An attempt that ends without any event, for
    /// example at a full engine, held no slot.
    pub fn on_ended(&mut self, service: &ServiceName, work: &Work, now_ms: MonoMs) {
        if work.stage == Stage::Reading {
            return;
        }
        self.service_mut(service).durations.record(work, now_ms);
    }

    /// Returns true if any promise may be open. Otherwise no request needs to be looked up.
    pub fn has_promises(&self) -> bool {
        !self.promises.is_empty()
    }

    /// Returns the number of promises that are held.
    pub fn promise_count(&self) -> usize {
        self.promises.len()
    }

    /// Returns the class of an arriving request. A promise to which it returns in time is used up.
    /// `may_be_early` is false if the request counts as new before its promised moment: its caller
    /// states all of the request's time, so it is another one with the same body, or a peer has
    /// admitted it already.
    pub fn classify(&mut self, digest: u64, may_be_early: bool, now_ms: MonoMs) -> Returning {
        self.promises.expire(now_ms);
        match self.promises.get(digest, now_ms) {
            None => Returning::Unknown,
            Some(promise)
                if promise.is_early(now_ms) && (!may_be_early || promise.is_ambiguous) =>
            {
                Returning::Unknown
            }
            Some(promise) if promise.is_early(now_ms) => Returning::Early {
                left_ms: promise.at_ms.since(now_ms),
            },
            Some(_) => {
                self.promises.remove(digest);
                Returning::InTime
            }
        }
    }

    /// Ends the promise of a request that is served early.
    pub fn withdraw(&mut self, digest: u64, now_ms: MonoMs) {
        if let Some(promise) = self.promises.remove(digest) {
            let service = self.service_mut(&promise.service);
            service.promised.subtract(promise.at_ms, now_ms);
        }
    }

    /// Forecasts the free slots of a service from the requests that its engines have. `waited_ms` is
    /// the time for which the request that needs the forecast has waited for a slot.
    pub fn forecast<'a>(
        &self,
        service: &ServiceName,
        slots: u32,
        works: impl Iterator<Item = &'a Work>,
        waited_ms: SpanMs,
        now_ms: MonoMs,
    ) -> Forecast {
        let unknown = ServiceReturns::default();
        let service = self.services.get(service).unwrap_or(&unknown);
        let arrivals = service.arrivals(waited_ms, now_ms);
        Forecast::of(slots, works, &service.durations, arrivals, now_ms)
    }

    /// Returns true if a request that returns early by `left_ms` may be served: a slot is idle even
    /// if all others that were promised a moment up to its own return now.
    pub fn may_serve_early(
        &self,
        service: &ServiceName,
        forecast: &Forecast,
        left_ms: SpanMs,
        now_ms: MonoMs,
    ) -> bool {
        let promised = self.promised(service, now_ms);
        let own = step_of(now_ms + left_ms) - step_of(now_ms);
        forecast.has_idle(&promised, own as usize)
    }

    /// Returns the time that the refusal of a request names, and records it as a promise. A request
    /// that has a promise already keeps its moment.
    pub fn promise(
        &mut self,
        request: &RefusedRequest<'_>,
        forecast: &Forecast,
        now_ms: MonoMs,
    ) -> ReturnTime {
        let latest_ms = request.left_ms.mul_f64(HONOURED_SHARE).min(MAX_RETURN_MS);
        if let Some(kept) = self.promises.get(request.digest, now_ms)
            && kept.at_ms > now_ms
        {
            let time = ReturnTime {
                after_ms: kept.at_ms.since(now_ms).min(latest_ms),
                load: kept.load,
            };
            // A request that returns early doesn't come here, so this is another one with the same body.
            self.promises.mark_ambiguous(request.digest);
            return time;
        }
        let time = self.return_time(request, forecast, latest_ms, now_ms);
        let promise = Promise {
            digest: request.digest,
            service: request.service.clone(),
            at_ms: now_ms + time.after_ms,
            load: time.load,
            source: Source::Own,
            is_ambiguous: false,
        };
        if self.unsent.len() < MAX_PROMISES {
            self.unsent.push(promise.clone());
        }
        self.record(promise, now_ms);
        time
    }

    /// Records a promise that a peer made, for a moment `after_ms` from now.
    pub fn on_peer_promise(
        &mut self,
        service: &ServiceName,
        digest: u64,
        after_ms: SpanMs,
        now_ms: MonoMs,
    ) {
        let at_ms = now_ms + after_ms.min(MAX_RETURN_MS);
        let known = self.promises.get(digest, now_ms);
        if known.is_some_and(|known| known.at_ms >= at_ms) {
            return;
        }
        let promise = Promise {
            digest,
            service: service.clone(),
            at_ms,
            load: ExpectedLoad::Passes,
            source: Source::Peer,
            is_ambiguous: false,
        };
        self.record(promise, now_ms);
    }

    /// Takes the promises of which the peers haven't been told.
    pub fn take_unsent(&mut self) -> Vec<Promise> {
        std::mem::take(&mut self.unsent)
    }

    /// Removes the services for which `keeps` returns false.
    pub fn retain_services(&mut self, keeps: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| keeps(service));
    }

    /// Returns the first moment at which a slot should be free, or the latest one that the caller
    /// honours if there is none.
    fn return_time(
        &self,
        request: &RefusedRequest<'_>,
        forecast: &Forecast,
        latest_ms: SpanMs,
        now_ms: MonoMs,
    ) -> ReturnTime {
        let promised = self.promised(request.service, now_ms);
        let soonest_ms = request.soonest_ms.min(latest_ms);
        let now = step_of(now_ms);
        let first = step_of(now_ms + soonest_ms) - now;
        let last = step_of(now_ms + latest_ms) - now;
        let step = forecast.first_free(&promised, first as usize, last as usize);
        let spread_ms = SpanMs(STEP_MS).mul_f64(request.draw);
        match step {
            Some(step) => {
                let at_ms = MonoMs((now + step as u64) * STEP_MS) + spread_ms;
                let after_ms = at_ms.since(now_ms).max(soonest_ms).min(latest_ms);
                let load = ExpectedLoad::Passes;
                ReturnTime { after_ms, load }
            }
            None => ReturnTime {
                after_ms: latest_ms.saturating_sub(spread_ms),
                load: ExpectedLoad::Lasts,
            },
        }
    }

    /// Adds a promise to the table and to its service's schedule, in place of an earlier one for the
    /// same request, which has been counted as refused.
    fn record(&mut self, promise: Promise, now_ms: MonoMs) {
        let earlier = self.promises.remove(promise.digest);
        let service = self.service_mut(&promise.service);
        match earlier {
            Some(earlier) => service.promised.subtract(earlier.at_ms, now_ms),
            None => service.refused.add(now_ms, now_ms),
        }
        service.promised.add(promise.at_ms, now_ms);
        self.promises.add(promise);
    }

    fn promised(&self, service: &ServiceName, now_ms: MonoMs) -> [u32; HORIZON_STEPS + 1] {
        let known = self.services.get(service);
        known.map_or([0; HORIZON_STEPS + 1], |service| {
            service.promised.upcoming(now_ms)
        })
    }

    fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceReturns {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceReturns::default());
        }
        self.services.get_mut(service).expect("it was added")
    }
}
