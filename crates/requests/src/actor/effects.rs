//! Carries out the effects of a transition: calls the ports and passes their answers to the live
//! request.

use super::Requests;
use crate::cleanup::CleanupKind;
use crate::request::{Effect, LinkNo};
use crate::table::EntryId;
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, ClaimKey, RequestReport, SettleCall, Settlement};
use bluebell_upstreams::{
    Event, Generate, Reserve, Resume, ServiceAnswer, ServiceCall, StreamState,
};
use stakker::{CX, fwd_to, ret_to};

/// A port's answer, or `None` if the port dropped the call.
pub(super) type Answer<T> = Option<Result<T, Error>>;

/// The call that a plain service's answer belongs to.
struct PendingExchange {
    request: RequestId,
    upstream: UpstreamId,
    link: LinkNo,
    /// The key of the claim that the call runs under.
    key: Option<ClaimKey>,
}

impl Requests {
    /// Carries out one effect of a request.
    pub(super) fn run_effect(
        &mut self,
        cx: CX![],
        id: EntryId,
        request: RequestId,
        effect: Effect,
    ) {
        match effect {
            Effect::Claim(call) => self.claim(cx, id, call),
            Effect::Settle(call) => self.claims.settle(cx, call),
            Effect::Generate {
                upstream,
                link,
                call,
            } => self.generate(cx, (id, request), upstream, link, *call),
            Effect::Resume {
                upstream,
                link,
                call,
            } => self.resume(cx, (id, request), upstream, link, call),
            Effect::Lookup { upstream, link } => self.look_up(cx, (id, request), upstream, link),
            Effect::QueryAdmittingNode { link } => {
                self.query_admitting_node(cx, (id, request), link)
            }
            Effect::Cancel {
                upstream,
                attempt,
                awaited,
                settle,
            } => {
                let adopting = request.incarnation != self.incarnation;
                let kind = CleanupKind::Cancel {
                    attempt,
                    awaited_by: awaited.then_some(id),
                    settle,
                    adopting,
                };
                self.start_cleanup(cx, request, upstream, kind);
            }
            Effect::Release {
                upstream,
                reservation,
            } => {
                let kind = CleanupKind::Release { reservation };
                self.start_cleanup(cx, request, upstream, kind);
            }
            Effect::Reserve { upstream, call } => self.reserve(cx, id, request, upstream, call),
            Effect::Exchange {
                upstream,
                link,
                call,
            } => self.exchange(cx, (id, request), upstream, link, call),
        }
    }

    fn claim(&mut self, cx: CX![], id: EntryId, call: ClaimCall) {
        let ret = ret_to!(
            [cx],
            on_claim(id, call.clone()) as (Result<ClaimAnswer, Error>)
        );
        self.claims.claim(cx, call, ret);
    }

    fn generate(
        &mut self,
        cx: CX![],
        (id, request): (EntryId, RequestId),
        upstream: UpstreamId,
        link: LinkNo,
        call: Generate,
    ) {
        if let Some(engine) = self.fleet.engine(upstream) {
            let fwd = fwd_to!([cx], on_event(id, request, link) as (Event));
            engine.port.generate(cx, call, fwd);
        }
    }

    fn resume(
        &mut self,
        cx: CX![],
        (id, request): (EntryId, RequestId),
        upstream: UpstreamId,
        link: LinkNo,
        call: Resume,
    ) {
        if let Some(engine) = self.fleet.engine(upstream) {
            let fwd = fwd_to!([cx], on_event(id, request, link) as (Event));
            engine.port.resume(cx, call, fwd);
        }
    }

    fn look_up(
        &mut self,
        cx: CX![],
        (id, request): (EntryId, RequestId),
        upstream: UpstreamId,
        link: LinkNo,
    ) {
        if let Some(engine) = self.fleet.engine(upstream) {
            let ret = ret_to!(
                [cx],
                on_lookup(id, request, link) as (Result<StreamState, Error>)
            );
            engine.port.lookup(cx, request, ret);
        }
    }

    fn query_admitting_node(
        &mut self,
        cx: CX![],
        (id, request): (EntryId, RequestId),
        link: LinkNo,
    ) {
        let ret = ret_to!(
            [cx],
            on_peer_report(id, request, link) as (Result<Option<RequestReport>, Error>)
        );
        self.lookup.lookup(cx, request, ret);
    }

    fn exchange(
        &mut self,
        cx: CX![],
        (id, request): (EntryId, RequestId),
        upstream: UpstreamId,
        link: LinkNo,
        call: ServiceCall,
    ) {
        let live = self.table.get(id);
        let key = live.and_then(|live| live.claim.as_ref().map(|claim| claim.key));
        let Some(replica) = self.fleet.replica_mut(upstream) else {
            return;
        };
        replica.in_flight += 1;
        let port = replica.port.clone();
        let ret = ret_to!(
            [cx],
            on_exchanged(
                id,
                PendingExchange {
                    request,
                    upstream,
                    link,
                    key
                }
            ) as (Result<ServiceAnswer, Error>)
        );
        port.call(cx, call, ret);
    }

    fn reserve(
        &mut self,
        cx: CX![],
        id: EntryId,
        request: RequestId,
        upstream: UpstreamId,
        call: Reserve,
    ) {
        let Some(engine) = self.fleet.engine(upstream) else {
            return;
        };
        let reservation = call.reservation;
        let ret = ret_to!(
            [cx],
            on_reserved(id, request, upstream, reservation) as (Result<(), Error>)
        );
        engine.port.reserve(cx, call, ret);
    }

    fn on_claim(&mut self, cx: CX![], id: EntryId, call: ClaimCall, answer: Answer<ClaimAnswer>) {
        let granted = matches!(answer, Some(Ok(ClaimAnswer::Granted)));
        let found = self.step(cx, id, call.request, |live, context| {
            live.on_claim(answer, context);
        });
        if !found && granted {
            // The request ended with the verdict "not run" (deadline, cancel, hang-up) while its
            // claim was under way. It will never run, so the late grant is settled as such.
            // Otherwise the caller's retry would receive "may have run" for a request that never
            // did.
            let settle = SettleCall {
                key: call.key,
                request: call.request,
                settlement: Settlement::NotRun,
            };
            self.claims.settle(cx, settle);
        }
        self.finish_message(cx);
    }

    fn on_event(&mut self, cx: CX![], id: EntryId, request: RequestId, link: LinkNo, event: Event) {
        let found = self.step(cx, id, request, |live, context| {
            live.on_event(link, event, context);
        });
        if !found {
            self.observer.dropped_event();
        }
        self.finish_message(cx);
    }

    fn on_lookup(
        &mut self,
        cx: CX![],
        id: EntryId,
        request: RequestId,
        link: LinkNo,
        answer: Answer<StreamState>,
    ) {
        self.step(cx, id, request, |live, context| {
            live.on_lookup(link, answer, context);
        });
        self.finish_message(cx);
    }

    fn on_reserved(
        &mut self,
        cx: CX![],
        id: EntryId,
        request: RequestId,
        upstream: UpstreamId,
        reservation: ReservationId,
        answer: Answer<()>,
    ) {
        let granted = matches!(answer, Some(Ok(())));
        let found = self.step(cx, id, request, |live, context| {
            live.on_reserved(reservation, upstream, granted, context);
        });
        if !found && granted {
            // As in `LiveRequest::on_reserved`: the request has ended, and its release may have
            // overtaken this grant.
            let kind = CleanupKind::Release { reservation };
            self.start_cleanup(cx, request, upstream, kind);
        }
        self.finish_message(cx);
    }

    fn on_exchanged(
        &mut self,
        cx: CX![],
        id: EntryId,
        call: PendingExchange,
        answer: Answer<ServiceAnswer>,
    ) {
        if let Some(replica) = self.fleet.replica_mut(call.upstream) {
            replica.in_flight -= 1;
        }
        let settlement = match &answer {
            Some(Ok(_)) => Some(Settlement::Ran),
            Some(Err(error)) if error.verdict == Verdict::NotRun => Some(Settlement::NotRun),
            Some(Err(_)) | None => None,
        };
        let found = self.step(cx, id, call.request, |live, context| {
            live.on_exchanged(call.link, answer, context);
        });
        if let (false, Some(key), Some(settlement)) = (found, call.key, settlement) {
            // The request ended with an unknown verdict before the replica answered (deadline,
            // cancel). From now on the caller's retries receive the actual verdict.
            let request = call.request;
            let settle = SettleCall {
                key,
                request,
                settlement,
            };
            self.claims.settle(cx, settle);
        }
        self.finish_message(cx);
    }
}
