//! From arrival to the first upstream: the claim, the policy's admission and its decision.
//!
//! Invariants: work that may not be repeated and has a key isn't handed to anything that could run
//! it before its claim is granted; work that may be repeated makes no claim.

use super::{Context, Effect, Group, Life, Phase, Run, Work};
use crate::call::CallerEvent;
use crate::observe::RefusedBy;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_peers::{ClaimAnswer, ClaimState};
use bluebell_policy::{Outcome, Refusal, RefusalReason};
use bluebell_upstreams::{Generate, Priority};
use rand::Rng;

impl Life {
    /// The request has arrived.
    pub fn begin(&mut self, cx: &mut Context<'_>) {
        match self.claim.clone() {
            Some(claim) => {
                let until_ms = cx.now_ms + cx.settings.claim_wait_ms;
                self.phase = Phase::Claiming { until_ms };
                cx.out.push(Effect::Claim(claim));
            }
            None => self.start(cx),
        }
    }

    /// The answer to its claim came; `None` where the claims went away without one.
    pub fn on_claim(&mut self, answer: Option<Result<ClaimAnswer, Error>>, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Claiming { .. }) {
            cx.observer.dropped_event();
            return;
        }
        match answer {
            Some(Ok(ClaimAnswer::Granted)) => self.start(cx),
            Some(Ok(ClaimAnswer::Held { by, state, same })) => {
                self.on_held(by, state, same, cx);
            }
            Some(Err(error)) => self.claim_failed(&error.message, error.retry_after_ms, cx),
            None => self.claim_failed("the claims are stopping", None, cx),
        }
    }

    /// The key could not be claimed: it must not run, and its caller hears so at once.
    pub fn claim_failed(&mut self, why: &str, after_ms: Option<SpanMs>, cx: &mut Context<'_>) {
        cx.observer.refused(RefusedBy::ClaimFailed);
        let message = format!("the idempotency key could not be claimed: {why}");
        let after_ms = after_ms.unwrap_or(cx.settings.retry_after_ms);
        let error = Error::not_run(ErrorKind::Unavailable, message);
        self.fail(error.retry_after(after_ms), cx);
    }

    fn on_held(&mut self, by: RequestId, state: ClaimState, same: bool, cx: &mut Context<'_>) {
        // The claim was granted, its answer was lost and the claims asked again: it is ours.
        if by == self.request && state == ClaimState::Pending {
            self.start(cx);
            return;
        }
        cx.observer.refused(RefusedBy::KeyHeld);
        // Somebody else's claim isn't ours to settle.
        self.claim = None;
        let error = match (same, state) {
            (false, _) => Error::not_run(
                ErrorKind::Conflict,
                format!("the idempotency key was used for other content, by {by}"),
            ),
            (true, ClaimState::Pending) => Error::may_have_run(
                ErrorKind::Conflict,
                format!("{by} holds the idempotency key and may have run"),
            ),
            (true, ClaimState::Ran) => Error::ran(
                ErrorKind::Conflict,
                format!("{by} used the idempotency key and ran"),
            ),
        };
        self.fail_as(error, cx);
    }

    /// Nothing stands in the way of running it.
    pub(crate) fn start(&mut self, cx: &mut Context<'_>) {
        match self.work {
            Work::Answer(_) => self.admit(cx),
            Work::Exchange(_) => self.dispatch(cx),
        }
    }

    /// Hands it to the policy, for the first time or again.
    pub(crate) fn admit(&mut self, cx: &mut Context<'_>) {
        let Some(job) = self.answer().and_then(|answer| answer.job.clone()) else {
            return;
        };
        match cx.policy.admit(job, cx.now_ms) {
            Ok(()) => {
                self.phase = Phase::Queued;
                self.tell_admitted(cx);
            }
            Err(refusal) => self.wait_or_refuse(refusal, cx),
        }
    }

    /// Waits for the refusal's reason to pass where a later try may still succeed; ends at once
    /// otherwise.
    ///
    /// The policy does not keep what it refuses, so there is nothing to withdraw.
    fn wait_or_refuse(&mut self, refusal: Refusal, cx: &mut Context<'_>) {
        let last_try_ms = self.last_try_ms();
        if !self.may_wait_for(refusal.reason) || !self.wait_for_try(last_try_ms, cx) {
            self.leave_all(cx);
            self.refuse(refusal, cx);
        }
    }

    /// When a try to place refused work comes too late: at the deadline or, while its caller has
    /// no first token, when that token is due.
    fn last_try_ms(&self) -> MonoMs {
        let unbegun = self.answer().filter(|answer| answer.next_seq() == 0);
        let job = unbegun.and_then(|answer| answer.job.as_ref());
        job.map_or(self.deadline_ms, |job| {
            self.deadline_ms.min(job.first_token_due_ms)
        })
    }

    /// Whether work that was begun and lost its engine waits for the refusal's reason to pass.
    ///
    /// Its caller has part of an answer, or can't be told that nothing ran: giving it up because
    /// the fleet is short just after the engine died would lose what waiting a moment may save.
    /// Work that hasn't run is given back at once, so that its caller can choose.
    fn may_wait_for(&self, reason: RefusalReason) -> bool {
        let passing = match reason {
            RefusalReason::NoEngine | RefusalReason::Overloaded | RefusalReason::OverShare => true,
            RefusalReason::TooLate | RefusalReason::TooLong => false,
        };
        passing && self.verdict() != Verdict::NotRun
    }

    /// The policy gives up what it had taken.
    pub fn on_refuse(&mut self, refusal: Refusal, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Queued) {
            return;
        }
        self.wait_or_refuse(refusal, cx);
    }

    /// Neither the policy nor an upstream has it any more, so that its end lets go of nothing.
    pub(crate) fn leave_all(&mut self, cx: &Context<'_>) {
        self.phase = Phase::Backoff {
            until_ms: cx.now_ms,
        };
    }

    /// Fails by the policy's refusal.
    fn refuse(&mut self, refusal: Refusal, cx: &mut Context<'_>) {
        cx.observer.refused(RefusedBy::Policy(refusal.reason));
        let (kind, message) = match refusal.reason {
            RefusalReason::NoEngine => (ErrorKind::Unavailable, "no engine serves the model now"),
            RefusalReason::TooLate => (ErrorKind::Overloaded, "the deadline cannot be met"),
            RefusalReason::OverShare => (ErrorKind::Overloaded, "the account is over its share"),
            RefusalReason::Overloaded => (ErrorKind::Overloaded, "the fleet is over capacity"),
            RefusalReason::TooLong => (ErrorKind::TooLarge, "longer than the fleet can hold"),
        };
        let error = Error::not_run(kind, message);
        self.fail(error.retry_after(refusal.retry_after_ms), cx);
    }

    pub(crate) fn tell_admitted(&mut self, cx: &mut Context<'_>) {
        if self.admitted {
            return;
        }
        self.admitted = true;
        cx.budgets.earn(self.payer);
        if let Some((class, band)) = self.labels() {
            cx.observer.admitted(class, band);
        }
        let request = self.request;
        self.tell(CallerEvent::Admitted { request }, cx);
    }

    /// The policy sends it to an engine.
    pub fn on_send(&mut self, upstream: UpstreamId, priority: Priority, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Queued) {
            // Withdrawn or ended while the policy decided; the policy hears that nothing ran.
            cx.policy.on_end(self.request, Outcome::NotRun, cx.now_ms);
            return;
        }
        if !cx.fleet.takes_work(upstream) || self.recalls.are_left_at(upstream) {
            self.end_attempt(Outcome::NotRun, cx);
            self.avoid(upstream);
            self.back_off(cx);
            return;
        }
        self.generate(upstream, priority, None, cx);
    }

    /// Sends it to an engine, alone or with a group whose memory is reserved.
    pub(crate) fn generate(
        &mut self,
        upstream: UpstreamId,
        priority: Priority,
        group: Option<Group>,
        cx: &mut Context<'_>,
    ) {
        if self.expire(cx) {
            return;
        }
        debug_assert!(self.repeatable || self.verdict() == Verdict::NotRun);
        self.attempt = AttemptNo(self.attempt.0 + 1);
        let link = self.next_link();
        let call = self.generate_call(priority, group.as_ref(), cx);
        let first_seq = self.answer().map_or(0, |answer| answer.next_seq());
        let mut run = Run::new(upstream, link, first_seq, cx);
        run.generated = Some(link);
        run.group = group;
        self.phase = Phase::Running(run);
        self.sent_to = Some(upstream);
        let Some(call) = call else {
            let error = Error::not_run(ErrorKind::Internal, "the prompt is gone");
            self.fail(error, cx);
            return;
        };
        // From here on nobody can say that it didn't run until the engine says so.
        self.present = Verdict::MayHaveRun;
        cx.observer.attempt();
        let resent = std::mem::take(&mut self.recalls.resend);
        if self.attempt.0 > 1 && !resent {
            cx.observer.retry();
        }
        let call = Box::new(call);
        cx.out.push(Effect::Generate {
            upstream,
            link,
            call,
        });
    }

    fn generate_call(
        &self,
        priority: Priority,
        group: Option<&Group>,
        cx: &Context<'_>,
    ) -> Option<Generate> {
        let answer = self.answer()?;
        Some(Generate {
            request: self.request,
            attempt: self.attempt,
            owner: cx.owner,
            model: answer.model.clone(),
            prompt: answer.prompt.clone()?,
            max_tokens: answer.max_tokens,
            priority,
            hold_ms: cx.settings.hold_ms,
            deadline_ms: self.deadline_ms.since(cx.now_ms),
            continue_from: answer.tokens.clone(),
            group: group.map(|group| group.reservation),
            group_kv_tokens: group.map_or(Tokens::ZERO, Group::lent_tokens),
        })
    }

    /// A new configuration numbers accounts and classes anew; one that it no longer has keeps its
    /// old number until the request ends.
    pub fn renumber(&mut self, config: &FleetConfig) {
        let account = config.account(&self.account).map(|(id, _)| id);
        let Some(answer) = self.answer_mut() else {
            return;
        };
        let class = config.class(&answer.class).map(|(id, _)| id);
        let Some(job) = &mut answer.job else { return };
        job.account = account.unwrap_or(job.account);
        job.class = class.unwrap_or(job.class);
    }

    /// Waits a jittered moment, then goes to the policy again; ends at once where the deadline
    /// leaves no time for that.
    pub(crate) fn back_off(&mut self, cx: &mut Context<'_>) {
        if self.wait_for_try(self.deadline_ms, cx) {
            return;
        }
        let error = Error::not_run(ErrorKind::Unavailable, "no engine took it in time");
        self.fail(error.retry_after(cx.settings.retry_after_ms), cx);
    }

    /// Waits a jittered moment for the next try; `false` where it would come at `last_try_ms` or
    /// later.
    ///
    /// A request that waits for such a try has been given up already: its caller would hear
    /// nothing until the deadline, and then not when to come back.
    fn wait_for_try(&mut self, last_try_ms: MonoMs, cx: &mut Context<'_>) -> bool {
        let pause_ms = cx.settings.backoff(self.requeues);
        self.requeues += 1;
        let jitter = cx.rng.random_range(0.5..1.5);
        let until_ms = cx.now_ms + pause_ms.mul_f64(jitter);
        self.phase = Phase::Backoff { until_ms };
        until_ms < last_try_ms
    }

    pub(crate) fn avoid(&mut self, upstream: UpstreamId) {
        let Some(answer) = self.answer_mut() else {
            return;
        };
        if let Some(job) = &mut answer.job
            && !job.avoid.contains(&upstream)
        {
            job.avoid.push(upstream);
        }
    }

    /// Tells the policy how the attempt ended; the policy knows nothing of an adopted request.
    pub(crate) fn end_attempt(&self, outcome: Outcome, cx: &mut Context<'_>) {
        if !self.is_adopted() {
            cx.policy.on_end(self.request, outcome, cx.now_ms);
        }
    }
}
