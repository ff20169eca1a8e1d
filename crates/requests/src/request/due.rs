//! The handling of due times: the deadline, the grace period after a hang-up and the timeout of the
//! current phase.
//!
//! Invariants: the deadline is checked before anything else that is due. A request always has a
//! next due time, so none waits forever for a silent upstream, claim or peer.

use super::{Context, Group, LiveRequest, Mode, Phase, Reader, Run};
use bluebell_base::prelude::*;

impl LiveRequest {
    /// Returns the latest time at which [`LiveRequest::on_due`] must be called next.
    pub fn next_due_ms(&self) -> MonoMs {
        let mut due_ms = self.deadline_ms;
        if let Some(grace_end_ms) = self.grace_end_ms() {
            due_ms = due_ms.min(grace_end_ms);
        }
        let deadline_ms = self.deadline_ms;
        match &self.phase {
            Phase::Claiming { until_ms }
            | Phase::Backoff { until_ms }
            | Phase::Recalling { until_ms, .. }
            | Phase::Cancelling { until_ms, .. } => due_ms.min(*until_ms),
            Phase::Reserving(group) => due_ms.min(group.due_ms),
            Phase::Running(run) => due_ms.min(run.next_due_ms(deadline_ms)),
            Phase::Queued | Phase::Exchanging { .. } | Phase::Done => due_ms,
        }
    }

    /// Returns the time at which a request without a reader is cancelled.
    ///
    /// A call sent to a plain service cannot be cancelled there, and its answer still settles its
    /// claim, so it continues.
    fn grace_end_ms(&self) -> Option<MonoMs> {
        match (&self.reader, &self.phase) {
            (_, Phase::Exchanging { .. } | Phase::Cancelling { .. }) => None,
            (Reader::Detached { until_ms }, _) => Some(*until_ms),
            (Reader::Attached { .. }, _) => None,
        }
    }

    /// Handles whatever is due by now.
    pub fn on_due(&mut self, cx: &mut Context<'_>) {
        if self.is_done() {
            return;
        }
        if self.expire(cx) {
            return;
        }
        if self
            .grace_end_ms()
            .is_some_and(|grace_end_ms| cx.now_ms >= grace_end_ms)
        {
            self.fail_cancelled(cx);
            return;
        }
        match &self.phase {
            Phase::Claiming { until_ms } if cx.now_ms >= *until_ms => {
                self.claim_failed("no answer in time", None, cx);
            }
            Phase::Backoff { until_ms } if cx.now_ms >= *until_ms => self.start(cx),
            Phase::Recalling { until_ms, .. } if cx.now_ms >= *until_ms => {
                self.on_recall_unanswered(cx);
            }
            Phase::Cancelling { until_ms, .. } if cx.now_ms >= *until_ms => {
                self.on_cancelled(self.attempt, None, cx);
            }
            Phase::Reserving(group) if cx.now_ms >= group.due_ms => self.group_failed(cx),
            Phase::Running(_) => self.on_run_due(cx),
            _ => (),
        }
    }

    /// Fails the request if its deadline has passed, and returns true if so.
    ///
    /// Nothing is sent upstream after the deadline. On a busy node a grant or a decision can arrive
    /// before the deadline's timer; the work would then begin for a caller that is told immediately
    /// afterwards that its time is up.
    pub(crate) fn expire(&mut self, cx: &mut Context<'_>) -> bool {
        if cx.now_ms < self.deadline_ms {
            return false;
        }
        let error = Error::may_have_run(ErrorKind::DeadlineExceeded, "the deadline passed");
        self.fail(error, cx);
        true
    }

    fn on_run_due(&mut self, cx: &mut Context<'_>) {
        let Phase::Running(run) = &mut self.phase else {
            return;
        };
        let renewal = run.group.as_ref().map(|group| group.due_ms);
        let mode = run.mode;
        let silence_end_ms = run.last_received_ms + run.silence_limit_ms;
        if renewal.is_some_and(|due_ms| cx.now_ms >= due_ms) {
            self.renew_group(cx);
        }
        if self.await_reader_if_detached() {
            return;
        }
        match mode {
            Mode::Reading if cx.now_ms >= silence_end_ms => self.look_up(cx),
            Mode::LookingUp { until_ms, .. } if cx.now_ms >= until_ms => self.on_lookup_failed(cx),
            Mode::WaitingToResume { until_ms } if cx.now_ms >= until_ms => self.resume(cx),
            Mode::WaitingToLookUp { until_ms } if cx.now_ms >= until_ms => self.look_up(cx),
            _ => (),
        }
    }
}

impl Run {
    fn next_due_ms(&self, deadline_ms: MonoMs) -> MonoMs {
        let due_ms = match self.mode {
            Mode::AwaitingReader => deadline_ms,
            Mode::Reading => self.last_received_ms + self.silence_limit_ms,
            Mode::LookingUp { until_ms, .. }
            | Mode::WaitingToResume { until_ms }
            | Mode::WaitingToLookUp { until_ms } => until_ms,
        };
        let renewal = self.group.as_ref().map(Group::due);
        renewal.map_or(due_ms, |renewal_ms| due_ms.min(renewal_ms))
    }
}

impl Group {
    fn due(&self) -> MonoMs {
        self.due_ms
    }
}
