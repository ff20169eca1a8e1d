//! Requests that another node admitted. Their streams are continued from the engine itself; reports
//! and cancels begin with a query to the admitting node.
//!
//! Terms: to *adopt* a stream is to resume it with this incarnation as its owner.
//!
//! Invariants: an adopted request is never generated. It ends within the longest end target of the
//! configuration, whatever happens to its engine.

use super::Requests;
use super::arrivals::new_request;
use super::readers::{not_found, refuse};
use crate::budget::PayerId;
use crate::cursor::Cursor;
use crate::request::{Answer, LinkNo, LiveRequest, Phase, Reader, Run, Work};
use crate::table::EntryId;
use crate::waiting_callers::{WaitId, WaitPurpose, WaitingCaller};
use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use stakker::{CX, fwd_to, ret_to};

/// The placeholder for the class and the model of an adopted request, which only the admitting node
/// knows.
const ADOPTED: &str = "adopted";

/// The stream to adopt.
struct AdoptedStream {
    account: AccountName,
    request: RequestId,
    attempt: AttemptNo,
    upstream: UpstreamName,
    verdict: Verdict,
}

impl Requests {
    /// Resumes reading by a cursor alone, without a query to the node that issued it, which may be
    /// dead.
    pub(super) fn adopt_by_cursor(&mut self, cx: CX![], cursor: &Cursor, purpose: WaitPurpose) {
        let stream = AdoptedStream {
            account: cursor.account.clone(),
            request: cursor.request,
            attempt: cursor.attempt,
            upstream: cursor.upstream.clone(),
            // A cursor follows a delivered event, so the request ran.
            verdict: Verdict::Ran,
        };
        self.adopt(cx, stream, purpose);
    }

    /// Queries the node that admitted `request` on behalf of a waiting caller.
    pub(super) fn query_peer(
        &mut self,
        cx: CX![],
        account: AccountName,
        request: RequestId,
        purpose: WaitPurpose,
    ) {
        let waiting = WaitingCaller {
            account,
            request,
            purpose,
        };
        let id = self.waiting_callers.insert(waiting);
        let ret = ret_to!(
            [cx],
            on_peer_answer(id) as (Result<Option<RequestReport>, Error>)
        );
        self.lookup.lookup(cx, request, ret);
        // A silent peer must not keep the caller waiting.
        let fwd = fwd_to!([cx], on_peer_timeout(id) as (MonoMs));
        let wait_ms = self.settings.answer_wait_ms;
        self.timers.subscribe_in(cx, wait_ms, fwd);
    }

    fn on_peer_timeout(&mut self, cx: CX![], id: WaitId, _: MonoMs) {
        self.on_peer_answer(cx, id, None);
    }

    fn on_peer_answer(
        &mut self,
        cx: CX![],
        id: WaitId,
        answer: Option<Result<Option<RequestReport>, Error>>,
    ) {
        let Some(waiting) = self.waiting_callers.remove(id) else {
            return;
        };
        match answer {
            Some(Ok(Some(report))) if report.account == waiting.account => {
                self.serve_waiting_caller(cx, report, waiting.purpose);
            }
            Some(Ok(_)) => refuse_waiting_caller(waiting, not_found()),
            Some(Err(_)) | None => {
                let message = "the node that admitted the request can't be reached";
                let error = Error::may_have_run(ErrorKind::Unavailable, message);
                refuse_waiting_caller(waiting, error.retry_after(self.settings.retry_after_ms));
            }
        }
        self.finish_message(cx);
    }

    /// Handles the admitting node's report of an adopted request; `None` if the query was dropped.
    pub(super) fn on_peer_report(
        &mut self,
        cx: CX![],
        id: EntryId,
        request: RequestId,
        link: LinkNo,
        answer: Option<Result<Option<RequestReport>, Error>>,
    ) {
        let report = answer.and_then(Result::ok).flatten();
        let upstream = report.as_ref().and_then(|report| report.upstream.as_ref());
        let upstream = upstream.and_then(|name| self.fleet.id(name));
        self.step(cx, id, request, |live, context| {
            live.on_peer_report(link, report, upstream, context);
        });
        self.finish_message(cx);
    }

    fn serve_waiting_caller(&mut self, cx: CX![], report: RequestReport, purpose: WaitPurpose) {
        let purpose = match purpose {
            WaitPurpose::Report(reply) => return reply(Ok(report)),
            WaitPurpose::Cancel(reply) if report.state.is_ended() => return reply(Ok(report)),
            purpose => purpose,
        };
        let Some(upstream) = report.upstream.clone() else {
            let message = "the request hasn't reached an engine; its own node has it";
            let error = Error::may_have_run(ErrorKind::Unavailable, message);
            let error = error.retry_after(self.settings.retry_after_ms);
            let (account, request) = (report.account, report.request);
            let waiting = WaitingCaller {
                account,
                request,
                purpose,
            };
            return refuse_waiting_caller(waiting, error);
        };
        let stream = AdoptedStream {
            account: report.account,
            request: report.request,
            attempt: report.attempt,
            upstream,
            verdict: report.verdict,
        };
        self.adopt(cx, stream, purpose);
    }

    /// Becomes the owner of a stream and reads or cancels it.
    ///
    /// The old owner may be alive, and its grace period after the hang-up may be about to end. The
    /// engine obeys only the current owner's cancel, so the old owner's is refused with `NotOwner`
    /// and cannot cut off the caller that reads here.
    fn adopt(&mut self, cx: CX![], stream: AdoptedStream, purpose: WaitPurpose) {
        let unavailable = |message: &str, after_ms: SpanMs| {
            let error = Error::may_have_run(ErrorKind::Unavailable, message);
            error.retry_after(after_ms)
        };
        let after_ms = self.settings.retry_after_ms;
        let waiting = WaitingCaller {
            account: stream.account.clone(),
            request: stream.request,
            purpose,
        };
        if self.draining.is_some() {
            return refuse_waiting_caller(waiting, unavailable("the node is stopping", after_ms));
        }
        let upstream = self.fleet.id(&stream.upstream);
        let upstream = upstream.filter(|id| self.fleet.engine(*id).is_some());
        let Some(upstream) = upstream else {
            return refuse_waiting_caller(
                waiting,
                unavailable("the engine isn't known here", after_ms),
            );
        };
        let request = stream.request;
        if let Some(id) = self.table.find(request) {
            // Another waiting caller adopted it meanwhile.
            self.step(cx, id, request, |live, context| match waiting.purpose {
                WaitPurpose::ResumeAnswer { caller, sink, from } => {
                    live.attach(caller, sink, from, context)
                }
                WaitPurpose::Cancel(reply) => live.cancel(reply, context),
                WaitPurpose::Report(_) => (),
            });
            return;
        }
        let live = self.adopted_request(cx, stream, upstream, &waiting.purpose);
        let id = self.table.insert(live);
        self.step(cx, id, request, |live, context| {
            live.resume(context);
            match waiting.purpose {
                WaitPurpose::ResumeAnswer { caller, sink, from } => {
                    live.attach(caller, sink, from, context)
                }
                WaitPurpose::Cancel(reply) => live.cancel(reply, context),
                WaitPurpose::Report(_) => (),
            }
        });
    }

    fn adopted_request(
        &mut self,
        cx: CX![],
        stream: AdoptedStream,
        upstream: UpstreamId,
        purpose: &WaitPurpose,
    ) -> LiveRequest {
        let now_ms = self.timers.now_ms(cx);
        let base = match purpose {
            WaitPurpose::ResumeAnswer { from, .. } => *from,
            WaitPurpose::Report(_) | WaitPurpose::Cancel(_) => 0,
        };
        let payer = PayerId(self.payers.intern(&stream.account));
        let work = Work::Answer(Box::new(adopted_answer(base)));
        let mut live = new_request(stream.request, stream.account, payer, work, now_ms);
        live.deadline_ms = now_ms + self.longest_end_ms();
        live.admitted = true;
        live.attempt = stream.attempt;
        live.current_verdict = stream.verdict.max(Verdict::MayHaveRun);
        // The engine's "not run" in answer to a cancel from here is true of this attempt only: the
        // admitting node sees its stream broken and may start another attempt elsewhere.
        live.earlier_verdict = Verdict::MayHaveRun;
        live.reader = Reader::Detached {
            until_ms: live.deadline_ms,
        };
        live.last_upstream = Some(upstream);
        let silence_limit_ms = self.settings.adopted_stall_ms();
        live.phase = Phase::Running(Run::adopted(upstream, base, now_ms, silence_limit_ms));
        live
    }

    /// Returns the longest end target of all classes.
    fn longest_end_ms(&self) -> SpanMs {
        let classes = self.config.iter().flat_map(|config| &config.classes);
        let longest = classes.map(|class| class.end_ms).max();
        longest.unwrap_or(self.settings.finished_keep_ms)
    }
}

/// Returns an answer of which only the first position to read is known.
fn adopted_answer(base: u64) -> Answer {
    Answer {
        class: ClassName::from(ADOPTED),
        model: ModelName::from(ADOPTED),
        prompt: None,
        prompt_bytes: Bytes::ZERO,
        prompt_tokens: None,
        max_tokens: Tokens::ZERO,
        job: None,
        base,
        tokens: Vec::new(),
        last_token_ms: None,
    }
}

/// Sends a waiting caller the error with which its call fails.
fn refuse_waiting_caller(waiting: WaitingCaller, error: Error) {
    match waiting.purpose {
        WaitPurpose::ResumeAnswer { sink, .. } => refuse(sink.as_ref(), waiting.request, error),
        WaitPurpose::Report(reply) | WaitPurpose::Cancel(reply) => reply(Err(error)),
    }
}
