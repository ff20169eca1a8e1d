//! The platform's state, free of I/O and clock: each call is told the time.

mod stream;
mod vms;

pub use vms::VmChange;

use super::faults::Faults;
use bluebell_base::prelude::*;
use bluebell_platform::{ReadBatch, TokenBucket, VmEntry, WeightInfo};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use stream::Stream;
use vms::VmTable;

/// How the platform behaves when it has no fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// How long the log keeps a record.
    pub retention_ms: SpanMs,
    /// How many records the log keeps of each stream.
    pub retention_records: u64,
    /// The appends it takes, over all streams; one second's worth may come at once.
    pub appends: PerSecond,
    /// How much later a change of the VM list is seen.
    pub vm_lag_ms: SpanMs,
    /// The credential that clients must show over HTTP; none: not asked for.
    pub credential: Option<Arc<str>>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            retention_ms: SpanMs::from_secs(24 * 3600),
            retention_records: 100_000,
            appends: PerSecond(300.0),
            vm_lag_ms: SpanMs::from_secs(2),
            credential: None,
        }
    }
}

/// What the platform has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Appends that took effect, each copy of a duplicate counted.
    pub appends: u64,
    /// Appends refused for their rate.
    pub refused_appends: u64,
    /// Records in the appends that took effect.
    pub appended_records: u64,
    /// Bytes of those records.
    pub appended_bytes: Bytes,
    /// Reads of the log.
    pub reads: u64,
    /// Bytes of the records read.
    pub read_bytes: Bytes,
    /// Fetches of the VM list.
    pub lists: u64,
    /// Look-ups of weights.
    pub weight_lookups: u64,
}

/// The platform's whole state.
#[derive(Debug)]
pub struct PlatformModel {
    settings: PlatformSettings,
    /// The faults in force.
    pub faults: Faults,
    streams: BTreeMap<StreamName, Stream>,
    bucket: TokenBucket,
    vms: VmTable,
    weights: BTreeMap<(ModelName, u64), WeightInfo>,
    stats: PlatformStats,
}

impl PlatformModel {
    /// An empty platform whose clock stands at `now_ms`.
    pub fn new(settings: PlatformSettings, now_ms: WallMs) -> Self {
        let bucket = TokenBucket::new(settings.appends, settings.appends.0, now_ms.0);
        Self {
            vms: VmTable::new(settings.vm_lag_ms),
            settings,
            faults: Faults::default(),
            streams: BTreeMap::new(),
            bucket,
            weights: BTreeMap::new(),
            stats: PlatformStats::default(),
        }
    }

    /// Its settings.
    pub fn settings(&self) -> &PlatformSettings {
        &self.settings
    }

    /// Its counters.
    pub fn stats(&self) -> PlatformStats {
        self.stats
    }

    /// Appends `records`, twice where `duplicate`; answers the offset of the first copy.
    ///
    /// # Errors
    /// `Overloaded` with the time to come back where appends come too fast.
    pub fn append(
        &mut self,
        now_ms: WallMs,
        stream: &StreamName,
        records: &[Arc<str>],
        duplicate: bool,
    ) -> Result<Offset, Error> {
        if records.is_empty() {
            return Err(Error::not_run(ErrorKind::Invalid, "no records to append"));
        }
        if let Err(wait_ms) = self.bucket.take(now_ms.0) {
            self.stats.refused_appends += 1;
            let error = Error::not_run(ErrorKind::Overloaded, "too many appends");
            return Err(error.retry_after(wait_ms));
        }
        let stream = self.streams.entry(stream.clone()).or_default();
        let copies = if duplicate { 2 } else { 1 };
        let first = stream.end();
        for _ in 0..copies {
            stream.append(now_ms, records);
            self.stats.appends += 1;
            self.stats.appended_records += records.len() as u64;
            self.stats.appended_bytes += records.iter().map(|r| Bytes(r.len() as u64)).sum();
        }
        stream.expire(now_ms, &self.settings);
        Ok(first)
    }

    /// Reads a stream; one that was never appended to is empty.
    pub fn read(
        &mut self,
        now_ms: WallMs,
        stream: &StreamName,
        from: Offset,
        limit_bytes: Bytes,
    ) -> ReadBatch {
        self.stats.reads += 1;
        let Some(stream) = self.streams.get_mut(stream) else {
            return Stream::default().read(from, limit_bytes);
        };
        stream.expire(now_ms, &self.settings);
        let batch = stream.read(from, limit_bytes);
        let bodies = batch.records.iter().map(|r| Bytes(r.body.len() as u64));
        self.stats.read_bytes += bodies.sum();
        batch
    }

    /// The list of VMs as it is seen now.
    pub fn list_vms(&mut self, now_ms: WallMs) -> Vec<VmEntry> {
        self.stats.lists += 1;
        self.vms.list(now_ms)
    }

    /// Changes the list of VMs; the change is seen once the list's lag has passed.
    ///
    /// # Errors
    /// `NotFound` where the change names a VM that is not on the list.
    pub fn change_vms(&mut self, now_ms: WallMs, change: VmChange) -> Result<(), Error> {
        self.vms.change(now_ms, change)
    }

    /// Puts a model version into the weight store.
    pub fn put_weights(&mut self, info: WeightInfo) {
        let key = (info.model.clone(), info.version);
        self.weights.insert(key, info);
    }

    /// Looks up a model version.
    ///
    /// # Errors
    /// `NotFound` where the store does not hold it.
    pub fn weight_info(&mut self, model: &ModelName, version: u64) -> Result<WeightInfo, Error> {
        self.stats.weight_lookups += 1;
        let found = self.weights.get(&(model.clone(), version));
        found.cloned().ok_or_else(|| {
            let message = format!("no version {version} of model {model}");
            Error::not_run(ErrorKind::NotFound, message)
        })
    }
}
