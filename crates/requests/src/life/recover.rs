//! Broken, silent and truncated streams: resume, look up, go elsewhere, give up.
//!
//! Invariants: what may not be repeated is sent elsewhere only after the engine itself said that
//! nothing ran; everything else ends in a bounded number of tries.

use super::{Context, Effect, Life, LinkNo, Mode, Phase, Reader};
use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use bluebell_policy::Outcome;
use bluebell_upstreams::{FinishReason, Resume, StreamState};

impl Life {
    /// The present link broke or the engine ended the stream without an answer.
    pub(crate) fn on_break(&mut self, link: LinkNo, error: Error, cx: &mut Context<'_>) {
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.open = false;
        // Only the refusal of the `generate` call itself, before any sign of work, proves that
        // nothing ran. A refused connection on a later `resume` says `NotRun` of the resume only,
        // and a `NotRun` after `Accepted` contradicts the engine's own word.
        let refused = run.generated == Some(link) && !run.accepted;
        if refused && error.verdict == Verdict::NotRun {
            self.on_refused(error, cx);
            return;
        }
        if run.heard {
            // The engine had it a moment ago, and silence limits break links in a long prefill:
            // whether this is a fruitless try is for the engine to say.
            run.heard = false;
            self.ask_unless_resting(cx);
            return;
        }
        // The engine answered that it has no such stream: asking for it again won't help.
        let unknown = run.generated != Some(link) && error.kind == ErrorKind::NotFound;
        self.on_fruitless(unknown, cx);
    }

    /// The engine refused the work before any of it was done.
    fn on_refused(&mut self, error: Error, cx: &mut Context<'_>) {
        let Some(upstream) = self.upstream() else {
            return;
        };
        self.present = Verdict::NotRun;
        if let Some(name) = cx.fleet.name(upstream) {
            cx.observer.upstream_refused(name, &error);
        }
        self.release_group(cx);
        self.end_attempt(Outcome::NotRun, cx);
        self.avoid(upstream);
        let hopeless = matches!(error.kind, ErrorKind::Invalid | ErrorKind::TooLarge);
        if hopeless {
            self.leave_all(cx);
            self.fail(error, cx);
            return;
        }
        self.retry_elsewhere(error, cx);
    }

    /// Goes back to the policy where the budget allows it; ends with `error` where it does not.
    fn retry_elsewhere(&mut self, error: Error, cx: &mut Context<'_>) {
        self.leave_all(cx);
        if let Some(error) = self.quarantined(cx) {
            self.fail(error, cx);
            return;
        }
        let tried = self.attempt.0.saturating_sub(self.recalls.count);
        let spent = tried >= cx.settings.attempts;
        if spent || !cx.budgets.take(self.payer) {
            cx.observer.retry_denied();
            let after_ms = error.retry_after_ms.unwrap_or(cx.settings.retry_after_ms);
            self.fail(error.retry_after(after_ms), cx);
            return;
        }
        self.renew_target(cx);
        self.admit(cx);
    }

    /// The class's target counts from arrival; a new attempt has as long for its first token, or
    /// the policy would take it for hopeless.
    fn renew_target(&mut self, cx: &Context<'_>) {
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

    /// A try brought nothing: tries again after a pause, or takes the next way.
    pub(crate) fn on_fruitless(&mut self, unknown: bool, cx: &mut Context<'_>) {
        if self.rest() {
            return;
        }
        let repeatable = self.repeatable;
        let patient = !repeatable && !self.is_adopted();
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.tries += 1;
        let gone = !cx.fleet.is_there(run.upstream);
        let limit = match patient {
            true => cx.settings.lookup_tries,
            false => cx.settings.resume_tries,
        };
        let until_ms = cx.now_ms + cx.settings.backoff(run.tries - 1);
        if unknown || gone {
            self.on_engine_lost(cx);
        }
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        if repeatable && (unknown || gone || run.tries > limit) {
            self.abandon(cx);
        } else if run.tries > limit {
            self.give_up(cx);
        } else if unknown {
            run.mode = Mode::PausingToAsk { until_ms };
        } else {
            run.mode = Mode::Pausing { until_ms };
        }
    }

    fn ask_unless_resting(&mut self, cx: &mut Context<'_>) {
        if !self.rest() {
            self.ask(cx);
        }
    }

    /// Leaves a silent or broken stream alone while nobody reads it; `false` where somebody does.
    ///
    /// The caller may have read on through another node, which owns the stream now: it shows here
    /// as silence or as a broken link. A resume would take the stream back, and the cancel at the
    /// end of the grace would cut the caller there. Left alone, the other node stays the owner, and
    /// the engine refuses this node's cancel.
    pub(crate) fn rest(&mut self) -> bool {
        if matches!(self.reader, Reader::Attached { .. }) {
            return false;
        }
        if let Phase::Running(run) = &mut self.phase {
            run.mode = Mode::Resting;
        }
        true
    }

    /// Gives the attempt up and starts the work elsewhere, behind the tokens already delivered.
    fn abandon(&mut self, cx: &mut Context<'_>) {
        if self.finish_if_full(cx) {
            return;
        }
        let Some(upstream) = self.upstream() else {
            return;
        };
        self.earlier = self.verdict();
        self.present = Verdict::NotRun;
        // The engine may only be unreachable from here and still hold the stream's memory.
        cx.out.push(Effect::Cancel {
            upstream,
            attempt: self.attempt,
            tell: false,
            settle: None,
        });
        self.release_group(cx);
        self.end_attempt(Outcome::Failed, cx);
        self.avoid(upstream);
        let error = Error::may_have_run(ErrorKind::Upstream, "the engine's answer is lost");
        self.retry_elsewhere(error, cx);
    }

    /// Events are missing before the one that came on `link`.
    pub(crate) fn on_gap(&mut self, link: LinkNo, cx: &mut Context<'_>) {
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        // A gap on an older link is being filled by the present one already.
        if link != run.stream || run.mode != Mode::Reading {
            return;
        }
        self.on_fruitless(false, cx);
    }

    /// Reads the stream on from the first event not yet delivered.
    pub(crate) fn resume(&mut self, cx: &mut Context<'_>) {
        let link = self.next_link();
        let from = EventSeq(self.answer().map_or(0, |answer| answer.next_seq()));
        let (request, attempt) = (self.request, self.attempt);
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.mode = Mode::Reading;
        run.heard_ms = cx.now_ms;
        run.stream = link;
        run.open = true;
        run.heard = false;
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

    /// Asks the engine what it knows.
    ///
    /// The stream's own link goes on: a token that comes on it meanwhile is delivered as ever.
    pub(crate) fn ask(&mut self, cx: &mut Context<'_>) {
        let link = self.next_link();
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        let until_ms = cx.now_ms + cx.settings.answer_wait_ms;
        run.mode = Mode::Asking { link, until_ms };
        let upstream = run.upstream;
        cx.out.push(Effect::Lookup { upstream, link });
    }

    /// The engine's answer to a lookup; `None` where the port dropped it.
    pub fn on_lookup(
        &mut self,
        link: LinkNo,
        answer: Option<Result<StreamState, Error>>,
        cx: &mut Context<'_>,
    ) {
        if !self.awaits(link) {
            cx.observer.dropped_event();
            return;
        }
        match answer {
            Some(Ok(state)) => self.on_state(state, cx),
            Some(Err(_)) | None => self.on_no_state(cx),
        }
    }

    /// A lookup brought no answer.
    pub(crate) fn on_no_state(&mut self, cx: &mut Context<'_>) {
        self.on_fruitless(false, cx);
    }

    fn on_state(&mut self, state: StreamState, cx: &mut Context<'_>) {
        let known = match state {
            StreamState::Running { attempt, events } => Some((attempt, events, false)),
            StreamState::Finished { attempt, events } => Some((attempt, events, true)),
            StreamState::NotRun | StreamState::Unknown | StreamState::Ended => None,
        };
        match known {
            Some((attempt, events, whole)) if attempt == self.attempt => {
                self.on_known(events, whole, cx);
            }
            _ if state == StreamState::NotRun && self.sole_attempt_there() => {
                let error = Error::not_run(ErrorKind::Upstream, "the engine dropped the request");
                self.on_refused(error, cx);
            }
            _ => self.on_lost(cx),
        }
    }

    /// The engine has the stream: whatever is new there is read.
    fn on_known(&mut self, events: u64, whole: bool, cx: &mut Context<'_>) {
        let next = self.answer().map_or(0, |answer| answer.next_seq());
        let news = whole || events > next;
        let adopted = self.is_adopted();
        let max_ms = cx.settings.stall_max_ms;
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        run.accepted = true;
        if news {
            // The link is broken or mute though there is something to read. Each such resume
            // counts as a try until a token comes, or a link that swallows all events would be
            // opened again and again until the deadline.
            self.on_fruitless(false, cx);
            return;
        }
        if !run.open {
            // At work with nothing new, but its link broke: not a fruitless try.
            let until_ms = cx.now_ms + cx.settings.backoff(run.breaks);
            run.breaks += 1;
            run.mode = Mode::Pausing { until_ms };
            return;
        }
        if adopted {
            // The node that admitted it may have taken the stream back before it learned of the
            // hang-up. Resuming makes this node the owner again before that one's grace ends.
            self.resume(cx);
            return;
        }
        // It is at work and has nothing new, as in a long prefill: the next question comes later,
        // and the open link stays the one that is read.
        run.quiet_ms = SpanMs(run.quiet_ms.0.saturating_mul(2).min(max_ms.0));
        run.heard_ms = cx.now_ms;
        run.mode = Mode::Reading;
    }

    /// The engine has no such stream (any more).
    fn on_lost(&mut self, cx: &mut Context<'_>) {
        self.on_engine_lost(cx);
        if self.repeatable {
            self.abandon(cx);
            return;
        }
        // Unknown to the engine proves nothing: it may have run it, restarted and forgotten.
        self.give_up(cx);
    }

    /// Nothing more can be learned of work that may not be repeated.
    fn give_up(&mut self, cx: &mut Context<'_>) {
        if self.finish_if_full(cx) || self.ask_peer(cx) {
            return;
        }
        let error = Error::may_have_run(ErrorKind::Upstream, "the engine's answer is lost");
        self.fail(error, cx);
    }

    /// Asks the node that admitted an adopted request where it runs; `false` where that was done.
    ///
    /// The cursor may name an attempt that was given up since: the engine died, and the admitting
    /// node went on elsewhere.
    fn ask_peer(&mut self, cx: &mut Context<'_>) -> bool {
        let adopted = self.is_adopted();
        let link = self.next_link();
        let Phase::Running(run) = &mut self.phase else {
            return false;
        };
        if !adopted || run.peer_asked {
            return false;
        }
        run.peer_asked = true;
        let until_ms = cx.now_ms + cx.settings.answer_wait_ms;
        run.mode = Mode::Asking { link, until_ms };
        cx.out.push(Effect::AskPeer { link });
        true
    }

    /// The admitting node's report of an adopted request, with the engine where it is known here.
    pub fn on_peer_report(
        &mut self,
        link: LinkNo,
        report: Option<RequestReport>,
        upstream: Option<UpstreamId>,
        cx: &mut Context<'_>,
    ) {
        if !self.awaits(link) {
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
        self.sent_to = Some(upstream);
        let first_link = LinkNo(self.link.0 + 1);
        if let Phase::Running(run) = &mut self.phase {
            run.upstream = upstream;
            run.first_link = first_link;
            run.tries = 0;
        }
        self.resume(cx);
    }

    /// Whether the answer awaited now is the one on `link`.
    fn awaits(&self, link: LinkNo) -> bool {
        let Phase::Running(run) = &self.phase else {
            return false;
        };
        matches!(run.mode, Mode::Asking { link: present, .. } if present == link)
    }

    /// Ends an answer that has as many tokens as were asked for: only the word that it is whole
    /// was lost, and no engine would generate anything behind it.
    fn finish_if_full(&mut self, cx: &mut Context<'_>) -> bool {
        let full = self
            .answer()
            .is_some_and(|answer| answer.job.is_some() && answer.next_seq() >= answer.max_tokens.0);
        if full {
            self.finish(FinishReason::Length, cx);
        }
        full
    }

    /// Whether the present attempt is the only one that this engine was sent, so that what it says
    /// of the request it says of this attempt.
    fn sole_attempt_there(&self) -> bool {
        let Some(upstream) = self.upstream() else {
            return false;
        };
        let job = self.answer().and_then(|answer| answer.job.as_ref());
        let failed_none = job.is_some_and(|job| !job.avoid.contains(&upstream));
        failed_none && self.recalls.count == 0
    }
}
