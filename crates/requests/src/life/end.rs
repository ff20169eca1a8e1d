//! The end of a request: finished, failed or cancelled, with its claim settled and whatever it
//! holds upstream let go.
//!
//! Invariants: the reader gets its last event here and only here; a claim is settled `NotRun` only
//! where it is certain, which after a dispatch means by the engine's own word.

use super::{CancelReply, Context, Effect, Ended, Last, Life, Mode, Phase};
use bluebell_base::prelude::*;
use bluebell_peers::{SettleCall, Settlement};
use bluebell_policy::Outcome;
use bluebell_upstreams::{CancelAnswer, FinishReason};

impl Life {
    /// The answer is whole.
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
        self.on_served(cx);
        self.observe_finished(cx);
        let last = Last::Finished {
            reason,
            prompt_tokens,
            answer_tokens,
        };
        self.close(last, cx);
    }

    /// Fails with `error`, but for its verdict, which is the request's own.
    pub(crate) fn fail(&mut self, error: Error, cx: &mut Context<'_>) {
        let verdict = self.verdict();
        self.fail_as(Error { verdict, ..error }, cx);
    }

    /// Fails with `error` as it is.
    pub(crate) fn fail_as(&mut self, error: Error, cx: &mut Context<'_>) {
        self.let_go(&error, cx);
        self.leave_policy(cx);
        match self.verdict() {
            Verdict::NotRun => self.settle(Settlement::NotRun, cx),
            Verdict::Ran => self.settle(Settlement::Ran, cx),
            // Nobody knows: the key stays held, and its retries hear "may have run".
            Verdict::MayHaveRun => (),
        }
        if self.admitted {
            cx.observer.failed(&error);
        }
        if error.kind == ErrorKind::Cancelled {
            cx.observer.cancelled();
        }
        self.close(Last::Failed(error), cx);
    }

    /// Lets go of whatever the present phase holds at the policy and upstream.
    fn let_go(&mut self, error: &Error, cx: &mut Context<'_>) {
        match &self.phase {
            Phase::Reserving(_) => {
                self.release_group(cx);
                self.end_attempt(Outcome::NotRun, cx);
            }
            Phase::Running(run) => {
                let upstream = run.upstream;
                // The policy learns of silent engines by this, and must not blame one for a
                // caller that went away or a deadline that was too near.
                let silent = run.tries > 0 || matches!(run.mode, Mode::Asking { .. });
                let blamed = error.kind == ErrorKind::Upstream || silent;
                let outcome = match blamed && error.kind != ErrorKind::Cancelled {
                    true => Outcome::Failed,
                    false => Outcome::Cancelled,
                };
                self.cancel_upstream(upstream, false, cx);
                self.release_group(cx);
                self.end_attempt(outcome, cx);
            }
            // Its cancel is on its way already, and goes on without the request.
            Phase::Recalling { .. } => (),
            Phase::Queued
            | Phase::Claiming { .. }
            | Phase::Backoff { .. }
            | Phase::Exchanging { .. }
            | Phase::Cancelling { .. }
            | Phase::Done => (),
        }
    }

    /// Takes it out of the policy, where it is queued there.
    ///
    /// The policy queues a job again by itself where an attempt that it wanted back ends before its
    /// first token, whether or not the recall was carried out: the deadline's or the caller's cancel
    /// looks the same to it. An ended request would be sent on its behalf later.
    fn leave_policy(&self, cx: &mut Context<'_>) {
        if self.answer().is_some() && !self.is_adopted() {
            cx.policy.withdraw(self.request, cx.now_ms);
        }
    }

    /// Cancels the present attempt; where its fate is unknown, the claim is settled by the
    /// engine's answer.
    fn cancel_upstream(&mut self, upstream: UpstreamId, tell: bool, cx: &mut Context<'_>) {
        if self.present == Verdict::NotRun {
            return;
        }
        let unsure = self.verdict() == Verdict::MayHaveRun;
        let claim = match unsure {
            true => self.claim.take(),
            false => None,
        };
        cx.out.push(Effect::Cancel {
            upstream,
            attempt: self.attempt,
            tell,
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

    /// Tells the reader the last event and ends.
    pub(crate) fn close(&mut self, last: Last, cx: &mut Context<'_>) {
        // A plain service's answer is told by the caller of this function, with its body.
        if let Some(event) = last.event(self.request) {
            self.tell(event, cx);
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

    /// Its caller asks to cancel it.
    pub fn cancel(&mut self, reply: CancelReply, cx: &mut Context<'_>) {
        self.cancels.push(reply);
        match &self.phase {
            Phase::Running(run) => {
                let upstream = run.upstream;
                self.cancel_upstream(upstream, true, cx);
                self.release_group(cx);
                self.end_attempt(Outcome::Cancelled, cx);
                self.leave_policy(cx);
                let until_ms = cx.now_ms + cx.settings.answer_wait_ms;
                self.phase = Phase::Cancelling { until_ms, upstream };
            }
            Phase::Recalling { upstream, .. } => {
                // The recall's cancel is answered to this request as well as another would be.
                let upstream = *upstream;
                self.leave_policy(cx);
                let until_ms = cx.now_ms + cx.settings.answer_wait_ms;
                self.phase = Phase::Cancelling { until_ms, upstream };
            }
            Phase::Cancelling { .. } | Phase::Done => (),
            _ => self.fail_cancelled(cx),
        }
    }

    /// The engine's answer to the cancel of an attempt, by the caller or by a recall; `None` where
    /// none came.
    pub fn on_cancelled(
        &mut self,
        attempt: AttemptNo,
        answer: Option<CancelAnswer>,
        cx: &mut Context<'_>,
    ) {
        // A recall's cancel can be answered after the request went on without it; it says nothing
        // of the attempt that is cancelled or recalled now.
        let present = attempt == self.attempt;
        if present && matches!(self.phase, Phase::Recalling { .. }) {
            self.on_recalled(answer, cx);
            return;
        }
        if !present || !matches!(self.phase, Phase::Cancelling { .. }) {
            self.recalls.on_late(attempt);
            cx.observer.dropped_event();
            return;
        }
        match answer {
            Some(CancelAnswer::NotRun) if self.present != Verdict::Ran => {
                self.present = Verdict::NotRun;
            }
            Some(CancelAnswer::Ran) => self.present = Verdict::Ran,
            // `Unknown` may be an engine that ran it, restarted and forgot.
            _ => (),
        }
        self.fail_cancelled(cx);
    }

    /// Ends as cancelled.
    pub(crate) fn fail_cancelled(&mut self, cx: &mut Context<'_>) {
        let error = Error::may_have_run(ErrorKind::Cancelled, "cancelled by its caller");
        self.fail(error, cx);
    }
}
