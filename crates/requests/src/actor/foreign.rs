//! Requests that another node admitted: read on from the engine itself, reported and cancelled by
//! asking that node.
//!
//! Terms: to *adopt* a stream is to resume it with this incarnation as its owner.
//!
//! Invariants: an adopted request is never generated; it ends by the longest end target of the
//! configuration, whatever becomes of its engine.

use super::Requests;
use super::arrivals::new_life;
use super::readers::{not_found, refuse};
use crate::budget::PayerId;
use crate::cursor::Cursor;
use crate::life::{Answer, Life, LinkNo, Phase, Reader, Run, Work};
use crate::table::EntryId;
use crate::waits::{Wait, WaitId, Wish};
use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use stakker::{CX, fwd_to, ret_to};

/// Stands for the class and the model of an adopted request, which only its own node knows.
const ADOPTED: &str = "adopted";

/// The stream that shall be adopted.
struct Stream {
    account: AccountName,
    request: RequestId,
    attempt: AttemptNo,
    upstream: UpstreamName,
    verdict: Verdict,
}

impl Requests {
    /// Reads on by what a cursor says, without asking the node that gave it, which may be dead.
    pub(super) fn adopt_by_cursor(&mut self, cx: CX![], cursor: &Cursor, wish: Wish) {
        let stream = Stream {
            account: cursor.account.clone(),
            request: cursor.request,
            attempt: cursor.attempt,
            upstream: cursor.upstream.clone(),
            // A cursor stands behind a delivered event, so it ran.
            verdict: Verdict::Ran,
        };
        self.adopt(cx, stream, wish);
    }

    /// Asks the node that admitted `request`.
    pub(super) fn ask_peer(
        &mut self,
        cx: CX![],
        account: AccountName,
        request: RequestId,
        wish: Wish,
    ) {
        let wait = Wait {
            account,
            request,
            wish,
        };
        let id = self.waits.insert(wait);
        let ret = ret_to!(
            [cx],
            on_peer_answer(id) as (Result<Option<RequestReport>, Error>)
        );
        self.lookup.lookup(cx, request, ret);
        // A silent peer must not hold the caller.
        let fwd = fwd_to!([cx], on_peer_silent(id) as (MonoMs));
        let wait_ms = self.settings.answer_wait_ms;
        self.timers.subscribe_in(cx, wait_ms, fwd);
    }

    fn on_peer_silent(&mut self, cx: CX![], id: WaitId, _: MonoMs) {
        self.on_peer_answer(cx, id, None);
    }

    fn on_peer_answer(
        &mut self,
        cx: CX![],
        id: WaitId,
        answer: Option<Result<Option<RequestReport>, Error>>,
    ) {
        let Some(wait) = self.waits.remove(id) else {
            return;
        };
        match answer {
            Some(Ok(Some(report))) if report.account == wait.account => {
                self.grant(cx, report, wait.wish);
            }
            Some(Ok(_)) => deny(wait, not_found()),
            Some(Err(_)) | None => {
                let message = "the node that admitted the request can't be reached";
                let error = Error::may_have_run(ErrorKind::Unavailable, message);
                deny(wait, error.retry_after(self.settings.retry_after_ms));
            }
        }
        self.settle_down(cx);
    }

    /// The admitting node's word on an adopted request came, or was lost.
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
        self.step(cx, id, request, |life, context| {
            life.on_peer_report(link, report, upstream, context);
        });
        self.settle_down(cx);
    }

    fn grant(&mut self, cx: CX![], report: RequestReport, wish: Wish) {
        let wish = match wish {
            Wish::Report(reply) => return reply(Ok(report)),
            Wish::Cancel(reply) if report.state.is_ended() => return reply(Ok(report)),
            wish => wish,
        };
        let Some(upstream) = report.upstream.clone() else {
            let message = "the request hasn't reached an engine; its own node has it";
            let error = Error::may_have_run(ErrorKind::Unavailable, message);
            let error = error.retry_after(self.settings.retry_after_ms);
            let (account, request) = (report.account, report.request);
            let wait = Wait {
                account,
                request,
                wish,
            };
            return deny(wait, error);
        };
        let stream = Stream {
            account: report.account,
            request: report.request,
            attempt: report.attempt,
            upstream,
            verdict: report.verdict,
        };
        self.adopt(cx, stream, wish);
    }

    /// Becomes the owner of a stream and reads or cancels it.
    ///
    /// The old owner may be alive, and its grace after the hang-up may end now: the engine obeys
    /// only the present owner's cancel, so the old node's one is refused with `NotOwner` and can't
    /// cut the caller that reads on here.
    fn adopt(&mut self, cx: CX![], stream: Stream, wish: Wish) {
        let unavailable = |message: &str, after_ms: SpanMs| {
            let error = Error::may_have_run(ErrorKind::Unavailable, message);
            error.retry_after(after_ms)
        };
        let after_ms = self.settings.retry_after_ms;
        let wait = Wait {
            account: stream.account.clone(),
            request: stream.request,
            wish,
        };
        if self.draining.is_some() {
            return deny(wait, unavailable("the node is stopping", after_ms));
        }
        let upstream = self.fleet.id(&stream.upstream);
        let upstream = upstream.filter(|id| self.fleet.engine(*id).is_some());
        let Some(upstream) = upstream else {
            return deny(wait, unavailable("the engine isn't known here", after_ms));
        };
        let request = stream.request;
        if let Some(id) = self.table.find(request) {
            // Adopted meanwhile by another wish.
            self.step(cx, id, request, |life, context| match wait.wish {
                Wish::ResumeAnswer { caller, sink, from } => {
                    life.attach(caller, sink, from, context)
                }
                Wish::Cancel(reply) => life.cancel(reply, context),
                Wish::Report(_) => (),
            });
            return;
        }
        let life = self.adopted_life(cx, stream, upstream, &wait.wish);
        let id = self.table.insert(life);
        self.step(cx, id, request, |life, context| {
            life.resume(context);
            match wait.wish {
                Wish::ResumeAnswer { caller, sink, from } => {
                    life.attach(caller, sink, from, context)
                }
                Wish::Cancel(reply) => life.cancel(reply, context),
                Wish::Report(_) => (),
            }
        });
    }

    fn adopted_life(
        &mut self,
        cx: CX![],
        stream: Stream,
        upstream: UpstreamId,
        wish: &Wish,
    ) -> Life {
        let now_ms = self.timers.now_ms(cx);
        let base = match wish {
            Wish::ResumeAnswer { from, .. } => *from,
            Wish::Report(_) | Wish::Cancel(_) => 0,
        };
        let payer = PayerId(self.payers.intern(&stream.account));
        let work = Work::Answer(Box::new(adopted_answer(base)));
        let mut life = new_life(stream.request, stream.account, payer, work, now_ms);
        life.deadline_ms = now_ms + self.longest_end_ms();
        life.admitted = true;
        life.attempt = stream.attempt;
        life.present = stream.verdict.max(Verdict::MayHaveRun);
        // The engine's "not run" to a cancel from here is true of this attempt only: the admitting
        // node sees its stream broken and may begin another one elsewhere.
        life.earlier = Verdict::MayHaveRun;
        life.reader = Reader::Detached {
            until_ms: life.deadline_ms,
        };
        life.sent_to = Some(upstream);
        let quiet_ms = self.settings.adopted_stall_ms();
        life.phase = Phase::Running(Run::adopted(upstream, base, now_ms, quiet_ms));
        life
    }

    /// The longest time that any class gives its requests.
    fn longest_end_ms(&self) -> SpanMs {
        let classes = self.config.iter().flat_map(|config| &config.classes);
        let longest = classes.map(|class| class.end_ms).max();
        longest.unwrap_or(self.settings.finished_keep_ms)
    }
}

/// An answer of which this node knows nothing but where it is read from.
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

/// Tells a waiting caller that it does not get what it wished for.
fn deny(wait: Wait, error: Error) {
    match wait.wish {
        Wish::ResumeAnswer { sink, .. } => refuse(sink.as_ref(), wait.request, error),
        Wish::Report(reply) | Wish::Cancel(reply) => reply(Err(error)),
    }
}
