//! The table of all parts of prompts that are suspects or in quarantine, as one node knows them.
//!
//! A part is *served* once a replica has written an answer to a prompt that has it for a while. That clears
//! it of all crashes before the answer began. Nothing is told to peers of parts without crashes.
//!
//! Invariants: the number of records is bounded; two nodes that received the same notices, in whatever order,
//! suspect the same parts.

mod detection;
mod served;

pub use detection::PART_DETECTION_DELAY_MS;

use crate::evidence::{CrashSighting, Evidence, ServerRun};
use crate::notice::{PartNotice, age};
use crate::part::PartId;
use crate::record::{Crash, QuarantineState, Record};
use crate::records::Records;
use crate::table::{Quarantine, QuarantineChange, REPEAT_FOR_MS};
use crate::term::Term;
use bluebell_base::prelude::*;
use detection::{MIN_RUNS, PartDetector};
use rustc_hash::FxHashSet;
use served::ServedParts;

/// The maximum number of notices repeated at once, so that they fit into two datagrams.
const MAX_REPEATED_NOTICES: usize = 32;

/// The records of all parts of which something is known.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    records: Records<PartId>,
    served: ServedParts,
}

impl PartQuarantine {
    /// Returns the parts among these that are in quarantine, with the times until their reviews.
    pub fn quarantined_of(&self, parts: &[PartId], now_ms: MonoMs) -> Vec<(PartId, SpanMs)> {
        let states = parts.iter().filter_map(|part| {
            let quarantine = self.records.get(part)?.quarantine?;
            Some((*part, quarantine.review_ms().since(now_ms)))
        });
        states.collect()
    }

    /// Returns the term of a part's quarantine, or `None` if it isn't in quarantine.
    pub fn term(&self, part: &PartId) -> Option<Term> {
        self.records.term(part)
    }

    /// Returns true if an arrival may run as a trial, and records that the trial began. Only the node that
    /// reviews the part calls this.
    pub fn begin_trial(&mut self, part: &PartId, now_ms: MonoMs) -> bool {
        self.records.begin_trial(part, now_ms)
    }

    /// Records that this node saw a server crash before an answer to a request with the part had
    /// been written for long. `request` is the number of the request's digest.
    pub fn on_crash(
        &mut self,
        part: PartId,
        run: ServerRun,
        request: u64,
        sighting: impl Into<CrashSighting>,
    ) -> QuarantineChange {
        let CrashSighting {
            at_ms,
            known_ms,
            in_trial,
        } = sighting.into();
        let crash = Crash {
            run,
            request,
            evidence: Evidence::Present,
            at_ms,
            known_ms,
            own: true,
            in_trial,
        };
        self.records.add_crash(part, crash, is_judged)
    }

    /// Records that an answer to a prompt with these parts began at `began_ms` and was written for a while.
    /// Returns the parts that it clears of crashes.
    pub fn on_served(
        &mut self,
        parts: &[PartId],
        began_ms: MonoMs,
    ) -> Vec<(PartId, QuarantineChange)> {
        self.served.note(parts, began_ms);
        let suspicious = parts.iter().filter(|part| self.records.is_suspicious(part));
        let suspicious: Vec<PartId> = suspicious.copied().collect();
        let changes = suspicious.into_iter().map(|part| {
            let change = self.clear_at(part, began_ms, true);
            (part, change)
        });
        changes.collect()
    }

    /// Returns true if an answer to a prompt with the part began at this node.
    pub fn was_served(&self, part: &PartId) -> bool {
        self.served.last_ms(part).is_some()
    }

    /// Applies what this node has served of a part to its record. Returns true if the peers are to be notified:
    /// the success clears crashes, or nobody has told that the part was ever served.
    pub fn apply_success(&mut self, part: PartId) -> bool {
        let (Some(served_ms), Some(record)) = (self.served.last_ms(&part), self.records.get(&part))
        else {
            return false;
        };
        let mut crashes = record.crashes().iter();
        let clears = record.counts(served_ms) && crashes.any(|crash| crash.at_ms <= served_ms);
        if !clears && record.cleared.is_some() {
            return false;
        }
        self.clear_at(part, served_ms, true);
        true
    }

    /// Clears a part that an operator releases.
    pub fn lift(&mut self, part: PartId, now_ms: MonoMs) -> QuarantineChange {
        match self.records.is_suspicious(&part) {
            true => self.clear_at(part, now_ms, true),
            false => QuarantineChange::None,
        }
    }

    fn clear_at(&mut self, part: PartId, at_ms: MonoMs, own: bool) -> QuarantineChange {
        let Self { records, served } = self;
        let runs = Default::default();
        let is_fatal = |records: &Records<PartId>| {
            let detector = PartDetector {
                runs: &runs,
                fatal_requests: &[],
                explained: explained_by_others(records, &part),
                now_ms: MonoMs(u64::MAX),
            };
            let record = records.get(&part);
            record.is_some_and(|record| {
                detector.is_fatal(record, |since_ms| {
                    is_control_served(records, served, &part, since_ms)
                })
            })
        };
        records.clear_at(part, at_ms, own, is_fatal)
    }

    /// Returns true if a part has enough crashes to be judged.
    pub fn has_candidates(&self) -> bool {
        let mut records = self.records.iter();
        records.any(|(_, record)| record.quarantine.is_none() && is_judged(record))
    }

    /// Judges all suspects. Returns those that are in quarantine from now on.
    ///
    /// Parts that were never served are judged first, and then those on most servers: the crashes that they
    /// explain don't count against parts that came with them.
    pub fn judge(
        &mut self,
        requests: &Quarantine,
        now_ms: MonoMs,
    ) -> Vec<(PartId, QuarantineChange)> {
        let candidates = self.records.iter();
        let candidates = candidates.filter(|(_, r)| r.quarantine.is_none() && is_judged(r));
        let mut candidates: Vec<(bool, usize, PartId)> = candidates
            .map(|(part, record)| (record.cleared.is_none(), run_count(record), *part))
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let fatal_requests = requests.explained_runs();
        let mut judged = Vec::new();
        for (_, _, part) in candidates {
            let detector = PartDetector {
                runs: requests.runs(),
                fatal_requests: &fatal_requests,
                explained: explained_by_others(&self.records, &part),
                now_ms,
            };
            let is_control_served =
                |since_ms| is_control_served(&self.records, &self.served, &part, since_ms);
            let record = self.records.get(&part);
            let fatal = record.filter(|record| detector.is_fatal(record, is_control_served));
            let Some(record) = fatal else {
                continue;
            };
            let term = match record.cleared {
                Some(_) => Term::SHORT,
                None => Term::FIRST,
            };
            let since_ms = record.newest_ms();
            let change = self.records.begin_quarantine(part, since_ms, term);
            judged.push((part, change));
        }
        judged
    }

    /// Returns the runs that crashed under parts in quarantine.
    pub fn explained_runs(&self) -> FxHashSet<ServerRun> {
        let fatal = self.records.iter().filter(|(_, r)| r.quarantine.is_some());
        let crashes = fatal.flat_map(|(_, record)| record.crashes());
        crashes.map(|crash| crash.run).collect()
    }

    /// Returns true if a part that isn't in quarantine and has enough crashes to be judged was on all of these
    /// servers, and never on one with the request with this number.
    pub fn may_explain(&self, request: u64, runs: &[ServerRun]) -> bool {
        let mut records = self.records.iter();
        !runs.is_empty()
            && records.any(|(_, record)| {
                let crashes = record.crashes();
                let was_on = |run: &ServerRun| crashes.iter().any(|crash| crash.run == *run);
                record.quarantine.is_none()
                    && is_judged(record)
                    && !crashes.iter().any(|crash| crash.request == request)
                    && runs.iter().all(was_on)
            })
    }

    /// Records a quarantine that the platform stored some time ago. Its term starts now.
    pub fn on_stored(&mut self, part: PartId, term: Term, now_ms: MonoMs) -> QuarantineChange {
        self.records.on_stored(part, term, now_ms)
    }

    /// Applies a peer's notice.
    pub fn on_notified(
        &mut self,
        notice: PartNotice,
        now_ms: MonoMs,
    ) -> (PartId, QuarantineChange) {
        let at = |age_ms: u32| now_ms - SpanMs(u64::from(age_ms));
        match notice {
            PartNotice::Ended {
                part,
                run,
                request,
                age_ms,
            } => {
                let crash = Crash {
                    run,
                    request,
                    evidence: Evidence::Present,
                    at_ms: at(age_ms),
                    known_ms: now_ms,
                    own: false,
                    in_trial: false,
                };
                (part, self.records.add_crash(part, crash, is_judged))
            }
            PartNotice::Quarantined { part, age_ms, term } => {
                let since_ms = at(age_ms);
                (part, self.records.begin_quarantine(part, since_ms, term))
            }
            PartNotice::Cleared { part, age_ms } => {
                let change = self.clear_at(part, at(age_ms), false);
                self.records.limit_suspects();
                (part, change)
            }
        }
    }

    /// Returns the notice of a part that has just been put into quarantine or cleared, or `None` if it was
    /// neither.
    pub fn notice(&self, part: &PartId, now_ms: MonoMs) -> Option<PartNotice> {
        let record = self.records.get(part)?;
        if let Some(quarantine) = record.quarantine {
            return Some(quarantine_notice(*part, &quarantine, now_ms));
        }
        let (at_ms, _) = record.cleared?;
        Some(cleared_notice(*part, at_ms, now_ms))
    }

    /// Returns the notice of a success on a part that this node has applied.
    pub fn success_notice(&self, part: &PartId, now_ms: MonoMs) -> Option<PartNotice> {
        let (at_ms, _) = self.records.get(part)?.cleared?;
        Some(cleared_notice(*part, at_ms, now_ms))
    }

    /// Returns the notice of a crash that has just become known.
    pub fn crash_notice(
        part: PartId,
        run: ServerRun,
        request: u64,
        sighting: CrashSighting,
    ) -> PartNotice {
        PartNotice::Ended {
            part,
            run,
            request,
            age_ms: age(sighting.at_ms, sighting.known_ms),
        }
    }

    /// Returns the notices to repeat of what this node observed itself lately, newest first.
    pub fn repeated_notices(&self, now_ms: MonoMs) -> Vec<PartNotice> {
        let recent = |at_ms: MonoMs| now_ms.since(at_ms) < REPEAT_FOR_MS;
        let mut notices = Vec::new();
        for (part, record) in self.records.iter() {
            let crashes = record.crashes().iter();
            let own = crashes.filter(|crash| crash.own && recent(crash.known_ms));
            notices.extend(own.map(|crash| {
                let sighting = CrashSighting {
                    at_ms: crash.at_ms,
                    known_ms: now_ms,
                    in_trial: crash.in_trial,
                };
                let notice = Self::crash_notice(*part, crash.run, crash.request, sighting);
                (crash.at_ms, notice)
            }));
            let cleared = record.cleared.filter(|(at_ms, own)| *own && recent(*at_ms));
            notices.extend(cleared.map(|(at_ms, _)| (at_ms, cleared_notice(*part, at_ms, now_ms))));
        }
        notices.sort_unstable_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
        notices.truncate(MAX_REPEATED_NOTICES);
        notices.into_iter().map(|(_, notice)| notice).collect()
    }

    /// Returns notices of some parts in quarantine, for peers that missed them. `draw` decides for each part
    /// if it is included.
    pub fn quarantine_notices(
        &self,
        now_ms: MonoMs,
        draw: impl FnMut() -> bool,
    ) -> Vec<PartNotice> {
        let mut draw = draw;
        let drawn = self.records.quarantined().filter(|_| draw());
        let drawn = drawn.take(MAX_REPEATED_NOTICES);
        let notices = drawn.map(|(part, state)| quarantine_notice(part, &state, now_ms));
        notices.collect()
    }

    /// Returns the parts in quarantine, with their terms and the times until their reviews.
    pub fn quarantined(&self, now_ms: MonoMs) -> impl Iterator<Item = (PartId, Term, SpanMs)> {
        let quarantines = self.records.quarantined();
        quarantines.map(move |(part, quarantine)| {
            let review_in_ms = quarantine.review_ms().since(now_ms);
            (part, quarantine.term, review_in_ms)
        })
    }

    /// Returns the number of parts that are suspects or were cleared lately.
    pub fn suspect_count(&self) -> usize {
        self.records.suspect_count()
    }

    /// Removes what doesn't count any more. Returns the parts whose quarantine is removed because no trial
    /// cleared or confirmed it for long after its review was due.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<PartId> {
        self.records.expire(now_ms)
    }
}

fn run_count(record: &Record) -> usize {
    let runs: FxHashSet<ServerRun> = record.crashes().iter().map(|crash| crash.run).collect();
    runs.len()
}

fn is_judged(record: &Record) -> bool {
    record.crashes().len() >= MIN_RUNS && run_count(record) >= MIN_RUNS
}

/// Returns true if an answer to a prompt without the part began after `since_ms`, at this node or as peers
/// reported it. A part that was cleared at the same time as this one may have been on the same prompt.
fn is_control_served(
    records: &Records<PartId>,
    served: &ServedParts,
    part: &PartId,
    since_ms: MonoMs,
) -> bool {
    let cleared_ms = |record: &Record| record.cleared.map(|(at_ms, _)| at_ms);
    let own_ms = records.get(part).and_then(cleared_ms);
    let others = records.iter().filter(|(other, _)| *other != part);
    let others = others.filter_map(|(_, record)| cleared_ms(record));
    let others = others.filter(|at_ms| Some(*at_ms) != own_ms);
    let newest_ms = others.chain(served.last_without_ms(part)).max();
    newest_ms.is_some_and(|newest_ms| newest_ms > since_ms)
}

/// Returns the runs that crashed under other parts that are in quarantine.
fn explained_by_others(records: &Records<PartId>, part: &PartId) -> FxHashSet<ServerRun> {
    let others = records.iter();
    let others = others.filter(|(other, r)| *other != part && r.quarantine.is_some());
    others
        .flat_map(|(_, record)| record.crashes().iter().map(|crash| crash.run))
        .collect()
}

fn quarantine_notice(part: PartId, quarantine: &QuarantineState, now_ms: MonoMs) -> PartNotice {
    PartNotice::Quarantined {
        part,
        age_ms: age(quarantine.since_ms, now_ms),
        term: quarantine.term,
    }
}

fn cleared_notice(part: PartId, at_ms: MonoMs, now_ms: MonoMs) -> PartNotice {
    PartNotice::Cleared {
        part,
        age_ms: age(at_ms, now_ms),
    }
}
