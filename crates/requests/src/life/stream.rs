//! The events of a stream: what reaches the reader, and what is dropped.
//!
//! Invariants: a token reaches the reader only as the next one in order; the answer is whole only
//! where the engine's count equals what was delivered.

use super::{Context, Life, LinkNo, Phase};
use crate::call::CallerEvent;
use crate::cursor::Cursor;
use bluebell_base::prelude::*;
use bluebell_upstreams::{Event, EventBody, FinishReason, LoadReport};

impl Life {
    /// An event came on `link`.
    pub fn on_event(&mut self, link: LinkNo, event: Event, cx: &mut Context<'_>) {
        let named = event.request == self.request && event.attempt == self.attempt;
        let Phase::Running(run) = &mut self.phase else {
            cx.observer.dropped_event();
            return;
        };
        // A late or crossed answer: it belongs to another request, or to an attempt that was given
        // up. It shows by the identity that each event carries, or by coming on a link that was
        // opened for an earlier attempt, whatever it says of itself; it never reaches the reader.
        if !named || link < run.first_link {
            cx.observer.dropped_event();
            return;
        }
        let current = link == run.stream;
        if let EventBody::Failed { error } = event.body {
            // An earlier link breaking says nothing of the present one.
            if current {
                self.on_break(link, error, cx);
            } else {
                cx.observer.dropped_event();
            }
            return;
        }
        run.heard_ms = cx.now_ms;
        run.heard |= current;
        match event.body {
            EventBody::Accepted {
                prompt_tokens,
                cached_tokens,
                load,
            } => {
                self.tell_accepted(link, cached_tokens, &load, cx);
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

    /// Tells the policy of the engine's load.
    ///
    /// Only the first acceptance, on the link of the `generate` call, is told as one: its load is
    /// what the work found ahead of itself. One that a resume brings, or that comes behind a
    /// token, is old by then, and recalling by it would throw work away that has begun.
    fn tell_accepted(
        &self,
        link: LinkNo,
        cached_tokens: Tokens,
        load: &LoadReport,
        cx: &mut Context<'_>,
    ) {
        let Phase::Running(run) = &self.phase else {
            return;
        };
        let first = !run.accepted && run.generated == Some(link);
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
            // It will never be sent again, so nobody needs the prompt any more.
            answer.prompt = None;
        }
    }

    fn on_token(&mut self, link: LinkNo, seq: EventSeq, text: Arc<str>, cx: &mut Context<'_>) {
        let Some(next) = self.answer().map(|answer| answer.next_seq()) else {
            return;
        };
        if seq.0 < next {
            // Delivered already: the engine sent it twice, or an older link catches up.
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
        self.present = Verdict::Ran;
        self.observe_token(cx);
        let quiet_ms = match self.is_adopted() {
            true => cx.settings.adopted_stall_ms(),
            false => cx.settings.stall_ms,
        };
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.accepted = true;
        run.tries = 0;
        run.breaks = 0;
        run.quiet_ms = quiet_ms;
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
        self.tell(CallerEvent::Token { seq, text, cursor }, cx);
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
        // Each attempt has a first token of its own to the policy, which learns engine speeds.
        if self.present_first_token() {
            cx.policy.on_first_token(self.request, cx.now_ms);
        }
    }

    /// Whether the token being delivered is the first of the present attempt.
    fn present_first_token(&self) -> bool {
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
            // Truncated: events before the end are missing, so the answer isn't whole yet.
            cx.observer.dropped_event();
            self.on_gap(link, cx);
            return;
        }
        self.present = Verdict::Ran;
        if count < next {
            let error = Error::ran(ErrorKind::Upstream, "the engine's count of events is wrong");
            self.fail(error, cx);
            return;
        }
        self.finish(reason, cx);
    }
}
