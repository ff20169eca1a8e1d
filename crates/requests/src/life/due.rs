//! What falls due: the deadline, the grace after a hang-up, and whatever the phase waits for.
//!
//! Invariants: the deadline comes first, whatever else is due; a request always has a next due
//! instant, so none waits for an upstream, the claims or a peer that stays silent.

use super::{Context, Group, Life, Mode, Phase, Reader, Run};
use bluebell_base::prelude::*;

impl Life {
    /// When [`Life::on_due`] must be called next, at the latest.
    pub fn next_due_ms(&self) -> MonoMs {
        let mut due_ms = self.deadline_ms;
        if let Some(grace_ms) = self.grace_ms() {
            due_ms = due_ms.min(grace_ms);
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

    /// When nobody has read on in time.
    ///
    /// A call on its way to a plain service can't be cancelled there, and its answer still settles
    /// its claim: it goes on.
    fn grace_ms(&self) -> Option<MonoMs> {
        match (&self.reader, &self.phase) {
            (_, Phase::Exchanging { .. } | Phase::Cancelling { .. }) => None,
            (Reader::Detached { until_ms }, _) => Some(*until_ms),
            (Reader::Attached { .. }, _) => None,
        }
    }

    /// Its timer fired; does whatever is due by now.
    pub fn on_due(&mut self, cx: &mut Context<'_>) {
        if self.is_done() {
            return;
        }
        if self.expire(cx) {
            return;
        }
        if self
            .grace_ms()
            .is_some_and(|grace_ms| cx.now_ms >= grace_ms)
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

    /// Ends it where its deadline passed; gives whether that was so.
    ///
    /// Nothing is sent upstream behind the deadline: on a busy node a grant or a decision can come
    /// before the timer of the deadline, and the work would begin for a caller that is told next
    /// that time is up.
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
        let quiet_until_ms = run.heard_ms + run.quiet_ms;
        if renewal.is_some_and(|due_ms| cx.now_ms >= due_ms) {
            self.renew_group(cx);
        }
        if self.rest() {
            return;
        }
        match mode {
            Mode::Reading if cx.now_ms >= quiet_until_ms => self.ask(cx),
            Mode::Asking { until_ms, .. } if cx.now_ms >= until_ms => self.on_no_state(cx),
            Mode::Pausing { until_ms } if cx.now_ms >= until_ms => self.resume(cx),
            Mode::PausingToAsk { until_ms } if cx.now_ms >= until_ms => self.ask(cx),
            _ => (),
        }
    }
}

impl Run {
    fn next_due_ms(&self, deadline_ms: MonoMs) -> MonoMs {
        let due_ms = match self.mode {
            Mode::Resting => deadline_ms,
            Mode::Reading => self.heard_ms + self.quiet_ms,
            Mode::Asking { until_ms, .. }
            | Mode::Pausing { until_ms }
            | Mode::PausingToAsk { until_ms } => until_ms,
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
