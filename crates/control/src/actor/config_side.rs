//! The config side: reads the stream, brings versions into force and writes snapshots.

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

/// The maximum number of versions kept for [`Control::history`].
const MAX_HISTORY_VERSIONS: usize = 256;

/// The number of snapshots written within the time for which the log keeps records. After the
/// loss of one, a holder's death or a racing update, another one is still left.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// The divisor of the record limit that gives the size of a part. The other half is left to the
/// record's other fields and to escaped characters.
const PART_DIVISOR: u64 = 2;

/// The maximum pause between failing reads, as a multiple of the usual interval.
const MAX_READ_BACKOFF_INTERVALS: u64 = 8;

/// The absolute maximum of that pause.
const MAX_READ_BACKOFF_MS: SpanMs = SpanMs::from_secs(5);

/// The maximum number of faults of a configuration that are reported together.
pub(super) const MAX_REPORTED_FAULTS: usize = 20;

/// The maximum size of the records requested in one read of the config stream.
const MAX_READ_BYTES: Bytes = Bytes(1024 * 1024);

/// The maximum size of the records of one publication. The text itself is bounded by
/// [`crate::reduce::MAX_TEXT_BYTES`], as at the reader that assembles it.
pub(super) const MAX_APPEND_BYTES: Bytes = Bytes(40 * 1024 * 1024);

/// A snapshot that was read.
#[derive(Clone, Copy, Debug)]
struct SnapshotSeen {
    as_of: Offset,
    appended_ms: WallMs,
}

/// The configuration in force on this node.
struct LocalInForce {
    version: ConfigVersion,
    body: Arc<str>,
    /// The faults that this program's check finds in it.
    faults: Vec<Fault>,
}

/// The state of the config side.
pub(super) struct ConfigSide {
    tail: ActorOwn<Tail>,
    pub(super) appender: ActorOwn<Appender>,
    pub(super) reducer: ConfigReducer,
    next: Offset,
    at_end: bool,
    down: bool,
    skipped: SkippedRecords,
    in_force: Option<LocalInForce>,
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

    /// Returns the highest version that is in force or unusable on this node.
    pub(super) fn highest_received(&self) -> ConfigVersion {
        let in_force = self.in_force_version();
        let unusable = self.unusable.as_ref();
        unusable.map_or(in_force, |unusable| unusable.version.max(in_force))
    }

    pub(super) fn in_force_body(&self) -> Arc<str> {
        let in_force = self.in_force.as_ref();
        in_force.map_or_else(|| "".into(), |in_force| in_force.body.clone())
    }

    /// Returns the first faults that the check finds in the version in force.
    pub(super) fn faults(&self) -> Vec<Fault> {
        let faults = self.in_force.iter().flat_map(|in_force| &in_force.faults);
        faults.take(MAX_REPORTED_FAULTS).cloned().collect()
    }

    /// Returns the version that can't be used on this node, unless a newer one is in force.
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

    /// Requests an early read, after an append of this node.
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

    /// Returns true if a snapshot has to be written. `log_now_ms` is the time of the log's clock.
    ///
    /// The decision uses the log's clock, since a node that has just started can't tell by its own
    /// clock how long ago a snapshot was written. Otherwise, with many short-lived holders in a
    /// row, retention could remove the last snapshot.
    fn snapshot_due(&self, log_now_ms: WallMs, interval_ms: SpanMs) -> bool {
        if !self.at_end || self.reducer.known().is_none() {
            return false;
        }
        let Some(seen) = self.snapshot else {
            let since_ms = self.first_change_ms;
            return since_ms.is_some_and(|at_ms| log_now_ms.0 >= at_ms.0 + interval_ms.0);
        };
        // A reader that starts between `as_of` and the snapshot can't use it. If an update was
        // written there, a new snapshot is due early.
        let raced = self.reducer.changed_at().is_some_and(|at| at >= seen.as_of)
            && log_now_ms.0 >= seen.appended_ms.0 + interval_ms.0 / SNAPSHOTS_PER_RETENTION;
        raced || log_now_ms.0 >= seen.appended_ms.0 + interval_ms.0
    }
}

/// Spawns a tail that reads the config stream from its beginning.
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
        limit_bytes: MAX_READ_BYTES,
        backoff: read_backoff(settings.config_tail_ms),
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
        batch_bytes: MAX_APPEND_BYTES,
        waiting_bytes: MAX_APPEND_BYTES,
        ..AppenderSettings::default()
    };
    let (log, timers) = (ports.log.clone(), timers.clone());
    let stream = settings.config_stream.clone();
    Appender::spawn(cx, log, timers, stream, appender_settings, seed)
}

/// Returns the backoff of failing reads: short after a brief failure, long in a long outage.
pub(super) fn read_backoff(interval_ms: SpanMs) -> BackoffSettings {
    BackoffSettings {
        first_ms: interval_ms,
        cap_ms: SpanMs(interval_ms.0.saturating_mul(MAX_READ_BACKOFF_INTERVALS))
            .min(MAX_READ_BACKOFF_MS),
    }
}

/// Returns the maximum number of bytes of text in one record.
pub(super) fn part_bytes(record_bytes: Bytes) -> Bytes {
    Bytes(record_bytes.0 / PART_DIVISOR)
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
                self.apply_log_version(cx);
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

    /// Brings the current version of the log into force once the log is read to its end.
    ///
    /// Versions before the end are old. A node that has just started would otherwise bring them
    /// into force one after the other while its peers hold the newest version.
    fn apply_log_version(&mut self, cx: CX![]) {
        if !self.config.at_end {
            return;
        }
        let Some(known) = self.config.reducer.known() else {
            return;
        };
        let (version, body) = (known.version, known.body.clone());
        self.accept_version(cx, version, body, VersionSource::Log);
    }

    /// Brings a version into force if it is newer than the highest received version and not older
    /// than the highest version that any peer reported.
    pub(super) fn accept_version(
        &mut self,
        cx: CX![],
        version: ConfigVersion,
        body: Arc<str>,
        source: VersionSource,
    ) {
        // A lagging log or a stale peer provides old versions. Accepting one would be a reversion.
        let newer = version > self.config.highest_received();
        if !newer || version < self.peers.floor() {
            return;
        }
        match bluebell_config::decode(&body) {
            Ok(config) => self.bring_into_force(cx, version, body, config, source),
            Err(fault) => {
                // A newer version of the program may publish a text that this one can't decode. The
                // old configuration stays in force; whether a version counts must not depend on the
                // reader.
                log::error!("{version} can't be used here: {fault}");
                self.config.unusable = Some(UnusableVersion { version, fault });
            }
        }
    }

    /// Brings a version into force, whatever faults the check finds.
    ///
    /// The check guards the append: a version in the log passed the check of the program that
    /// published it. If a newer program's stricter check kept the version out of force, a node that
    /// starts after an upgrade would have no configuration and refuse all work, and the nodes of
    /// the fleet would have different versions in force. So the faults are only reported.
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
        if self.config.history.len() > MAX_HISTORY_VERSIONS {
            self.config.history.pop_front();
        }
        self.config.in_force = Some(LocalInForce {
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
            // The next reads show whether the snapshot is in the log. If not, it is written again.
            Err(error) => log::warn!("append failed, a config snapshot may be missing: {error}"),
        }
    }
}
