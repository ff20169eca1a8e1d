//! The lease side: reads the stream, renews, takes and releases duties, and writes checkpoints.

mod duties;

use super::Control;
use super::config_side::read_backoff;
use crate::leases::{Availability, Change, Holder};
use crate::print::SkippedRecords;
use crate::records::{LeaseRecord, Reset, decode, encode};
use crate::reduce::{Grant, LeaseOutcome, LeaseReducer};
use crate::settings::{ControlPorts, ControlSettings, NodeIdentity};
use crate::{ControlEvent, Duty, Lease};
use bluebell_base::prelude::*;
use bluebell_platform::appender::{Appender, AppenderSettings};
use bluebell_platform::backoff::BackoffSettings;
use bluebell_platform::tail::{StreamPosition, Tail, TailEvent, TailSettings};
use bluebell_platform::{LogRecord, ReadBatch};
use bluebell_timers::Timers;
use duties::Balance;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stakker::{ActorOwn, CX, Cx, call, fwd_to, ret_some_to, ret_to};
use std::collections::{BTreeMap, BTreeSet};

/// The minimum time between two attempts to find the end of the stream at the start.
const FIND_END_RETRY_MS: SpanMs = SpanMs(500);

/// The number of checkpoint intervals for which a reader with an unknown state waits before it
/// resets all leases. In that time a dead holder is replaced and its successor writes a
/// checkpoint.
const RESET_AFTER_CHECKPOINTS: u64 = 2;

/// The number of append attempts of a holder within a lease while the log fails.
const ATTEMPTS_PER_LEASE: u64 = 4;

/// A take of this node whose outcome is not read yet.
#[derive(Clone, Copy, Debug)]
struct Taking {
    op: OperationId,
    sent_ms: MonoMs,
}

/// The state of the lease side.
pub(super) struct LeaseSide {
    tail: Option<ActorOwn<Tail>>,
    appender: ActorOwn<Appender>,
    reducer: LeaseReducer,
    holder: Holder,
    availability: Availability,
    next: Offset,
    at_end: bool,
    down: bool,
    /// The time since which the stream has been readable without interruption; `None` while it is
    /// not.
    up_since_ms: Option<MonoMs>,
    had_outage: bool,
    read_ms: Option<MonoMs>,
    unknown_since_ms: Option<MonoMs>,
    log_clock_ms: Option<WallMs>,
    skipped: SkippedRecords,
    taking: BTreeMap<Duty, Taking>,
    renewed_ms: Option<MonoMs>,
    /// The duties released for balance, with the time from which this node may take each again.
    retake_after: BTreeMap<Duty, MonoMs>,
    balance: Option<Balance>,
    leaving: BTreeSet<Incarnation>,
    checkpoint_at: Offset,
    checkpoint_ms: Option<MonoMs>,
}

impl LeaseSide {
    pub(super) fn open(
        cx: &mut Cx<'_, Control>,
        me: &NodeIdentity,
        ports: &ControlPorts,
        timers: &Timers,
        settings: &ControlSettings,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let appender = Appender::spawn(
            cx,
            ports.log.clone(),
            timers.clone(),
            settings.leases_stream.clone(),
            appender_settings(settings),
            random.random(),
        );
        let valid_ms = settings.ttl_ms.saturating_sub(settings.margin_ms);
        Self {
            tail: None,
            appender,
            reducer: LeaseReducer::new(Offset(0)),
            holder: Holder::new(me.incarnation, valid_ms),
            availability: Availability::default(),
            next: Offset(0),
            at_end: false,
            down: false,
            up_since_ms: None,
            had_outage: false,
            read_ms: None,
            unknown_since_ms: None,
            log_clock_ms: None,
            skipped: SkippedRecords::default(),
            taking: BTreeMap::new(),
            renewed_ms: None,
            retake_after: BTreeMap::new(),
            balance: None,
            leaving: BTreeSet::new(),
            checkpoint_at: Offset(0),
            checkpoint_ms: None,
        }
    }

    pub(super) fn is_known(&self) -> bool {
        self.tail.is_some() && self.reducer.is_known()
    }

    pub(super) fn is_down(&self) -> bool {
        self.down || self.tail.is_none()
    }

    pub(super) fn skipped(&self) -> SkippedRecords {
        self.skipped
    }

    pub(super) fn taking(&self) -> usize {
        self.taking.len()
    }

    pub(super) fn held(&self) -> impl Iterator<Item = (&Lease, MonoMs)> {
        self.holder.leases()
    }

    pub(super) fn valid(&self, duty: Duty, now_ms: MonoMs) -> bool {
        self.holder.valid(duty, now_ms).is_some()
    }

    pub(super) fn holder_of(&self, duty: Duty) -> Option<Incarnation> {
        self.reducer.grant(duty).and_then(|grant| grant.holder)
    }

    pub(super) fn all(&self) -> Vec<Lease> {
        let lease = |(duty, grant): (Duty, &Grant)| {
            Some(Lease {
                duty,
                holder: grant.holder?,
                address: grant.address.clone(),
                fencing: grant.fencing,
            })
        };
        self.reducer.grants().filter_map(lease).collect()
    }

    /// Returns the time of the log's clock at the newest record read from either stream.
    pub(super) fn log_clock(&self) -> Option<WallMs> {
        self.log_clock_ms
    }

    pub(super) fn on_log_clock(&mut self, at_ms: WallMs) {
        self.log_clock_ms = self.log_clock_ms.max(Some(at_ms));
    }

    /// Forgets stopping nodes that are no longer live.
    pub(super) fn forget_stopped(&mut self, is_live: impl Fn(&Incarnation) -> bool) {
        self.leaving.retain(is_live);
    }

    fn poll_soon(&self) {
        if let Some(tail) = &self.tail {
            call!([tail], poll_soon());
        }
    }
}

/// Returns the settings of the lease appender. After an outage, holders have to renew before other
/// nodes take their duties, so they retry more often than other writers. There are no more holders
/// than duties.
fn appender_settings(settings: &ControlSettings) -> AppenderSettings {
    let backoff = BackoffSettings {
        cap_ms: SpanMs(settings.ttl_ms.0 / ATTEMPTS_PER_LEASE),
        ..BackoffSettings::default()
    };
    AppenderSettings {
        backoff,
        ..AppenderSettings::default()
    }
}

impl Control {
    /// Requests the end of the leases stream, so that reading starts a window before it. The stream
    /// holds a day of renewals, of which only the last checkpoint and the records after it matter.
    pub(super) fn find_leases_end(&mut self, cx: CX![]) {
        let ret = ret_to!([cx], on_leases_end() as (Result<ReadBatch, Error>));
        let stream = self.settings.leases_stream.clone();
        self.ports.log.read(cx, &stream, Offset(0), Bytes(1), ret);
    }

    fn on_leases_end(&mut self, cx: CX![], answer: Option<Result<ReadBatch, Error>>) {
        let Some(Ok(batch)) = answer else {
            let jitter_ms = self.random.random_range(0..=FIND_END_RETRY_MS.0);
            let again = fwd_to!([cx], retry_find_leases_end() as (MonoMs));
            let wait_ms = FIND_END_RETRY_MS + SpanMs(jitter_ms);
            self.timers.subscribe_in(cx, wait_ms, again);
            return;
        };
        let window = self.settings.leases_window;
        let start = Offset(batch.end.0.saturating_sub(window)).max(batch.first_retained);
        self.follow_leases(cx, start);
    }

    fn retry_find_leases_end(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.find_leases_end(cx);
    }

    fn follow_leases(&mut self, cx: CX![], start: Offset) {
        self.leases.reducer = LeaseReducer::new(start);
        self.leases.next = start;
        let at = StreamPosition {
            stream: self.settings.leases_stream.clone(),
            offset: start,
        };
        let interval_ms = self.settings.leases_tail_ms;
        let settings = TailSettings {
            interval_ms,
            limit_bytes: Bytes(256 * 1024),
            backoff: read_backoff(interval_ms),
        };
        let seed = self.random.random();
        let events = fwd_to!([cx], on_leases_tail() as (TailEvent));
        let log = self.ports.log.clone();
        let timers = self.timers.clone();
        let tail = Tail::spawn(cx, log, timers, at, settings, seed, events);
        self.leases.tail = Some(tail);
    }

    fn on_leases_tail(&mut self, cx: CX![], event: TailEvent) {
        let now_ms = self.timers.now_ms(cx);
        match event {
            TailEvent::Records { records, end, .. } => {
                for record in records {
                    self.read_lease_record(record, now_ms);
                }
                self.leases.at_end = self.leases.next >= end;
                self.leases.read_ms = Some(now_ms);
                self.leases.up_since_ms.get_or_insert(now_ms);
                self.add_free_duties(now_ms);
                self.finish_drain(now_ms);
            }
            TailEvent::Gap { to, .. } => {
                self.leases.next = to;
                self.leases.reducer.skip_to(to);
                // The wait before a take starts again, since the gap may contain renewals.
                self.leases.availability = Availability::default();
            }
            TailEvent::Down(_) => {
                self.leases.down = true;
                self.leases.at_end = false;
                self.leases.up_since_ms = None;
                self.leases.had_outage = true;
            }
            TailEvent::Up => self.leases.down = false,
        }
    }

    fn read_lease_record(&mut self, record: LogRecord, now_ms: MonoMs) {
        self.leases.on_log_clock(record.appended_ms);
        self.leases.next = Offset(record.offset.0 + 1);
        let decoded: LeaseRecord = match decode(&record.body, self.settings.record_bytes) {
            Ok(decoded) => decoded,
            Err(error) => return self.leases.skipped.count(&error),
        };
        if matches!(decoded, LeaseRecord::Checkpoint(_)) {
            self.leases.checkpoint_at = record.offset;
            self.leases.checkpoint_ms = Some(now_ms);
        }
        if let LeaseRecord::Release(release) = &decoded
            && release.leaving
        {
            self.leases.leaving.insert(release.holder);
        }
        let mut outcomes = Vec::new();
        self.leases
            .reducer
            .apply(record.offset, decoded, &mut outcomes);
        for outcome in outcomes {
            self.on_lease_outcome(outcome, now_ms);
        }
    }

    fn on_lease_outcome(&mut self, outcome: LeaseOutcome, now_ms: MonoMs) {
        match outcome {
            LeaseOutcome::Granted { op, duty } => {
                self.leases.taking.remove(&duty);
                self.on_touched(op, duty, now_ms);
                self.announce_holder(duty);
            }
            LeaseOutcome::Renewed { op, duty } => self.on_touched(op, duty, now_ms),
            LeaseOutcome::Refused { op, duty } => {
                let own = |taking: &Taking| taking.op == op;
                if self.leases.taking.get(&duty).is_some_and(own) {
                    self.leases.taking.remove(&duty);
                }
            }
            LeaseOutcome::Released { duty } => {
                self.leases.availability.on_free(duty, now_ms);
                let change = self.leases.holder.drop_duty(duty);
                self.announce(change);
            }
            LeaseOutcome::Replaced => self.on_replaced(now_ms),
            LeaseOutcome::CheckpointSeen { .. } => (),
        }
    }

    fn on_touched(&mut self, op: OperationId, duty: Duty, now_ms: MonoMs) {
        self.leases.availability.on_touched(duty, now_ms);
        let Some(grant) = self.leases.reducer.grant(duty) else {
            return;
        };
        let change = self.leases.holder.on_touched(op, duty, grant, now_ms);
        self.announce(change);
    }

    /// Applies a replacement of all leases. A holder may have renewed its lease just before, so
    /// this node waits for each duty as after a renewal, except for those known to be free.
    fn on_replaced(&mut self, now_ms: MonoMs) {
        self.leases.availability = Availability::default();
        for duty in self.settings.duties() {
            let grant = self.leases.reducer.grant(duty);
            match grant.map(|grant| grant.holder) {
                Some(None) => self.leases.availability.on_free(duty, now_ms),
                Some(Some(_)) => self.leases.availability.on_touched(duty, now_ms),
                None if self.leases.reducer.touched(duty).is_some() => {
                    self.leases.availability.on_touched(duty, now_ms);
                }
                None => self.leases.availability.on_free(duty, now_ms),
            }
            self.announce_holder(duty);
        }
        let reducer = &self.leases.reducer;
        let changes = self
            .leases
            .holder
            .drop_revoked(|duty| reducer.grant(duty).cloned());
        for change in changes {
            self.announce(Some(change));
        }
    }

    /// Marks duties that no node ever held as free from the time at which the end of the stream was
    /// first read.
    fn add_free_duties(&mut self, now_ms: MonoMs) {
        if !self.leases.at_end || !self.leases.reducer.is_known() {
            return;
        }
        for duty in self.settings.duties() {
            let known = self.leases.availability.free_at(duty, SpanMs(0)).is_some();
            if !known && self.leases.reducer.touched(duty).is_none() {
                self.leases.availability.on_free(duty, now_ms);
            }
        }
    }

    fn announce(&mut self, change: Option<Change>) {
        match change {
            // A take that was in flight when the node began to stop may still count. The duty is
            // released at the next tick, and no node acts on it until then.
            Some(Change::Held { .. }) if self.drained => (),
            Some(Change::Held { lease, until_ms }) => {
                self.emit(ControlEvent::Held { lease, until_ms });
            }
            Some(Change::Lost(duty)) => self.emit(ControlEvent::Lost(duty)),
            None => (),
        }
    }

    fn announce_holder(&mut self, duty: Duty) {
        let Some(grant) = self.leases.reducer.grant(duty) else {
            return;
        };
        if let Some(holder) = grant.holder {
            self.emit(ControlEvent::Holder(Lease {
                duty,
                holder,
                address: grant.address.clone(),
                fencing: grant.fencing,
            }));
        }
    }

    /// Hands a record to the appender. Reading the stream shows its outcome.
    fn append_lease(&mut self, cx: CX![], record: &LeaseRecord) {
        let ret = ret_some_to!([cx], on_lease_appended() as (Result<Offset, Error>));
        call!([self.leases.appender], append(vec![encode(record)], ret));
    }

    fn on_lease_appended(&mut self, _cx: CX![], answer: Result<Offset, Error>) {
        match answer {
            Ok(_) => self.leases.poll_soon(),
            // Nothing was appended. A renewal is due again as soon as the appender accepts it.
            Err(error) if error.verdict == Verdict::NotRun => self.leases.renewed_ms = None,
            // Reading the stream shows the outcome of this record or of the next renewal.
            Err(_) => (),
        }
    }

    /// Resets all leases if this node's state of them stays unknown.
    ///
    /// After an outage longer than the log's retention, or after all nodes were replaced and no
    /// checkpoint is in their window, every reader would wait forever. A reset is safe at any time,
    /// since nodes wait for the duration of a lease after it before they take a duty.
    fn tick_reset(&mut self, cx: CX![], now_ms: MonoMs) {
        if !self.leases.at_end || self.leases.reducer.is_known() {
            self.leases.unknown_since_ms = None;
            return;
        }
        let jitter_ms = SpanMs(self.random.random_range(0..=self.settings.checkpoint_ms.0));
        let wait_ms = SpanMs(self.settings.checkpoint_ms.0 * RESET_AFTER_CHECKPOINTS) + jitter_ms;
        let since_ms = *self.leases.unknown_since_ms.get_or_insert(now_ms);
        if now_ms.since(since_ms) >= wait_ms {
            self.leases.unknown_since_ms = None;
            let op = self.operation();
            self.append_lease(cx, &LeaseRecord::Reset(Reset { op }));
        }
    }
}
