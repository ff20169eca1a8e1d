//! Chores as the actor carries them out: each is tried until the engine answers, and told of then.
//!
//! Invariants: a late answer or timer finds the chore at another try and does nothing; every try
//! has a next one due, also where the engine stays silent.

use super::Requests;
use super::effects::Answer;
use crate::chores::{Chore, ChoreId, ChoreKind};
use bluebell_base::prelude::*;
use bluebell_peers::{SettleCall, Settlement};
use bluebell_upstreams::CancelAnswer;
use stakker::{CX, fwd_to, ret_to};

impl Requests {
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
