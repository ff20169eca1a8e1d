//! The reduction of a shard's stream to its state. It is a pure function of the records, so all
//! readers get the same state.
//!
//! Rules, in log order:
//! - an epoch record with a greater epoch than all before it begins that epoch; any other is
//!   ignored;
//! - a batch of an older epoch is fenced out: its claims were never granted;
//! - a batch whose epoch record is no longer retained begins its epoch;
//! - a batch whose number is not greater than the last one of its epoch is a duplicate and is
//!   ignored;
//! - the settlements of a batch take effect before its claims;
//! - a claim of a key that is free, freed by another request or expired makes its request the
//!   holder; a claim of a key that another request holds makes the entry contested;
//! - a settlement takes effect only if its request holds the key; `NotRun` for a key that no request
//!   holds is recorded, so that a claim that arrives after its own settlement isn't granted.
//!
//! Contested entries prevent this failure: a reader that starts at the first retained record does
//! not see an expired epoch record, and accepts a late batch of an older epoch. In its state a
//! request then holds a key that the owner had granted to another request. If the settlement of the
//! first request freed the key, a third request could be granted while the second may have run. An
//! owner writes a claim only for a key that is free in its own table, so two holders in the log
//! identify this case, and the entry stays held.

mod outcome;

pub use outcome::{Applied, ClaimOutcome};

use crate::records::{BatchRecord, Epoch, EpochRecord, Record, decode};
use crate::table::{Entry, EntryState, KeyTable, seconds};
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimCall, SettleCall, Settlement};
use bluebell_platform::LogRecord;

/// Counters of records and claims that were skipped or had no regular effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReduceCounts {
    /// Number of batches of older epochs.
    pub fenced: u64,
    /// Number of duplicate batches.
    pub duplicates: u64,
    /// Number of records of an unknown kind or that don't decode.
    pub skipped: u64,
    /// Number of claims of keys that another request held.
    pub contested: u64,
}

/// The state of a shard, reduced from its stream.
#[derive(Debug)]
pub struct ShardState {
    pub(crate) validity_ms: SpanMs,
    pub(crate) next: Offset,
    pub(crate) log_ms: WallMs,
    pub(crate) epoch: Option<EpochRecord>,
    pub(crate) last_batch: u64,
    pub(crate) table: KeyTable,
    pub(crate) counts: ReduceCounts,
    swept_ms: WallMs,
}

/// Sweeps per validity. Expired keys take at most an eighth of the memory.
const SWEEPS_PER_VALIDITY: u64 = 8;

impl ShardState {
    /// Creates the state before the first record.
    pub fn new(validity_ms: SpanMs) -> Self {
        Self {
            validity_ms,
            next: Offset(0),
            log_ms: WallMs::ZERO,
            epoch: None,
            last_batch: 0,
            table: KeyTable::default(),
            counts: ReduceCounts::default(),
            swept_ms: WallMs::ZERO,
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Skips to a later record. The records before it have expired or are not needed.
    pub fn skip_to(&mut self, offset: Offset) {
        self.next = self.next.max(offset);
    }

    /// Returns the newest append time of a record, by the log's clock.
    pub fn log_ms(&self) -> WallMs {
        self.log_ms
    }

    /// Returns the current epoch, or `None` before the first.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch.map(|record| record.epoch())
    }

    /// Returns the table of keys.
    pub fn table(&self) -> &KeyTable {
        &self.table
    }

    /// Returns the counters.
    pub fn counts(&self) -> ReduceCounts {
        self.counts
    }

    /// Applies the next record. A record before the next offset is ignored.
    pub fn apply(&mut self, record: &LogRecord) -> Applied {
        if record.offset < self.next {
            return Applied::Ignored;
        }
        self.next = Offset(record.offset.0 + 1);
        self.log_ms = self.log_ms.max(record.appended_ms);
        let applied = match decode(&record.body) {
            Some(Record::Epoch(epoch)) => self.begin(epoch),
            Some(Record::Batch(batch)) => self.batch(&batch),
            None => {
                self.counts.skipped += 1;
                Applied::Ignored
            }
        };
        self.sweep();
        applied
    }

    fn begin(&mut self, epoch: EpochRecord) -> Applied {
        if self.epoch() >= Some(epoch.epoch()) {
            return Applied::Ignored;
        }
        self.epoch = Some(epoch);
        self.last_batch = 0;
        Applied::Epoch(epoch.epoch())
    }

    fn batch(&mut self, batch: &BatchRecord) -> Applied {
        let epoch = batch.epoch();
        if self.epoch() > Some(epoch) {
            self.counts.fenced += 1;
            return Applied::Fenced {
                epoch,
                batch: batch.batch,
            };
        }
        if self.epoch() < Some(epoch) {
            self.begin(EpochRecord {
                fencing: batch.fencing,
                round: batch.round,
                incarnation: Incarnation(0),
            });
        }
        if batch.batch <= self.last_batch {
            self.counts.duplicates += 1;
            return Applied::Ignored;
        }
        self.last_batch = batch.batch;
        for settle in &batch.settles {
            self.settle(&SettleCall::from(settle));
        }
        let claims = batch.claims.iter();
        let claims = claims.map(|claim| self.claim(&ClaimCall::from(claim)));
        let claims = claims.collect();
        Applied::Batch {
            epoch,
            batch: batch.batch,
            claims,
        }
    }

    fn claim(&mut self, claim: &ClaimCall) -> ClaimOutcome {
        let found = self.table.get(claim.key, self.log_ms, self.validity_ms);
        let Some(&entry) = found else {
            return self.grant(claim);
        };
        let own = entry.request == claim.request;
        match (entry.state, own) {
            (EntryState::Freed, false) => self.grant(claim),
            (EntryState::Freed, true) => ClaimOutcome::Released,
            (EntryState::Pending, true) => ClaimOutcome::Granted,
            (EntryState::Contested | EntryState::Ran, true) => ClaimOutcome::Held(entry),
            (EntryState::Pending, false) => self.contest(claim, entry),
            (EntryState::Contested | EntryState::Ran, false) => {
                self.counts.contested += 1;
                ClaimOutcome::Held(entry)
            }
        }
    }

    fn grant(&mut self, claim: &ClaimCall) -> ClaimOutcome {
        let entry = Entry {
            fingerprint: claim.fingerprint,
            request: claim.request,
            claimed_s: seconds(self.log_ms),
            state: EntryState::Pending,
        };
        self.table.put(claim.key, entry);
        ClaimOutcome::Granted
    }

    fn contest(&mut self, claim: &ClaimCall, mut entry: Entry) -> ClaimOutcome {
        self.counts.contested += 1;
        entry.state = EntryState::Contested;
        // The later claim may be the one that ran, so the key stays held for that claim's validity.
        entry.claimed_s = seconds(self.log_ms);
        self.table.put(claim.key, entry);
        ClaimOutcome::Held(entry)
    }

    fn settle(&mut self, settle: &SettleCall) {
        let found = self.table.get(settle.key, self.log_ms, self.validity_ms);
        let Some(&entry) = found else {
            self.settle_unknown(settle);
            return;
        };
        if entry.request != settle.request {
            if entry.state == EntryState::Freed {
                self.settle_unknown(settle);
            }
            return;
        }
        let state = match (entry.state, settle.settlement) {
            (EntryState::Pending, Settlement::NotRun) => EntryState::Freed,
            (EntryState::Pending, Settlement::Ran) => EntryState::Ran,
            // Only the first settlement of a request counts, and nothing frees a contested key.
            (state, _) => state,
        };
        self.table.put(settle.key, Entry { state, ..entry });
    }

    /// Records a `NotRun` settlement for a key that no request holds, since the request's claim may
    /// arrive after it and must not be granted.
    fn settle_unknown(&mut self, settle: &SettleCall) {
        if settle.settlement != Settlement::NotRun {
            return;
        }
        let entry = Entry {
            fingerprint: 0,
            request: settle.request,
            claimed_s: seconds(self.log_ms),
            state: EntryState::Freed,
        };
        self.table.put(settle.key, entry);
    }

    fn sweep(&mut self) {
        let since = self.log_ms.saturating_sub(self.swept_ms);
        if since.0 * SWEEPS_PER_VALIDITY <= self.validity_ms.0 {
            return;
        }
        self.table.sweep(self.log_ms, self.validity_ms);
        self.swept_ms = self.log_ms;
    }
}
