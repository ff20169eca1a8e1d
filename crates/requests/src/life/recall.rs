//! Recalls: work that waits behind other work on its engine is taken back there, and the policy,
//! which has queued it again by itself, places it anew.
//!
//! Invariants: only work that may be repeated, is read, and has delivered nothing of its present
//! attempt is recalled; nothing of a recalled attempt reaches the reader; a recall is waited for a
//! bounded time, and a request is recalled a bounded number of times; recalls count neither as
//! retries nor as attempts.

use super::{Context, Effect, Life, Phase, Reader};
use bluebell_base::prelude::*;
use bluebell_policy::Outcome;
use bluebell_upstreams::CancelAnswer;

/// The most recalls of one request, whatever the policy wants.
const MOST_RECALLS: u32 = 16;

/// The recalls of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recalls {
    /// How many there were.
    pub count: u32,
    /// Recalled attempts that may still be on their engines.
    pub left: Vec<Left>,
    /// Whether the next attempt follows a recall, not a failure.
    pub resend: bool,
}

/// A recalled attempt whose cancel is tried on while the request goes on without its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Left {
    /// The attempt.
    pub attempt: AttemptNo,
    /// The engine.
    pub upstream: UpstreamId,
}

impl Recalls {
    /// Whether a recalled attempt may still be on that engine.
    ///
    /// An engine takes no second attempt of a request beside a first one, and the refusal would
    /// look like a failed attempt.
    pub fn are_left_at(&self, upstream: UpstreamId) -> bool {
        self.left.iter().any(|left| left.upstream == upstream)
    }

    /// The cancel of an attempt was answered, or given up, after the request had gone on.
    pub(crate) fn on_late(&mut self, attempt: AttemptNo) {
        self.left.retain(|left| left.attempt != attempt);
    }
}

impl Life {
    /// The policy wants the present attempt back.
    ///
    /// Where that can't be, the attempt stays where it is and its end is told as ever.
    pub fn on_recall(&mut self, cx: &mut Context<'_>) {
        if !self.may_recall() {
            return;
        }
        let Some(upstream) = self.upstream() else {
            return;
        };
        self.recalls.count += 1;
        cx.observer.recalled();
        let until_ms = cx.now_ms + cx.settings.recall_wait_ms;
        self.phase = Phase::Recalling { until_ms, upstream };
        cx.out.push(Effect::Cancel {
            upstream,
            attempt: self.attempt,
            tell: true,
            settle: None,
        });
    }

    fn may_recall(&self) -> bool {
        let Phase::Running(run) = &self.phase else {
            return false;
        };
        // While nobody reads, another node may have taken the stream over for its caller.
        let is_read = matches!(self.reader, Reader::Attached { .. });
        let next_seq = self.answer().map(|answer| answer.next_seq());
        // The policy decides on what it was told before this message; a first token that came
        // since then is with the caller and can't be taken back.
        let is_fresh = next_seq == Some(run.first_seq);
        self.repeatable
            && !self.is_adopted()
            && is_read
            && is_fresh
            && run.group.is_none()
            && self.recalls.count < MOST_RECALLS
    }

    /// No answer to a recall in time, or its engine is gone: goes on, while the cancel is tried on.
    pub(crate) fn on_recall_unanswered(&mut self, cx: &mut Context<'_>) {
        if let Phase::Recalling { upstream, .. } = self.phase {
            let attempt = self.attempt;
            self.recalls.left.push(Left { attempt, upstream });
            self.on_recalled(None, cx);
        }
    }

    /// The engine's answer to a recall; `None` where there will be none.
    pub(crate) fn on_recalled(&mut self, answer: Option<CancelAnswer>, cx: &mut Context<'_>) {
        let (verdict, outcome) = match answer {
            Some(CancelAnswer::NotRun) => (Verdict::NotRun, Outcome::NotRun),
            Some(CancelAnswer::Ran) => (Verdict::Ran, Outcome::Cancelled),
            // `Unknown` may be an engine that ran it, restarted and forgot. The work may be
            // repeated, so nothing waits for certainty.
            _ => (Verdict::MayHaveRun, Outcome::Cancelled),
        };
        self.earlier = self.earlier.max(verdict);
        self.present = Verdict::NotRun;
        self.recalls.resend = true;
        // The policy queues it again by itself, so that it isn't admitted a second time.
        self.phase = Phase::Queued;
        self.end_attempt(outcome, cx);
    }
}
