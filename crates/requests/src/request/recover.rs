//! Recovery from broken, silent and truncated streams: resume, look up, retry on another engine, or
//! give up.
//!
//! Invariants: a request that may not be repeated is sent to another engine only after its engine
//! itself reported that nothing ran. Everything else ends after a bounded number of tries.

use super::{Context, Effect, LinkNo, LiveRequest, Mode, Phase, Reader};
use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use bluebell_policy::Outcome;
use bluebell_upstreams::{FinishReason, Resume, StreamState};

impl LiveRequest {
    /// Handles the failure of the stream's link, or the engine's end of the stream without an
    /// answer.
    pub(crate) fn on_break(&mut self, link: LinkNo, error: Error, cx: &mut Context<'_>) {
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.is_open = false;
        // Only the refusal of the `generate` call itself, before any sign of work, proves that
        // nothing ran. A refused connection of a later `resume` says `NotRun` of the resume only,
        // and a `NotRun` after `Accepted` contradicts the engine's own message.
        let refused = run.generate_link == Some(link) && !run.accepted;
        if refused && error.verdict == Verdict::NotRun {
            self.on_refused(error, cx);
            return;
        }
        if run.received {
            // The engine had the request until now, and silence limits break links in a long
            // prefill. The engine's answer to a lookup decides if this counts as a failed try.
            run.received = false;
            self.look_up_if_read(cx);
            return;
        }
        // The engine answered that it has no such stream: another resume would not help.
        let unknown = run.generate_link != Some(link) && error.kind == ErrorKind::NotFound;
        self.on_failed_try(unknown, cx);
    }

    /// Handles the engine's refusal of the work before any of it was done.
    fn on_refused(&mut self, error: Error, cx: &mut Context<'_>) {
        let Some(upstream) = self.upstream() else {
            return;
        };
        self.current_verdict = Verdict::NotRun;
        if let Some(name) = cx.fleet.name(upstream) {
            cx.observer.upstream_refused(name, &error);
        }
        self.release_group(cx);
        self.end_attempt(Outcome::NotRun, cx);
        self.avoid(upstream);
        let permanent = matches!(error.kind, ErrorKind::Invalid | ErrorKind::TooLarge);
        if permanent {
            self.clear_dispatch(cx);
            self.fail(error, cx);
            return;
        }
        self.retry_elsewhere(error, cx);
    }

    /// Submits the request to the policy again if the retry budget allows it; otherwise fails with
    /// `error`.
    fn retry_elsewhere(&mut self, error: Error, cx: &mut Context<'_>) {
        self.clear_dispatch(cx);
        if let Some(error) = self.quarantine_refusal(cx) {
            self.fail(error, cx);
            return;
        }
        let tried = self.attempt.0.saturating_sub(self.recalls.count);
        let attempts_used_up = tried >= cx.settings.attempts;
        if attempts_used_up || !cx.budgets.take(self.payer) {
            cx.observer.retry_denied();
            let after_ms = error.retry_after_ms.unwrap_or(cx.settings.retry_after_ms);
            self.fail(error.retry_after(after_ms), cx);
            return;
        }
        self.reset_first_token_due(cx);
        self.admit(cx);
    }

    /// Moves the first token's due time. The class's target counts from arrival; a new attempt gets
    /// the same time for its first token, or the policy would refuse it as too late.
    fn reset_first_token_due(&mut self, cx: &Context<'_>) {
        let deadline_ms = self.deadline_ms;
        let Some(answer) = self.answer_mut() else {
            return;
        };
        if let Some(job) = &mut answer.job {
            let target_ms = job.first_token_due_ms.since(job.arrived_ms);
            let due_ms = (cx.now_ms + target_ms).min(deadline_ms);
            job.arrived_ms = cx.now_ms;
            job.first_token_due_ms = due_ms;
        }
    }

    /// Handles a try that brought nothing: schedules another one or takes the next step of
    /// recovery.
    pub(crate) fn on_failed_try(&mut self, unknown: bool, cx: &mut Context<'_>) {
        if self.await_reader_if_detached() {
            return;
        }
        let repeatable = self.repeatable;
        let may_not_regenerate = !repeatable && !self.is_adopted();
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.failed_tries += 1;
        let gone = !cx.fleet.is_present(run.upstream);
        let limit = match may_not_regenerate {
            true => cx.settings.lookup_tries,
            false => cx.settings.resume_tries,
        };
        let until_ms = cx.now_ms + cx.settings.backoff(run.failed_tries - 1);
        if unknown || gone {
            self.on_engine_lost(cx);
        }
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        if repeatable && (unknown || gone || run.failed_tries > limit) {
            self.abandon(cx);
        } else if run.failed_tries > limit {
            self.give_up(cx);
        } else if unknown {
            run.mode = Mode::WaitingToLookUp { until_ms };
        } else {
            run.mode = Mode::WaitingToResume { until_ms };
        }
    }

    fn look_up_if_read(&mut self, cx: &mut Context<'_>) {
        if !self.await_reader_if_detached() {
            self.look_up(cx);
        }
    }

    /// Leaves a silent or broken stream alone while it has no reader. Returns `false` if it has
    /// one.
    ///
    /// The caller may have resumed reading through another node, which then owns the stream; here
    /// that shows as silence or a broken link. A resume would take the stream back, and the cancel
    /// at the end of the grace period would cut the caller off there. Without a resume the other
    /// node stays the owner, and the engine refuses this node's cancel.
    pub(crate) fn await_reader_if_detached(&mut self) -> bool {
        if matches!(self.reader, Reader::Attached { .. }) {
            return false;
        }
        if let Phase::Running(run) = &mut self.phase {
            run.mode = Mode::AwaitingReader;
        }
        true
    }

    /// Gives up the attempt and continues on another engine after the tokens already delivered.
    fn abandon(&mut self, cx: &mut Context<'_>) {
        if self.finish_if_full(cx) {
            return;
        }
        let Some(upstream) = self.upstream() else {
            return;
        };
        self.earlier_verdict = self.verdict();
        self.current_verdict = Verdict::NotRun;
        // The engine may only be unreachable from here and still hold the stream's memory.
        cx.out.push(Effect::Cancel {
            upstream,
            attempt: self.attempt,
            awaited: false,
            settle: None,
        });
        self.release_group(cx);
        self.end_attempt(Outcome::Failed, cx);
        self.avoid(upstream);
        let error = Error::may_have_run(ErrorKind::Upstream, "the engine's answer is lost");
        self.retry_elsewhere(error, cx);
    }

    /// Handles an event on `link` that shows that earlier events are missing.
    pub(crate) fn on_gap(&mut self, link: LinkNo, cx: &mut Context<'_>) {
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        // A gap on an older link is already being filled through the current one.
        if link != run.stream_link || run.mode != Mode::Reading {
            return;
        }
        self.on_failed_try(false, cx);
    }

    /// Resumes the stream from the first event not yet delivered.
    pub(crate) fn resume(&mut self, cx: &mut Context<'_>) {
        let link = self.next_link();
        let from = EventSeq(self.answer().map_or(0, |answer| answer.next_seq()));
        let (request, attempt) = (self.request, self.attempt);
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.mode = Mode::Reading;
        run.last_received_ms = cx.now_ms;
        run.stream_link = link;
        run.is_open = true;
        run.received = false;
        let call = Resume {
            request,
            attempt,
            owner: cx.owner,
            from,
        };
        cx.out.push(Effect::Resume {
            upstream: run.upstream,
            link,
            call,
        });
    }

    /// Looks up the stream's state on its engine.
    ///
    /// The stream's own link stays open: a token that arrives on it meanwhile is delivered as
    /// usual.
    pub(crate) fn look_up(&mut self, cx: &mut Context<'_>) {
        let link = self.next_link();
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        let until_ms = cx.now_ms + cx.settings.answer_wait_ms;
        run.mode = Mode::LookingUp { link, until_ms };
        let upstream = run.upstream;
        cx.out.push(Effect::Lookup { upstream, link });
    }

    /// Handles the engine's answer to a lookup; `None` if the port dropped the call.
    pub fn on_lookup(
        &mut self,
        link: LinkNo,
        answer: Option<Result<StreamState, Error>>,
        cx: &mut Context<'_>,
    ) {
        if !self.is_awaiting(link) {
            cx.observer.dropped_event();
            return;
        }
        match answer {
            Some(Ok(state)) => self.on_stream_state(state, cx),
            Some(Err(_)) | None => self.on_lookup_failed(cx),
        }
    }

    /// Handles a lookup that brought no answer.
    pub(crate) fn on_lookup_failed(&mut self, cx: &mut Context<'_>) {
        self.on_failed_try(false, cx);
    }

    fn on_stream_state(&mut self, state: StreamState, cx: &mut Context<'_>) {
        let known = match state {
            StreamState::Running { attempt, events } => Some((attempt, events, false)),
            StreamState::Finished { attempt, events } => Some((attempt, events, true)),
            StreamState::NotRun | StreamState::Unknown | StreamState::Ended => None,
        };
        match known {
            Some((attempt, events, whole)) if attempt == self.attempt => {
                self.on_stream_known(events, whole, cx);
            }
            _ if state == StreamState::NotRun && self.is_only_attempt_on_engine() => {
                let error = Error::not_run(ErrorKind::Upstream, "the engine dropped the request");
                self.on_refused(error, cx);
            }
            _ => self.on_stream_unknown(cx),
        }
    }

    /// Handles a lookup's answer that the engine has the stream; reads whatever is new there.
    fn on_stream_known(&mut self, events: u64, whole: bool, cx: &mut Context<'_>) {
        let next = self.answer().map_or(0, |answer| answer.next_seq());
        let has_new_events = whole || events > next;
        let adopted = self.is_adopted();
        let max_ms = cx.settings.stall_max_ms;
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.accepted = true;
        if has_new_events {
            // The link is broken or silent although the engine has unread events. Each such resume
            // counts as a failed try until a token arrives; otherwise a link that loses all events
            // would be opened again and again until the deadline.
            self.on_failed_try(false, cx);
            return;
        }
        if !run.is_open {
            // The engine is working and has nothing new, but its link broke. This is not a failed
            // try.
            let until_ms = cx.now_ms + cx.settings.backoff(run.idle_breaks);
            run.idle_breaks += 1;
            run.mode = Mode::WaitingToResume { until_ms };
            return;
        }
        if adopted {
            // The node that admitted the request may have taken the stream back before it learned
            // of the hang-up. Resuming makes this node the owner again before that node's grace
            // period ends.
            self.resume(cx);
            return;
        }
        // The engine is working and has nothing new, as in a long prefill: the next lookup comes
        // later, and the open link continues to be read.
        run.silence_limit_ms = SpanMs(run.silence_limit_ms.0.saturating_mul(2).min(max_ms.0));
        run.last_received_ms = cx.now_ms;
        run.mode = Mode::Reading;
    }

    /// Handles an engine that does not have the stream, or no longer.
    fn on_stream_unknown(&mut self, cx: &mut Context<'_>) {
        self.on_engine_lost(cx);
        if self.repeatable {
            self.abandon(cx);
            return;
        }
        // That the engine does not know the request proves nothing: it may have run it, restarted
        // and lost its state.
        self.give_up(cx);
    }

    /// Ends work that may not be repeated and of which nothing more can be learned.
    fn give_up(&mut self, cx: &mut Context<'_>) {
        if self.finish_if_full(cx) || self.query_admitting_node(cx) {
            return;
        }
        let error = Error::may_have_run(ErrorKind::Upstream, "the engine's answer is lost");
        self.fail(error, cx);
    }

    /// Queries the node that admitted an adopted request for its engine. Returns `false` if that
    /// was already done.
    ///
    /// The cursor may name an attempt that was given up since: the engine crashed, and the
    /// admitting node continued elsewhere.
    fn query_admitting_node(&mut self, cx: &mut Context<'_>) -> bool {
        let adopted = self.is_adopted();
        let link = self.next_link();
        let Phase::Running(run) = &mut self.phase else {
            return false;
        };
        if !adopted || run.peer_queried {
            return false;
        }
        run.peer_queried = true;
        let until_ms = cx.now_ms + cx.settings.answer_wait_ms;
        run.mode = Mode::LookingUp { link, until_ms };
        cx.out.push(Effect::QueryAdmittingNode { link });
        true
    }

    /// Handles the admitting node's report of an adopted request. `upstream` is the reported
    /// engine, if this node knows it.
    pub fn on_peer_report(
        &mut self,
        link: LinkNo,
        report: Option<RequestReport>,
        upstream: Option<UpstreamId>,
        cx: &mut Context<'_>,
    ) {
        if !self.is_awaiting(link) {
            cx.observer.dropped_event();
            return;
        }
        let ours = report.filter(|report| report.account == self.account);
        let newer = ours.filter(|report| report.attempt > self.attempt);
        let (Some(report), Some(upstream)) = (newer, upstream) else {
            self.give_up(cx);
            return;
        };
        self.attempt = report.attempt;
        self.last_upstream = Some(upstream);
        let first_link = LinkNo(self.link.0 + 1);
        if let Phase::Running(run) = &mut self.phase {
            run.upstream = upstream;
            run.first_link = first_link;
            run.failed_tries = 0;
        }
        self.resume(cx);
    }

    /// Returns true if the answer awaited now arrives on `link`.
    fn is_awaiting(&self, link: LinkNo) -> bool {
        let Phase::Running(run) = &self.phase else {
            return false;
        };
        matches!(run.mode, Mode::LookingUp { link: awaited, .. } if awaited == link)
    }

    /// Finishes an answer that has as many tokens as were requested. Only the final event was lost,
    /// and no engine would generate anything after them.
    fn finish_if_full(&mut self, cx: &mut Context<'_>) -> bool {
        let full = self
            .answer()
            .is_some_and(|answer| answer.job.is_some() && answer.next_seq() >= answer.max_tokens.0);
        if full {
            self.finish(FinishReason::Length, cx);
        }
        full
    }

    /// Returns true if the current attempt is the only one that this engine was sent, so that its
    /// statement about the request applies to this attempt.
    fn is_only_attempt_on_engine(&self) -> bool {
        let Some(upstream) = self.upstream() else {
            return false;
        };
        let job = self.answer().and_then(|answer| answer.job.as_ref());
        let failed_none = job.is_some_and(|job| !job.avoid.contains(&upstream));
        failed_none && self.recalls.count == 0
    }
}
