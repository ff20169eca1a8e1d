//! The records of all subjects of one kind of which something is known: requests, or parts of prompts.
//!
//! Invariants: a subject of which nothing is known has no record; the number of records is bounded, and a
//! flood of suspects removes no quarantine.

use crate::evidence::ServerRun;
use crate::record::{Crash, QuarantineState, Record, UndecidedCrash};
use crate::table::{QuarantineChange, QuarantineStatus};
use crate::term::Term;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;
use std::hash::Hash;

/// The maximum number of suspects. Each replica that crashes makes suspects of all requests that it had:
/// sixteen, so this suffices for thirty crashes. The suspects without a crash for longest are removed
/// first.
const MAX_SUSPECTS: usize = 512;

/// The maximum number of subjects in quarantine; the one that has been there for longest is removed first.
/// Both kinds of record together take some hundred KB.
const MAX_QUARANTINED: usize = 512;

/// The records of the subjects that `K` identifies.
#[derive(Debug)]
pub(crate) struct Records<K> {
    records: FxHashMap<K, Record>,
}

impl<K> Default for Records<K> {
    fn default() -> Self {
        Self {
            records: FxHashMap::default(),
        }
    }
}

impl<K: Copy + Eq + Ord + Hash> Records<K> {
    /// Returns the record of a subject.
    pub fn get(&self, key: &K) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns all records.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Record)> + Clone {
        self.records.iter()
    }

    /// Returns the status of a subject.
    pub fn status(&self, key: &K, now_ms: MonoMs) -> QuarantineStatus {
        let record = self.records.get(key);
        match record.and_then(|record| record.quarantine) {
            None if record.is_some_and(Record::is_suspected) => QuarantineStatus::Suspected,
            None => QuarantineStatus::Free,
            Some(quarantine) => QuarantineStatus::Quarantined {
                review_in_ms: quarantine.review_ms().since(now_ms),
            },
        }
    }

    /// Returns the term of a subject's quarantine, or `None` if it isn't in quarantine.
    pub fn term(&self, key: &K) -> Option<Term> {
        let record = self.records.get(key)?;
        record.quarantine.map(|quarantine| quarantine.term)
    }

    /// Returns true if an arrival may run as a trial, and records that the trial began.
    pub fn begin_trial(&mut self, key: &K, now_ms: MonoMs) -> bool {
        let record = self.records.get_mut(key);
        let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) else {
            return false;
        };
        if now_ms < quarantine.review_ms() || quarantine.is_trial_running(now_ms) {
            return false;
        }
        quarantine.trial_at_ms = Some(now_ms);
        true
    }

    /// Records a crash. `is_judged` returns true if a record has enough crashes to be judged.
    pub fn add_crash(
        &mut self,
        key: K,
        crash: Crash,
        is_judged: impl Fn(&Record) -> bool,
    ) -> QuarantineChange {
        let record = self.records.entry(key).or_default();
        if !record.add(crash) {
            return QuarantineChange::None;
        }
        if let Some(quarantine) = &mut record.quarantine {
            return quarantine.on_crash(&crash);
        }
        let judged = is_judged(record);
        self.limit_suspects();
        QuarantineChange::Ended { judged }
    }

    /// Records a server of which it isn't known if it crashed. Returns true if it was unknown.
    pub fn add_undecided(&mut self, key: K, undecided: UndecidedCrash) -> bool {
        let is_new = self
            .records
            .entry(key)
            .or_default()
            .add_undecided(undecided);
        self.limit_suspects();
        is_new
    }

    /// Removes a server that turned out not to have crashed.
    pub fn remove_undecided(&mut self, key: &K, run: ServerRun) {
        if let Some(record) = self.records.get_mut(key) {
            record.remove_undecided(run);
        }
    }

    /// Puts a subject into quarantine from `since_ms` on, unless a newer one is known or it was cleared since.
    pub fn begin_quarantine(&mut self, key: K, since_ms: MonoMs, term: Term) -> QuarantineChange {
        let record = self.records.entry(key).or_default();
        let known = record.quarantine.map(|s| (s.since_ms, s.term));
        if !record.counts(since_ms) || known.is_some_and(|known| known >= (since_ms, term)) {
            return QuarantineChange::None;
        }
        record.quarantine = Some(QuarantineState {
            since_ms,
            term,
            trial_at_ms: None,
        });
        let seen = record.crashes().iter().any(|crash| crash.own);
        self.limit_quarantined();
        match known {
            Some((_, known)) if known == term => QuarantineChange::None,
            _ => QuarantineChange::Quarantined { term, seen },
        }
    }

    /// Records a quarantine that the platform stored some time ago. Its term starts now.
    pub fn on_stored(&mut self, key: K, term: Term, now_ms: MonoMs) -> QuarantineChange {
        match self.term(&key) {
            Some(_) => QuarantineChange::None,
            None => self.begin_quarantine(key, now_ms, term),
        }
    }

    /// Returns true if the subject is a suspect or in quarantine.
    pub fn is_suspicious(&self, key: &K) -> bool {
        self.records.get(key).is_some_and(Record::is_suspicious)
    }

    /// Clears a subject at `at_ms`. `is_fatal` returns true if the record that is left suffices for
    /// quarantine; if not, a quarantine that no trial has confirmed ends as well, since it began before the
    /// success was known.
    pub fn clear_at(
        &mut self,
        key: K,
        at_ms: MonoMs,
        own: bool,
        is_fatal: impl Fn(&Self) -> bool,
    ) -> QuarantineChange {
        let record = self.records.entry(key).or_default();
        let quarantine = record.quarantine;
        let cleared = record.clear(at_ms, own);
        let unconfirmed = self.term(&key).is_some_and(|term| term <= Term::FIRST);
        let was_premature = cleared_at(&self.records, &key) == Some(at_ms) && unconfirmed;
        if was_premature
            && !is_fatal(self)
            && let Some(record) = self.records.get_mut(&key)
        {
            record.quarantine = None;
        }
        match cleared {
            true => QuarantineChange::Cleared {
                quarantined: quarantine.is_some() && self.term(&key).is_none(),
            },
            false => QuarantineChange::None,
        }
    }

    /// Returns the subjects in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = (K, QuarantineState)> {
        let records = self.records.iter();
        records.filter_map(|(key, record)| Some((*key, record.quarantine?)))
    }

    /// Returns the number of subjects that are suspects or were cleared lately.
    pub fn suspect_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.quarantine.is_none()).count()
    }

    /// Removes what doesn't count any more. Returns the subjects whose quarantine is removed because no
    /// trial cleared or confirmed it for long after its review was due.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<K> {
        let mut forgotten = Vec::new();
        self.records.retain(|key, record| {
            record.expire(now_ms);
            let quarantine = record.quarantine.take_if(|s| s.is_forgotten(now_ms));
            forgotten.extend(quarantine.map(|_| *key));
            !record.is_empty()
        });
        forgotten
    }

    /// Removes the oldest suspect if there are too many.
    pub fn limit_suspects(&mut self) {
        if self.suspect_count() <= MAX_SUSPECTS {
            return;
        }
        let suspects = self.records.iter().filter(|(_, r)| r.quarantine.is_none());
        let oldest = suspects.min_by_key(|(key, r)| (r.newest_ms(), **key));
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.records.remove(&key);
        }
    }

    fn limit_quarantined(&mut self) {
        let oldest = self.quarantined().map(|(key, s)| (s.since_ms, key)).min();
        if self.quarantined().count() > MAX_QUARANTINED
            && let Some((_, key)) = oldest
        {
            self.records.remove(&key);
        }
    }
}

/// Returns the time of a subject's last clearing.
fn cleared_at<K: Eq + Hash>(records: &FxHashMap<K, Record>, key: &K) -> Option<MonoMs> {
    let (at_ms, _) = records.get(key)?.cleared?;
    Some(at_ms)
}

impl QuarantineState {
    /// Records another crash. A crash in a trial begins a longer term. A crash before the review comes
    /// from an attempt that was under way when the quarantine began, and explains crashes of other requests.
    fn on_crash(&mut self, crash: &Crash) -> QuarantineChange {
        if crash.at_ms < self.review_ms() {
            return QuarantineChange::Ended { judged: false };
        }
        self.since_ms = crash.at_ms;
        self.term = self.term.next();
        self.trial_at_ms = None;
        QuarantineChange::Quarantined {
            term: self.term,
            seen: crash.own,
        }
    }

    fn is_forgotten(&self, now_ms: MonoMs) -> bool {
        now_ms >= self.review_ms() + Term::FORGOTTEN_AFTER_MS
    }
}
