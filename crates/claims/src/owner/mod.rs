//! The owner of one shard. It reads the shard's stream, opens an epoch in it, and grants claims
//! whose records it has read back.
//!
//! Terms: *catching up* is reading what earlier owners wrote; the batch *in flight* is the one that
//! is being written to the log.
//!
//! Invariants: one operation on the log at a time; a claim is granted only after its batch was
//! read back and took effect in the reduction; an operation waits at most `max_wait_ms` for an
//! answer.

mod in_flight;
mod operation;
mod queue;
mod report;
mod serve;
mod start_search;

pub(crate) use operation::{ClaimRet, SettleRet};
pub use report::{OwnerPhase, ShardReport};

use crate::records::{Epoch, EpochRecord, Record, encode, stream_of};
use crate::reduce::{Applied, ShardState};
use crate::settings::ClaimSettings;
use bluebell_base::prelude::*;
use bluebell_platform::{Backoff, BackoffSettings, LogPort, ReadBatch};
use bluebell_timers::{Subscription, Timers};
use in_flight::{BatchInFlight, Stage};
use queue::Queue;
use stakker::{CX, Fwd, fwd_to, ret_to};
use start_search::{Next, StartSearch};
use std::cell::RefCell;
use std::rc::Rc;

/// The backoff between attempts after the log has failed.
const LOG_BACKOFF: BackoffSettings = BackoffSettings {
    first_ms: SpanMs(50),
    cap_ms: SpanMs(2000),
};

/// The read limit for a single record. The log returns at least one record.
const SINGLE_RECORD_BYTES: Bytes = Bytes(1);

/// The dependencies of an owner.
#[derive(Clone)]
pub(crate) struct OwnerParts {
    pub settings: ClaimSettings,
    pub timers: Timers,
    pub log: Rc<dyn LogPort>,
    pub incarnation: Incarnation,
    pub seed: u64,
}

/// The lease of an owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerLease {
    pub shard: ShardId,
    pub epoch: Epoch,
    pub until_ms: MonoMs,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    FindStart(Offset),
    CatchUp,
    Announce,
    Confirm(Offset),
    Serving,
    Ended,
}

/// The actor that owns one shard.
pub(crate) struct Owner {
    parts: OwnerParts,
    lease: OwnerLease,
    stream: StreamName,
    state: ShardState,
    reduced_ms: MonoMs,
    phase: Phase,
    start_search: StartSearch,
    log_busy: bool,
    log_down: bool,
    resume_ms: MonoMs,
    next_append_ms: MonoMs,
    backoff: Backoff,
    queue: Queue,
    in_flight: Option<BatchInFlight>,
    last_batch: u64,
    wake_timer: Option<(MonoMs, Subscription)>,
    wait_timeout: Option<Subscription>,
    report: Rc<RefCell<ShardReport>>,
    ended: Fwd<Epoch>,
}

impl Owner {
    /// Starts to catch up. `ended` is called when the owner stops because another one serves, or
    /// may serve.
    pub(crate) fn init(
        cx: CX![],
        parts: OwnerParts,
        lease: OwnerLease,
        report: Rc<RefCell<ShardReport>>,
        ended: Fwd<Epoch>,
    ) -> Option<Self> {
        let seed = parts.seed ^ lease.epoch.fencing.0.rotate_left(32) ^ u64::from(lease.shard.0);
        let mut owner = Self {
            state: ShardState::new(parts.settings.validity_ms),
            stream: stream_of(lease.shard),
            reduced_ms: MonoMs::default(),
            phase: Phase::FindStart(Offset(0)),
            start_search: StartSearch::new(parts.settings.validity_ms),
            log_busy: false,
            log_down: false,
            resume_ms: MonoMs::default(),
            next_append_ms: MonoMs::default(),
            backoff: Backoff::new(LOG_BACKOFF, seed),
            queue: Queue::default(),
            in_flight: None,
            last_batch: 0,
            wake_timer: None,
            wait_timeout: None,
            parts,
            lease,
            report,
            ended,
        };
        owner.advance(cx);
        Some(owner)
    }

    /// Extends the lease until `until_ms`.
    pub(crate) fn renew(&mut self, _cx: CX![], until_ms: MonoMs) {
        self.lease.until_ms = until_ms;
    }

    /// Returns the reduced state as text.
    pub(crate) fn print(&mut self, _cx: CX![], ret: stakker::Ret<String>) {
        ret.ret(self.state.to_string());
    }

    fn now_ms(&self, cx: CX![]) -> MonoMs {
        self.parts.timers.now_ms(cx)
    }

    /// Starts the next step, unless an operation on the log is under way.
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
            Phase::FindStart(offset) => self.read(cx, offset, SINGLE_RECORD_BYTES),
            Phase::CatchUp | Phase::Confirm(_) => self.read_next(cx),
            Phase::Announce => self.announce(cx),
            Phase::Serving => self.serve(cx),
            Phase::Ended => (),
        }
    }

    fn announce(&mut self, cx: CX![]) {
        let record = Record::Epoch(EpochRecord {
            fencing: self.lease.epoch.fencing,
            round: self.lease.epoch.round,
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
        let ret = ret_to!([cx], on_appended() as (Result<Offset, Error>));
        let log = Rc::clone(&self.parts.log);
        log.append(cx, &self.stream, vec![body], ret);
    }

    fn read_next(&mut self, cx: CX![]) {
        self.read(cx, self.state.next(), self.parts.settings.read_bytes);
    }

    fn read(&mut self, cx: CX![], from: Offset, limit_bytes: Bytes) {
        self.log_busy = true;
        let ret = ret_to!([cx], on_read() as (Result<ReadBatch, Error>));
        let log = Rc::clone(&self.parts.log);
        log.read(cx, &self.stream, from, limit_bytes, ret);
    }

    fn on_appended(&mut self, cx: CX![], answer: Option<Result<Offset, Error>>) {
        self.log_busy = false;
        let lost = || Err(Error::may_have_run(ErrorKind::Unavailable, "no answer"));
        match answer.unwrap_or_else(lost) {
            Ok(offset) => self.on_append_done(offset),
            Err(error) => self.on_append_failed(cx, &error),
        }
        self.advance(cx);
    }

    fn on_append_done(&mut self, offset: Offset) {
        match (self.phase, &mut self.in_flight) {
            (Phase::Announce, _) => self.phase = Phase::Confirm(offset),
            (_, Some(in_flight)) => in_flight.stage = Stage::ReadBack(Some(offset)),
            _ => (),
        }
    }

    fn on_append_failed(&mut self, cx: CX![], error: &Error) {
        let now_ms = self.now_ms(cx);
        if self.phase == Phase::Announce {
            // The epoch record may be in the log; reading on shows it. A second copy of it changes
            // nothing.
            self.phase = Phase::CatchUp;
            self.on_log_error(now_ms, error);
            return;
        }
        self.on_batch_append_failed(now_ms, error);
    }

    /// Delays the next attempt by the backoff.
    fn on_log_error(&mut self, now_ms: MonoMs, error: &Error) {
        if !self.log_down {
            log::warn!("claims stream {}: the log fails: {error}", self.stream);
        }
        self.log_down = true;
        self.resume_ms = now_ms + self.backoff.next_delay();
    }

    /// Resets the backoff after an answer of the log. While the outcome of an append is unknown the
    /// backoff keeps growing, since reads may work while appends fail.
    fn on_log_answer(&mut self) {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.uncertain)
        {
            return;
        }
        if self.log_down {
            log::info!("claims stream {}: the log answers again", self.stream);
        }
        self.log_down = false;
        self.backoff.reset();
    }

    fn on_read(&mut self, cx: CX![], answer: Option<Result<ReadBatch, Error>>) {
        self.log_busy = false;
        let lost = || Err(Error::not_run(ErrorKind::Unavailable, "no answer"));
        match answer.unwrap_or_else(lost) {
            Ok(batch) => self.apply_read(cx, &batch),
            Err(error) => {
                let now_ms = self.now_ms(cx);
                self.on_log_error(now_ms, &error);
            }
        }
        self.advance(cx);
    }

    fn apply_read(&mut self, cx: CX![], batch: &ReadBatch) {
        self.on_log_answer();
        if let Phase::FindStart(_) = self.phase {
            self.phase = match self.start_search.on_read(batch) {
                Next::Probe(offset) => Phase::FindStart(offset),
                Next::Begin(offset) => {
                    self.state.skip_to(offset);
                    Phase::CatchUp
                }
            };
            return;
        }
        if batch.first_retained > self.state.next() {
            if self.phase != Phase::CatchUp {
                // The owner was paused for longer than the log's retention. An epoch record may be
                // among the records that expired unread, so another owner may serve by now.
                self.end_lease("records expired before they were read");
                return;
            }
            self.state.skip_to(batch.first_retained);
        }
        self.reduced_ms = self.now_ms(cx);
        let before = self.state.next();
        for record in &batch.records {
            self.report.borrow_mut().read_bytes += Bytes(record.body.len() as u64);
            let applied = self.state.apply(record);
            self.on_applied(cx, &record.body, &applied);
        }
        if self.state.epoch() > Some(self.lease.epoch) {
            self.end_lease("a newer epoch has begun");
            return;
        }
        let at_end = self.state.next() >= batch.end;
        let stuck = !at_end && self.state.next() == before;
        self.after_read(cx, at_end, stuck);
    }

    /// Chooses the next phase after a read. `stuck` means that the read returned no record although
    /// it was not at the end.
    fn after_read(&mut self, cx: CX![], at_end: bool, stuck: bool) {
        let now_ms = self.now_ms(cx);
        if stuck {
            let error = Error::not_run(ErrorKind::Internal, "the log returned no records");
            self.on_log_error(now_ms, &error);
            return;
        }
        let announced = self.state.epoch() == Some(self.lease.epoch);
        match self.phase {
            Phase::CatchUp if at_end && announced => self.begin_serving(cx),
            Phase::CatchUp if at_end => self.phase = Phase::Announce,
            Phase::Confirm(_) if announced => self.begin_serving(cx),
            // The log lost the epoch record that it had acknowledged.
            Phase::Confirm(_) if at_end => self.phase = Phase::Announce,
            Phase::Serving => self.on_batch_not_found(now_ms, at_end),
            _ => (),
        }
    }

    fn on_applied(&mut self, cx: CX![], body: &str, applied: &Applied) {
        if let Applied::Batch { epoch, claims, .. } = applied
            && *epoch == self.lease.epoch
        {
            self.on_own_batch_applied(cx, body, claims);
        }
    }

    /// Stops serving because another owner serves, or may serve.
    fn end_lease(&mut self, why: &str) {
        log::info!(
            "claims stream {}: {why}; this node no longer serves it",
            self.stream
        );
        self.phase = Phase::Ended;
        // Reported before the answers are sent, so that retries go to the new owner.
        self.ended.fwd(self.lease.epoch);
        // The batch in flight lies after the newer epoch record, or its position is unknown.
        if let Some(mut in_flight) = self.in_flight.take() {
            let error = self.may_have_run_error("the shard has another owner");
            in_flight
                .items()
                .for_each(|item| item.refuse(error.clone()));
        }
        let refused = self.not_owner_error();
        for mut item in self.queue.take_all() {
            item.refuse(refused.clone());
        }
        self.publish();
    }

    /// Returns an error for an operation that is not in the log and never will be.
    fn not_run_error(&self, why: &str) -> Error {
        Error::not_run(ErrorKind::Unavailable, why).retry_after(self.parts.settings.retry_after_ms)
    }

    /// Returns such an error for a shard that another owner may serve.
    fn not_owner_error(&self) -> Error {
        let why = "this node does not own the shard any more";
        Error::not_run(ErrorKind::NotFound, why).retry_after(self.parts.settings.retry_after_ms)
    }

    /// Returns an error for an operation that is in the log, may be, or may still arrive there.
    fn may_have_run_error(&self, why: &str) -> Error {
        Error::may_have_run(ErrorKind::Unavailable, why)
            .retry_after(self.parts.settings.retry_after_ms)
    }

    fn wake_at(&mut self, cx: CX![], at_ms: MonoMs) {
        if let Some((set_ms, subscription)) = self.wake_timer {
            if set_ms <= at_ms {
                return;
            }
            self.parts.timers.cancel(cx, subscription);
        }
        let fwd = fwd_to!([cx], on_wake() as (MonoMs));
        let subscription = self.parts.timers.subscribe_at(cx, at_ms, fwd);
        self.wake_timer = Some((at_ms, subscription));
    }

    fn on_wake(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.wake_timer = None;
        self.advance(cx);
    }

    fn publish(&self) {
        let counts = self.state.counts();
        let mut report = self.report.borrow_mut();
        report.shard = self.lease.shard.0;
        report.fencing = self.lease.epoch.fencing.0;
        report.phase = match self.phase {
            Phase::FindStart(_) | Phase::CatchUp => OwnerPhase::CatchUp,
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
