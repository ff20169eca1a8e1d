//! All requests that are suspected or in quarantine, as one node knows them.
//!
//! Invariants: a request of which nothing was learned has no record; records are bounded in number;
//! two nodes that were told the same, in whatever order, refuse the same.

mod term;

pub use term::Term;

use crate::digest::RequestDigest;
use crate::evidence::{Evidence, ServerRun};
use crate::record::{End, Record, Sentence};
use crate::told::Told;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

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
pub enum Standing {
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
pub enum Turn {
    /// Nothing new.
    None,
    /// A run of a server ended under the request: so many by now.
    Ended(usize),
    /// The request is in quarantine from now on, or again.
    Quarantined(Term),
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
}

impl Quarantine {
    /// Whether something may be known of a request with this body; if not, it needs no digest.
    pub fn may_know(&self, body: &[u8]) -> bool {
        self.records.keys().any(|digest| digest.may_be_of(body))
    }

    /// How a request stands.
    pub fn standing(&self, digest: &RequestDigest, now_ms: MonoMs) -> Standing {
        let record = self.records.get(digest);
        match record.and_then(|record| record.sentence) {
            None => Standing::Free,
            Some(sentence) => Standing::Quarantined {
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

    /// This node saw a server end under a request.
    pub fn on_end(
        &mut self,
        digest: RequestDigest,
        run: ServerRun,
        evidence: Evidence,
        now_ms: MonoMs,
    ) -> Turn {
        let end = End {
            run,
            evidence,
            at_ms: now_ms,
            own: true,
        };
        self.take_end(digest, end)
    }

    fn take_end(&mut self, digest: RequestDigest, end: End) -> Turn {
        let record = self.records.entry(digest).or_default();
        if !record.add(end) {
            return Turn::None;
        }
        if let Some(sentence) = &mut record.sentence {
            return sentence.on_end(end.at_ms);
        }
        let ends = record.ends().len();
        if !record.is_fatal() {
            self.keep_few_suspects();
            return Turn::Ended(ends);
        }
        let since_ms = record.newest_ms();
        self.put(digest, since_ms, Term::FIRST)
    }

    fn put(&mut self, digest: RequestDigest, since_ms: MonoMs, term: Term) -> Turn {
        let record = self.records.entry(digest).or_default();
        let known = record.sentence.map(|s| (s.since_ms, s.term));
        if !record.counts(since_ms) || known.is_some_and(|known| known >= (since_ms, term)) {
            return Turn::None;
        }
        record.sentence = Some(Sentence {
            since_ms,
            term,
            trial_at_ms: None,
        });
        self.keep_few_quarantined();
        match known {
            Some((_, known)) if known == term => Turn::None,
            _ => Turn::Quarantined(term),
        }
    }

    /// The platform remembers that a request was put into quarantine, some time ago.
    pub fn on_stored(&mut self, digest: RequestDigest, term: Term, now_ms: MonoMs) -> Turn {
        let known = self.records.get(&digest);
        if known.is_some_and(|record| record.sentence.is_some()) {
            return Turn::None;
        }
        self.put(digest, now_ms, term)
    }

    /// A request was served whole, or an operator lets it out: what was known of it counts no more.
    pub fn clear(&mut self, digest: RequestDigest, now_ms: MonoMs) -> Turn {
        match self.records.contains_key(&digest) {
            true => self.clear_at(digest, now_ms, true),
            false => Turn::None,
        }
    }

    /// Notes it also of a request of which nothing is known yet: news of its ends may come later.
    fn clear_at(&mut self, digest: RequestDigest, at_ms: MonoMs, own: bool) -> Turn {
        let record = self.records.entry(digest).or_default();
        let sentence = record.sentence.is_some();
        match record.clear(at_ms, own) {
            true => Turn::Cleared {
                quarantined: sentence && record.sentence.is_none(),
            },
            false => Turn::None,
        }
    }

    /// A peer told something.
    pub fn on_told(&mut self, told: Told, now_ms: MonoMs) -> (RequestDigest, Turn) {
        let at = |age_ms: u32| now_ms - SpanMs(u64::from(age_ms));
        match told {
            Told::Ended {
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
            Told::Quarantined {
                digest,
                age_ms,
                term,
            } => (digest, self.put(digest, at(age_ms), term)),
            Told::Cleared { digest, age_ms } => {
                let turn = self.clear_at(digest, at(age_ms), false);
                self.keep_few_suspects();
                (digest, turn)
            }
        }
    }

    /// What is told of a request that has just been put into quarantine, or cleared.
    pub fn tell(&self, digest: &RequestDigest, now_ms: MonoMs) -> Option<Told> {
        let record = self.records.get(digest)?;
        if let Some(sentence) = record.sentence {
            return Some(told_sentence(digest, &sentence, now_ms));
        }
        let (at_ms, _) = record.cleared?;
        Some(Told::Cleared {
            digest: *digest,
            age_ms: age(at_ms, now_ms),
        })
    }

    /// What is told of an end that was just seen.
    pub fn tell_end(digest: RequestDigest, run: ServerRun, evidence: Evidence) -> Told {
        Told::Ended {
            digest,
            run,
            evidence,
            age_ms: 0,
        }
    }

    /// What is told again of what this node saw itself a moment ago.
    pub fn tell_again(&self, now_ms: MonoMs) -> Vec<Told> {
        let mut told = Vec::new();
        for (digest, record) in &self.records {
            let fresh = |at_ms: MonoMs| now_ms.since(at_ms) < TOLD_AGAIN_MS;
            let ends = record.ends().iter();
            told.extend(
                ends.filter(|end| end.own && fresh(end.at_ms))
                    .map(|end| Told::Ended {
                        digest: *digest,
                        run: end.run,
                        evidence: end.evidence,
                        age_ms: age(end.at_ms, now_ms),
                    }),
            );
            let cleared = record.cleared.filter(|(at_ms, own)| *own && fresh(*at_ms));
            told.extend(cleared.map(|(at_ms, _)| Told::Cleared {
                digest: *digest,
                age_ms: age(at_ms, now_ms),
            }));
        }
        told.sort_unstable_by_key(|told| match told {
            Told::Ended { age_ms, .. }
            | Told::Cleared { age_ms, .. }
            | Told::Quarantined { age_ms, .. } => *age_ms,
        });
        told.truncate(TOLD_AT_ONCE);
        told
    }

    /// Some of the requests in quarantine, for peers that missed them: `draw` says of each whether it
    /// is told now.
    pub fn tell_quarantined(&self, now_ms: MonoMs, draw: impl FnMut() -> bool) -> Vec<Told> {
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
    fn on_end(&mut self, at_ms: MonoMs) -> Turn {
        if at_ms < self.review_ms() {
            return Turn::None;
        }
        self.since_ms = at_ms;
        self.term = self.term.next();
        self.trial_at_ms = None;
        Turn::Quarantined(self.term)
    }

    fn is_forgotten(&self, now_ms: MonoMs) -> bool {
        now_ms >= self.review_ms() + Term::FORGOTTEN_AFTER_MS
    }
}

fn age(at_ms: MonoMs, now_ms: MonoMs) -> u32 {
    u32::try_from(now_ms.since(at_ms).0).unwrap_or(u32::MAX)
}

fn told_sentence(digest: &RequestDigest, sentence: &Sentence, now_ms: MonoMs) -> Told {
    Told::Quarantined {
        digest: *digest,
        age_ms: age(sentence.since_ms, now_ms),
        term: sentence.term,
    }
}
