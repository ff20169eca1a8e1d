//! Return times of refused requests: promises them, tells peers of them, and recognizes the requests
//! that come back.
//!
//! Terms: see [`bluebell_fleet::returns`], which decides.
//!
//! Invariants: the body of a request is hashed only if it is refused for lack of capacity, or while
//! promises are open.

use crate::call::Call;
use crate::gossip::PromisesGossip;
use crate::journal::{Event, PromiseKind};
use crate::node::{Node, State};
use bluebell_base::prelude::*;
use bluebell_fleet::placement::Refusal;
use bluebell_fleet::prelude::*;
use bluebell_fleet::returns::{Forecast, Promise};
use hyper::StatusCode;

/// A return time that a refusal names.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Promised {
    /// The time until the promised moment.
    pub after_ms: SpanMs,
    /// The kind of the promise.
    pub kind: PromiseKind,
}

/// Returns the class of an arriving request.
pub(crate) fn classify(call: &Call) -> Returning {
    let node = &call.node;
    if call.service.engine.is_none() || !node.with(|state| state.returns.has_promises()) {
        return Returning::Unknown;
    }
    let digest = call.digest().number();
    let deadline_ms = call.head.deadline_ms;
    let has_full_time = deadline_ms.is_some_and(|ms| ms >= call.route.timeout_ms);
    // The node that forwards a request has judged it, and may have served a part of its stream.
    let may_be_early = !has_full_time && call.forwarded.is_none();
    let now_ms = node.now_ms();
    node.with(|state| state.returns.classify(digest, may_be_early, now_ms))
}

/// Returns the promise that is left to a request that returned early, or `None` if the request may
/// be served now.
pub(crate) fn early_refusal(call: &Call) -> Option<Promised> {
    let Returning::Early { left_ms } = call.returning else {
        return None;
    };
    let now_ms = call.node.now_ms();
    call.node.with(|state| {
        let service = &call.service.name;
        let forecast = forecast(state, call, SpanMs::ZERO, now_ms);
        let returns = &mut state.returns;
        if returns.may_serve_early(service, &forecast, left_ms, now_ms) {
            returns.withdraw(call.digest().number(), now_ms);
            return None;
        }
        Some(Promised {
            after_ms: left_ms,
            kind: PromiseKind::Kept,
        })
    })
}

/// Promises a return time to a request that engines refuse for lack of capacity. Returns `None` for
/// any other refusal.
pub(crate) fn promise(call: &Call, refusal: &Refusal) -> Option<Promised> {
    let (Refusal::Overloaded { retry_after_ms, .. } | Refusal::NoRoom { retry_after_ms }) = refusal
    else {
        return None;
    };
    let node = &call.node;
    let now_ms = node.now_ms();
    let request = RefusedRequest {
        service: &call.service.name,
        digest: call.digest().number(),
        soonest_ms: *retry_after_ms,
        left_ms: caller_left_ms(call),
        draw: rand::random(),
    };
    let waited_ms = call.age_ms().min(call.wait_timeouts().max_wait_ms);
    let time = node.with(|state| {
        let forecast = forecast(state, call, waited_ms, now_ms);
        state.returns.promise(&request, &forecast, now_ms)
    });
    node.outbox.promised();
    Some(Promised {
        after_ms: time.after_ms,
        kind: match time.load {
            ExpectedLoad::Passes => PromiseKind::SlotFree,
            ExpectedLoad::Lasts => PromiseKind::LoadLasts,
        },
    })
}

/// Records the result of a request that came back. `status` is that of its answer.
pub(crate) fn on_answered(call: &Call, status: StatusCode) {
    let (how, left_ms) = match call.returning {
        Returning::Unknown => return,
        Returning::InTime => ("in_time", SpanMs::ZERO),
        Returning::Early { left_ms } => ("early", left_ms),
    };
    call.node.journal.record(&Event::Returned {
        request: call.head.request.clone(),
        how,
        left_ms,
        served: status.is_success(),
    });
}

/// Records the promises of a peer. Those of services that this node doesn't know are ignored.
pub(crate) fn on_notified(node: &Node, gossip: &PromisesGossip) {
    let service = ServiceName(gossip.service.clone());
    let now_ms = node.now_ms();
    node.with(|state| {
        let config = state.config.as_ref();
        if config.is_none_or(|config| config.service(&service).is_none()) {
            return;
        }
        for (digest, after_ms) in &gossip.promises {
            let after_ms = SpanMs(u64::from(*after_ms));
            let returns = &mut state.returns;
            returns.on_peer_promise(&service, *digest, after_ms, now_ms);
        }
    });
}

/// The maximum number of promises in one piece of gossip. Each takes up to 12 bytes, and a piece must
/// fit one datagram.
const MAX_GOSSIP_PROMISES: usize = 64;

/// Takes the promises that peers don't know, as gossip.
pub(crate) fn take_unsent(node: &Node) -> Vec<PromisesGossip> {
    let now_ms = node.now_ms();
    let mut promises = node.with(|state| state.returns.take_unsent());
    promises.sort_by(|a, b| a.service.cmp(&b.service));
    let by_service = promises.chunk_by(|a, b| a.service == b.service);
    let pieces = by_service.flat_map(|promises| promises.chunks(MAX_GOSSIP_PROMISES));
    pieces.map(|promises| gossip_of(promises, now_ms)).collect()
}

/// Returns the gossip of promises that are all for requests of one service.
fn gossip_of(promises: &[Promise], now_ms: MonoMs) -> PromisesGossip {
    let in_ms = |promise: &Promise| promise.at_ms.since(now_ms).0 as u32;
    PromisesGossip {
        service: promises[0].service.0.clone(),
        promises: promises
            .iter()
            .map(|promise| (promise.digest, in_ms(promise)))
            .collect(),
    }
}

/// Forecasts the free slots of the engines of a request's service. The request has waited for one for
/// `waited_ms`.
fn forecast(state: &State, call: &Call, waited_ms: SpanMs, now_ms: MonoMs) -> Forecast {
    let service = &call.service.name;
    let ready = state.replicas.ready(service);
    let slots = call.service.engine.as_ref().map_or(0, |spec| spec.slots);
    let healthy = ready.iter().filter(|(_, _, health)| health.admits(now_ms));
    let slots = slots * healthy.count() as u32;
    let works = state.ledger.works().filter(|work| {
        let replica = state.replicas.get(work.first);
        replica.is_some_and(|replica| replica.service == *service)
    });
    state
        .returns
        .forecast(service, slots, works, waited_ms, now_ms)
}

/// Returns the time that a request's caller has left: its own deadline, or that of the route if it
/// states none.
fn caller_left_ms(call: &Call) -> SpanMs {
    let allowed_ms = call.head.deadline_ms.unwrap_or(call.route.timeout_ms);
    allowed_ms.saturating_sub(call.age_ms())
}
