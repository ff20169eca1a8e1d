//! All requests that are suspected or in quarantine, as one node knows them.
//!
//! Invariants: a request of which nothing was learned has no record; records are bounded in number;
//! two nodes that were told the same, in whatever order, refuse the same.

mod term;

pub use term::Term;

use crate::detection::{ENDS, EndedRuns, Judge};
use crate::digest::RequestDigest;
use crate::evidence::{Evidence, ServerRun};
use crate::notice::QuarantineNotice;
use crate::record::{COUNTS_MS, End, Record, Sentence};
use bluebell_base::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

/// How many requests are suspected at once at most. Each replica that ends makes suspects of all that
/// it had in hand: sixteen, so this holds thirty such ends. The longest unheard of are forgotten
/// first.
const MOST_SUSPECTS: usize = 512;

/// How many requests are in quarantine at once at most; the one that has been for longest is let out
/// first. Both kinds of record together take some hundred KB.
const MOST_QUARANTINED: usize = 512;

/// For how long what this node saw itself is told again: until then some datagram has reached each
/// peer, and it is within the three seconds after which a fatal request must be known everywhere.
const TOLD_AGAIN_MS: SpanMs = SpanMs(3_000);

/// How many pieces are told again at once, so that they fit a datagram.
const TOLD_AT_ONCE: usize = 16;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing speaks against running it.
    Free,
    /// It is run no more.
    Quarantined {
        /// The time until its review; zero where that is due.
        review_in_ms: SpanMs,
    },
}

/// What the table learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Nothing new.
    None,
    /// A run of a server ended under the request.
    Ended {
        /// Whether the request is to be judged once that is old enough.
        judged: bool,
    },
    /// The request is in quarantine from now on, or again.
    Quarantined {
        /// For how long.
        term: Term,
        /// Whether this node saw one of the ends.
        seen: bool,
    },
    /// What was known of the request counts no more; whether it was in quarantine.
    Cleared {
        /// Whether it was in quarantine.
        quarantined: bool,
    },
}

/// All requests of which something is known.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: FxHashMap<RequestDigest, Record>,
    runs: EndedRuns,
}

impl Quarantine {
    /// Whether something may be known of a request with this body; if not, it needs no digest.
    pub fn may_contain(&self, body: &[u8]) -> bool {
        self.records.keys().any(|digest| digest.may_be_of(body))
    }

    /// How a request stands.
    pub fn status(&self, digest: &RequestDigest, now_ms: MonoMs) -> QuarantineStatus {
        let record = self.records.get(digest);
        match record.and_then(|record| record.sentence) {
            None => QuarantineStatus::Free,
            Some(sentence) => QuarantineStatus::Quarantined {
                review_in_ms: sentence.review_ms().since(now_ms),
            },
        }
    }

    /// The term of a request's quarantine; none where it isn't in quarantine.
    pub fn term(&self, digest: &RequestDigest) -> Option<Term> {
        let record = self.records.get(digest)?;
        record.sentence.map(|sentence| sentence.term)
    }

    /// Gives an arrival the turn of a trial; returns whether it has it. Only the node that reviews
    /// the request asks for that.
    pub fn begin_trial(&mut self, digest: &RequestDigest, now_ms: MonoMs) -> bool {
        let record = self.records.get_mut(digest);
        let Some(sentence) = record.and_then(|record| record.sentence.as_mut()) else {
            return false;
        };
        if now_ms < sentence.review_ms() || sentence.is_tried(now_ms) {
            return false;
        }
        sentence.trial_at_ms = Some(now_ms);
        true
    }

    /// This node saw a server end under a request at `at_ms`.
    pub fn on_crash(
        &mut self,
        digest: RequestDigest,
        run: ServerRun,
        evidence: Evidence,
        at_ms: MonoMs,
    ) -> QuarantineChange {
        let end = End {
            run,
            evidence,
            at_ms,
            own: true,
        };
        self.take_end(digest, end)
    }

    fn take_end(&mut self, digest: RequestDigest, end: End) -> QuarantineChange {
        self.runs.add(end.run, end.at_ms);
        let record = self.records.entry(digest).or_default();
        if !record.add(end) {
            return QuarantineChange::None;
        }
        if let Some(sentence) = &mut record.sentence {
            return sentence.on_crash(&end);
        }
        let judged = record.ends().len() >= ENDS;
        self.keep_few_suspects();
        QuarantineChange::Ended { judged }
    }

    /// Judges all suspects; returns those that are run no more from now on.
    ///
    /// Those with most ends first: what they explain isn't held against what was beside them.
    pub fn judge(&mut self, now_ms: MonoMs) -> Vec<(RequestDigest, QuarantineChange)> {
        let suspects = self.records.iter();
        let suspects = suspects.filter(|(_, r)| r.sentence.is_none() && r.ends().len() >= ENDS);
        let mut suspects: Vec<(usize, RequestDigest)> = suspects
            .map(|(digest, record)| (record.ends().len(), *digest))
            .collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        let mut judged = Vec::new();
        for (_, digest) in suspects {
            if !self.is_fatal(&digest, now_ms) {
                continue;
            }
            let since_ms = self.records[&digest].newest_ms();
            judged.push((digest, self.put(digest, since_ms, Term::FIRST)));
        }
        judged
    }

    fn is_fatal(&self, digest: &RequestDigest, now_ms: MonoMs) -> bool {
        let judge = Judge {
            runs: &self.runs,
            now_ms,
        };
        let record = self.records.get(digest);
        record.is_some_and(|record| judge.is_fatal(record, &self.explained(digest)))
    }

    /// The runs that other requests ended which are in quarantine.
    fn explained(&self, digest: &RequestDigest) -> FxHashSet<ServerRun> {
        let others = self.records.iter();
        let others = others.filter(|(other, r)| *other != digest && r.sentence.is_some());
        others
            .flat_map(|(_, record)| record.ends().iter().map(|end| end.run))
            .collect()
    }

    fn put(&mut self, digest: RequestDigest, since_ms: MonoMs, term: Term) -> QuarantineChange {
        let record = self.records.entry(digest).or_default();
        let known = record.sentence.map(|s| (s.since_ms, s.term));
        if !record.counts(since_ms) || known.is_some_and(|known| known >= (since_ms, term)) {
            return QuarantineChange::None;
        }
        record.sentence = Some(Sentence {
            since_ms,
            term,
            trial_at_ms: None,
        });
        let seen = record.ends().iter().any(|end| end.own);
        self.keep_few_quarantined();
        match known {
            Some((_, known)) if known == term => QuarantineChange::None,
            _ => QuarantineChange::Quarantined { term, seen },
        }
    }

    /// The platform remembers that a request was put into quarantine, some time ago.
    pub fn on_stored(
        &mut self,
        digest: RequestDigest,
        term: Term,
        now_ms: MonoMs,
    ) -> QuarantineChange {
        let known = self.records.get(&digest);
        if known.is_some_and(|record| record.sentence.is_some()) {
            return QuarantineChange::None;
        }
        self.put(digest, now_ms, term)
    }

    /// A request was served whole, or an operator lets it out: what was known of it counts no more.
    pub fn clear(&mut self, digest: RequestDigest, now_ms: MonoMs) -> QuarantineChange {
        // Where there is nothing to forget, nothing is noted: what comes and is served all the time
        // would be told to all peers for ever.
        match self.records.get(&digest).is_some_and(Record::accuses) {
            true => self.clear_at(digest, now_ms, true),
            false => QuarantineChange::None,
        }
    }

    /// Notes it also of a request of which nothing is known yet: gossip of its ends may come later.
    fn clear_at(&mut self, digest: RequestDigest, at_ms: MonoMs, own: bool) -> QuarantineChange {
        let record = self.records.entry(digest).or_default();
        let sentence = record.sentence;
        let cleared = record.clear(at_ms, own);
        if self.was_early(&digest, at_ms)
            && let Some(record) = self.records.get_mut(&digest)
        {
            record.sentence = None;
        }
        match cleared {
            true => QuarantineChange::Cleared {
                quarantined: sentence.is_some() && self.term(&digest).is_none(),
            },
            false => QuarantineChange::None,
        }
    }

    /// Whether a request is in quarantine for ends of before and after a success at `at_ms`, which
    /// wasn't known then. One that a trial has confirmed stays.
    fn was_early(&self, digest: &RequestDigest, at_ms: MonoMs) -> bool {
        let first = self.term(digest) == Some(Term::FIRST);
        let cleared = self.records.get(digest).and_then(|record| record.cleared);
        let told_now = cleared.is_some_and(|(cleared_ms, _)| cleared_ms == at_ms);
        first && told_now && !self.is_fatal(digest, MonoMs(u64::MAX))
    }

    /// A peer told something.
    pub fn on_notified(
        &mut self,
        told: QuarantineNotice,
        now_ms: MonoMs,
    ) -> (RequestDigest, QuarantineChange) {
        let at = |age_ms: u32| now_ms - SpanMs(u64::from(age_ms));
        match told {
            QuarantineNotice::Ended {
                digest,
                run,
                evidence,
                age_ms,
            } => {
                let end = End {
                    run,
                    evidence,
                    at_ms: at(age_ms),
                    own: false,
                };
                (digest, self.take_end(digest, end))
            }
            QuarantineNotice::Quarantined {
                digest,
                age_ms,
                term,
            } => (digest, self.put(digest, at(age_ms), term)),
            QuarantineNotice::Cleared { digest, age_ms } => {
                let turn = self.clear_at(digest, at(age_ms), false);
                self.keep_few_suspects();
                (digest, turn)
            }
        }
    }

    /// What is told of a request that has just been put into quarantine, or cleared.
    pub fn notice(&self, digest: &RequestDigest, now_ms: MonoMs) -> Option<QuarantineNotice> {
        let record = self.records.get(digest)?;
        if let Some(sentence) = record.sentence {
            return Some(told_sentence(digest, &sentence, now_ms));
        }
        let (at_ms, _) = record.cleared?;
        Some(QuarantineNotice::Cleared {
            digest: *digest,
            age_ms: age(at_ms, now_ms),
        })
    }

    /// What is told of an end that was seen at `at_ms`.
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

    /// What is told again of what this node saw itself a moment ago.
    pub fn repeated_notices(&self, now_ms: MonoMs) -> Vec<QuarantineNotice> {
        let mut told = Vec::new();
        for (digest, record) in &self.records {
            let fresh = |at_ms: MonoMs| now_ms.since(at_ms) < TOLD_AGAIN_MS;
            let ends = record.ends().iter();
            told.extend(ends.filter(|end| end.own && fresh(end.at_ms)).map(|end| {
                QuarantineNotice::Ended {
                    digest: *digest,
                    run: end.run,
                    evidence: end.evidence,
                    age_ms: age(end.at_ms, now_ms),
                }
            }));
            let cleared = record.cleared.filter(|(at_ms, own)| *own && fresh(*at_ms));
            told.extend(cleared.map(|(at_ms, _)| QuarantineNotice::Cleared {
                digest: *digest,
                age_ms: age(at_ms, now_ms),
            }));
        }
        told.sort_unstable_by_key(|told| match told {
            QuarantineNotice::Ended { age_ms, .. }
            | QuarantineNotice::Cleared { age_ms, .. }
            | QuarantineNotice::Quarantined { age_ms, .. } => *age_ms,
        });
        told.truncate(TOLD_AT_ONCE);
        told
    }

    /// Some of the requests in quarantine, for peers that missed them: `draw` says of each whether it
    /// is told now.
    pub fn quarantine_notices(
        &self,
        now_ms: MonoMs,
        draw: impl FnMut() -> bool,
    ) -> Vec<QuarantineNotice> {
        let mut draw = draw;
        let sentences = self.records.iter();
        let sentences = sentences.filter_map(|(digest, record)| Some((digest, record.sentence?)));
        let drawn = sentences.filter(|_| draw()).take(TOLD_AT_ONCE);
        let told = drawn.map(|(digest, sentence)| told_sentence(digest, &sentence, now_ms));
        told.collect()
    }

    /// The requests in quarantine, with the time until each one's review.
    pub fn quarantined(
        &self,
        now_ms: MonoMs,
    ) -> impl Iterator<Item = (RequestDigest, Term, SpanMs)> {
        let sentences = self.records.iter();
        sentences.filter_map(move |(digest, record)| {
            let sentence = record.sentence?;
            let review_in_ms = sentence.review_ms().since(now_ms);
            Some((*digest, sentence.term, review_in_ms))
        })
    }

    /// How many requests are suspected or were cleared lately.
    pub fn suspects(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.sentence.is_none()).count()
    }

    /// Forgets what counts no more; returns the requests whose quarantine is forgotten, since nobody
    /// asked for them long after their review.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<RequestDigest> {
        let mut forgotten = Vec::new();
        self.runs.expire(now_ms - COUNTS_MS);
        self.records.retain(|digest, record| {
            record.expire(now_ms);
            let sentence = record.sentence.take_if(|s| s.is_forgotten(now_ms));
            forgotten.extend(sentence.map(|_| *digest));
            !record.is_empty()
        });
        forgotten
    }

    fn keep_few_suspects(&mut self) {
        if self.suspects() <= MOST_SUSPECTS {
            return;
        }
        let suspects = self.records.iter().filter(|(_, r)| r.sentence.is_none());
        let oldest = suspects.min_by_key(|(digest, r)| (r.newest_ms(), **digest));
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.records.remove(&digest);
        }
    }

    fn keep_few_quarantined(&mut self) {
        let sentences = self.records.iter();
        let sentences = sentences.filter_map(|(digest, r)| Some((r.sentence?.since_ms, *digest)));
        if sentences.clone().count() <= MOST_QUARANTINED {
            return;
        }
        if let Some((_, digest)) = sentences.min() {
            self.records.remove(&digest);
        }
    }
}

impl Sentence {
    /// Another server ended under the request. At a trial that begins a longer term; before it, the
    /// request was under way when it was put into quarantine, and nothing changes.
    fn on_crash(&mut self, end: &End) -> QuarantineChange {
        if end.at_ms < self.review_ms() {
            return QuarantineChange::None;
        }
        self.since_ms = end.at_ms;
        self.term = self.term.next();
        self.trial_at_ms = None;
        QuarantineChange::Quarantined {
            term: self.term,
            seen: end.own,
        }
    }

    fn is_forgotten(&self, now_ms: MonoMs) -> bool {
        now_ms >= self.review_ms() + Term::FORGOTTEN_AFTER_MS
    }
}

fn age(at_ms: MonoMs, now_ms: MonoMs) -> u32 {
    u32::try_from(now_ms.since(at_ms).0).unwrap_or(u32::MAX)
}

fn told_sentence(digest: &RequestDigest, sentence: &Sentence, now_ms: MonoMs) -> QuarantineNotice {
    QuarantineNotice::Quarantined {
        digest: *digest,
        age_ms: age(sentence.since_ms, now_ms),
        term: sentence.term,
    }
}
