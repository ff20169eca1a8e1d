//! Calls to plain services: one exchange with one replica, repeated at another replica if the call
//! allows it.
//!
//! Invariants: a call that may not be repeated goes to a second replica only if the first one's
//! connection was refused before anything was sent.

use super::{Context, Effect, FinalEvent, LinkNo, LiveRequest, Phase, Work};
use crate::call::CallerEvent;
use bluebell_base::prelude::*;
use bluebell_peers::Settlement;
use bluebell_upstreams::ServiceAnswer;

/// The divisor of the remaining time that limits the first try of a repeatable call, so that a
/// silent replica leaves time for another.
const FIRST_TRY_TIME_DIVISOR: u64 = 2;

impl LiveRequest {
    /// Sends the call to a replica.
    pub(crate) fn dispatch(&mut self, cx: &mut Context<'_>) {
        if self.expire(cx) {
            return;
        }
        self.send_admitted(cx);
        let left_ms = self.deadline_ms.since(cx.now_ms);
        let (repeatable, first) = (self.repeatable, self.attempt.0 == 0);
        let Work::Exchange(exchange) = &mut self.work else {
            return;
        };
        let upstream = cx.fleet.route(&exchange.service, &exchange.avoid);
        let Some(upstream) = upstream else {
            let error =
                Error::not_run(ErrorKind::Unavailable, "no replica of the service is there");
            self.fail(error.retry_after(cx.settings.retry_after_ms), cx);
            return;
        };
        let mut call = exchange.call.clone();
        call.timeout_ms = match repeatable && first {
            true => SpanMs(left_ms.0.div_ceil(FIRST_TRY_TIME_DIVISOR)),
            false => left_ms,
        };
        self.attempt = AttemptNo(self.attempt.0 + 1);
        self.current_verdict = Verdict::MayHaveRun;
        self.phase = Phase::Exchanging { upstream };
        self.last_upstream = Some(upstream);
        let link = self.next_link();
        cx.observer.attempt();
        if !first {
            cx.observer.retry();
        }
        cx.out.push(Effect::Exchange {
            upstream,
            link,
            call,
        });
    }

    /// Handles the replica's answer; `None` if the port dropped the call.
    pub fn on_exchanged(
        &mut self,
        link: LinkNo,
        answer: Option<Result<ServiceAnswer, Error>>,
        cx: &mut Context<'_>,
    ) {
        let Phase::Exchanging { upstream } = self.phase else {
            cx.observer.dropped_event();
            return;
        };
        if link != self.link {
            cx.observer.dropped_event();
            return;
        }
        match answer {
            Some(Ok(answer)) => self.on_service_answer(answer, cx),
            Some(Err(error)) => self.on_exchange_failed(upstream, error, cx),
            None => {
                let error = Error::may_have_run(ErrorKind::Upstream, "the answer is lost");
                self.on_exchange_failed(upstream, error, cx);
            }
        }
    }

    fn on_service_answer(&mut self, answer: ServiceAnswer, cx: &mut Context<'_>) {
        self.current_verdict = Verdict::Ran;
        self.settle(Settlement::Ran, cx);
        let event = CallerEvent::Service {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        };
        self.send_to_reader(event, cx);
        self.close(FinalEvent::Service, cx);
    }

    fn on_exchange_failed(&mut self, upstream: UpstreamId, error: Error, cx: &mut Context<'_>) {
        if error.verdict == Verdict::NotRun {
            self.current_verdict = Verdict::NotRun;
        }
        if let Some(name) = cx.fleet.name(upstream) {
            cx.observer.upstream_refused(name, &error);
        }
        let may_repeat = self.repeatable || self.verdict() == Verdict::NotRun;
        self.earlier_verdict = self.verdict();
        self.current_verdict = Verdict::NotRun;
        let Work::Exchange(exchange) = &mut self.work else {
            return;
        };
        exchange.avoid.push(upstream);
        let next = cx.fleet.route(&exchange.service, &exchange.avoid);
        if !may_repeat {
            // A retry hint would invite the caller to repeat a call that must not be repeated.
            self.fail(error, cx);
            return;
        }
        let after_ms = error.retry_after_ms.unwrap_or(cx.settings.retry_after_ms);
        if next.is_none() || self.attempt.0 >= cx.settings.attempts {
            self.fail(error.retry_after(after_ms), cx);
            return;
        }
        if !cx.budgets.take(self.payer) {
            cx.observer.retry_denied();
            self.fail(error.retry_after(after_ms), cx);
            return;
        }
        self.dispatch(cx);
    }
}
