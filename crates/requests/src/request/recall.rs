//! Recalls: work that is queued behind other work on its engine is cancelled there. The policy
//! queues it again on its own and places it anew.
//!
//! Invariants: work is recalled only if it may be repeated, has a reader and has delivered nothing
//! of its current attempt. Nothing of a recalled attempt reaches the reader. The wait for a
//! recall's answer and the number of recalls of a request are bounded. Recalls count neither as
//! retries nor as attempts.

use super::{Context, Effect, LiveRequest, Phase, Reader};
use bluebell_base::prelude::*;
use bluebell_policy::Outcome;
use bluebell_upstreams::CancelAnswer;

/// The limit of recalls of one request, whatever the policy decides.
const MAX_RECALLS: u32 = 16;

/// The recalls of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recalls {
    /// The number of recalls.
    pub count: u32,
    /// The recalled attempts that may still be on their engines.
    pub unconfirmed: Vec<UnconfirmedRecall>,
    /// True if the next attempt follows a recall instead of a failure.
    pub resend: bool,
}

/// A recalled attempt whose cancel is still being retried while the request continues without its
/// answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedRecall {
    /// The attempt.
    pub attempt: AttemptNo,
    /// The engine.
    pub upstream: UpstreamId,
}

impl Recalls {
    /// Returns true if a recalled attempt may still be on that engine.
    ///
    /// An engine rejects a second attempt of a request while it holds the first, and the rejection
    /// would look like a failed attempt.
    pub fn may_remain_on(&self, upstream: UpstreamId) -> bool {
        self.unconfirmed
            .iter()
            .any(|recall| recall.upstream == upstream)
    }

    /// Removes an attempt whose cancel was answered or given up after the request had continued.
    pub(crate) fn on_late_answer(&mut self, attempt: AttemptNo) {
        self.unconfirmed.retain(|recall| recall.attempt != attempt);
    }
}

impl LiveRequest {
    /// Handles the policy's recall of the current attempt.
    ///
    /// If the attempt cannot be recalled, it stays on its engine and its end is reported as usual.
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
            awaited: true,
            settle: None,
        });
    }

    fn may_recall(&self) -> bool {
        let Phase::Running(run) = &self.phase else {
            return false;
        };
        // Without a reader here, another node may have taken over the stream for its caller.
        let is_read = matches!(self.reader, Reader::Attached { .. });
        let next_seq = self.answer().map(|answer| answer.next_seq());
        // The policy decides by the state before this message. A first token that arrived since
        // then has been sent to the caller and cannot be withdrawn.
        let is_fresh = next_seq == Some(run.first_seq);
        self.repeatable
            && !self.is_adopted()
            && is_read
            && is_fresh
            && run.group.is_none()
            && self.recalls.count < MAX_RECALLS
    }

    /// Continues without the answer to a recall that timed out or whose engine is gone; the cancel
    /// is still retried.
    pub(crate) fn on_recall_unanswered(&mut self, cx: &mut Context<'_>) {
        if let Phase::Recalling { upstream, .. } = self.phase {
            let attempt = self.attempt;
            self.recalls
                .unconfirmed
                .push(UnconfirmedRecall { attempt, upstream });
            self.on_recalled(None, cx);
        }
    }

    /// Handles the engine's answer to a recall; `None` if there will be no answer.
    pub(crate) fn on_recalled(&mut self, answer: Option<CancelAnswer>, cx: &mut Context<'_>) {
        let (verdict, outcome) = match answer {
            Some(CancelAnswer::NotRun) => (Verdict::NotRun, Outcome::NotRun),
            Some(CancelAnswer::Ran) => (Verdict::Ran, Outcome::Cancelled),
            // `Unknown` may come from an engine that ran the request, restarted and lost its state.
            // The work may be repeated, so certainty is not needed.
            _ => (Verdict::MayHaveRun, Outcome::Cancelled),
        };
        self.earlier_verdict = self.earlier_verdict.max(verdict);
        self.current_verdict = Verdict::NotRun;
        self.recalls.resend = true;
        // The policy queues the request again on its own, so it is not admitted a second time.
        self.phase = Phase::Queued;
        self.end_attempt(outcome, cx);
    }
}
