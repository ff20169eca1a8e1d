//! Who reads: hang-ups, and reading on from an event.
//!
//! Invariants: one reader at a time; a reader that another one replaces gets its own last event.

use super::{Context, Life, Mode, Phase, Reader};
use crate::call::{CallerEvent, CallerId, CallerSink};
use crate::cursor::{Cursor, Signer};
use bluebell_base::prelude::*;

impl Life {
    /// Its caller hung up: it goes on for a grace, in which the caller may read on.
    pub fn detach(&mut self, cx: &Context<'_>) {
        let until_ms = cx.now_ms + cx.settings.hang_up_grace_ms;
        self.reader = Reader::Detached { until_ms };
    }

    /// A caller reads on from event `from`.
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
        self.tell(CallerEvent::Admitted { request }, cx);
        let Some(answer) = self.answer_mut() else {
            return;
        };
        if from < answer.base {
            // An adopted answer is known here only from a later event on: the engine has it all.
            answer.base = from;
            answer.tokens.clear();
            self.resume(cx);
            return;
        }
        self.replay(from, cx);
        let resting = matches!(&self.phase, Phase::Running(run) if run.mode == Mode::Resting);
        if resting {
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
        self.tell(CallerEvent::Failed { request, error }, cx);
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
            self.tell(event, cx);
        }
    }

    fn upstream_name(&self, cx: &Context<'_>) -> Option<UpstreamName> {
        self.sent_to.and_then(|id| cx.fleet.name(id)).cloned()
    }

    /// An engine is gone, or said to be.
    pub fn on_engine_gone(&mut self, upstream: UpstreamId, cx: &mut Context<'_>) {
        match &mut self.phase {
            Phase::Running(run) if run.upstream == upstream => {
                run.open = false;
                self.on_fruitless(false, cx);
            }
            Phase::Recalling { upstream: from, .. } if *from == upstream => {
                self.on_recall_unanswered(cx);
            }
            Phase::Reserving(group) if group.names(upstream) => self.group_failed(cx),
            _ => (),
        }
    }
}

/// The token events of `texts`, the first of them at position `first`.
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
    fn names(&self, upstream: UpstreamId) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.part.upstream == upstream)
    }
}
