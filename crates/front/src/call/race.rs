//! The open attempts of one request.
//!
//! A silent attempt stays open while another one is made. The first good answer is used, and the attempts that are still open
//! are closed with it.
//!
//! Invariants: only the newest attempt is watched for silence. While it is in time, no other one begins.

use super::tries::TryError;
use bluebell_base::prelude::*;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use std::future::pending;
use std::time::Duration;

/// The interval at which a further attempt is tried again while an earlier one is silent.
const POLL_MS: SpanMs = SpanMs(250);

/// The time at which a further attempt is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextAttempt {
    /// At once.
    Now,
    /// After a pause: there is no place for it now.
    Later,
    /// Once an open attempt ends or is silent.
    NotDue,
}

/// A step of the open attempts.
pub(super) enum RaceStep<T> {
    /// An attempt ended.
    Ended(T),
    /// The newest attempt is silent.
    Silent(TryError),
    /// A further attempt is to be made now.
    Due,
}

/// The open attempts of one request. Dropping it closes them.
pub(super) struct Race<T> {
    /// The attempts, each with its number in the race.
    open: FuturesUnordered<LocalBoxFuture<'static, (u64, T)>>,
    /// The number of the newest attempt.
    newest: u64,
    /// Ends once the newest attempt has been silent for too long; `None` if it was, or has ended.
    silence: Option<LocalBoxFuture<'static, TryError>>,
}

impl<T> Race<T> {
    /// Creates a race without attempts.
    pub fn new() -> Self {
        Self {
            open: FuturesUnordered::new(),
            newest: 0,
            silence: None,
        }
    }

    /// Returns the number of open attempts.
    pub fn open(&self) -> u32 {
        self.open.len() as u32
    }

    /// Returns true if no attempt is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns true if the newest attempt is open and not silent, so that no other one is due.
    pub fn is_in_time(&self) -> bool {
        self.silence.is_some()
    }

    /// Adds an attempt. `silence` ends once it has been silent for too long.
    pub fn add(
        &mut self,
        attempt: impl Future<Output = T> + 'static,
        silence: impl Future<Output = TryError> + 'static,
    ) {
        self.newest += 1;
        let number = self.newest;
        self.open
            .push(Box::pin(async move { (number, attempt.await) }));
        self.silence = Some(Box::pin(silence));
    }

    /// Waits for the next step. Steps aren't lost if the returned future is dropped.
    pub async fn next(&mut self, next: NextAttempt) -> RaceStep<T> {
        let Self {
            open,
            newest,
            silence,
        } = self;
        tokio::select! {
            biased;
            Some((number, ended)) = open.next(), if !open.is_empty() => {
                if number == *newest {
                    *silence = None;
                }
                RaceStep::Ended(ended)
            }
            silent = until(silence) => {
                *silence = None;
                RaceStep::Silent(silent)
            }
            () = due(next) => RaceStep::Due,
        }
    }
}

/// Waits for the end of `silence`, forever if there is none.
async fn until(silence: &mut Option<LocalBoxFuture<'static, TryError>>) -> TryError {
    match silence {
        Some(silence) => silence.await,
        None => pending().await,
    }
}

/// Waits until a further attempt is to be made.
async fn due(next: NextAttempt) {
    match next {
        NextAttempt::Now => {}
        NextAttempt::Later => tokio::time::sleep(Duration::from(POLL_MS)).await,
        NextAttempt::NotDue => pending().await,
    }
}
