//! Carrying out what the passes left: calls to the ports, with the way back to the life.

use super::Requests;
use crate::chores::{Chore, ChoreId, ChoreKind};
use crate::life::{Effect, LinkNo};
use crate::table::EntryId;
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, ClaimKey, RequestReport, SettleCall, Settlement};
use bluebell_upstreams::{CancelAnswer, Event, Reserve, ServiceAnswer, ServiceCall, StreamState};
use stakker::{CX, fwd_to, ret_to};

/// An answer that a port gave, or `None` where it dropped the call.
type Answer<T> = Option<Result<T, Error>>;

/// What an answer of a plain service belongs to.
struct Exchanged {
    request: RequestId,
    upstream: UpstreamId,
    link: LinkNo,
    /// The claim that the call runs under.
    key: Option<ClaimKey>,
}

impl Requests {
    /// Sends one effect of a request.
    pub(super) fn carry_out(&mut self, cx: CX![], id: EntryId, request: RequestId, effect: Effect) {
        match effect {
            Effect::Claim(call) => {
                let ret = ret_to!(
                    [cx],
                    on_claim(id, call.clone()) as (Result<ClaimAnswer, Error>)
                );
                self.claims.claim(cx, call, ret);
            }
            Effect::Settle(call) => self.claims.settle(cx, call),
            Effect::Generate {
                upstream,
                link,
                call,
            } => {
                if let Some(engine) = self.fleet.engine(upstream) {
                    let fwd = fwd_to!([cx], on_event(id, request, link) as (Event));
                    engine.port.generate(cx, *call, fwd);
                }
            }
            Effect::Resume {
                upstream,
                link,
                call,
            } => {
                if let Some(engine) = self.fleet.engine(upstream) {
                    let fwd = fwd_to!([cx], on_event(id, request, link) as (Event));
                    engine.port.resume(cx, call, fwd);
                }
            }
            Effect::Lookup { upstream, link } => {
                if let Some(engine) = self.fleet.engine(upstream) {
                    let ret = ret_to!(
                        [cx],
                        on_lookup(id, request, link) as (Result<StreamState, Error>)
                    );
                    engine.port.lookup(cx, request, ret);
                }
            }
            Effect::AskPeer { link } => {
                let ret = ret_to!(
                    [cx],
                    on_peer_report(id, request, link) as (Result<Option<RequestReport>, Error>)
                );
                self.lookup.lookup(cx, request, ret);
            }
            Effect::Cancel {
                upstream,
                attempt,
                tell,
                settle,
            } => {
                let adopting = request.incarnation != self.incarnation;
                let kind = ChoreKind::Cancel {
                    attempt,
                    tell: tell.then_some(id),
                    settle,
                    adopting,
                };
                self.start_chore(cx, request, upstream, kind);
            }
            Effect::Release {
                upstream,
                reservation,
            } => {
                let kind = ChoreKind::Release { reservation };
                self.start_chore(cx, request, upstream, kind);
            }
            Effect::Reserve { upstream, call } => self.reserve(cx, id, request, upstream, call),
            Effect::Exchange {
                upstream,
                link,
                call,
            } => self.exchange(cx, (id, request), upstream, link, call),
        }
    }

    fn exchange(
        &mut self,
        cx: CX![],
        (id, request): (EntryId, RequestId),
        upstream: UpstreamId,
        link: LinkNo,
        call: ServiceCall,
    ) {
        let life = self.table.get(id);
        let key = life.and_then(|life| life.claim.as_ref().map(|claim| claim.key));
        let Some(replica) = self.fleet.replica_mut(upstream) else {
            return;
        };
        replica.in_flight += 1;
        let port = replica.port.clone();
        let ret = ret_to!(
            [cx],
            on_exchanged(
                id,
                Exchanged {
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
        let found = self.step(cx, id, call.request, |life, context| {
            life.on_claim(answer, context);
        });
        if !found && granted {
            // The request ended while its claim was under way (deadline, cancel, hang-up), with
            // the verdict "not run": it never will run, so the late grant is given back, or the
            // caller's retry would hear "may have run" of a request that never did.
            let settle = SettleCall {
                key: call.key,
                request: call.request,
                settlement: Settlement::NotRun,
            };
            self.claims.settle(cx, settle);
        }
        self.settle_down(cx);
    }

    fn on_event(&mut self, cx: CX![], id: EntryId, request: RequestId, link: LinkNo, event: Event) {
        let found = self.step(cx, id, request, |life, context| {
            life.on_event(link, event, context);
        });
        if !found {
            self.observer.dropped_event();
        }
        self.settle_down(cx);
    }

    fn on_lookup(
        &mut self,
        cx: CX![],
        id: EntryId,
        request: RequestId,
        link: LinkNo,
        answer: Answer<StreamState>,
    ) {
        self.step(cx, id, request, |life, context| {
            life.on_lookup(link, answer, context);
        });
        self.settle_down(cx);
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
        let found = self.step(cx, id, request, |life, context| {
            life.on_reserved(reservation, upstream, granted, context);
        });
        if !found && granted {
            // As in `Life::on_reserved`: the request is over, its release may have overtaken this.
            let kind = ChoreKind::Release { reservation };
            self.start_chore(cx, request, upstream, kind);
        }
        self.settle_down(cx);
    }

    fn on_exchanged(
        &mut self,
        cx: CX![],
        id: EntryId,
        call: Exchanged,
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
        let found = self.step(cx, id, call.request, |life, context| {
            life.on_exchanged(call.link, answer, context);
        });
        if let (false, Some(key), Some(settlement)) = (found, call.key, settlement) {
            // The request ended in doubt before the replica answered (deadline, cancel): its
            // caller's retries hear the truth from now on.
            let request = call.request;
            let settle = SettleCall {
                key,
                request,
                settlement,
            };
            self.claims.settle(cx, settle);
        }
        self.settle_down(cx);
    }

    pub(super) fn start_chore(
        &mut self,
        cx: CX![],
        request: RequestId,
        upstream: UpstreamId,
        kind: ChoreKind,
    ) {
        let chore = Chore {
            request,
            upstream,
            kind,
            tries: 0,
        };
        let id = self.chores.insert(chore);
        self.try_chore(cx, id, request, 0, MonoMs(0));
    }

    /// Tries a chore, unless it was tried or ended meanwhile.
    fn try_chore(&mut self, cx: CX![], id: ChoreId, request: RequestId, tries: u32, _: MonoMs) {
        let limit = self.settings.chore_tries;
        let Some(chore) = self.chores.at_try(id, request, tries) else {
            return;
        };
        let port = self.fleet.engine(chore.upstream).map(|e| e.port.clone());
        let Some(port) = port.filter(|_| tries < limit) else {
            self.end_chore(cx, id, None);
            return;
        };
        chore.tries += 1;
        let tried = chore.tries;
        match chore.kind {
            ChoreKind::Cancel { attempt, .. } => {
                let ret = ret_to!(
                    [cx],
                    on_cancelled(id, request, tried) as (Result<CancelAnswer, Error>)
                );
                port.cancel(cx, request, attempt, self.incarnation, ret);
            }
            ChoreKind::Release { reservation } => {
                let ret = ret_to!([cx], on_released(id, request, tried) as (Result<(), Error>));
                port.release(cx, reservation, self.incarnation, ret);
            }
        }
        // Silence is a failure too: the next try is due even where no answer ever comes.
        let pause_ms = self.settings.answer_wait_ms + self.settings.backoff(tries);
        let fwd = fwd_to!([cx], on_chore_due(id, request, tried) as (MonoMs));
        self.timers.subscribe_in(cx, pause_ms, fwd);
    }

    fn on_chore_due(&mut self, cx: CX![], id: ChoreId, request: RequestId, tries: u32, at: MonoMs) {
        self.try_chore(cx, id, request, tries, at);
        self.settle_down(cx);
    }

    fn on_cancelled(
        &mut self,
        cx: CX![],
        id: ChoreId,
        request: RequestId,
        tries: u32,
        answer: Answer<CancelAnswer>,
    ) {
        let Some(chore) = self.chores.at_try(id, request, tries) else {
            return;
        };
        let adopting = matches!(chore.kind, ChoreKind::Cancel { adopting: true, .. });
        match answer {
            // The resume that makes this node the owner may still be on its way.
            Some(Ok(CancelAnswer::NotOwner)) if adopting => {
                self.retry_chore(cx, id, request, tries)
            }
            Some(Ok(answer)) => self.end_chore(cx, id, Some(answer)),
            Some(Err(_)) | None => self.retry_chore(cx, id, request, tries),
        }
        self.settle_down(cx);
    }

    fn on_released(
        &mut self,
        cx: CX![],
        id: ChoreId,
        request: RequestId,
        tries: u32,
        answer: Answer<()>,
    ) {
        if self.chores.at_try(id, request, tries).is_none() {
            return;
        }
        match answer {
            Some(Ok(())) => self.end_chore(cx, id, None),
            Some(Err(_)) | None => self.retry_chore(cx, id, request, tries),
        }
        self.settle_down(cx);
    }

    fn retry_chore(&mut self, cx: CX![], id: ChoreId, request: RequestId, tries: u32) {
        let pause_ms = self.settings.backoff(tries);
        let fwd = fwd_to!([cx], on_chore_due(id, request, tries) as (MonoMs));
        self.timers.subscribe_in(cx, pause_ms, fwd);
    }

    /// Ends a chore with the engine's answer to a cancel, where one came.
    fn end_chore(&mut self, cx: CX![], id: ChoreId, answer: Option<CancelAnswer>) {
        let Some(chore) = self.chores.remove(id) else {
            return;
        };
        let ChoreKind::Cancel {
            attempt,
            tell,
            settle,
            ..
        } = chore.kind
        else {
            return;
        };
        let settlement = match answer {
            Some(CancelAnswer::NotRun) => Some(Settlement::NotRun),
            Some(CancelAnswer::Ran) => Some(Settlement::Ran),
            // Unknown to the engine, owned by another node or unanswered: nobody can tell, the key
            // stays held until it expires.
            Some(CancelAnswer::NotOwner | CancelAnswer::Unknown) | None => None,
        };
        if let (Some(key), Some(settlement)) = (settle, settlement) {
            let request = chore.request;
            let call = SettleCall {
                key,
                request,
                settlement,
            };
            self.claims.settle(cx, call);
        }
        if let Some(entry) = tell {
            self.step(cx, entry, chore.request, |life, context| {
                life.on_cancelled(attempt, answer, context);
            });
        }
    }
}
