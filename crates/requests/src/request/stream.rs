//! The events of a stream: delivers them to the reader or drops them.
//!
//! Invariants: a token reaches the reader only if it is the next one in order. An answer is
//! complete only if the engine's count equals the number of tokens delivered.

use super::{Context, LinkNo, LiveRequest, Phase};
use crate::call::CallerEvent;
use crate::cursor::Cursor;
use bluebell_base::prelude::*;
use bluebell_upstreams::{Event, EventBody, FinishReason, LoadReport};

impl LiveRequest {
    /// Handles an event that arrived on `link`.
    pub fn on_event(&mut self, link: LinkNo, event: Event, cx: &mut Context<'_>) {
        let matches = event.request == self.request && event.attempt == self.attempt;
        let Phase::Running(run) = &mut self.phase else {
            cx.observer.dropped_event();
            return;
        };
        // A late or crossed event belongs to another request or to an attempt that was given up. It
        // is recognized by the identity that it carries, or because its link was opened for an
        // earlier attempt, whatever identity it carries. It never reaches the reader.
        if !matches || link < run.first_link {
            cx.observer.dropped_event();
            return;
        }
        let current = link == run.stream_link;
        if let EventBody::Failed { error } = event.body {
            // The failure of an earlier link says nothing about the current one.
            if current {
                self.on_break(link, error, cx);
            } else {
                cx.observer.dropped_event();
            }
            return;
        }
        run.last_received_ms = cx.now_ms;
        run.received |= current;
        match event.body {
            EventBody::Accepted {
                prompt_tokens,
                cached_tokens,
                load,
            } => {
                self.report_acceptance(link, cached_tokens, &load, cx);
                self.on_accepted(prompt_tokens, cx);
            }
            EventBody::Token { seq, text } => self.on_token(link, seq, text, cx),
            EventBody::Finished {
                count,
                reason,
                load,
            } => self.on_finished(link, count, reason, &load, cx),
            EventBody::Failed { .. } => (),
        }
    }

    /// Reports the engine's load to the policy.
    ///
    /// Only the first acceptance, on the link of the `generate` call, is reported as one: its load
    /// is the work ahead of this request. An acceptance after a resume or after a token is out of
    /// date by then, and a recall based on it would discard work that has begun.
    fn report_acceptance(
        &self,
        link: LinkNo,
        cached_tokens: Tokens,
        load: &LoadReport,
        cx: &mut Context<'_>,
    ) {
        let Phase::Running(run) = &self.phase else {
            return;
        };
        let first = !run.accepted && run.generate_link == Some(link);
        if first && !self.is_adopted() {
            cx.policy
                .on_accepted(self.request, cached_tokens, load, cx.now_ms);
        } else {
            cx.policy.on_load(run.upstream, load, cx.now_ms);
        }
    }

    fn on_accepted(&mut self, prompt_tokens: Tokens, cx: &mut Context<'_>) {
        let repeatable = self.repeatable;
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        if run.accepted {
            return;
        }
        run.accepted = true;
        let Some(answer) = self.answer_mut() else {
            return;
        };
        answer.prompt_tokens = Some(prompt_tokens);
        cx.lengths
            .learn(&answer.model, answer.prompt_bytes, prompt_tokens);
        if !repeatable {
            // The request will never be sent again, so the prompt is no longer needed.
            answer.prompt = None;
        }
    }

    fn on_token(&mut self, link: LinkNo, seq: EventSeq, text: Arc<str>, cx: &mut Context<'_>) {
        let Some(next) = self.answer().map(|answer| answer.next_seq()) else {
            return;
        };
        if seq.0 < next {
            // Already delivered: the engine sent it twice, or an older link is catching up.
            cx.observer.dropped_event();
            return;
        }
        if seq.0 > next {
            cx.observer.dropped_event();
            self.on_gap(link, cx);
            return;
        }
        self.deliver(seq, text, cx);
    }

    fn deliver(&mut self, seq: EventSeq, text: Arc<str>, cx: &mut Context<'_>) {
        self.current_verdict = Verdict::Ran;
        self.observe_token(cx);
        let silence_limit_ms = match self.is_adopted() {
            true => cx.settings.adopted_stall_ms(),
            false => cx.settings.stall_ms,
        };
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.accepted = true;
        run.failed_tries = 0;
        run.idle_breaks = 0;
        run.silence_limit_ms = silence_limit_ms;
        let upstream = run.upstream;
        let Some(name) = cx.fleet.name(upstream) else {
            return;
        };
        let cursor = cx.signer.sign(&Cursor {
            request: self.request,
            attempt: self.attempt,
            upstream: name.clone(),
            seq,
            account: self.account.clone(),
        });
        let Some(answer) = self.answer_mut() else {
            return;
        };
        answer.tokens.push(text.clone());
        answer.last_token_ms = Some(cx.now_ms);
        self.send_to_reader(CallerEvent::Token { seq, text, cursor }, cx);
    }

    fn observe_token(&self, cx: &mut Context<'_>) {
        let (Some((class, band)), Some(answer)) = (self.labels(), self.answer()) else {
            return;
        };
        if self.is_adopted() {
            return;
        }
        match answer.last_token_ms {
            None => {
                let after_ms = cx.now_ms.since(self.arrived_ms);
                cx.observer.first_token(class, band, after_ms);
            }
            Some(last_ms) => {
                let gap_ms = cx.now_ms.since(last_ms);
                cx.observer.between_tokens(class, band, gap_ms);
            }
        }
        // The policy learns engine speeds and counts a first token for each attempt.
        if self.is_first_token_of_attempt() {
            cx.policy.on_first_token(self.request, cx.now_ms);
        }
    }

    /// Returns true if the token being delivered is the first of the current attempt.
    fn is_first_token_of_attempt(&self) -> bool {
        let Phase::Running(run) = &self.phase else {
            return false;
        };
        let next = self.answer().map_or(0, |answer| answer.next_seq());
        next == run.first_seq
    }

    fn on_finished(
        &mut self,
        link: LinkNo,
        count: u64,
        reason: FinishReason,
        load: &LoadReport,
        cx: &mut Context<'_>,
    ) {
        let Phase::Running(run) = &self.phase else {
            return;
        };
        cx.policy.on_load(run.upstream, load, cx.now_ms);
        let next = self.answer().map_or(0, |answer| answer.next_seq());
        if count > next {
            // Truncated: events before the end are missing, so the answer is not complete yet.
            cx.observer.dropped_event();
            self.on_gap(link, cx);
            return;
        }
        self.current_verdict = Verdict::Ran;
        if count < next {
            let error = Error::ran(ErrorKind::Upstream, "the engine's count of events is wrong");
            self.fail(error, cx);
            return;
        }
        self.finish(reason, cx);
    }
}
