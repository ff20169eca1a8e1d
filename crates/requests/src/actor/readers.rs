//! Callers that come back: reading on, reports and cancels, of this node's requests.
//!
//! Invariants: another account's request is answered exactly as one that does not exist; an error
//! about a request that exists somewhere is never `NotRun`.

use super::Requests;
use crate::call::{CallerEvent, CallerId, CallerSink, ResumeAnswer};
use crate::cursor::Cursor;
use crate::finished::Finished;
use crate::life::CancelReply;
use crate::life::read::token_events;
use crate::table::EntryId;
use crate::waits::Wish;
use bluebell_base::prelude::*;
use stakker::CX;

/// The error for a request that isn't there, isn't known any more or isn't the asker's.
pub(super) fn not_found() -> Error {
    // It may have existed and run, so this must not say "not run".
    Error::may_have_run(ErrorKind::NotFound, "no such request")
}

impl Requests {
    pub(super) fn resume_answer(
        &mut self,
        cx: CX![],
        caller: CallerId,
        call: ResumeAnswer,
        sink: Box<dyn CallerSink>,
    ) {
        let cursor = match &call.cursor {
            Some(text) => match self.believed(text, &call) {
                Some(cursor) => Some(cursor),
                None => return refuse(sink.as_ref(), call.request, not_found()),
            },
            None => None,
        };
        let from = cursor.as_ref().map_or(0, |cursor| cursor.seq.0 + 1);
        if let Some(id) = self.table.find(call.request) {
            self.attach(cx, id, caller, &call, sink, from);
        } else if let Some(finished) = self.ring.get(call.request) {
            self.replay(finished, &call, sink.as_ref(), from);
        } else if call.request.incarnation == self.incarnation {
            refuse(sink.as_ref(), call.request, not_found());
        } else {
            let wish = Wish::ResumeAnswer { caller, sink, from };
            match cursor {
                Some(cursor) => self.adopt_by_cursor(cx, &cursor, wish),
                None => self.ask_peer(cx, call.account, call.request, wish),
            }
        }
        self.settle_down(cx);
    }

    /// The cursor, where it is one of the fleet's for this request and account.
    fn believed(&self, text: &str, call: &ResumeAnswer) -> Option<Cursor> {
        let cursor = self.signer.verify(text)?;
        let fits = cursor.request == call.request && cursor.account == call.account;
        fits.then_some(cursor)
    }

    fn attach(
        &mut self,
        cx: CX![],
        id: EntryId,
        caller: CallerId,
        call: &ResumeAnswer,
        sink: Box<dyn CallerSink>,
        from: u64,
    ) {
        let life = self.table.get(id);
        let readable = life.is_some_and(|l| l.account == call.account && l.answer().is_some());
        if !readable {
            refuse(sink.as_ref(), call.request, not_found());
            return;
        }
        self.step(cx, id, call.request, |life, context| {
            life.attach(caller, sink, from, context);
        });
    }

    /// Gives a caller an ended answer from event `from` on.
    fn replay(&self, finished: &Finished, call: &ResumeAnswer, sink: &dyn CallerSink, from: u64) {
        let request = call.request;
        let last = finished.last.event(request);
        let readable = finished.report.account == call.account && from >= finished.base;
        let Some(last) = last.filter(|_| readable) else {
            refuse(sink, request, not_found());
            return;
        };
        sink.send(CallerEvent::Admitted { request });
        let upstream = finished.report.upstream.clone();
        let template = Cursor {
            request,
            attempt: finished.report.attempt,
            upstream: upstream.unwrap_or_else(|| UpstreamName::from("-")),
            seq: EventSeq(from),
            account: call.account.clone(),
        };
        let skipped = (from - finished.base) as usize;
        let texts = finished.tokens.iter().skip(skipped).cloned().collect();
        for event in token_events(&template, from, texts, &self.signer) {
            sink.send(event);
        }
        sink.send(last);
    }

    pub(super) fn report(
        &mut self,
        cx: CX![],
        account: AccountName,
        request: RequestId,
        reply: CancelReply,
    ) {
        match self.known_report(request) {
            Some(report) if report.account == account => reply(Ok(report)),
            Some(_) => reply(Err(not_found())),
            None if request.incarnation == self.incarnation => reply(Err(not_found())),
            None => self.ask_peer(cx, account, request, Wish::Report(reply)),
        }
    }

    pub(super) fn cancel(
        &mut self,
        cx: CX![],
        account: AccountName,
        request: RequestId,
        reply: CancelReply,
    ) {
        if let Some(id) = self.table.find(request) {
            let life = self.table.get(id);
            if life.is_none_or(|life| life.account != account) {
                return reply(Err(not_found()));
            }
            self.step(cx, id, request, |life, context| life.cancel(reply, context));
            self.settle_down(cx);
            return;
        }
        match self.ring.get(request) {
            Some(finished) if finished.report.account == account => {
                reply(Ok(finished.report.clone()));
            }
            Some(_) => reply(Err(not_found())),
            None if request.incarnation == self.incarnation => reply(Err(not_found())),
            None => self.ask_peer(cx, account, request, Wish::Cancel(reply)),
        }
    }
}

/// Tells a caller that it can't read on.
pub(super) fn refuse(sink: &dyn CallerSink, request: RequestId, error: Error) {
    sink.send(CallerEvent::Failed {
        request: Some(request),
        error,
    });
}
