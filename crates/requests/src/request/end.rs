//! The end of a request: it finishes, fails or is cancelled, its claim is settled and whatever it
//! holds upstream is released.
//!
//! Invariants: the last event is sent to the reader only here. A claim is settled `NotRun` only
//! when that is certain, which after a dispatch requires the engine's own answer.

use super::{CancelReply, Context, Effect, Ended, FinalEvent, LiveRequest, Mode, Phase};
use bluebell_base::prelude::*;
use bluebell_peers::{SettleCall, Settlement};
use bluebell_policy::Outcome;
use bluebell_upstreams::{CancelAnswer, FinishReason};

impl LiveRequest {
    /// Finishes the request with a complete answer.
    pub(crate) fn finish(&mut self, reason: FinishReason, cx: &mut Context<'_>) {
        let Some(answer) = self.answer() else {
            return;
        };
        let answer_tokens = Tokens(answer.next_seq());
        let prompt_tokens = answer.estimated_tokens();
        let reason: Arc<str> = match reason {
            FinishReason::Stop => "stop".into(),
            FinishReason::Length => "length".into(),
        };
        self.release_group(cx);
        self.end_attempt(Outcome::Finished(answer_tokens), cx);
        self.settle(Settlement::Ran, cx);
        self.clear_quarantine(cx);
        self.observe_finished(cx);
        let last = FinalEvent::Finished {
            reason,
            prompt_tokens,
            answer_tokens,
        };
        self.close(last, cx);
    }

    /// Fails the request with `error`, whose verdict is replaced by the request's own.
    pub(crate) fn fail(&mut self, error: Error, cx: &mut Context<'_>) {
        let verdict = self.verdict();
        self.fail_as(Error { verdict, ..error }, cx);
    }

    /// Fails the request with `error` unchanged.
    pub(crate) fn fail_as(&mut self, error: Error, cx: &mut Context<'_>) {
        self.release_phase(&error, cx);
        self.withdraw_from_policy(cx);
        match self.verdict() {
            Verdict::NotRun => self.settle(Settlement::NotRun, cx),
            Verdict::Ran => self.settle(Settlement::Ran, cx),
            // The verdict is unknown: the key stays held, and retries with it receive "may have
            // run".
            Verdict::MayHaveRun => (),
        }
        if self.admitted {
            cx.observer.failed(&error);
        }
        if error.kind == ErrorKind::Cancelled {
            cx.observer.cancelled();
        }
        self.close(FinalEvent::Failed(error), cx);
    }

    /// Releases whatever the current phase holds at the policy and upstream.
    fn release_phase(&mut self, error: &Error, cx: &mut Context<'_>) {
        match &self.phase {
            Phase::Reserving(_) => {
                self.release_group(cx);
                self.end_attempt(Outcome::NotRun, cx);
            }
            Phase::Running(run) => {
                let upstream = run.upstream;
                // The policy learns of silent engines from this outcome. It must not blame an
                // engine for a caller that disconnected or a deadline that was too short.
                let silent = run.failed_tries > 0 || matches!(run.mode, Mode::LookingUp { .. });
                let blamed = error.kind == ErrorKind::Upstream || silent;
                let outcome = match blamed && error.kind != ErrorKind::Cancelled {
                    true => Outcome::Failed,
                    false => Outcome::Cancelled,
                };
                self.cancel_upstream(upstream, false, cx);
                self.release_group(cx);
                self.end_attempt(outcome, cx);
            }
            // The recall already sent its cancel, which is retried independently of the request.
            Phase::Recalling { .. } => (),
            Phase::Queued
            | Phase::Claiming { .. }
            | Phase::Backoff { .. }
            | Phase::Exchanging { .. }
            | Phase::Cancelling { .. }
            | Phase::Done => (),
        }
    }

    /// Withdraws the request from the policy, if it is queued there.
    ///
    /// The policy queues a job again on its own when an attempt that it recalled ends before its
    /// first token, even if the recall was not carried out: a cancel by the deadline or the caller
    /// looks the same to it. Without the withdrawal it would later send an ended request.
    fn withdraw_from_policy(&self, cx: &mut Context<'_>) {
        if self.answer().is_some() && !self.is_adopted() {
            cx.policy.withdraw(self.request, cx.now_ms);
        }
    }

    /// Cancels the current attempt. If the verdict is unknown, the engine's answer settles the
    /// claim.
    fn cancel_upstream(&mut self, upstream: UpstreamId, awaited: bool, cx: &mut Context<'_>) {
        if self.current_verdict == Verdict::NotRun {
            return;
        }
        let is_unknown = self.verdict() == Verdict::MayHaveRun;
        let claim = match is_unknown {
            true => self.claim.take(),
            false => None,
        };
        cx.out.push(Effect::Cancel {
            upstream,
            attempt: self.attempt,
            awaited,
            settle: claim.map(|claim| claim.key),
        });
    }

    pub(crate) fn settle(&mut self, settlement: Settlement, cx: &mut Context<'_>) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        cx.out.push(Effect::Settle(SettleCall {
            key: claim.key,
            request: self.request,
            settlement,
        }));
    }

    fn observe_finished(&self, cx: &mut Context<'_>) {
        let after_ms = cx.now_ms.since(self.arrived_ms);
        if let Some((class, band)) = self.labels() {
            cx.observer.finished(class, band, after_ms);
        }
    }

    /// Sends the last event to the reader and ends the request.
    pub(crate) fn close(&mut self, last: FinalEvent, cx: &mut Context<'_>) {
        // The caller of this function sends a plain service's answer itself, with the body.
        if let Some(event) = last.event(self.request) {
            self.send_to_reader(event, cx);
        }
        self.phase = Phase::Done;
        self.ended = Some(Ended {
            at_ms: cx.now_ms,
            last,
        });
        if let Some(answer) = self.answer_mut() {
            answer.prompt = None;
        }
    }

    /// Handles the caller's call to cancel the request.
    pub fn cancel(&mut self, reply: CancelReply, cx: &mut Context<'_>) {
        self.cancel_replies.push(reply);
        match &self.phase {
            Phase::Running(run) => {
                let upstream = run.upstream;
                self.cancel_upstream(upstream, true, cx);
                self.release_group(cx);
                self.end_attempt(Outcome::Cancelled, cx);
                self.withdraw_from_policy(cx);
                let until_ms = cx.now_ms + cx.settings.answer_wait_ms;
                self.phase = Phase::Cancelling { until_ms, upstream };
            }
            Phase::Recalling { upstream, .. } => {
                // The answer to the recall's cancel also answers the caller's, so no second one is
                // sent.
                let upstream = *upstream;
                self.withdraw_from_policy(cx);
                let until_ms = cx.now_ms + cx.settings.answer_wait_ms;
                self.phase = Phase::Cancelling { until_ms, upstream };
            }
            Phase::Cancelling { .. } | Phase::Done => (),
            _ => self.fail_cancelled(cx),
        }
    }

    /// Handles the engine's answer to the cancel of an attempt, sent for the caller or a recall;
    /// `None` if there was no answer.
    pub fn on_cancelled(
        &mut self,
        attempt: AttemptNo,
        answer: Option<CancelAnswer>,
        cx: &mut Context<'_>,
    ) {
        // The answer to a recall's cancel can arrive after the request went on without it. It then
        // says nothing about the attempt that is being cancelled or recalled now.
        let is_current = attempt == self.attempt;
        if is_current && matches!(self.phase, Phase::Recalling { .. }) {
            self.on_recalled(answer, cx);
            return;
        }
        if !is_current || !matches!(self.phase, Phase::Cancelling { .. }) {
            self.recalls.on_late_answer(attempt);
            cx.observer.dropped_event();
            return;
        }
        match answer {
            Some(CancelAnswer::NotRun) if self.current_verdict != Verdict::Ran => {
                self.current_verdict = Verdict::NotRun;
            }
            Some(CancelAnswer::Ran) => self.current_verdict = Verdict::Ran,
            // `Unknown` may come from an engine that ran the request, restarted and lost its state.
            _ => (),
        }
        self.fail_cancelled(cx);
    }

    /// Fails the request as cancelled.
    pub(crate) fn fail_cancelled(&mut self, cx: &mut Context<'_>) {
        let error = Error::may_have_run(ErrorKind::Cancelled, "cancelled by its caller");
        self.fail(error, cx);
    }
}
