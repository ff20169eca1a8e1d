//! The lease half: reading the stream, renewing, taking, releasing, checkpoints.

mod duties;

use super::Control;
use super::config_side::reading_backoff;
use crate::leases::{Change, Holder, Watch};
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

/// The time between two tries to find the stream's end at the start.
const FIND_END_AGAIN_MS: SpanMs = SpanMs(500);

/// How many checkpoint intervals a reader that knows nothing waits before it resets all leases;
/// in that time a holder that has died is replaced and its successor writes a checkpoint.
const RESET_AFTER_CHECKPOINTS: u64 = 2;

/// How many times within a lease a holder tries to append again while the log fails.
const TRIES_PER_LEASE: u64 = 4;

/// A take of this node whose fate is not read.
#[derive(Clone, Copy, Debug)]
struct Taking {
    op: OperationId,
    sent_ms: MonoMs,
}

/// The lease half's state.
pub(super) struct LeaseSide {
    tail: Option<ActorOwn<Tail>>,
    appender: ActorOwn<Appender>,
    reducer: LeaseReducer,
    holder: Holder,
    watch: Watch,
    next: Offset,
    at_end: bool,
    down: bool,
    /// Since when the stream has been readable without a break; none while it is not.
    up_since_ms: Option<MonoMs>,
    had_outage: bool,
    read_ms: Option<MonoMs>,
    unknown_since_ms: Option<MonoMs>,
    log_clock_ms: Option<WallMs>,
    skipped: SkippedRecords,
    taking: BTreeMap<Duty, Taking>,
    renewed_ms: Option<MonoMs>,
    cooling: BTreeMap<Duty, MonoMs>,
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
            watch: Watch::default(),
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
            cooling: BTreeMap::new(),
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

    pub(super) fn until(&self) -> impl Iterator<Item = (&Lease, MonoMs)> {
        self.holder.until()
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

    /// The log's own clock, as of the newest record read from either stream.
    pub(super) fn log_clock(&self) -> Option<WallMs> {
        self.log_clock_ms
    }

    pub(super) fn on_log_clock(&mut self, at_ms: WallMs) {
        self.log_clock_ms = self.log_clock_ms.max(Some(at_ms));
    }

    /// Forgets stopped nodes that are no longer among the live ones.
    pub(super) fn forget_left(&mut self, is_live: impl Fn(&Incarnation) -> bool) {
        self.leaving.retain(is_live);
    }

    fn poll_soon(&self) {
        if let Some(tail) = &self.tail {
            call!([tail], poll_soon());
        }
    }
}

/// Holders have to renew within the time that takers leave them after an outage, so they try more
/// often than other writers; there are no more of them than duties.
fn appender_settings(settings: &ControlSettings) -> AppenderSettings {
    let backoff = BackoffSettings {
        cap_ms: SpanMs(settings.ttl_ms.0 / TRIES_PER_LEASE),
        ..BackoffSettings::default()
    };
    AppenderSettings {
        backoff,
        ..AppenderSettings::default()
    }
}

impl Control {
    /// Asks where the leases stream ends, to begin a window before that: the stream holds a day
    /// of renewals, of which only the last checkpoint and what follows it matter.
    pub(super) fn find_leases_end(&mut self, cx: CX![]) {
        let ret = ret_to!([cx], on_leases_end() as (Result<ReadBatch, Error>));
        let stream = self.settings.leases_stream.clone();
        self.ports.log.read(cx, &stream, Offset(0), Bytes(1), ret);
    }

    fn on_leases_end(&mut self, cx: CX![], answer: Option<Result<ReadBatch, Error>>) {
        let Some(Ok(batch)) = answer else {
            let jitter_ms = self.random.random_range(0..=FIND_END_AGAIN_MS.0);
            let again = fwd_to!([cx], find_leases_end_again() as (MonoMs));
            let wait_ms = FIND_END_AGAIN_MS + SpanMs(jitter_ms);
            self.timers.subscribe_in(cx, wait_ms, again);
            return;
        };
        let window = self.settings.leases_window;
        let start = Offset(batch.end.0.saturating_sub(window)).max(batch.first_retained);
        self.follow_leases(cx, start);
    }

    fn find_leases_end_again(&mut self, cx: CX![], _now_ms: MonoMs) {
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
            backoff: reading_backoff(interval_ms),
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
                self.watch_free_duties(now_ms);
                self.finish_drain(now_ms);
            }
            TailEvent::Gap { to, .. } => {
                self.leases.next = to;
                self.leases.reducer.skip_to(to);
                // Takers wait anew: who renewed within the gap is not known.
                self.leases.watch = Watch::default();
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
                self.leases.watch.on_free(duty, now_ms);
                let change = self.leases.holder.drop_duty(duty);
                self.announce(change);
            }
            LeaseOutcome::Replaced => self.on_replaced(now_ms),
            LeaseOutcome::CheckpointSeen { .. } => (),
        }
    }

    fn on_touched(&mut self, op: OperationId, duty: Duty, now_ms: MonoMs) {
        self.leases.watch.on_touched(duty, now_ms);
        let Some(grant) = self.leases.reducer.grant(duty) else {
            return;
        };
        let change = self.leases.holder.on_touched(op, duty, grant, now_ms);
        self.announce(change);
    }

    /// All leases may be different now. Whoever holds one may have renewed it just before, so
    /// this node waits for each as after a renewal, but for those known to be free.
    fn on_replaced(&mut self, now_ms: MonoMs) {
        self.leases.watch = Watch::default();
        for duty in self.settings.duties() {
            let grant = self.leases.reducer.grant(duty);
            match grant.map(|grant| grant.holder) {
                Some(None) => self.leases.watch.on_free(duty, now_ms),
                Some(Some(_)) => self.leases.watch.on_touched(duty, now_ms),
                None if self.leases.reducer.touched(duty).is_some() => {
                    self.leases.watch.on_touched(duty, now_ms);
                }
                None => self.leases.watch.on_free(duty, now_ms),
            }
            self.announce_holder(duty);
        }
        let reducer = &self.leases.reducer;
        let changes = self
            .leases
            .holder
            .compare(|duty| reducer.grant(duty).cloned());
        for change in changes {
            self.announce(Some(change));
        }
    }

    /// Duties that nobody ever held are free from when the end of the stream was first read.
    fn watch_free_duties(&mut self, now_ms: MonoMs) {
        if !self.leases.at_end || !self.leases.reducer.is_known() {
            return;
        }
        for duty in self.settings.duties() {
            let known = self.leases.watch.free_at(duty, SpanMs(0)).is_some();
            if !known && self.leases.reducer.touched(duty).is_none() {
                self.leases.watch.on_free(duty, now_ms);
            }
        }
    }

    fn announce(&mut self, change: Option<Change>) {
        match change {
            // A take that was under way when the node began to stop may still count; the duty is
            // released at the next tick and acted on by nobody until then.
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

    /// Hands a record to the appender; its fate is learned by reading.
    fn append_lease(&mut self, cx: CX![], record: &LeaseRecord) {
        let ret = ret_some_to!([cx], on_lease_appended() as (Result<Offset, Error>));
        call!([self.leases.appender], append(vec![encode(record)], ret));
    }

    fn on_lease_appended(&mut self, _cx: CX![], answer: Result<Offset, Error>) {
        match answer {
            Ok(_) => self.leases.poll_soon(),
            // Nothing was sent or taken; a renewal is due again as soon as the appender lets it.
            Err(error) if error.verdict == Verdict::NotRun => self.leases.renewed_ms = None,
            // Its fate is read, or shows in the next renewal's.
            Err(_) => (),
        }
    }

    /// Resets all leases where nobody is left who knows them.
    ///
    /// After an outage longer than the log's retention, or once all nodes were replaced without a
    /// checkpoint in reach, every reader would wait for ever. A reset is safe at any time, since
    /// takers wait after it for as long as a lease lasts.
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
