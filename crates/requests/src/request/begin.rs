//! From arrival to the first upstream: the claim, the policy's admission and its decision.
//!
//! Invariants: a request that may not be repeated and has a key is not sent anywhere that could run
//! it before its claim is granted. A request that may be repeated makes no claim.

use super::{Context, Effect, Group, LiveRequest, Phase, Run, Work};
use crate::call::CallerEvent;
use crate::observe::RefusedBy;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_peers::{ClaimAnswer, ClaimState};
use bluebell_policy::{Outcome, Refusal, RefusalReason};
use bluebell_upstreams::{Generate, Priority};
use rand::Rng;

impl LiveRequest {
    /// Starts a request that has arrived.
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

    /// Handles the answer to the claim; `None` if the claims dropped it without one.
    pub fn on_claim(&mut self, answer: Option<Result<ClaimAnswer, Error>>, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Claiming { .. }) {
            cx.observer.dropped_event();
            return;
        }
        match answer {
            Some(Ok(ClaimAnswer::Granted)) => self.start(cx),
            Some(Ok(ClaimAnswer::Held { by, state, same })) => {
                self.on_key_held(by, state, same, cx);
            }
            Some(Err(error)) => self.claim_failed(&error.message, error.retry_after_ms, cx),
            None => self.claim_failed("the claims are stopping", None, cx),
        }
    }

    /// Fails a request whose key could not be claimed. It must not run, and its caller is informed
    /// at once.
    pub fn claim_failed(&mut self, why: &str, after_ms: Option<SpanMs>, cx: &mut Context<'_>) {
        cx.observer.refused(RefusedBy::ClaimFailed);
        let message = format!("the idempotency key could not be claimed: {why}");
        let after_ms = after_ms.unwrap_or(cx.settings.retry_after_ms);
        let error = Error::not_run(ErrorKind::Unavailable, message);
        self.fail(error.retry_after(after_ms), cx);
    }

    fn on_key_held(&mut self, by: RequestId, state: ClaimState, same: bool, cx: &mut Context<'_>) {
        // The claim was granted, but its answer was lost and the claims sent it again: this request
        // holds the key.
        if by == self.request && state == ClaimState::Pending {
            self.start(cx);
            return;
        }
        cx.observer.refused(RefusedBy::KeyHeld);
        // Another request's claim must not be settled by this one.
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

    /// Starts a request whose claim, if it needs one, is granted.
    pub(crate) fn start(&mut self, cx: &mut Context<'_>) {
        match self.work {
            Work::Answer(_) => self.admit(cx),
            Work::Exchange(_) => self.dispatch(cx),
        }
    }

    /// Submits the request to the policy, for the first time or again.
    pub(crate) fn admit(&mut self, cx: &mut Context<'_>) {
        let Some(job) = self.answer().and_then(|answer| answer.job.clone()) else {
            return;
        };
        match cx.policy.admit(job, cx.now_ms) {
            Ok(()) => {
                self.phase = Phase::Queued;
                self.send_admitted(cx);
            }
            Err(refusal) => self.back_off_or_refuse(refusal, cx),
        }
    }

    /// Waits for the cause of the refusal to pass if a later try may still succeed; otherwise fails
    /// at once.
    ///
    /// The policy does not keep what it refuses, so there is nothing to withdraw.
    fn back_off_or_refuse(&mut self, refusal: Refusal, cx: &mut Context<'_>) {
        let latest_try_ms = self.latest_try_ms();
        if !self.may_wait_for(refusal.reason) || !self.schedule_retry(latest_try_ms, cx) {
            self.clear_dispatch(cx);
            self.refuse(refusal, cx);
        }
    }

    /// Returns the time from which a try to place refused work is too late: the deadline or, before
    /// the first token, the time at which that token is due.
    fn latest_try_ms(&self) -> MonoMs {
        let not_begun = self.answer().filter(|answer| answer.next_seq() == 0);
        let job = not_begun.and_then(|answer| answer.job.as_ref());
        job.map_or(self.deadline_ms, |job| {
            self.deadline_ms.min(job.first_token_due_ms)
        })
    }

    /// Returns true if work that has already begun and lost its engine waits for the cause of the
    /// refusal to pass.
    ///
    /// Its caller has part of an answer, or cannot be told that nothing ran. The fleet may be short
    /// of capacity only briefly after an engine crashed, so failing at once would lose work that a
    /// short wait may save. Work that has not run is refused at once, so that its caller can
    /// choose.
    fn may_wait_for(&self, reason: RefusalReason) -> bool {
        let is_temporary = match reason {
            RefusalReason::NoEngine | RefusalReason::Overloaded | RefusalReason::OverShare => true,
            RefusalReason::TooLate | RefusalReason::TooLong => false,
        };
        is_temporary && self.verdict() != Verdict::NotRun
    }

    /// Handles the policy's refusal of a request that it had admitted.
    pub fn on_refuse(&mut self, refusal: Refusal, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Queued) {
            return;
        }
        self.back_off_or_refuse(refusal, cx);
    }

    /// Marks the request as held by neither the policy nor an upstream, so that its end releases
    /// nothing there.
    pub(crate) fn clear_dispatch(&mut self, cx: &Context<'_>) {
        self.phase = Phase::Backoff {
            until_ms: cx.now_ms,
        };
    }

    /// Fails the request with the policy's refusal.
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

    pub(crate) fn send_admitted(&mut self, cx: &mut Context<'_>) {
        if self.admitted {
            return;
        }
        self.admitted = true;
        cx.budgets.earn(self.payer);
        if let Some((class, band)) = self.labels() {
            cx.observer.admitted(class, band);
        }
        let request = self.request;
        self.send_to_reader(CallerEvent::Admitted { request }, cx);
    }

    /// Handles the policy's decision to send the request to an engine.
    pub fn on_send(&mut self, upstream: UpstreamId, priority: Priority, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Queued) {
            // The request was withdrawn or ended while the policy decided. The policy must learn
            // that nothing ran.
            cx.policy.on_end(self.request, Outcome::NotRun, cx.now_ms);
            return;
        }
        if !cx.fleet.accepts_work(upstream) || self.recalls.may_remain_on(upstream) {
            self.end_attempt(Outcome::NotRun, cx);
            self.avoid(upstream);
            self.back_off(cx);
            return;
        }
        self.generate(upstream, priority, None, cx);
    }

    /// Sends the request to an engine, alone or with a group whose memory is reserved.
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
        run.generate_link = Some(link);
        run.group = group;
        self.phase = Phase::Running(run);
        self.last_upstream = Some(upstream);
        let Some(call) = call else {
            let error = Error::not_run(ErrorKind::Internal, "the prompt is gone");
            self.fail(error, cx);
            return;
        };
        // From here on the request may have run until the engine says otherwise.
        self.current_verdict = Verdict::MayHaveRun;
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
            group_kv_tokens: group.map_or(Tokens::ZERO, Group::member_tokens),
        })
    }

    /// Updates the ids of the account and class, which change with each configuration. An account
    /// or class that the configuration no longer has keeps its old id until the request ends.
    pub fn update_config_ids(&mut self, config: &FleetConfig) {
        let account = config.account(&self.account).map(|(id, _)| id);
        let Some(answer) = self.answer_mut() else {
            return;
        };
        let class = config.class(&answer.class).map(|(id, _)| id);
        let Some(job) = &mut answer.job else { return };
        job.account = account.unwrap_or(job.account);
        job.class = class.unwrap_or(job.class);
    }

    /// Schedules another submission to the policy after a jittered pause; fails at once if the
    /// deadline leaves no time for it.
    pub(crate) fn back_off(&mut self, cx: &mut Context<'_>) {
        if self.schedule_retry(self.deadline_ms, cx) {
            return;
        }
        let error = Error::not_run(ErrorKind::Unavailable, "no engine took it in time");
        self.fail(error.retry_after(cx.settings.retry_after_ms), cx);
    }

    /// Schedules the next try after a jittered pause. Returns `false` if it would come at
    /// `latest_try_ms` or later.
    ///
    /// Waiting for such a try is pointless: the caller would receive nothing until the deadline,
    /// and then no time to come back.
    fn schedule_retry(&mut self, latest_try_ms: MonoMs, cx: &mut Context<'_>) -> bool {
        let pause_ms = cx.settings.backoff(self.requeues);
        self.requeues += 1;
        let jitter = cx.rng.random_range(0.5..1.5);
        let until_ms = cx.now_ms + pause_ms.mul_f64(jitter);
        self.phase = Phase::Backoff { until_ms };
        until_ms < latest_try_ms
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

    /// Reports the outcome of the attempt to the policy, which does not know adopted requests.
    pub(crate) fn end_attempt(&self, outcome: Outcome, cx: &mut Context<'_>) {
        if !self.is_adopted() {
            cx.policy.on_end(self.request, outcome, cx.now_ms);
        }
    }
}
