//! The config half: reading the stream, bringing versions into force, writing snapshots.

use super::Control;
use super::publishing::Publications;
use crate::print::{SkippedRecords, UnusableVersion, VersionSeen, VersionSource};
use crate::records::{ConfigRecord, Snapshot, cut, decode, encode};
use crate::reduce::{ConfigOutcome, ConfigReducer};
use crate::settings::{ControlPorts, ControlSettings};
use crate::{ControlEvent, Duty};
use bluebell_base::prelude::*;
use bluebell_config::{Fault, FleetConfig};
use bluebell_platform::LogRecord;
use bluebell_platform::appender::{Appender, AppenderSettings};
use bluebell_platform::backoff::BackoffSettings;
use bluebell_platform::tail::{StreamPosition, Tail, TailEvent, TailSettings};
use bluebell_timers::Timers;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stakker::{ActorOwn, CX, Cx, call, fwd_to, ret_some_to};
use std::collections::VecDeque;

/// The versions kept for [`Control::history`].
const HISTORY_KEPT: usize = 256;

/// Snapshots are written this many times within the time the log keeps records, so that the loss
/// of one, a holder's death and a racing update each still leave another.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// What of a record's size limit is left to its other fields and to escaped characters.
const PART_SHARE: u64 = 2;

/// How many times the usual interval the pause between failing reads grows to, and its bound.
const READING_SLOWER: u64 = 8;
const READING_CAP_MS: SpanMs = SpanMs::from_secs(5);

/// The faults of a configuration that are told at once.
pub(super) const FAULTS_TOLD: usize = 20;

/// The most bytes of records asked for in one read of the config stream.
const READ_BYTES: Bytes = Bytes(1024 * 1024);

/// The largest publication; the assembling reader has the same bound.
pub(super) const APPEND_BYTES: Bytes = Bytes(40 * 1024 * 1024);

/// A snapshot that was read.
#[derive(Clone, Copy, Debug)]
struct SnapshotSeen {
    as_of: Offset,
    appended_ms: WallMs,
}

/// What is in force on this node.
struct InForceHere {
    version: ConfigVersion,
    body: Arc<str>,
    /// What this program's check has against it.
    faults: Vec<Fault>,
}

/// The config half's state.
pub(super) struct ConfigSide {
    tail: ActorOwn<Tail>,
    pub(super) appender: ActorOwn<Appender>,
    pub(super) reducer: ConfigReducer,
    next: Offset,
    at_end: bool,
    down: bool,
    skipped: SkippedRecords,
    in_force: Option<InForceHere>,
    unusable: Option<UnusableVersion>,
    history: VecDeque<VersionSeen>,
    pub(super) publications: Publications,
    snapshot: Option<SnapshotSeen>,
    first_change_ms: Option<WallMs>,
    snapshot_tried_ms: Option<MonoMs>,
    contradictions: u64,
    outcomes: Vec<ConfigOutcome>,
}

impl ConfigSide {
    pub(super) fn open(
        cx: &mut Cx<'_, Control>,
        ports: &ControlPorts,
        timers: &Timers,
        settings: &ControlSettings,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let tail = open_tail(cx, ports, timers, settings, random.random());
        let appender = open_appender(cx, ports, timers, settings, random.random());
        Self {
            tail,
            appender,
            reducer: ConfigReducer::new(Offset(0)),
            next: Offset(0),
            at_end: false,
            down: false,
            skipped: SkippedRecords::default(),
            in_force: None,
            unusable: None,
            history: VecDeque::new(),
            publications: Publications::default(),
            snapshot: None,
            first_change_ms: None,
            snapshot_tried_ms: None,
            contradictions: 0,
            outcomes: Vec::new(),
        }
    }

    pub(super) fn in_force_version(&self) -> ConfigVersion {
        let in_force = self.in_force.as_ref();
        in_force.map_or(ConfigVersion(0), |in_force| in_force.version)
    }

    /// The highest version that is in force or can't be used here.
    pub(super) fn reached(&self) -> ConfigVersion {
        let in_force = self.in_force_version();
        let unusable = self.unusable.as_ref();
        unusable.map_or(in_force, |unusable| unusable.version.max(in_force))
    }

    pub(super) fn in_force_body(&self) -> Arc<str> {
        let in_force = self.in_force.as_ref();
        in_force.map_or_else(|| "".into(), |in_force| in_force.body.clone())
    }

    /// What the check has against the version in force; the first of them.
    pub(super) fn faults(&self) -> Vec<Fault> {
        let faults = self.in_force.iter().flat_map(|in_force| &in_force.faults);
        faults.take(FAULTS_TOLD).cloned().collect()
    }

    /// The version that can't be used here, where none newer is in force.
    pub(super) fn unusable(&self) -> Option<UnusableVersion> {
        let unusable = self.unusable.as_ref();
        let newer = unusable.filter(|unusable| unusable.version > self.in_force_version());
        newer.cloned()
    }

    pub(super) fn history(&self) -> Vec<VersionSeen> {
        self.history.iter().cloned().collect()
    }

    pub(super) fn log_version(&self) -> Option<ConfigVersion> {
        self.reducer.known().map(|known| known.version)
    }

    pub(super) fn pending_updates(&self) -> usize {
        self.reducer.pending()
    }

    pub(super) fn unresolved(&self) -> usize {
        self.publications.len()
    }

    pub(super) fn contradictions(&self) -> u64 {
        self.contradictions
    }

    pub(super) fn skipped(&self) -> SkippedRecords {
        self.skipped
    }

    pub(super) fn is_down(&self) -> bool {
        self.down
    }

    pub(super) fn take_outcomes(&mut self) -> Vec<ConfigOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Reads soon, after an own append.
    pub(super) fn poll_soon(&self) {
        call!([self.tail], poll_soon());
    }

    fn read(&mut self, record: &LogRecord, limit_bytes: Bytes) {
        self.next = Offset(record.offset.0 + 1);
        match decode(&record.body, limit_bytes) {
            Ok(decoded) => self.apply(record, &decoded),
            Err(error) => self.skipped.count(&error),
        }
    }

    fn apply(&mut self, record: &LogRecord, decoded: &ConfigRecord) {
        let before = self.outcomes.len();
        self.reducer
            .apply(record.offset, decoded, &mut self.outcomes);
        for outcome in &self.outcomes[before..] {
            match outcome {
                ConfigOutcome::Accepted { .. } => {
                    self.first_change_ms.get_or_insert(record.appended_ms);
                }
                ConfigOutcome::SnapshotSeen { agrees: false, .. } => self.contradictions += 1,
                _ => (),
            }
        }
        if let ConfigRecord::Snapshot(snapshot) = decoded
            && snapshot.part.is_last()
        {
            self.snapshot = Some(SnapshotSeen {
                as_of: snapshot.as_of,
                appended_ms: record.appended_ms,
            });
        }
    }

    /// Whether a snapshot has to be written, `log_now_ms` being the log's clock.
    ///
    /// The log's clock counts and not this node's: a node that has just started knows nothing of
    /// how long ago a snapshot was written, and many short-lived holders in a row would otherwise
    /// let retention take the last one.
    fn snapshot_due(&self, log_now_ms: WallMs, interval_ms: SpanMs) -> bool {
        if !self.at_end || self.reducer.known().is_none() {
            return false;
        }
        let Some(seen) = self.snapshot else {
            let since_ms = self.first_change_ms;
            return since_ms.is_some_and(|at_ms| log_now_ms.0 >= at_ms.0 + interval_ms.0);
        };
        // A reader that starts between `as_of` and the snapshot can't use it; an update there
        // makes that worth a new one soon.
        let raced = self.reducer.changed_at().is_some_and(|at| at >= seen.as_of)
            && log_now_ms.0 >= seen.appended_ms.0 + interval_ms.0 / SNAPSHOTS_PER_RETENTION;
        raced || log_now_ms.0 >= seen.appended_ms.0 + interval_ms.0
    }
}

/// Follows the config stream from its beginning.
fn open_tail(
    cx: &mut Cx<'_, Control>,
    ports: &ControlPorts,
    timers: &Timers,
    settings: &ControlSettings,
    seed: u64,
) -> ActorOwn<Tail> {
    let at = StreamPosition {
        stream: settings.config_stream.clone(),
        offset: Offset(0),
    };
    let tail_settings = TailSettings {
        interval_ms: settings.config_tail_ms,
        limit_bytes: READ_BYTES,
        backoff: reading_backoff(settings.config_tail_ms),
    };
    let events = fwd_to!([cx], on_config_tail() as (TailEvent));
    let (log, timers) = (ports.log.clone(), timers.clone());
    Tail::spawn(cx, log, timers, at, tail_settings, seed, events)
}

fn open_appender(
    cx: &mut Cx<'_, Control>,
    ports: &ControlPorts,
    timers: &Timers,
    settings: &ControlSettings,
    seed: u64,
) -> ActorOwn<Appender> {
    let appender_settings = AppenderSettings {
        batch_bytes: APPEND_BYTES,
        waiting_bytes: APPEND_BYTES,
        ..AppenderSettings::default()
    };
    let (log, timers) = (ports.log.clone(), timers.clone());
    let stream = settings.config_stream.clone();
    Appender::spawn(cx, log, timers, stream, appender_settings, seed)
}

/// Reading goes on fast after a short failure and slowly in a long outage.
pub(super) fn reading_backoff(interval_ms: SpanMs) -> BackoffSettings {
    BackoffSettings {
        first_ms: interval_ms,
        cap_ms: SpanMs(interval_ms.0.saturating_mul(READING_SLOWER)).min(READING_CAP_MS),
    }
}

/// How many bytes of text go into one record.
pub(super) fn part_bytes(record_bytes: Bytes) -> Bytes {
    Bytes(record_bytes.0 / PART_SHARE)
}

impl Control {
    pub(super) fn on_config_tail(&mut self, cx: CX![], event: TailEvent) {
        match event {
            TailEvent::Records { records, end, .. } => {
                let limit_bytes = self.settings.record_bytes;
                for record in &records {
                    self.leases.on_log_clock(record.appended_ms);
                    self.config.read(record, limit_bytes);
                }
                self.config.at_end = self.config.next >= end;
                self.settle_publications();
                self.follow_log(cx);
            }
            TailEvent::Gap { to, .. } => {
                self.config.next = to;
                self.config.reducer.skip_to(to);
            }
            TailEvent::Down(_) => {
                self.config.down = true;
                self.config.at_end = false;
            }
            TailEvent::Up => self.config.down = false,
        }
    }

    /// Brings into force what the log gives, once it is read to its end.
    ///
    /// Versions read on the way there are old ones; a node that has just started would go through
    /// them one after the other while its peers hold the newest.
    fn follow_log(&mut self, cx: CX![]) {
        if !self.config.at_end {
            return;
        }
        let Some(known) = self.config.reducer.known() else {
            return;
        };
        let (version, body) = (known.version, known.body.clone());
        self.offer(cx, version, body, VersionSource::Log);
    }

    /// Brings a version into force if it is newer than the one in force and no older than what
    /// any peer was seen to hold.
    pub(super) fn offer(
        &mut self,
        cx: CX![],
        version: ConfigVersion,
        body: Arc<str>,
        source: VersionSource,
    ) {
        // A lagging log or a stale peer offers old versions; to take one would be to revert.
        let newer = version > self.config.reached();
        if !newer || version < self.peers.floor() {
            return;
        }
        match bluebell_config::decode(&body) {
            Ok(config) => self.bring_into_force(cx, version, body, config, source),
            Err(fault) => {
                // A newer version of the program may publish what this one can't decode. The old
                // configuration stays in force; whether a version counts must not depend on who
                // reads it.
                log::error!("{version} can't be used here: {fault}");
                self.config.unusable = Some(UnusableVersion { version, fault });
            }
        }
    }

    /// Brings a version into force, whatever the check has against it.
    ///
    /// The check stands before the append. A version in the log passed the check of the program
    /// that published it; where a newer program's stricter check kept it out of force, a node
    /// that starts after an upgrade would have no configuration and refuse all work, and the
    /// fleet's nodes would differ in what is in force. So its faults are only told.
    fn bring_into_force(
        &mut self,
        cx: CX![],
        version: ConfigVersion,
        body: Arc<str>,
        config: FleetConfig,
        source: VersionSource,
    ) {
        let faults = bluebell_config::check(&config);
        if let Some(first) = faults.first() {
            let count = faults.len();
            log::error!("{version} is in force with {count} faults; the first: {first}");
        }
        self.config.history.push_back(VersionSeen {
            version,
            source,
            at_ms: self.timers.now_ms(cx),
            body_bytes: Bytes(body.len() as u64),
        });
        if self.config.history.len() > HISTORY_KEPT {
            self.config.history.pop_front();
        }
        self.config.in_force = Some(InForceHere {
            version,
            body,
            faults,
        });
        let config = Arc::new(config);
        self.emit(ControlEvent::Config { version, config });
    }

    pub(super) fn tick_snapshot(&mut self, cx: CX![], now_ms: MonoMs) {
        let Some(log_now_ms) = self.leases.log_clock() else {
            return;
        };
        let held = self.leases.valid(Duty::Snapshot, now_ms);
        let interval_ms = SpanMs(self.settings.retention_ms.0 / SNAPSHOTS_PER_RETENTION);
        if !held || !self.config.snapshot_due(log_now_ms, interval_ms) {
            return;
        }
        let tried_ms = self.config.snapshot_tried_ms;
        if tried_ms.is_some_and(|at_ms| now_ms.since(at_ms) < self.settings.ttl_ms) {
            return;
        }
        self.config.snapshot_tried_ms = Some(now_ms);
        self.write_snapshot(cx);
    }

    fn write_snapshot(&mut self, cx: CX![]) {
        let op = self.operation();
        let as_of = self.config.next;
        let Some(known) = self.config.reducer.known() else {
            return;
        };
        let Some(parts) = cut(&known.body, part_bytes(self.settings.record_bytes)) else {
            return;
        };
        let snapshot = |(part, body)| {
            encode(&ConfigRecord::Snapshot(Snapshot {
                op,
                version: known.version,
                made_by: known.made_by,
                as_of,
                part,
                body,
            }))
        };
        let records = parts.into_iter().map(snapshot).collect();
        let ret = ret_some_to!([cx], on_snapshot_appended() as (Result<Offset, Error>));
        call!([self.config.appender], append(records, ret));
    }

    fn on_snapshot_appended(&mut self, _cx: CX![], answer: Result<Offset, Error>) {
        match answer {
            Ok(_) => self.config.poll_soon(),
            // Whether it is in the log shows when it is read, or it is written again.
            Err(error) => log::warn!("a config snapshot may be missing: {error}"),
        }
    }
}
