//! The directory stream: reading it, and writing it while this node holds the duty.

use super::Members;
use crate::directory::{
    Beat, DirectoryOutcome, DirectoryRecord, DirectoryReducer, decode, digest, encode, full_records,
};
use crate::listing::ListChange;
use crate::settings::{MembersPorts, MembersSettings};
use bluebell_base::prelude::*;
use bluebell_platform::appender::{Appender, AppenderSettings};
use bluebell_platform::backoff::BackoffSettings;
use bluebell_platform::tail::{StreamPosition, Tail, TailEvent, TailSettings};
use bluebell_platform::{LogRecord, ReadBatch, VmEntry};
use bluebell_timers::Timers;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stakker::{ActorOwn, CX, Cx, call, fwd_to, ret_some_to, ret_to};

/// Full record sets are written this many times within the time the log keeps records.
const FULLS_PER_RETENTION: u64 = 4;

/// How long an own record may stay unread before another is written.
const WRITING_MS: SpanMs = SpanMs::from_secs(5);

/// How long a fresh node waits for the list before it reads the stream from its beginning.
const REPLAY_AFTER_MS: SpanMs = SpanMs::from_secs(3);

/// How long the first fetch of the list waits for the stream's end to be found.
const END_FIRST_MS: SpanMs = SpanMs(500);

/// The time between two tries to find the stream's end.
const FIND_END_AGAIN_MS: SpanMs = SpanMs(1_000);

/// The most by which nodes spread their fetches after a digest differed.
const DIFFERS_SPREAD_MS: u64 = 5_000;

/// The largest append: a full list of some ten thousand VMs.
const APPEND_BYTES: Bytes = Bytes(8 * 1024 * 1024);

/// The most bytes of records asked for in one read of the stream.
const READ_BYTES: Bytes = Bytes(1024 * 1024);

/// The longest pause between reads while they fail.
const READING_CAP_MS: SpanMs = SpanMs::from_secs(10);

/// An own writing that was not read back yet.
#[derive(Clone, Copy, Debug)]
struct Writing {
    op: OperationId,
    since_ms: MonoMs,
}

/// The stream's state.
pub(super) struct Directory {
    tail: Option<ActorOwn<Tail>>,
    appender: ActorOwn<Appender>,
    pub(super) reducer: DirectoryReducer,
    read_ms: Option<MonoMs>,
    down: bool,
    pub(super) replaying: bool,
    /// Whether the writer's digest was another than this node's at the last beat.
    pub(super) differs: bool,
    pub(super) skipped: u64,
    writing: Option<Writing>,
    beat_ms: Option<MonoMs>,
    full_ms: Option<MonoMs>,
}

impl Directory {
    pub(super) fn open(
        cx: &mut Cx<'_, Members>,
        ports: &MembersPorts,
        timers: &Timers,
        settings: &MembersSettings,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let appender_settings = AppenderSettings {
            batch_bytes: APPEND_BYTES,
            waiting_bytes: APPEND_BYTES,
            ..AppenderSettings::default()
        };
        let appender = Appender::spawn(
            cx,
            ports.log.clone(),
            timers.clone(),
            settings.directory_stream.clone(),
            appender_settings,
            random.random(),
        );
        Self {
            tail: None,
            appender,
            reducer: DirectoryReducer::default(),
            read_ms: None,
            down: false,
            replaying: false,
            differs: false,
            skipped: 0,
            writing: None,
            beat_ms: None,
            full_ms: None,
        }
    }
}

impl Members {
    /// Asks where the stream ends, to follow it from there: what came before is in the list that
    /// this node fetches itself.
    pub(super) fn find_directory_end(&mut self, cx: CX![]) {
        let ret = ret_to!([cx], on_directory_end() as (Result<ReadBatch, Error>));
        let stream = self.settings.directory_stream.clone();
        self.ports.log.read(cx, &stream, Offset(0), Bytes(1), ret);
    }

    /// Whether the first fetch of the list should still wait for the stream's end to be found: a
    /// change that is written between the two would be in neither. Where the log is slow, a
    /// list that may lack a change (until the next beat's digest) is better than none.
    pub(super) fn awaits_end(&self, now_ms: MonoMs) -> bool {
        let found = self.list_side.directory.tail.is_some();
        !found && now_ms < self.probes.started_ms() + END_FIRST_MS
    }

    fn on_directory_end(&mut self, cx: CX![], answer: Option<Result<ReadBatch, Error>>) {
        match answer {
            Some(Ok(batch)) => self.follow_directory(cx, batch.end),
            Some(Err(_)) | None => {
                let wait_ms = self.vary(FIND_END_AGAIN_MS);
                let again = fwd_to!([cx], find_directory_end_again() as (MonoMs));
                self.timers.subscribe_in(cx, wait_ms, again);
            }
        }
    }

    fn find_directory_end_again(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.find_directory_end(cx);
    }

    fn follow_directory(&mut self, cx: CX![], offset: Offset) {
        let interval_ms = self.settings.directory_tail_ms;
        let settings = TailSettings {
            interval_ms,
            limit_bytes: READ_BYTES,
            backoff: BackoffSettings {
                first_ms: interval_ms,
                cap_ms: READING_CAP_MS,
            },
        };
        let at = StreamPosition {
            stream: self.settings.directory_stream.clone(),
            offset,
        };
        let seed = self.random.random();
        let events = fwd_to!([cx], on_directory_tail() as (TailEvent));
        let (log, timers) = (self.ports.log.clone(), self.timers.clone());
        let tail = Tail::spawn(cx, log, timers, at, settings, seed, events);
        self.list_side.directory.tail = Some(tail);
    }

    /// Whether nothing was read from a writer for so long that there may be none.
    pub(super) fn is_stale(&self, now_ms: MonoMs) -> bool {
        let read_ms = self.list_side.directory.read_ms;
        read_ms.is_none_or(|at_ms| now_ms.since(at_ms) >= self.settings.stale_ms)
    }

    fn on_directory_tail(&mut self, cx: CX![], event: TailEvent) {
        let now_ms = self.timers.now_ms(cx);
        match event {
            TailEvent::Records { records, end, .. } => {
                let next = records.last().map(|record| Offset(record.offset.0 + 1));
                for record in records {
                    self.read_directory(record, now_ms);
                }
                let at_end = next.is_none_or(|next| next >= end);
                if at_end && self.list_side.complete {
                    self.end_replay(now_ms);
                }
            }
            // What was lost shows by the digest of the next beat.
            TailEvent::Gap { .. } => (),
            TailEvent::Down(_) => self.list_side.directory.down = true,
            TailEvent::Up => self.list_side.directory.down = false,
        }
    }

    fn read_directory(&mut self, record: LogRecord, now_ms: MonoMs) {
        let Some(decoded) = decode(&record.body, self.settings.record_bytes) else {
            self.list_side.directory.skipped += 1;
            return;
        };
        match self.list_side.directory.reducer.apply(decoded) {
            DirectoryOutcome::Changes {
                op,
                changes,
                digest,
            } => self.read_beat(op, &changes, digest, now_ms),
            DirectoryOutcome::Full { op, entries } => self.read_full(op, entries, now_ms),
            DirectoryOutcome::Nothing => (),
        }
    }

    fn read_beat(&mut self, op: OperationId, changes: &[ListChange], theirs: u64, now_ms: MonoMs) {
        self.list_side.directory.read_ms = Some(now_ms);
        self.written(op);
        self.apply_changes(changes, now_ms);
        if !self.list_side.complete {
            return;
        }
        // A reader may have missed a change, or taken one that the writer's list never had: from
        // a gap, from its own fetch, from a superseded writer's record before it read of the new
        // one. None of that may stay.
        let differs = digest(self.listing.entries()) != theirs;
        if differs && !self.list_side.directory.differs {
            let spread_ms = self.random.random_range(0..=DIFFERS_SPREAD_MS);
            self.list_side.fetch_by(now_ms + SpanMs(spread_ms));
        }
        self.list_side.directory.differs = differs;
    }

    fn read_full(&mut self, op: OperationId, entries: Vec<VmEntry>, now_ms: MonoMs) {
        self.list_side.directory.read_ms = Some(now_ms);
        self.list_side.directory.full_ms = Some(now_ms);
        self.list_side.directory.differs = false;
        self.list_side.complete = true;
        if self.written(op)
            && let Some(duty) = &mut self.list_side.duty
        {
            duty.opened = true;
        }
        let changes = self.listing.replace(entries);
        self.apply_changes(&changes, now_ms);
    }

    /// Whether it was this node's record that was read.
    fn written(&mut self, op: OperationId) -> bool {
        let own = |writing: Writing| writing.op == op;
        let own = self.list_side.directory.writing.is_some_and(own);
        if own {
            self.list_side.directory.writing = None;
        }
        own
    }

    pub(super) fn tick_directory(&mut self, cx: CX![], now_ms: MonoMs) {
        let directory = &mut self.list_side.directory;
        let unread = |writing: Writing| now_ms.since(writing.since_ms) >= WRITING_MS;
        if directory.writing.is_some_and(unread) {
            directory.writing = None;
        }
        let fresh = !self.list_side.complete && !directory.replaying && directory.tail.is_some();
        if fresh && now_ms >= self.probes.started_ms() + REPLAY_AFTER_MS {
            // The list does not answer: the stream's last full record set and what follows it
            // give the same.
            self.list_side.directory.replaying = true;
            self.follow_directory(cx, Offset(0));
        }
        self.write_full_if_due(cx, now_ms);
        self.write_beat_if_due(cx, now_ms);
    }

    /// Writes between two fetches that the writer is at work.
    ///
    /// A long list is fetched less often than the stream goes stale. Were beats written by fetches
    /// alone, all nodes would take the stream for stale all the time and fetch the list
    /// themselves, hundreds of copies of it for one. A writer that can't reach the list stops to
    /// write beats soon after a fetch is due, so that the others do look for themselves.
    fn write_beat_if_due(&mut self, cx: CX![], now_ms: MonoMs) {
        let beat_ms = self.list_side.directory.beat_ms;
        let due = beat_ms.is_none_or(|at_ms| now_ms.since(at_ms) >= self.settings.beat_ms);
        if due && !self.list_side.fetches_soon(now_ms) && self.speaks_for_list(now_ms) {
            self.write_changes(cx, Vec::new(), now_ms);
        }
    }

    fn may_write(&self, now_ms: MonoMs) -> Option<Fencing> {
        let directory = &self.list_side.directory;
        let busy = directory.writing.is_some() || directory.down || directory.tail.is_none();
        let duty = self.list_side.duty.filter(|duty| now_ms < duty.until_ms);
        duty.filter(|_| !busy && self.list_side.complete)
            .map(|duty| duty.fencing)
    }

    /// A new writer begins with the whole list: its own may hold changes that its predecessor
    /// never wrote, and its fencing number then stands in the stream before anything else of it.
    fn write_full_if_due(&mut self, cx: CX![], now_ms: MonoMs) {
        let Some(fencing) = self.may_write(now_ms) else {
            return;
        };
        let opened = self.list_side.duty.is_some_and(|duty| duty.opened);
        let interval_ms = SpanMs(self.settings.retention_ms.0 / FULLS_PER_RETENTION);
        let full_ms = self.list_side.directory.full_ms;
        let recent = full_ms.is_some_and(|at_ms| now_ms.since(at_ms) < interval_ms);
        if opened && recent {
            return;
        }
        let op = OperationId(self.random.random());
        let entries = self.listing.entries();
        let records = full_records(op, fencing, entries, self.settings.record_bytes);
        self.write(cx, op, &records, now_ms);
    }

    pub(super) fn write_changes(&mut self, cx: CX![], changes: Vec<ListChange>, now_ms: MonoMs) {
        let Some(fencing) = self.may_write(now_ms) else {
            return;
        };
        let opened = self.list_side.duty.is_some_and(|duty| duty.opened);
        let beat_ms = self.list_side.directory.beat_ms;
        let quiet = beat_ms.is_some_and(|at_ms| now_ms.since(at_ms) < self.settings.beat_ms);
        if !opened || (changes.is_empty() && quiet) {
            return;
        }
        let mut after = self.listing.clone();
        changes.iter().for_each(|change| {
            after.apply(change);
        });
        let op = OperationId(self.random.random());
        let beat = Beat {
            op,
            fencing,
            digest: digest(after.entries()),
            changes,
        };
        let record = DirectoryRecord::Beat(beat);
        if encode(&record).len() as u64 > self.settings.record_bytes.0 {
            // So many changes at once are better told as the whole list, which can be cut.
            let entries = after.entries();
            let records = full_records(op, fencing, entries, self.settings.record_bytes);
            return self.write(cx, op, &records, now_ms);
        }
        self.list_side.directory.beat_ms = Some(now_ms);
        self.write(cx, op, &[record], now_ms);
    }

    fn write(&mut self, cx: CX![], op: OperationId, records: &[DirectoryRecord], now_ms: MonoMs) {
        let since_ms = now_ms;
        self.list_side.directory.writing = Some(Writing { op, since_ms });
        let records: Vec<_> = records.iter().map(encode).collect();
        let ret = ret_some_to!([cx], on_directory_appended() as (Result<Offset, Error>));
        call!([self.list_side.directory.appender], append(records, ret));
    }

    /// An append whose answer is lost is not repeated: its changes show when they are read, or
    /// the next fetch gives them again.
    fn on_directory_appended(&mut self, _cx: CX![], answer: Result<Offset, Error>) {
        match (answer, &self.list_side.directory.tail) {
            (Ok(_), Some(tail)) => call!([tail], poll_soon()),
            (Err(error), _) if error.verdict == Verdict::NotRun => {
                self.list_side.directory.writing = None;
            }
            (Ok(_) | Err(_), _) => (),
        }
    }
}
