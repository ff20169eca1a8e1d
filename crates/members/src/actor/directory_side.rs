//! Reads the directory stream, and writes it while this node holds the duty.

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

/// The number of full record sets written within the retention of the log.
const FULL_LISTS_PER_RETENTION: u64 = 4;

/// The time after which an own record that was not read back no longer blocks the next one.
const READ_BACK_TIMEOUT_MS: SpanMs = SpanMs::from_secs(5);

/// The time that a starting node waits for the list before it reads the stream from its beginning.
const REPLAY_AFTER_MS: SpanMs = SpanMs::from_secs(3);

/// The maximum time that the first fetch of the list waits until the stream's end is known.
const FIND_END_WAIT_MS: SpanMs = SpanMs(500);

/// The mean interval between attempts to read the stream's end.
const FIND_END_RETRY_MS: SpanMs = SpanMs(1_000);

/// The maximum random delay of a fetch after a digest mismatch, in ms, so that nodes spread their
/// fetches.
const REFETCH_SPREAD_MS: u64 = 5_000;

/// The maximum size of an append. It suffices for a full list of some ten thousand VMs.
const MAX_APPEND_BYTES: Bytes = Bytes(8 * 1024 * 1024);

/// The maximum size of the records in one read of the stream.
const MAX_READ_BYTES: Bytes = Bytes(1024 * 1024);

/// The maximum backoff between reads while they fail.
const READ_BACKOFF_CAP_MS: SpanMs = SpanMs::from_secs(10);

/// An own write that was not read back yet.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    op: OperationId,
    since_ms: MonoMs,
}

/// The state of reading and writing the directory stream.
pub(super) struct Directory {
    tail: Option<ActorOwn<Tail>>,
    appender: ActorOwn<Appender>,
    pub(super) reducer: DirectoryReducer,
    last_read_ms: Option<MonoMs>,
    down: bool,
    pub(super) replaying: bool,
    /// True if the writer's digest differed from this node's at the last beat.
    pub(super) digest_differs: bool,
    pub(super) skipped: u64,
    pending_write: Option<PendingWrite>,
    last_beat_ms: Option<MonoMs>,
    last_full_ms: Option<MonoMs>,
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
            batch_bytes: MAX_APPEND_BYTES,
            waiting_bytes: MAX_APPEND_BYTES,
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
            last_read_ms: None,
            down: false,
            replaying: false,
            digest_differs: false,
            skipped: 0,
            pending_write: None,
            last_beat_ms: None,
            last_full_ms: None,
        }
    }
}

impl Members {
    /// Requests the end of the stream, to follow it from there. Earlier changes are in the list that
    /// this node fetches itself.
    pub(super) fn find_directory_end(&mut self, cx: CX![]) {
        let ret = ret_to!([cx], on_directory_end() as (Result<ReadBatch, Error>));
        let stream = self.settings.directory_stream.clone();
        self.ports.log.read(cx, &stream, Offset(0), Bytes(1), ret);
    }

    /// Returns true if the first fetch of the list should still wait until the stream's end is known.
    /// Otherwise a change written between the two would be in neither. If the log is slow, a list
    /// that may lack a change until the next beat's digest is better than no list.
    pub(super) fn awaits_end(&self, now_ms: MonoMs) -> bool {
        let found = self.list_side.directory.tail.is_some();
        !found && now_ms < self.probes.started_ms() + FIND_END_WAIT_MS
    }

    fn on_directory_end(&mut self, cx: CX![], answer: Option<Result<ReadBatch, Error>>) {
        match answer {
            Some(Ok(batch)) => self.follow_directory(cx, batch.end),
            Some(Err(_)) | None => {
                let wait_ms = self.jitter(FIND_END_RETRY_MS);
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
            limit_bytes: MAX_READ_BYTES,
            backoff: BackoffSettings {
                first_ms: interval_ms,
                cap_ms: READ_BACKOFF_CAP_MS,
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

    /// Returns true if no record of a writer was read for so long that there may be no writer.
    pub(super) fn is_stale(&self, now_ms: MonoMs) -> bool {
        let read_ms = self.list_side.directory.last_read_ms;
        read_ms.is_none_or(|at_ms| now_ms.since(at_ms) >= self.settings.stale_ms)
    }

    fn on_directory_tail(&mut self, cx: CX![], event: TailEvent) {
        let now_ms = self.timers.now_ms(cx);
        match event {
            TailEvent::Records { records, end, .. } => {
                let next = records.last().map(|record| Offset(record.offset.0 + 1));
                for record in records {
                    self.apply_record(record, now_ms);
                }
                let at_end = next.is_none_or(|next| next >= end);
                if at_end && self.list_side.complete {
                    self.end_replay(now_ms);
                }
            }
            // The digest of the next beat shows if a change was lost.
            TailEvent::Gap { .. } => (),
            TailEvent::Down(_) => self.list_side.directory.down = true,
            TailEvent::Up => self.list_side.directory.down = false,
        }
    }

    fn apply_record(&mut self, record: LogRecord, now_ms: MonoMs) {
        let Some(decoded) = decode(&record.body, self.settings.record_bytes) else {
            self.list_side.directory.skipped += 1;
            return;
        };
        match self.list_side.directory.reducer.apply(decoded) {
            DirectoryOutcome::Changes {
                op,
                changes,
                digest,
            } => self.apply_beat(op, &changes, digest, now_ms),
            DirectoryOutcome::Full { op, entries } => self.apply_full(op, entries, now_ms),
            DirectoryOutcome::Nothing => (),
        }
    }

    fn apply_beat(
        &mut self,
        op: OperationId,
        changes: &[ListChange],
        writer_digest: u64,
        now_ms: MonoMs,
    ) {
        self.list_side.directory.last_read_ms = Some(now_ms);
        self.complete_own_write(op);
        self.apply_changes(changes, now_ms);
        if !self.list_side.complete {
            return;
        }
        // A reader may have missed a change or applied one that the writer's list never had,
        // because of a gap, its own fetch, or a superseded writer's record that it read before the
        // first of the new writer. Such a difference must not persist.
        let digest_differs = digest(self.listing.entries()) != writer_digest;
        if digest_differs && !self.list_side.directory.digest_differs {
            let spread_ms = self.random.random_range(0..=REFETCH_SPREAD_MS);
            self.list_side.fetch_by(now_ms + SpanMs(spread_ms));
        }
        self.list_side.directory.digest_differs = digest_differs;
    }

    fn apply_full(&mut self, op: OperationId, entries: Vec<VmEntry>, now_ms: MonoMs) {
        self.list_side.directory.last_read_ms = Some(now_ms);
        self.list_side.directory.last_full_ms = Some(now_ms);
        self.list_side.directory.digest_differs = false;
        self.list_side.complete = true;
        if self.complete_own_write(op)
            && let Some(duty) = &mut self.list_side.duty
        {
            duty.full_list_written = true;
        }
        let changes = self.listing.replace(entries);
        self.apply_changes(&changes, now_ms);
    }

    /// Ends the pending write if the record read is this node's own. Returns true if it was.
    fn complete_own_write(&mut self, op: OperationId) -> bool {
        let own = |pending_write: PendingWrite| pending_write.op == op;
        let own = self.list_side.directory.pending_write.is_some_and(own);
        if own {
            self.list_side.directory.pending_write = None;
        }
        own
    }

    pub(super) fn tick_directory(&mut self, cx: CX![], now_ms: MonoMs) {
        let directory = &mut self.list_side.directory;
        let unread = |pending_write: PendingWrite| {
            now_ms.since(pending_write.since_ms) >= READ_BACK_TIMEOUT_MS
        };
        if directory.pending_write.is_some_and(unread) {
            directory.pending_write = None;
        }
        let fresh = !self.list_side.complete && !directory.replaying && directory.tail.is_some();
        if fresh && now_ms >= self.probes.started_ms() + REPLAY_AFTER_MS {
            // The list is unavailable. The last full record set of the stream and the records after
            // it have the same content.
            self.list_side.directory.replaying = true;
            self.follow_directory(cx, Offset(0));
        }
        self.write_full_if_due(cx, now_ms);
        self.write_beat_if_due(cx, now_ms);
    }

    /// Writes a beat between two fetches to show that the writer is active.
    ///
    /// A long list is fetched less often than the stream becomes stale. If only fetches caused beats,
    /// all nodes would consider the stream stale and fetch the list themselves: hundreds of copies
    /// instead of one. A writer that can't reach the list stops writing beats soon after a fetch is
    /// due, so that the other nodes fetch the list themselves.
    fn write_beat_if_due(&mut self, cx: CX![], now_ms: MonoMs) {
        let beat_ms = self.list_side.directory.last_beat_ms;
        let due = beat_ms.is_none_or(|at_ms| now_ms.since(at_ms) >= self.settings.beat_ms);
        if due && !self.list_side.is_fetch_near(now_ms) && self.has_recent_list(now_ms) {
            self.write_changes(cx, Vec::new(), now_ms);
        }
    }

    /// Returns the fencing number if this node may write now, otherwise `None`.
    fn may_write(&self, now_ms: MonoMs) -> Option<Fencing> {
        let directory = &self.list_side.directory;
        let busy = directory.pending_write.is_some() || directory.down || directory.tail.is_none();
        let duty = self.list_side.duty.filter(|duty| now_ms < duty.until_ms);
        duty.filter(|_| !busy && self.list_side.complete)
            .map(|duty| duty.fencing)
    }

    /// Writes the whole list if it is due. A new writer begins with it, since its list may have
    /// changes that its predecessor never wrote. Its fencing number is then in the stream before any
    /// other record of it.
    fn write_full_if_due(&mut self, cx: CX![], now_ms: MonoMs) {
        let Some(fencing) = self.may_write(now_ms) else {
            return;
        };
        let full_list_written = self
            .list_side
            .duty
            .is_some_and(|duty| duty.full_list_written);
        let interval_ms = SpanMs(self.settings.retention_ms.0 / FULL_LISTS_PER_RETENTION);
        let full_ms = self.list_side.directory.last_full_ms;
        let recent = full_ms.is_some_and(|at_ms| now_ms.since(at_ms) < interval_ms);
        if full_list_written && recent {
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
        let full_list_written = self
            .list_side
            .duty
            .is_some_and(|duty| duty.full_list_written);
        let beat_ms = self.list_side.directory.last_beat_ms;
        let quiet = beat_ms.is_some_and(|at_ms| now_ms.since(at_ms) < self.settings.beat_ms);
        if !full_list_written || (changes.is_empty() && quiet) {
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
            // Changes that exceed the size of a record are written as the whole list, which can be
            // split into parts.
            let entries = after.entries();
            let records = full_records(op, fencing, entries, self.settings.record_bytes);
            return self.write(cx, op, &records, now_ms);
        }
        self.list_side.directory.last_beat_ms = Some(now_ms);
        self.write(cx, op, &[record], now_ms);
    }

    fn write(&mut self, cx: CX![], op: OperationId, records: &[DirectoryRecord], now_ms: MonoMs) {
        let since_ms = now_ms;
        self.list_side.directory.pending_write = Some(PendingWrite { op, since_ms });
        let records: Vec<_> = records.iter().map(encode).collect();
        let ret = ret_some_to!([cx], on_directory_appended() as (Result<Offset, Error>));
        call!([self.list_side.directory.appender], append(records, ret));
    }

    /// Handles the answer to an append. An append whose answer is lost is not repeated: its changes
    /// take effect when they are read, or the next fetch finds them again.
    fn on_directory_appended(&mut self, _cx: CX![], answer: Result<Offset, Error>) {
        match (answer, &self.list_side.directory.tail) {
            (Ok(_), Some(tail)) => call!([tail], poll_soon()),
            (Err(error), _) if error.verdict == Verdict::NotRun => {
                self.list_side.directory.pending_write = None;
            }
            (Ok(_) | Err(_), _) => (),
        }
    }
}
