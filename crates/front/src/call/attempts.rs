//! The attempts of one request until its answer: begins them, follows the open ones, and decides when another is due.
//!
//! Invariants: a request fails only when no attempt is open. An attempt that may have run counts towards the route's
//! attempts.

use super::Call;
use super::answers::Answer;
use super::choose::Target;
use super::hop::{self, HopError};
use super::race::{NextAttempt, Race, RaceStep};
use super::tries::{RetryPass, Tries, TryError, record_silence};
use bluebell_base::prelude::*;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

/// The pause after a rejection by a full engine that leaves a request without another attempt. It bounds the
/// attempts of a request that waits for room.
const REJECTED_PAUSE_MS: SpanMs = SpanMs(40);

/// The time of the next attempt, or the answer that ends the request.
pub(super) type Progress = ControlFlow<Answer, NextAttempt>;

/// The steps that differ between requests with a stream and with one whole answer.
pub(super) trait AttemptSteps {
    /// The end of an attempt.
    type End;

    /// Returns the attempts.
    fn attempts(&mut self) -> &mut Attempts<Self::End>;

    /// Begins the next attempt, unless an open one makes a step first.
    async fn begin(&mut self) -> Progress;

    /// Continues after the end of an attempt. Before it, the next attempt was to be made at `next`.
    async fn on_ended(&mut self, end: Self::End, next: NextAttempt) -> Progress;
}

/// Makes attempts until the request has its answer.
pub(super) async fn serve(request: &mut impl AttemptSteps) -> Answer {
    let mut next = NextAttempt::Now;
    loop {
        let progress = match next {
            NextAttempt::Now => request.begin().await,
            NextAttempt::Later | NextAttempt::NotDue => {
                let step = request.attempts().race.next(next).await;
                on_step(request, step, next).await
            }
        };
        next = match progress {
            ControlFlow::Continue(next) => next,
            ControlFlow::Break(answer) => return answer,
        };
    }
}

/// Continues after a step of the open attempts. Before it, the next attempt was to be made at `next`.
pub(super) async fn on_step<S: AttemptSteps>(
    request: &mut S,
    step: RaceStep<S::End>,
    next: NextAttempt,
) -> Progress {
    match step {
        RaceStep::Ended(end) => request.on_ended(end, next).await,
        RaceStep::Silent(error) => {
            ControlFlow::Continue(request.attempts().on_silent(&error, next))
        }
        RaceStep::Due => ControlFlow::Continue(NextAttempt::Now),
    }
}

/// The attempts of one request.
pub(super) struct Attempts<T> {
    pub call: Rc<Call>,
    pub tries: Tries,
    pub retry: RetryPass,
    pub race: Race<T>,
    /// The newest attempt, unless it is at a peer.
    newest: Option<Target>,
}

impl<T> Attempts<T> {
    /// Creates the state of a request without attempts.
    pub fn new(call: &Rc<Call>) -> Self {
        Self {
            call: call.clone(),
            tries: Tries::default(),
            retry: RetryPass::of_first_attempt(),
            race: Race::new(),
            newest: None,
        }
    }

    /// Returns the number of attempts whose replica received the request, or may receive it.
    pub fn delivered(&self) -> u32 {
        self.tries.delivered + self.race.open()
    }

    /// Adds an attempt at a replica, or at a peer if `target` is `None`. `silence` ends once it has been silent for too
    /// long.
    pub fn add(
        &mut self,
        target: Option<Target>,
        attempt: impl Future<Output = T> + 'static,
        silence: impl Future<Output = TryError> + 'static,
    ) {
        self.newest = target;
        self.race.add(attempt, silence);
    }

    /// Records that the newest attempt is silent. Returns the time of the next one.
    fn on_silent(&mut self, error: &TryError, next: NextAttempt) -> NextAttempt {
        if let Some(target) = &self.newest {
            record_silence(&self.call, target, error);
        }
        match self.tries.may_try_beside(&self.call, self.race.open()) {
            true => NextAttempt::Now,
            false => next,
        }
    }

    /// Records the failure of attempt `number`. Returns the time of the next one, or `None` if the request has failed.
    pub async fn on_failed(
        &mut self,
        target: &Target,
        number: u32,
        error: &TryError,
        next: NextAttempt,
    ) -> Option<NextAttempt> {
        self.tries.failed(&self.call, target, number, error).await;
        if self.race.is_in_time() {
            return Some(NextAttempt::NotDue);
        }
        if self.tries.may_follow(&self.call, self.race.open(), error) {
            self.retry.give_back();
            return Some(NextAttempt::Now);
        }
        if self.race.is_empty() && self.tries.wait_for_room(&self.call, error) {
            tokio::time::sleep(Duration::from(REJECTED_PAUSE_MS)).await;
            self.retry.give_back();
            return Some(NextAttempt::Now);
        }
        (!self.race.is_empty()).then_some(next)
    }

    /// Records that a peer didn't answer the request.
    pub fn on_peer_failed(&mut self, error: HopError, next: NextAttempt) -> Progress {
        let next = match self.race.is_empty() {
            true => match hop::final_answer(&self.call, &mut self.tries, error) {
                Some(answer) => return ControlFlow::Break(answer),
                None => NextAttempt::Now,
            },
            false => match self.tries.hop_ended(&self.call, &error) {
                true => NextAttempt::Later,
                false => return ControlFlow::Continue(next),
            },
        };
        self.retry.give_back();
        ControlFlow::Continue(next)
    }
}
