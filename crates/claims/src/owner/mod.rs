//! The owner of one shard: reads the shard's stream, opens an epoch in it, and grants claims that
//! are read back.
//!
//! Terms: *catching up* is reading what earlier owners wrote; a *flight* is the one batch on its
//! way into the log.
//!
//! Invariants: one operation on the log at a time; a claim is granted only after its batch was
//! read back and took effect in the reduction; an operation waits at most `hold_ms` for an answer.

mod flight;
mod item;
mod queue;
mod report;
mod seek;
mod serve;

pub(crate) use item::{ClaimRet, SettleRet};
pub use report::{OwnerPhase, ShardReport};

use crate::records::{Epoch, EpochRecord, Record, encode, stream_of};
use crate::reduce::{Applied, ShardState};
use crate::settings::ClaimSettings;
use bluebell_base::prelude::*;
use bluebell_platform::{Backoff, BackoffSettings, LogPort, ReadBatch};
use bluebell_timers::{Subscription, Timers};
use flight::{Flight, Stage};
use queue::Queue;
use seek::{Next, Seek};
use stakker::{CX, Fwd, fwd_to, ret_to};
use std::cell::RefCell;
use std::rc::Rc;

/// How the owner tries the log again.
const LOG_BACKOFF: BackoffSettings = BackoffSettings {
    first_ms: SpanMs(50),
    cap_ms: SpanMs(2000),
};

/// The bytes asked for where one record is wanted; the log gives at least one.
const SEEK_BYTES: Bytes = Bytes(1);

/// What an owner works with.
#[derive(Clone)]
pub(crate) struct OwnerParts {
    pub settings: ClaimSettings,
    pub timers: Timers,
    pub log: Rc<dyn LogPort>,
    pub incarnation: Incarnation,
    pub seed: u64,
}

/// The lease an owner works under.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tenure {
    pub shard: ShardId,
    pub epoch: Epoch,
    pub until_ms: MonoMs,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Seek(Offset),
    CatchUp,
    Announce,
    Confirm(Offset),
    Serving,
    Ended,
}

/// The actor that owns one shard.
pub(crate) struct Owner {
    parts: OwnerParts,
    tenure: Tenure,
    stream: StreamName,
    state: ShardState,
    reduced_ms: MonoMs,
    phase: Phase,
    seek: Seek,
    log_busy: bool,
    log_down: bool,
    resume_ms: MonoMs,
    next_append_ms: MonoMs,
    backoff: Backoff,
    queue: Queue,
    flight: Option<Flight>,
    last_batch: u64,
    wake: Option<(MonoMs, Subscription)>,
    hold: Option<Subscription>,
    report: Rc<RefCell<ShardReport>>,
    ended: Fwd<Epoch>,
}

impl Owner {
    /// Starts catching up; `ended` is told when a newer epoch has begun.
    pub(crate) fn init(
        cx: CX![],
        parts: OwnerParts,
        tenure: Tenure,
        report: Rc<RefCell<ShardReport>>,
        ended: Fwd<Epoch>,
    ) -> Option<Self> {
        let seed = parts.seed ^ tenure.epoch.fencing.0.rotate_left(32) ^ u64::from(tenure.shard.0);
        let mut owner = Self {
            state: ShardState::new(parts.settings.validity_ms),
            stream: stream_of(tenure.shard),
            reduced_ms: MonoMs::default(),
            phase: Phase::Seek(Offset(0)),
            seek: Seek::new(parts.settings.validity_ms),
            log_busy: false,
            log_down: false,
            resume_ms: MonoMs::default(),
            next_append_ms: MonoMs::default(),
            backoff: Backoff::new(LOG_BACKOFF, seed),
            queue: Queue::default(),
            flight: None,
            last_batch: 0,
            wake: None,
            hold: None,
            parts,
            tenure,
            report,
            ended,
        };
        owner.advance(cx);
        Some(owner)
    }

    /// Extends the lease.
    pub(crate) fn renew(&mut self, _cx: CX![], until_ms: MonoMs) {
        self.tenure.until_ms = until_ms;
    }

    /// Prints the whole reduced state.
    pub(crate) fn print(&mut self, _cx: CX![], ret: stakker::Ret<String>) {
        ret.ret(self.state.to_string());
    }

    fn now_ms(&self, cx: CX![]) -> MonoMs {
        self.parts.timers.now_ms(cx)
    }

    /// Does the next step, unless an operation on the log is under way.
    fn advance(&mut self, cx: CX![]) {
        self.publish();
        if self.log_busy {
            return;
        }
        if self.now_ms(cx) < self.resume_ms {
            self.wake_at(cx, self.resume_ms);
            return;
        }
        match self.phase {
            Phase::Seek(offset) => self.read(cx, offset, SEEK_BYTES),
            Phase::CatchUp | Phase::Confirm(_) => self.read_next(cx),
            Phase::Announce => self.announce(cx),
            Phase::Serving => self.serve(cx),
            Phase::Ended => (),
        }
    }

    fn announce(&mut self, cx: CX![]) {
        let record = Record::Epoch(EpochRecord {
            fencing: self.tenure.epoch.fencing,
            round: self.tenure.epoch.round,
            incarnation: self.parts.incarnation,
        });
        self.append(cx, encode(&record));
    }

    fn append(&mut self, cx: CX![], body: Arc<str>) {
        self.log_busy = true;
        let mut report = self.report.borrow_mut();
        report.appends += 1;
        report.appended_bytes += Bytes(body.len() as u64);
        drop(report);
        let ret = ret_to!([cx], appended() as (Result<Offset, Error>));
        let log = Rc::clone(&self.parts.log);
        log.append(cx, &self.stream, vec![body], ret);
    }

    fn read_next(&mut self, cx: CX![]) {
        self.read(cx, self.state.next(), self.parts.settings.read_bytes);
    }

    fn read(&mut self, cx: CX![], from: Offset, limit_bytes: Bytes) {
        self.log_busy = true;
        let ret = ret_to!([cx], was_read() as (Result<ReadBatch, Error>));
        let log = Rc::clone(&self.parts.log);
        log.read(cx, &self.stream, from, limit_bytes, ret);
    }

    fn appended(&mut self, cx: CX![], answer: Option<Result<Offset, Error>>) {
        self.log_busy = false;
        let lost = || Err(Error::may_have_run(ErrorKind::Unavailable, "no answer"));
        match answer.unwrap_or_else(lost) {
            Ok(offset) => self.append_done(offset),
            Err(error) => self.append_failed(cx, &error),
        }
        self.advance(cx);
    }

    fn append_done(&mut self, offset: Offset) {
        match (self.phase, &mut self.flight) {
            (Phase::Announce, _) => self.phase = Phase::Confirm(offset),
            (_, Some(flight)) => flight.stage = Stage::ReadBack(Some(offset)),
            _ => (),
        }
    }

    fn append_failed(&mut self, cx: CX![], error: &Error) {
        let now_ms = self.now_ms(cx);
        if self.phase == Phase::Announce {
            // Whether the epoch record is in the log is found out by reading on; a second copy of
            // it changes nothing.
            self.phase = Phase::CatchUp;
            self.log_failed(now_ms, error);
            return;
        }
        self.flight_failed(now_ms, error);
    }

    /// Waits before the log is tried again.
    fn log_failed(&mut self, now_ms: MonoMs, error: &Error) {
        if !self.log_down {
            log::warn!("{} of the claims: the log fails: {error}", self.stream);
        }
        self.log_down = true;
        self.resume_ms = now_ms + self.backoff.next_delay();
    }

    /// The log answered. While the outcome of an append is unknown this proves little: reads may
    /// work where appends don't, so the wait between tries goes on growing.
    fn log_works(&mut self) {
        if self.flight.as_ref().is_some_and(|flight| flight.uncertain) {
            return;
        }
        if self.log_down {
            log::info!("{} of the claims: the log answers again", self.stream);
        }
        self.log_down = false;
        self.backoff.reset();
    }

    fn was_read(&mut self, cx: CX![], answer: Option<Result<ReadBatch, Error>>) {
        self.log_busy = false;
        let lost = || Err(Error::not_run(ErrorKind::Unavailable, "no answer"));
        match answer.unwrap_or_else(lost) {
            Ok(batch) => self.take(cx, &batch),
            Err(error) => {
                let now_ms = self.now_ms(cx);
                self.log_failed(now_ms, &error);
            }
        }
        self.advance(cx);
    }

    fn take(&mut self, cx: CX![], batch: &ReadBatch) {
        self.log_works();
        if let Phase::Seek(_) = self.phase {
            self.phase = match self.seek.take(batch) {
                Next::Probe(offset) => Phase::Seek(offset),
                Next::Begin(offset) => {
                    self.state.skip_to(offset);
                    Phase::CatchUp
                }
            };
            return;
        }
        if batch.first_retained > self.state.next() {
            if self.phase != Phase::CatchUp {
                // Paused for longer than the log's retention: an epoch record may be among the
                // records that expired unread, so this owner can't tell whether it still is one.
                self.end("records expired before they were read");
                return;
            }
            self.state.skip_to(batch.first_retained);
        }
        self.reduced_ms = self.now_ms(cx);
        let before = self.state.next();
        for record in &batch.records {
            self.report.borrow_mut().read_bytes += Bytes(record.body.len() as u64);
            let applied = self.state.apply(record);
            self.applied(cx, &record.body, &applied);
        }
        if self.state.epoch() > Some(self.tenure.epoch) {
            self.end("a newer epoch has begun");
            return;
        }
        let at_end = self.state.next() >= batch.end;
        let stuck = !at_end && self.state.next() == before;
        self.read_on(cx, at_end, stuck);
    }

    /// Decides whether enough was read.
    fn read_on(&mut self, cx: CX![], at_end: bool, stuck: bool) {
        let now_ms = self.now_ms(cx);
        if stuck {
            let error = Error::not_run(ErrorKind::Internal, "the log returned no records");
            self.log_failed(now_ms, &error);
            return;
        }
        let announced = self.state.epoch() == Some(self.tenure.epoch);
        match self.phase {
            Phase::CatchUp if at_end && announced => self.begin_serving(cx),
            Phase::CatchUp if at_end => self.phase = Phase::Announce,
            Phase::Confirm(_) if announced => self.begin_serving(cx),
            // The log forgot the record that it said it took.
            Phase::Confirm(_) if at_end => self.phase = Phase::Announce,
            Phase::Serving => self.flight_read(now_ms, at_end),
            _ => (),
        }
    }

    fn applied(&mut self, cx: CX![], body: &str, applied: &Applied) {
        if let Applied::Batch { epoch, claims, .. } = applied
            && *epoch == self.tenure.epoch
        {
            self.land(cx, body, claims);
        }
    }

    /// Ends the tenure: another owner serves, or may serve.
    fn end(&mut self, why: &str) {
        log::info!(
            "{} of the claims: {why}, this node serves it no more",
            self.stream
        );
        self.phase = Phase::Ended;
        // Told before the answers go out, so that tries again go to the new owner.
        self.ended.fwd(self.tenure.epoch);
        // A batch in flight lies behind the newer epoch, or nobody knows where.
        if let Some(mut flight) = self.flight.take() {
            let unsure = self.unsure("the shard has another owner");
            flight.items().for_each(|item| item.refuse(unsure.clone()));
        }
        let refused = self.ownerless();
        for mut item in self.queue.take_all() {
            item.refuse(refused.clone());
        }
        self.publish();
    }

    /// An error for an operation that is not in the log and never will be.
    fn refused(&self, why: &str) -> Error {
        Error::not_run(ErrorKind::Unavailable, why).retry_after(self.parts.settings.retry_after_ms)
    }

    /// The same where another owner may serve the shard.
    fn ownerless(&self) -> Error {
        let why = "this node does not own the shard any more";
        Error::not_run(ErrorKind::NotFound, why).retry_after(self.parts.settings.retry_after_ms)
    }

    /// An error for an operation that may be in the log, now or later.
    fn unsure(&self, why: &str) -> Error {
        Error::may_have_run(ErrorKind::Unavailable, why)
            .retry_after(self.parts.settings.retry_after_ms)
    }

    fn wake_at(&mut self, cx: CX![], at_ms: MonoMs) {
        if let Some((set_ms, subscription)) = self.wake {
            if set_ms <= at_ms {
                return;
            }
            self.parts.timers.cancel(cx, subscription);
        }
        let fwd = fwd_to!([cx], woken() as (MonoMs));
        let subscription = self.parts.timers.subscribe_at(cx, at_ms, fwd);
        self.wake = Some((at_ms, subscription));
    }

    fn woken(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.wake = None;
        self.advance(cx);
    }

    fn publish(&self) {
        let counts = self.state.counts();
        let mut report = self.report.borrow_mut();
        report.shard = self.tenure.shard.0;
        report.fencing = self.tenure.epoch.fencing.0;
        report.phase = match self.phase {
            Phase::Seek(_) | Phase::CatchUp => OwnerPhase::CatchUp,
            Phase::Announce => OwnerPhase::Announce,
            Phase::Confirm(_) => OwnerPhase::Confirm,
            Phase::Serving => OwnerPhase::Serving,
            Phase::Ended => OwnerPhase::Ended,
        };
        report.keys = self.state.table().len();
        report.keys_bytes = self.state.table().memory_bytes();
        report.queued = self.queue.len();
        report.log_down = self.log_down;
        report.fenced = counts.fenced;
        report.duplicates = counts.duplicates;
        report.skipped = counts.skipped;
        report.contested = counts.contested;
    }
}
