//! The reader: hang-ups, and callers that resume reading from an event.
//!
//! Invariants: a request has at most one reader. A reader that is replaced by another receives its
//! own last event.

use super::{Context, LiveRequest, Mode, Phase, Reader};
use crate::call::{CallerEvent, CallerId, CallerSink};
use crate::cursor::{Cursor, Signer};
use bluebell_base::prelude::*;

impl LiveRequest {
    /// Handles a hang-up: the request continues for a grace period in which the caller may resume
    /// reading.
    pub fn detach(&mut self, cx: &Context<'_>) {
        let until_ms = cx.now_ms + cx.settings.hang_up_grace_ms;
        self.reader = Reader::Detached { until_ms };
    }

    /// Attaches a caller that resumes reading from event `from`.
    pub fn attach(
        &mut self,
        caller: CallerId,
        sink: Box<dyn CallerSink>,
        from: u64,
        cx: &mut Context<'_>,
    ) {
        self.replace_reader(cx);
        self.reader = Reader::Attached { caller, sink, from };
        let request = self.request;
        self.send_to_reader(CallerEvent::Admitted { request }, cx);
        let Some(answer) = self.answer_mut() else {
            return;
        };
        if from < answer.base {
            // An adopted answer is known here only from a later event on; the engine has all of it.
            answer.base = from;
            answer.tokens.clear();
            self.resume(cx);
            return;
        }
        self.replay(from, cx);
        let awaiting_reader =
            matches!(&self.phase, Phase::Running(run) if run.mode == Mode::AwaitingReader);
        if awaiting_reader {
            self.resume(cx);
        }
    }

    fn replace_reader(&mut self, cx: &mut Context<'_>) {
        let request = Some(self.request);
        let error = Error::new(
            self.verdict().max(Verdict::MayHaveRun),
            ErrorKind::Cancelled,
            "another connection reads the answer on",
        );
        self.send_to_reader(CallerEvent::Failed { request, error }, cx);
    }

    fn replay(&mut self, from: u64, cx: &mut Context<'_>) {
        let Some(upstream) = self.upstream_name(cx) else {
            return;
        };
        let Some(answer) = self.answer() else {
            return;
        };
        let skipped = from.saturating_sub(answer.base) as usize;
        let (request, attempt, account) = (self.request, self.attempt, self.account.clone());
        let template = Cursor {
            request,
            attempt,
            upstream,
            seq: EventSeq(0),
            account,
        };
        let base = answer.base;
        let texts: Vec<Arc<str>> = answer.tokens.iter().skip(skipped).cloned().collect();
        let first = base + skipped as u64;
        for event in token_events(&template, first, texts, cx.signer) {
            self.send_to_reader(event, cx);
        }
    }

    fn upstream_name(&self, cx: &Context<'_>) -> Option<UpstreamName> {
        self.last_upstream.and_then(|id| cx.fleet.name(id)).cloned()
    }

    /// Handles an engine that is gone, or reported as gone.
    pub fn on_engine_gone(&mut self, upstream: UpstreamId, cx: &mut Context<'_>) {
        match &mut self.phase {
            Phase::Running(run) if run.upstream == upstream => {
                run.is_open = false;
                self.on_failed_try(false, cx);
            }
            Phase::Recalling { upstream: from, .. } if *from == upstream => {
                self.on_recall_unanswered(cx);
            }
            Phase::Reserving(group) if group.contains(upstream) => self.group_failed(cx),
            _ => (),
        }
    }
}

/// Returns the token events of `texts`, the first of them at position `first`.
pub fn token_events(
    template: &Cursor,
    first: u64,
    texts: Vec<Arc<str>>,
    signer: &Signer,
) -> impl Iterator<Item = CallerEvent> {
    let numbered = (first..).zip(texts);
    numbered.map(move |(seq, text)| {
        let seq = EventSeq(seq);
        let cursor = signer.sign(&Cursor {
            seq,
            ..template.clone()
        });
        CallerEvent::Token { seq, text, cursor }
    })
}

impl super::Group {
    fn contains(&self, upstream: UpstreamId) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.part.upstream == upstream)
    }
}
