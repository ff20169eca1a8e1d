//! Group commit for one stream: records submitted while an append is in progress are sent together
//! in the next one.
//!
//! Terms: a *submission* is the records of one call, which stay together and in order; a *batch* is
//! the submissions of one append.
//!
//! Invariants: at most one append is in progress; a submission is answered exactly once and is sent
//! at most once; batches stay within the rate and size of the settings.

mod stats;

pub use stats::AppenderStats;

use crate::backoff::{Backoff, BackoffSettings};
use crate::log_port::LogPort;
use crate::pace::TokenBucket;
use bluebell_base::prelude::*;
use bluebell_timers::Timers;
use stakker::{ActorOwn, CX, Core, Ret, actor, fwd_to, ret_nop, ret_to};
use std::collections::VecDeque;
use std::rc::Rc;

/// The number of consecutive failures from which on submissions are refused without being sent. A
/// single failure may be a broken connection; two are treated as an outage.
const FAILURES_TO_BACK_OFF: u32 = 2;

/// The settings of an appender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppenderSettings {
    /// The maximum rate of appends.
    pub appends: PerSecond,
    /// The maximum size of the records in one append. A larger submission is refused.
    pub batch_bytes: Bytes,
    /// The maximum size of the records that wait. Submissions beyond it are refused.
    pub waiting_bytes: Bytes,
    /// The pauses during which submissions are refused while appends fail.
    pub backoff: BackoffSettings,
}

impl Default for AppenderSettings {
    fn default() -> Self {
        Self {
            appends: PerSecond(10.0),
            batch_bytes: Bytes(256 * 1024),
            waiting_bytes: Bytes(4 * 1024 * 1024),
            backoff: BackoffSettings::default(),
        }
    }
}

/// An actor that appends to one stream in batches.
pub struct Appender {
    log: Rc<dyn LogPort>,
    timers: Timers,
    stream: StreamName,
    settings: AppenderSettings,
    bucket: TokenBucket,
    backoff: Backoff,
    waiting: VecDeque<Submission>,
    waiting_bytes: Bytes,
    in_flight: Vec<Submission>,
    timer_set: bool,
    failures: u32,
    refuse_until_ms: MonoMs,
    stats: AppenderStats,
}

struct Submission {
    records: Vec<Arc<str>>,
    count: u64,
    bytes: Bytes,
    ret: Ret<Result<Offset, Error>>,
}

impl Appender {
    /// Spawns an appender for `stream`.
    pub fn spawn(
        core: &mut Core,
        log: Rc<dyn LogPort>,
        timers: Timers,
        stream: StreamName,
        settings: AppenderSettings,
        seed: u64,
    ) -> ActorOwn<Appender> {
        let now_ms = timers.now_ms(core).0;
        let appender = Appender {
            log,
            timers,
            stream,
            settings,
            bucket: TokenBucket::new(settings.appends, 1.0, now_ms),
            backoff: Backoff::new(settings.backoff, seed),
            waiting: VecDeque::new(),
            waiting_bytes: Bytes::ZERO,
            in_flight: Vec::new(),
            timer_set: false,
            failures: 0,
            refuse_until_ms: MonoMs(0),
            stats: AppenderStats::default(),
        };
        actor!(core, Appender::init(appender), ret_nop!())
    }

    fn init(_cx: CX![], appender: Appender) -> Option<Self> {
        Some(appender)
    }

    /// Submits records. The answer is the offset of the first one, and the others follow it.
    ///
    /// An error with [`Verdict::MayHaveRun`] means that the records may be in the log. With
    /// [`Verdict::NotRun`] they are not in the log and will never be.
    pub fn append(&mut self, cx: CX![], records: Vec<Arc<str>>, ret: Ret<Result<Offset, Error>>) {
        let submission = Submission::new(records, ret);
        if let Err(error) = self.admit(cx, &submission) {
            self.stats.refused += 1;
            return submission.ret.ret(Err(error));
        }
        self.waiting_bytes += submission.bytes;
        self.waiting.push_back(submission);
        self.send_next(cx);
    }

    /// Returns the counters.
    pub fn stats(&mut self, _cx: CX![], ret: Ret<AppenderStats>) {
        ret.ret(AppenderStats {
            waiting: self.waiting.len() as u64,
            waiting_bytes: self.waiting_bytes,
            ..self.stats
        });
    }

    fn admit(&self, cx: &Core, submission: &Submission) -> Result<(), Error> {
        if submission.count == 0 {
            return Err(Error::not_run(ErrorKind::Invalid, "no records to append"));
        }
        if submission.bytes > self.settings.batch_bytes {
            let message = format!("{} are too many for one append", submission.bytes);
            return Err(Error::not_run(ErrorKind::TooLarge, message));
        }
        let now_ms = self.timers.now_ms(cx);
        if now_ms < self.refuse_until_ms {
            return Err(log_unreachable(self.refuse_until_ms.since(now_ms)));
        }
        if self.waiting_bytes + submission.bytes > self.settings.waiting_bytes {
            return Err(self.queue_full());
        }
        Ok(())
    }

    fn queue_full(&self) -> Error {
        let per_second = self.settings.batch_bytes.0 as f64 * self.settings.appends.0;
        let wait_ms = self.waiting_bytes.0 as f64 / per_second.max(1.0) * 1000.0;
        Error::not_run(
            ErrorKind::Overloaded,
            "too many records wait to be appended",
        )
        .retry_after(SpanMs(wait_ms.ceil() as u64))
    }

    fn send_next(&mut self, cx: CX![]) {
        if self.waiting.is_empty() || !self.in_flight.is_empty() || self.timer_set {
            return;
        }
        let now_ms = self.timers.now_ms(cx);
        if let Err(wait_ms) = self.bucket.take(now_ms.0) {
            return self.wait(cx, wait_ms);
        }
        let records = self.fill_batch();
        self.stats.appends += 1;
        self.stats.records += records.len() as u64;
        let ret = ret_to!([cx], on_appended() as (Result<Offset, Error>));
        self.log.append(cx, &self.stream, records, ret);
    }

    fn wait(&mut self, cx: CX![], wait_ms: SpanMs) {
        let wake = fwd_to!([cx], wake() as (MonoMs));
        self.timers.subscribe_in(cx, wait_ms, wake);
        self.timer_set = true;
    }

    fn wake(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.timer_set = false;
        self.send_next(cx);
    }

    fn fill_batch(&mut self) -> Vec<Arc<str>> {
        let mut batch_bytes = Bytes::ZERO;
        let mut records = Vec::new();
        while let Some(next) = self.waiting.front() {
            if batch_bytes + next.bytes > self.settings.batch_bytes {
                break;
            }
            let Some(mut submission) = self.waiting.pop_front() else {
                break;
            };
            batch_bytes += submission.bytes;
            records.append(&mut submission.records);
            self.in_flight.push(submission);
        }
        self.waiting_bytes = self.waiting_bytes.saturating_sub(batch_bytes);
        self.stats.bytes += batch_bytes;
        records
    }

    fn on_appended(&mut self, cx: CX![], answer: Option<Result<Offset, Error>>) {
        let batch = std::mem::take(&mut self.in_flight);
        match answer.unwrap_or_else(|| Err(dropped())) {
            Ok(first) => self.succeed(batch, first),
            Err(error) => self.fail(cx, batch, error),
        }
        self.send_next(cx);
    }

    fn succeed(&mut self, batch: Vec<Submission>, first: Offset) {
        self.failures = 0;
        self.backoff.reset();
        let mut offset = first;
        for submission in batch {
            submission.ret.ret(Ok(offset));
            offset.0 += submission.count;
        }
    }

    fn fail(&mut self, cx: CX![], batch: Vec<Submission>, error: Error) {
        self.stats.count_failure(&error);
        for submission in batch {
            submission.ret.ret(Err(error.clone()));
        }
        if error.kind == ErrorKind::Overloaded {
            // The platform is reachable and states the wait, which also applies to the waiting
            // submissions.
            let wait_ms = error
                .retry_after_ms
                .unwrap_or(self.settings.backoff.first_ms);
            return self.wait(cx, wait_ms.min(self.settings.backoff.cap_ms));
        }
        self.failures += 1;
        if self.failures >= FAILURES_TO_BACK_OFF {
            self.refuse_all(cx);
        }
    }

    /// Refuses all waiting submissions, and new ones until a pause has passed.
    ///
    /// In an outage each append would hold its callers for a whole timeout, and the appends of all
    /// nodes would reach the platform together when it recovers. A refusal is certain, since none
    /// of these records was sent, and it is answered at once with a retry time. The jittered pause
    /// spreads the nodes' attempts.
    fn refuse_all(&mut self, cx: CX![]) {
        let pause_ms = self.backoff.next_delay();
        self.refuse_until_ms = self.timers.now_ms(cx) + pause_ms;
        self.waiting_bytes = Bytes::ZERO;
        for submission in self.waiting.drain(..) {
            self.stats.refused += 1;
            submission.ret.ret(Err(log_unreachable(pause_ms)));
        }
    }
}

impl Submission {
    fn new(records: Vec<Arc<str>>, ret: Ret<Result<Offset, Error>>) -> Self {
        Self {
            count: records.len() as u64,
            bytes: records.iter().map(|r| Bytes(r.len() as u64)).sum(),
            records,
            ret,
        }
    }
}

fn log_unreachable(wait_ms: SpanMs) -> Error {
    Error::not_run(ErrorKind::Unavailable, "the log can't be reached").retry_after(wait_ms)
}

fn dropped() -> Error {
    Error::may_have_run(ErrorKind::Internal, "the log port dropped the append")
}
