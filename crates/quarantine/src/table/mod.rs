//! The table of all requests that are suspects or in quarantine, as one node knows them.
//!
//! Invariants: a request of which nothing is known has no record; the number of records is bounded; two
//! nodes that received the same notices, in whatever order, refuse the same requests.

use crate::detection::{
    CrashedRuns, DETECTION_DELAY_MS, Detector, Explained, Finding, MIN_CRASHES,
};
use crate::digest::RequestDigest;
use crate::evidence::{CrashSighting, Evidence, ServerRun};
use crate::notice::{QuarantineNotice, age};
use crate::part_table::PartQuarantine;
use crate::record::{CRASH_EXPIRY_MS, Crash, QuarantineState, Record, UndecidedCrash};
use crate::records::Records;
use crate::term::Term;
use bluebell_base::prelude::*;
use rustc_hash::FxHashSet;

/// The time for which a node repeats notices of what it observed itself. By then some datagram has
/// reached each peer, and it is within the three seconds after which a fatal request must be known to all
/// nodes.
pub(crate) const REPEAT_FOR_MS: SpanMs = SpanMs(3_000);

/// The maximum number of notices repeated at once, so that they fit into a datagram.
const MAX_REPEATED_NOTICES: usize = 16;

/// The time within which a crash that has become known is judged.
pub const JUDGEMENT_MS: SpanMs = SpanMs(2 * DETECTION_DELAY_MS.0);

/// The time from when a crash is known for which a request isn't judged if a part that it doesn't have may have
/// crashed all its servers: parts are judged later than requests, and may need further crashes.
pub const PART_HOLD_MS: SpanMs = SpanMs(2_000);

/// The effect of the quarantine on a request or a part: its arrivals may run, or they are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It may be run.
    Free,
    /// It may be run once at a time, by the node that tries the suspected requests of its service.
    Suspected,
    /// It is refused.
    Quarantined {
        /// The time until its review; zero if the review is due.
        review_in_ms: SpanMs,
    },
}

/// The effect of a crash, a clearing or a peer's notice on the record of a request or a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Nothing changed that callers of the table act on.
    None,
    /// A server crashed under it.
    Ended {
        /// True if it has enough crashes to be judged once this one is old enough.
        judged: bool,
    },
    /// It is in quarantine from now on, or for another term.
    Quarantined {
        /// The term of the quarantine.
        term: Term,
        /// True if this node observed one of the crashes itself.
        seen: bool,
    },
    /// It was cleared: nothing known of it from before counts.
    Cleared {
        /// True if it was in quarantine.
        quarantined: bool,
    },
}

/// The records of all requests of which something is known.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: Records<RequestDigest>,
    runs: CrashedRuns,
}

impl Quarantine {
    /// Returns true if something may be known of a request with this body. If not, the request needs no
    /// digest.
    pub fn may_contain(&self, body: &[u8]) -> bool {
        self.records
            .iter()
            .any(|(digest, _)| digest.may_be_of(body))
    }

    /// Returns the status of a request.
    pub fn status(&self, digest: &RequestDigest, now_ms: MonoMs) -> QuarantineStatus {
        self.records.status(digest, now_ms)
    }

    /// Returns true if a crash of the request may still be judged, so that its trial would show no more.
    pub fn awaits_judgement(
        &self,
        digest: &RequestDigest,
        parts: &PartQuarantine,
        now_ms: MonoMs,
    ) -> bool {
        let record = self.records.get(digest);
        record.is_some_and(|record| {
            record.awaits_judgement(now_ms - JUDGEMENT_MS)
                || self.is_held(digest, record, parts, now_ms)
        })
    }

    /// Returns true if a part that may be refused soon would explain all crashes of the request that nothing
    /// explains yet.
    fn is_held(
        &self,
        digest: &RequestDigest,
        record: &Record,
        parts: &PartQuarantine,
        now_ms: MonoMs,
    ) -> bool {
        if !parts.has_candidates() || !record.awaits_judgement(now_ms - PART_HOLD_MS) {
            return false;
        }
        let explained = self.explained_for(digest, parts);
        let runs = record.crashes().iter().map(|crash| crash.run);
        let unexplained: Vec<ServerRun> = runs.filter(|run| !explained.contains(*run)).collect();
        parts.may_explain(digest.number(), &unexplained)
    }

    /// Returns the runs that crashed under other requests or parts that are in quarantine.
    fn explained_for(&self, digest: &RequestDigest, parts: &PartQuarantine) -> Explained {
        Explained {
            by_parts: parts.explained_runs(),
            by_requests: explained_by_others(&self.records, digest),
        }
    }

    /// Returns true if a suspect has to be judged again, when a part may be in quarantine.
    pub fn has_held_suspects(&self, parts: &PartQuarantine, now_ms: MonoMs) -> bool {
        let mut suspects = self.judged_suspects();
        suspects.any(|(digest, record)| self.is_held(digest, record, parts, now_ms))
    }

    /// Returns the term of a request's quarantine, or `None` if it isn't in quarantine.
    pub fn term(&self, digest: &RequestDigest) -> Option<Term> {
        self.records.term(digest)
    }

    /// Returns true if an arrival may run as a trial, and records that the trial began. Only the node that
    /// reviews the request calls this.
    pub fn begin_trial(&mut self, digest: &RequestDigest, now_ms: MonoMs) -> bool {
        self.records.begin_trial(digest, now_ms)
    }

    /// Records that this node saw a server crash under a request.
    pub fn on_crash(
        &mut self,
        digest: RequestDigest,
        run: ServerRun,
        evidence: Evidence,
        sighting: impl Into<CrashSighting>,
    ) -> QuarantineChange {
        let CrashSighting {
            at_ms,
            known_ms,
            in_trial,
        } = sighting.into();
        let crash = Crash {
            run,
            request: digest.number(),
            evidence,
            at_ms,
            known_ms,
            own: true,
            in_trial,
        };
        self.add_crash(digest, crash)
    }

    /// Records that the connection to a server broke under a request at `at_ms`, and that nothing shows yet if
    /// the server crashed. Returns true if that was unknown.
    pub fn on_undecided(&mut self, digest: RequestDigest, run: ServerRun, at_ms: MonoMs) -> bool {
        let undecided = UndecidedCrash {
            run,
            at_ms,
            own: true,
        };
        self.records.add_undecided(digest, undecided)
    }

    /// Records that a server whose connection broke under a request didn't crash.
    pub fn on_alive(&mut self, digest: &RequestDigest, run: ServerRun) {
        self.records.remove_undecided(digest, run);
    }

    fn add_crash(&mut self, digest: RequestDigest, crash: Crash) -> QuarantineChange {
        self.runs.add(crash.run, crash.at_ms);
        let is_judged = |record: &Record| record.crashes().len() >= MIN_CRASHES;
        self.records.add_crash(digest, crash, is_judged)
    }

    /// Judges all suspects. Returns those that are in quarantine from now on.
    ///
    /// Suspects with the most crashes are judged first. The crashes that they explain don't count against
    /// the requests that were on the same servers.
    pub fn judge(&mut self, now_ms: MonoMs) -> Vec<(RequestDigest, QuarantineChange)> {
        self.judge_beside(&PartQuarantine::default(), now_ms)
    }

    /// Judges all suspects like [`Self::judge`]. Crashes that parts in quarantine explain don't count, and suspects
    /// whose crashes a part may soon explain aren't judged yet.
    pub fn judge_beside(
        &mut self,
        parts: &PartQuarantine,
        now_ms: MonoMs,
    ) -> Vec<(RequestDigest, QuarantineChange)> {
        let suspects = self.judged_suspects();
        let mut suspects: Vec<(usize, RequestDigest)> = suspects
            .map(|(digest, record)| (record.crashes().len(), *digest))
            .collect();
        let contested = self.contested_runs();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        let mut judged = Vec::new();
        for (_, digest) in suspects {
            let explained = self.explained_for(&digest, parts);
            let detector = Detector {
                runs: &self.runs,
                now_ms,
                contested: &contested,
            };
            let record = self.records.get(&digest);
            let fatal = record.filter(|record| {
                detector.is_fatal(record, &explained)
                    && !self.is_held(&digest, record, parts, now_ms)
            });
            let Some(record) = fatal else {
                continue;
            };
            let since_ms = record.newest_ms();
            let change = self.records.begin_quarantine(digest, since_ms, Term::FIRST);
            judged.push((digest, change));
        }
        judged
    }

    /// Returns the suspects with enough crashes to be judged.
    fn judged_suspects(&self) -> impl Iterator<Item = (&RequestDigest, &Record)> {
        let records = self.records.iter();
        records.filter(|(_, r)| r.quarantine.is_none() && r.crashes().len() >= MIN_CRASHES)
    }

    /// Returns the runs that crashed under several of them.
    fn contested_runs(&self) -> FxHashSet<ServerRun> {
        let mut seen = FxHashSet::default();
        let crashes = self.judged_suspects().flat_map(|(_, r)| r.crashes());
        let runs = crashes.map(|crash| crash.run);
        runs.filter(|run| !seen.insert(*run)).collect()
    }

    /// Returns what the crashes of each free suspect with enough of them show. Those that parts in quarantine
    /// explain don't count.
    pub fn free_suspects(
        &self,
        parts: &PartQuarantine,
        now_ms: MonoMs,
    ) -> Vec<(RequestDigest, Finding)> {
        let contested = self.contested_runs();
        let detector = Detector {
            runs: &self.runs,
            now_ms,
            contested: &contested,
        };
        let findings = self.judged_suspects().map(|(digest, record)| {
            let explained = self.explained_for(digest, parts);
            (*digest, detector.finding(record, &explained))
        });
        findings.collect()
    }

    /// Returns the runs that crashed under requests that are in quarantine, with these requests' numbers.
    pub fn explained_runs(&self) -> Vec<(ServerRun, u64)> {
        let fatal = self.records.iter().filter(|(_, r)| r.quarantine.is_some());
        let crashes = fatal.flat_map(|(_, record)| record.crashes());
        crashes.map(|crash| (crash.run, crash.request)).collect()
    }

    /// Returns all runs that crashed lately.
    pub(crate) fn runs(&self) -> &CrashedRuns {
        &self.runs
    }

    /// Records a quarantine that the platform stored some time ago. Its term starts now.
    pub fn on_stored(
        &mut self,
        digest: RequestDigest,
        term: Term,
        now_ms: MonoMs,
    ) -> QuarantineChange {
        self.records.on_stored(digest, term, now_ms)
    }

    /// Clears a request that was served whole, or that an operator released.
    pub fn clear(&mut self, digest: RequestDigest, now_ms: MonoMs) -> QuarantineChange {
        // A request of which nothing is known isn't recorded. Otherwise all peers would be notified for
        // ever of requests that come and are served all the time.
        match self.records.is_suspicious(&digest) {
            true => self.clear_at(digest, now_ms, true),
            false => QuarantineChange::None,
        }
    }

    /// Clears a request at `at_ms`, even one of which nothing is known: gossip of its crashes may come
    /// later.
    fn clear_at(&mut self, digest: RequestDigest, at_ms: MonoMs, own: bool) -> QuarantineChange {
        let detector = Detector {
            runs: &self.runs,
            now_ms: MonoMs(u64::MAX),
            contested: &FxHashSet::default(),
        };
        let is_fatal = |records: &Records<RequestDigest>| {
            let explained = Explained {
                by_requests: explained_by_others(records, &digest),
                ..Explained::default()
            };
            let record = records.get(&digest);
            record.is_some_and(|record| detector.is_fatal(record, &explained))
        };
        self.records.clear_at(digest, at_ms, own, is_fatal)
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
                    request: digest.number(),
                    evidence,
                    at_ms: at(age_ms),
                    known_ms: now_ms,
                    own: false,
                    in_trial: false,
                };
                (digest, self.add_crash(digest, crash))
            }
            QuarantineNotice::Quarantined {
                digest,
                age_ms,
                term,
            } => (
                digest,
                self.records.begin_quarantine(digest, at(age_ms), term),
            ),
            QuarantineNotice::Undecided {
                digest,
                run,
                age_ms,
            } => {
                let undecided = UndecidedCrash {
                    run,
                    at_ms: at(age_ms),
                    own: false,
                };
                self.records.add_undecided(digest, undecided);
                (digest, QuarantineChange::None)
            }
            QuarantineNotice::Cleared { digest, age_ms } => {
                let change = self.clear_at(digest, at(age_ms), false);
                self.records.limit_suspects();
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

    /// Returns the notice of a crash that has just become known.
    pub fn crash_notice(
        digest: RequestDigest,
        run: ServerRun,
        evidence: Evidence,
        sighting: CrashSighting,
    ) -> QuarantineNotice {
        QuarantineNotice::Ended {
            digest,
            run,
            evidence,
            age_ms: age(sighting.at_ms, sighting.known_ms),
        }
    }

    /// Returns the notices to repeat of what this node observed itself lately, newest first.
    pub fn repeated_notices(&self, now_ms: MonoMs) -> Vec<QuarantineNotice> {
        let mut notices = Vec::new();
        for (digest, record) in self.records.iter() {
            let recent = |at_ms: MonoMs| now_ms.since(at_ms) < REPEAT_FOR_MS;
            let crashes = record.crashes().iter();
            notices.extend(
                crashes
                    .filter(|crash| crash.own && recent(crash.known_ms))
                    .map(|crash| QuarantineNotice::Ended {
                        digest: *digest,
                        run: crash.run,
                        evidence: crash.evidence,
                        age_ms: age(crash.at_ms, now_ms),
                    }),
            );
            let undecided = record.undecided().iter();
            let undecided = undecided.filter(|known| known.own && recent(known.at_ms));
            notices.extend(undecided.map(|known| QuarantineNotice::Undecided {
                digest: *digest,
                run: known.run,
                age_ms: age(known.at_ms, now_ms),
            }));
            let cleared = record.cleared.filter(|(at_ms, own)| *own && recent(*at_ms));
            notices.extend(cleared.map(|(at_ms, _)| QuarantineNotice::Cleared {
                digest: *digest,
                age_ms: age(at_ms, now_ms),
            }));
        }
        notices.sort_unstable_by_key(|notice| match notice {
            QuarantineNotice::Ended { age_ms, .. }
            | QuarantineNotice::Cleared { age_ms, .. }
            | QuarantineNotice::Quarantined { age_ms, .. }
            | QuarantineNotice::Undecided { age_ms, .. } => *age_ms,
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
        let drawn = self
            .records
            .quarantined()
            .filter(|_| draw())
            .take(MAX_REPEATED_NOTICES);
        let notices =
            drawn.map(|(digest, quarantine)| quarantine_notice(&digest, &quarantine, now_ms));
        notices.collect()
    }

    /// Returns the requests in quarantine, with their terms and the times until their reviews.
    pub fn quarantined(
        &self,
        now_ms: MonoMs,
    ) -> impl Iterator<Item = (RequestDigest, Term, SpanMs)> {
        let quarantines = self.records.quarantined();
        quarantines.map(move |(digest, quarantine)| {
            let review_in_ms = quarantine.review_ms().since(now_ms);
            (digest, quarantine.term, review_in_ms)
        })
    }

    /// Returns the number of requests that are suspects or were cleared lately.
    pub fn suspect_count(&self) -> usize {
        self.records.suspect_count()
    }

    /// Removes what doesn't count any more. Returns the requests whose quarantine is removed because no
    /// trial cleared or confirmed it for long after its review was due.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<RequestDigest> {
        self.runs.expire(now_ms - CRASH_EXPIRY_MS);
        self.records.expire(now_ms)
    }
}

/// Returns the runs that crashed under other requests that are in quarantine.
fn explained_by_others(
    records: &Records<RequestDigest>,
    digest: &RequestDigest,
) -> FxHashSet<ServerRun> {
    let others = records.iter();
    let others = others.filter(|(other, r)| *other != digest && r.quarantine.is_some());
    others
        .flat_map(|(_, record)| record.crashes().iter().map(|crash| crash.run))
        .collect()
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
