//! The actor's handling of cleanup tasks: each is retried until the engine answers. The answer
//! settles the claim and is passed to the request that waits for it.
//!
//! Invariants: a late answer or timer finds the task at a later try and does nothing. After every
//! try the next one is scheduled, even if the engine stays silent.

use super::Requests;
use super::effects::Answer;
use crate::cleanup::{ChoreId, CleanupKind, CleanupTask};
use bluebell_base::prelude::*;
use bluebell_peers::{SettleCall, Settlement};
use bluebell_upstreams::CancelAnswer;
use stakker::{CX, fwd_to, ret_to};

impl Requests {
    pub(super) fn start_cleanup(
        &mut self,
        cx: CX![],
        request: RequestId,
        upstream: UpstreamId,
        kind: CleanupKind,
    ) {
        let task = CleanupTask {
            request,
            upstream,
            kind,
            tries: 0,
        };
        let id = self.cleanups.insert(task);
        self.try_cleanup(cx, id, request, 0, MonoMs(0));
    }

    /// Runs try number `tries` of a task, unless the task was tried again or ended meanwhile.
    fn try_cleanup(&mut self, cx: CX![], id: ChoreId, request: RequestId, tries: u32, _: MonoMs) {
        let limit = self.settings.cleanup_tries;
        let Some(task) = self.cleanups.get_at_try(id, request, tries) else {
            return;
        };
        let port = self.fleet.engine(task.upstream).map(|e| e.port.clone());
        let Some(port) = port.filter(|_| tries < limit) else {
            self.end_cleanup(cx, id, None);
            return;
        };
        task.tries += 1;
        let tried = task.tries;
        match task.kind {
            CleanupKind::Cancel { attempt, .. } => {
                let ret = ret_to!(
                    [cx],
                    on_cancelled(id, request, tried) as (Result<CancelAnswer, Error>)
                );
                port.cancel(cx, request, attempt, self.incarnation, ret);
            }
            CleanupKind::Release { reservation } => {
                let ret = ret_to!([cx], on_released(id, request, tried) as (Result<(), Error>));
                port.release(cx, reservation, self.incarnation, ret);
            }
        }
        // Silence is a failure too: the next try is scheduled even if no answer ever arrives.
        let pause_ms = self.settings.answer_wait_ms + self.settings.backoff(tries);
        let fwd = fwd_to!([cx], on_cleanup_due(id, request, tried) as (MonoMs));
        self.timers.subscribe_in(cx, pause_ms, fwd);
    }

    fn on_cleanup_due(
        &mut self,
        cx: CX![],
        id: ChoreId,
        request: RequestId,
        tries: u32,
        at: MonoMs,
    ) {
        self.try_cleanup(cx, id, request, tries, at);
        self.finish_message(cx);
    }

    fn on_cancelled(
        &mut self,
        cx: CX![],
        id: ChoreId,
        request: RequestId,
        tries: u32,
        answer: Answer<CancelAnswer>,
    ) {
        let Some(task) = self.cleanups.get_at_try(id, request, tries) else {
            return;
        };
        let adopting = matches!(task.kind, CleanupKind::Cancel { adopting: true, .. });
        match answer {
            // The resume that makes this node the owner may still be on its way.
            Some(Ok(CancelAnswer::NotOwner)) if adopting => {
                self.retry_cleanup(cx, id, request, tries)
            }
            Some(Ok(answer)) => self.end_cleanup(cx, id, Some(answer)),
            Some(Err(_)) | None => self.retry_cleanup(cx, id, request, tries),
        }
        self.finish_message(cx);
    }

    fn on_released(
        &mut self,
        cx: CX![],
        id: ChoreId,
        request: RequestId,
        tries: u32,
        answer: Answer<()>,
    ) {
        if self.cleanups.get_at_try(id, request, tries).is_none() {
            return;
        }
        match answer {
            Some(Ok(())) => self.end_cleanup(cx, id, None),
            Some(Err(_)) | None => self.retry_cleanup(cx, id, request, tries),
        }
        self.finish_message(cx);
    }

    fn retry_cleanup(&mut self, cx: CX![], id: ChoreId, request: RequestId, tries: u32) {
        let pause_ms = self.settings.backoff(tries);
        let fwd = fwd_to!([cx], on_cleanup_due(id, request, tries) as (MonoMs));
        self.timers.subscribe_in(cx, pause_ms, fwd);
    }

    /// Ends a task with the engine's answer to a cancel, if there was one.
    fn end_cleanup(&mut self, cx: CX![], id: ChoreId, answer: Option<CancelAnswer>) {
        let Some(task) = self.cleanups.remove(id) else {
            return;
        };
        let CleanupKind::Cancel {
            attempt,
            awaited_by,
            settle,
            ..
        } = task.kind
        else {
            return;
        };
        let settlement = match answer {
            Some(CancelAnswer::NotRun) => Some(Settlement::NotRun),
            Some(CancelAnswer::Ran) => Some(Settlement::Ran),
            // Unknown to the engine, owned by another node or unanswered: the verdict stays
            // unknown, and the key stays held until it expires.
            Some(CancelAnswer::NotOwner | CancelAnswer::Unknown) | None => None,
        };
        if let (Some(key), Some(settlement)) = (settle, settlement) {
            let request = task.request;
            let call = SettleCall {
                key,
                request,
                settlement,
            };
            self.claims.settle(cx, call);
        }
        if let Some(entry) = awaited_by {
            self.step(cx, entry, task.request, |live, context| {
                live.on_cancelled(attempt, answer, context);
            });
        }
    }
}
