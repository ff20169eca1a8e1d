//! The table of all requests that are suspects or in quarantine, as one node knows them.
//!
//! Invariants: a request of which nothing is known has no record; the number of records is bounded; two
//! nodes that received the same notices, in whatever order, refuse the same requests.

mod term;

pub use term::Term;

use crate::detection::{CrashedRuns, Detector, MIN_CRASHES};
use crate::digest::RequestDigest;
use crate::evidence::{Evidence, ServerRun};
use crate::notice::QuarantineNotice;
use crate::record::{CRASH_EXPIRY_MS, Crash, QuarantineState, Record};
use bluebell_base::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

/// The maximum number of suspects. Each replica that crashes makes suspects of all requests that it had:
/// sixteen, so this suffices for thirty crashes. The suspects without a crash for longest are removed
/// first.
const MAX_SUSPECTS: usize = 512;

/// The maximum number of requests in quarantine; the one that has been there for longest is removed first.
/// Both kinds of record together take some hundred KB.
const MAX_QUARANTINED: usize = 512;

/// The time for which a node repeats notices of what it observed itself. By then some datagram has
/// reached each peer, and it is within the three seconds after which a fatal request must be known to all
/// nodes.
const REPEAT_FOR_MS: SpanMs = SpanMs(3_000);

/// The maximum number of notices repeated at once, so that they fit into a datagram.
const MAX_REPEATED_NOTICES: usize = 16;

/// The effect of the quarantine on a request: its arrivals may run, or they are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request may be run.
    Free,
    /// The request is refused.
    Quarantined {
        /// The time until its review; zero if the review is due.
        review_in_ms: SpanMs,
    },
}

/// The effect of a crash, a clearing or a peer's notice on the record of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Nothing changed that callers of the table act on.
    None,
    /// A server crashed under the request.
    Ended {
        /// True if the request has enough crashes to be judged once this one is old enough.
        judged: bool,
    },
    /// The request is in quarantine from now on, or for another term.
    Quarantined {
        /// The term of the quarantine.
        term: Term,
        /// True if this node observed one of the crashes itself.
        seen: bool,
    },
    /// The request was cleared: nothing known of it from before counts.
    Cleared {
        /// True if it was in quarantine.
        quarantined: bool,
    },
}

/// The records of all requests of which something is known.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: FxHashMap<RequestDigest, Record>,
    runs: CrashedRuns,
}

impl Quarantine {
    /// Returns true if something may be known of a request with this body. If not, the request needs no
    /// digest.
    pub fn may_contain(&self, body: &[u8]) -> bool {
        self.records.keys().any(|digest| digest.may_be_of(body))
    }

    /// Returns the status of a request.
    pub fn status(&self, digest: &RequestDigest, now_ms: MonoMs) -> QuarantineStatus {
        let record = self.records.get(digest);
        match record.and_then(|record| record.quarantine) {
            None => QuarantineStatus::Free,
            Some(quarantine) => QuarantineStatus::Quarantined {
                review_in_ms: quarantine.review_ms().since(now_ms),
            },
        }
    }

    /// Returns the term of a request's quarantine, or `None` if it isn't in quarantine.
    pub fn term(&self, digest: &RequestDigest) -> Option<Term> {
        let record = self.records.get(digest)?;
        record.quarantine.map(|quarantine| quarantine.term)
    }

    /// Returns true if an arrival may run as a trial, and records that the trial began. Only the node that
    /// reviews the request calls this.
    pub fn begin_trial(&mut self, digest: &RequestDigest, now_ms: MonoMs) -> bool {
        let record = self.records.get_mut(digest);
        let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) else {
            return false;
        };
        if now_ms < quarantine.review_ms() || quarantine.is_trial_running(now_ms) {
            return false;
        }
        quarantine.trial_at_ms = Some(now_ms);
        true
    }

    /// Records that this node saw a server crash under a request at `at_ms`.
    pub fn on_crash(
        &mut self,
        digest: RequestDigest,
        run: ServerRun,
        evidence: Evidence,
        at_ms: MonoMs,
    ) -> QuarantineChange {
        let crash = Crash {
            run,
            evidence,
            at_ms,
            own: true,
        };
        self.add_crash(digest, crash)
    }

    fn add_crash(&mut self, digest: RequestDigest, crash: Crash) -> QuarantineChange {
        self.runs.add(crash.run, crash.at_ms);
        let record = self.records.entry(digest).or_default();
        if !record.add(crash) {
            return QuarantineChange::None;
        }
        if let Some(quarantine) = &mut record.quarantine {
            return quarantine.on_crash(&crash);
        }
        let judged = record.crashes().len() >= MIN_CRASHES;
        self.limit_suspects();
        QuarantineChange::Ended { judged }
    }

    /// Judges all suspects. Returns those that are in quarantine from now on.
    ///
    /// Suspects with the most crashes are judged first. The crashes that they explain don't count against
    /// the requests that were on the same servers.
    pub fn judge(&mut self, now_ms: MonoMs) -> Vec<(RequestDigest, QuarantineChange)> {
        let suspects = self.records.iter();
        let suspects =
            suspects.filter(|(_, r)| r.quarantine.is_none() && r.crashes().len() >= MIN_CRASHES);
        let mut suspects: Vec<(usize, RequestDigest)> = suspects
            .map(|(digest, record)| (record.crashes().len(), *digest))
            .collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        let mut judged = Vec::new();
        for (_, digest) in suspects {
            if !self.is_fatal(&digest, now_ms) {
                continue;
            }
            let since_ms = self.records[&digest].newest_ms();
            judged.push((digest, self.begin_quarantine(digest, since_ms, Term::FIRST)));
        }
        judged
    }

    fn is_fatal(&self, digest: &RequestDigest, now_ms: MonoMs) -> bool {
        let detector = Detector {
            runs: &self.runs,
            now_ms,
        };
        let record = self.records.get(digest);
        record.is_some_and(|record| detector.is_fatal(record, &self.explained(digest)))
    }

    /// Returns the runs that crashed under other requests that are in quarantine.
    fn explained(&self, digest: &RequestDigest) -> FxHashSet<ServerRun> {
        let others = self.records.iter();
        let others = others.filter(|(other, r)| *other != digest && r.quarantine.is_some());
        others
            .flat_map(|(_, record)| record.crashes().iter().map(|crash| crash.run))
            .collect()
    }

    fn begin_quarantine(
        &mut self,
        digest: RequestDigest,
        since_ms: MonoMs,
        term: Term,
    ) -> QuarantineChange {
        let record = self.records.entry(digest).or_default();
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
    pub fn on_stored(
        &mut self,
        digest: RequestDigest,
        term: Term,
        now_ms: MonoMs,
    ) -> QuarantineChange {
        let known = self.records.get(&digest);
        if known.is_some_and(|record| record.quarantine.is_some()) {
            return QuarantineChange::None;
        }
        self.begin_quarantine(digest, now_ms, term)
    }

    /// Clears a request that was served whole, or that an operator released.
    pub fn clear(&mut self, digest: RequestDigest, now_ms: MonoMs) -> QuarantineChange {
        // A request of which nothing is known isn't recorded. Otherwise all peers would be notified for
        // ever of requests that come and are served all the time.
        match self.records.get(&digest).is_some_and(Record::is_suspicious) {
            true => self.clear_at(digest, now_ms, true),
            false => QuarantineChange::None,
        }
    }

    /// Clears a request at `at_ms`, even one of which nothing is known: gossip of its crashes may come
    /// later.
    fn clear_at(&mut self, digest: RequestDigest, at_ms: MonoMs, own: bool) -> QuarantineChange {
        let record = self.records.entry(digest).or_default();
        let quarantine = record.quarantine;
        let cleared = record.clear(at_ms, own);
        if self.was_premature(&digest, at_ms)
            && let Some(record) = self.records.get_mut(&digest)
        {
            record.quarantine = None;
        }
        match cleared {
            true => QuarantineChange::Cleared {
                quarantined: quarantine.is_some() && self.term(&digest).is_none(),
            },
            false => QuarantineChange::None,
        }
    }

    /// Returns true if a request was put into quarantine too early: its crashes lie before and after a
    /// success at `at_ms` that wasn't known then. A quarantine that a trial has confirmed stays.
    fn was_premature(&self, digest: &RequestDigest, at_ms: MonoMs) -> bool {
        let first = self.term(digest) == Some(Term::FIRST);
        let cleared = self.records.get(digest).and_then(|record| record.cleared);
        let is_last_clearing = cleared.is_some_and(|(cleared_ms, _)| cleared_ms == at_ms);
        first && is_last_clearing && !self.is_fatal(digest, MonoMs(u64::MAX))
    }

    /// Applies a peer's notice.
    pub fn on_notified(
        &mut self,
        notice: QuarantineNotice,
        now_ms: MonoMs,
    ) -> (RequestDigest, QuarantineChange) {
        let at = |age_ms: u32| now_ms - SpanMs(u64::from(age_ms));
        match notice {
            QuarantineNotice::Ended {
                digest,
                run,
                evidence,
                age_ms,
            } => {
                let crash = Crash {
                    run,
                    evidence,
                    at_ms: at(age_ms),
                    own: false,
                };
                (digest, self.add_crash(digest, crash))
            }
            QuarantineNotice::Quarantined {
                digest,
                age_ms,
                term,
            } => (digest, self.begin_quarantine(digest, at(age_ms), term)),
            QuarantineNotice::Cleared { digest, age_ms } => {
                let change = self.clear_at(digest, at(age_ms), false);
                self.limit_suspects();
                (digest, change)
            }
        }
    }

    /// Returns the notice of a request that has just been put into quarantine or cleared, or `None` if it
    /// was neither.
    pub fn notice(&self, digest: &RequestDigest, now_ms: MonoMs) -> Option<QuarantineNotice> {
        let record = self.records.get(digest)?;
        if let Some(quarantine) = record.quarantine {
            return Some(quarantine_notice(digest, &quarantine, now_ms));
        }
        let (at_ms, _) = record.cleared?;
        Some(QuarantineNotice::Cleared {
            digest: *digest,
            age_ms: age(at_ms, now_ms),
        })
    }

    /// Returns the notice of a crash that was observed at `at_ms`.
    pub fn crash_notice(
        digest: RequestDigest,
        run: ServerRun,
        evidence: Evidence,
        (at_ms, now_ms): (MonoMs, MonoMs),
    ) -> QuarantineNotice {
        QuarantineNotice::Ended {
            digest,
            run,
            evidence,
            age_ms: age(at_ms, now_ms),
        }
    }

    /// Returns the notices to repeat of what this node observed itself lately, newest first.
    pub fn repeated_notices(&self, now_ms: MonoMs) -> Vec<QuarantineNotice> {
        let mut notices = Vec::new();
        for (digest, record) in &self.records {
            let recent = |at_ms: MonoMs| now_ms.since(at_ms) < REPEAT_FOR_MS;
            let crashes = record.crashes().iter();
            notices.extend(
                crashes
                    .filter(|crash| crash.own && recent(crash.at_ms))
                    .map(|crash| QuarantineNotice::Ended {
                        digest: *digest,
                        run: crash.run,
                        evidence: crash.evidence,
                        age_ms: age(crash.at_ms, now_ms),
                    }),
            );
            let cleared = record.cleared.filter(|(at_ms, own)| *own && recent(*at_ms));
            notices.extend(cleared.map(|(at_ms, _)| QuarantineNotice::Cleared {
                digest: *digest,
                age_ms: age(at_ms, now_ms),
            }));
        }
        notices.sort_unstable_by_key(|notice| match notice {
            QuarantineNotice::Ended { age_ms, .. }
            | QuarantineNotice::Cleared { age_ms, .. }
            | QuarantineNotice::Quarantined { age_ms, .. } => *age_ms,
        });
        notices.truncate(MAX_REPEATED_NOTICES);
        notices
    }

    /// Returns notices of some requests in quarantine, for peers that missed them. `draw` decides for each
    /// request if it is included.
    pub fn quarantine_notices(
        &self,
        now_ms: MonoMs,
        draw: impl FnMut() -> bool,
    ) -> Vec<QuarantineNotice> {
        let mut draw = draw;
        let quarantines = self.records.iter();
        let quarantines =
            quarantines.filter_map(|(digest, record)| Some((digest, record.quarantine?)));
        let drawn = quarantines.filter(|_| draw()).take(MAX_REPEATED_NOTICES);
        let notices =
            drawn.map(|(digest, quarantine)| quarantine_notice(digest, &quarantine, now_ms));
        notices.collect()
    }

    /// Returns the requests in quarantine, with their terms and the times until their reviews.
    pub fn quarantined(
        &self,
        now_ms: MonoMs,
    ) -> impl Iterator<Item = (RequestDigest, Term, SpanMs)> {
        let quarantines = self.records.iter();
        quarantines.filter_map(move |(digest, record)| {
            let quarantine = record.quarantine?;
            let review_in_ms = quarantine.review_ms().since(now_ms);
            Some((*digest, quarantine.term, review_in_ms))
        })
    }

    /// Returns the number of requests that are suspects or were cleared lately.
    pub fn suspect_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.quarantine.is_none()).count()
    }

    /// Removes what doesn't count any more. Returns the requests whose quarantine is removed because no
    /// trial cleared or confirmed it for long after its review was due.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<RequestDigest> {
        let mut forgotten = Vec::new();
        self.runs.expire(now_ms - CRASH_EXPIRY_MS);
        self.records.retain(|digest, record| {
            record.expire(now_ms);
            let quarantine = record.quarantine.take_if(|s| s.is_forgotten(now_ms));
            forgotten.extend(quarantine.map(|_| *digest));
            !record.is_empty()
        });
        forgotten
    }

    fn limit_suspects(&mut self) {
        if self.suspect_count() <= MAX_SUSPECTS {
            return;
        }
        let suspects = self.records.iter().filter(|(_, r)| r.quarantine.is_none());
        let oldest = suspects.min_by_key(|(digest, r)| (r.newest_ms(), **digest));
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.records.remove(&digest);
        }
    }

    fn limit_quarantined(&mut self) {
        let quarantines = self.records.iter();
        let quarantines =
            quarantines.filter_map(|(digest, r)| Some((r.quarantine?.since_ms, *digest)));
        if quarantines.clone().count() <= MAX_QUARANTINED {
            return;
        }
        if let Some((_, digest)) = quarantines.min() {
            self.records.remove(&digest);
        }
    }
}

impl QuarantineState {
    /// Records another crash. A crash in a trial begins a longer term. A crash before the review comes
    /// from an attempt that was under way when the quarantine began, and changes nothing.
    fn on_crash(&mut self, crash: &Crash) -> QuarantineChange {
        if crash.at_ms < self.review_ms() {
            return QuarantineChange::None;
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

fn age(at_ms: MonoMs, now_ms: MonoMs) -> u32 {
    u32::try_from(now_ms.since(at_ms).0).unwrap_or(u32::MAX)
}

fn quarantine_notice(
    digest: &RequestDigest,
    quarantine: &QuarantineState,
    now_ms: MonoMs,
) -> QuarantineNotice {
    QuarantineNotice::Quarantined {
        digest: *digest,
        age_ms: age(quarantine.since_ms, now_ms),
        term: quarantine.term,
    }
}
