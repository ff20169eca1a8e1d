//! Calls about existing requests of this node: callers that resume reading, reports and cancels.
//!
//! Invariants: a request of another account gets the same answer as one that does not exist. An
//! error about a request that exists somewhere is never `NotRun`.

use super::Requests;
use crate::call::{CallerEvent, CallerId, CallerSink, ResumeAnswer};
use crate::cursor::Cursor;
use crate::finished::Finished;
use crate::request::CancelReply;
use crate::request::read::token_events;
use crate::table::EntryId;
use crate::waiting_callers::WaitPurpose;
use bluebell_base::prelude::*;
use stakker::CX;

/// Returns the error for a request that does not exist, is no longer known or belongs to another
/// account.
pub(super) fn not_found() -> Error {
    // It may have existed and run, so the verdict must not be "not run".
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
            Some(text) => match self.verified_cursor(text, &call) {
                Some(cursor) => Some(cursor),
                None => return refuse(sink.as_ref(), call.request, not_found()),
            },
            None => None,
        };
        let from = cursor.as_ref().map_or(0, |cursor| cursor.seq.0 + 1);
        if let Some(id) = self.table.find(call.request) {
            self.attach(cx, id, caller, &call, sink, from);
        } else if let Some(finished) = self.finished.get(call.request) {
            self.replay(finished, &call, sink.as_ref(), from);
        } else if call.request.incarnation == self.incarnation {
            refuse(sink.as_ref(), call.request, not_found());
        } else {
            let purpose = WaitPurpose::ResumeAnswer { caller, sink, from };
            match cursor {
                Some(cursor) => self.adopt_by_cursor(cx, &cursor, purpose),
                None => self.query_peer(cx, call.account, call.request, purpose),
            }
        }
        self.finish_message(cx);
    }

    /// Returns the cursor if the fleet signed it for this request and account.
    fn verified_cursor(&self, text: &str, call: &ResumeAnswer) -> Option<Cursor> {
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
        let live = self.table.get(id);
        let readable = live.is_some_and(|l| l.account == call.account && l.answer().is_some());
        if !readable {
            refuse(sink.as_ref(), call.request, not_found());
            return;
        }
        self.step(cx, id, call.request, |live, context| {
            live.attach(caller, sink, from, context);
        });
    }

    /// Sends a caller an ended answer from event `from` on.
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
            None => self.query_peer(cx, account, request, WaitPurpose::Report(reply)),
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
            let live = self.table.get(id);
            if live.is_none_or(|live| live.account != account) {
                return reply(Err(not_found()));
            }
            self.step(cx, id, request, |live, context| live.cancel(reply, context));
            self.finish_message(cx);
            return;
        }
        match self.finished.get(request) {
            Some(finished) if finished.report.account == account => {
                reply(Ok(finished.report.clone()));
            }
            Some(_) => reply(Err(not_found())),
            None if request.incarnation == self.incarnation => reply(Err(not_found())),
            None => self.query_peer(cx, account, request, WaitPurpose::Cancel(reply)),
        }
    }
}

/// Sends a caller the error with which its call to resume reading fails.
pub(super) fn refuse(sink: &dyn CallerSink, request: RequestId, error: Error) {
    sink.send(CallerEvent::Failed {
        request: Some(request),
        error,
    });
}
