//! What is known of one request.

use crate::evidence::{Evidence, ServerRun};
use crate::table::Term;
use bluebell_base::prelude::*;

/// For how long an end counts. Callers that repeat by hand do so within minutes.
pub(crate) const COUNTS_MS: SpanMs = SpanMs(600_000);

/// How long a trial is waited for before another arrival gets its turn: the longest that a request
/// runs, and more.
const TRIAL_MS: SpanMs = SpanMs(60_000);

/// One end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct End {
    pub run: ServerRun,
    pub evidence: Evidence,
    pub at_ms: MonoMs,
    /// Whether this node saw it itself.
    pub own: bool,
}

/// A quarantine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sentence {
    pub since_ms: MonoMs,
    pub term: Term,
    pub trial_at_ms: Option<MonoMs>,
}

impl Sentence {
    /// When its review is due.
    pub fn review_ms(&self) -> MonoMs {
        self.since_ms + self.term.span_ms()
    }

    /// Whether a trial is under way.
    pub fn is_tried(&self, now_ms: MonoMs) -> bool {
        let trial = self.trial_at_ms;
        trial.is_some_and(|at_ms| now_ms.since(at_ms) < TRIAL_MS)
    }
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    ends: Vec<End>,
    pub sentence: Option<Sentence>,
    /// Since when what was known before counts no more, and whether this node found that itself.
    pub cleared: Option<(MonoMs, bool)>,
}

impl Record {
    /// Whether something of then still counts.
    pub fn counts(&self, at_ms: MonoMs) -> bool {
        self.cleared
            .is_none_or(|(cleared_ms, _)| at_ms > cleared_ms)
    }

    /// Takes an end in; returns whether it was unknown.
    pub fn add(&mut self, end: End) -> bool {
        if !self.counts(end.at_ms) {
            return false;
        }
        let known = self.ends.iter_mut().find(|known| known.run == end.run);
        let Some(known) = known else {
            self.ends.push(end);
            return true;
        };
        let more = end.evidence > known.evidence;
        known.evidence = known.evidence.max(end.evidence);
        more
    }

    /// Forgets all that was known at `at_ms`; returns whether there was anything.
    pub fn clear(&mut self, at_ms: MonoMs, own: bool) -> bool {
        if !self.counts(at_ms) {
            return false;
        }
        self.cleared = Some((at_ms, own));
        let ends = self.ends.len();
        self.ends.retain(|end| end.at_ms > at_ms);
        let sentence = self.sentence.take_if(|s| s.since_ms <= at_ms);
        sentence.is_some() || self.ends.len() < ends
    }

    /// Whether anything speaks against the request.
    pub fn accuses(&self) -> bool {
        !self.ends.is_empty() || self.sentence.is_some()
    }

    /// Drops ends that count no more.
    pub fn expire(&mut self, now_ms: MonoMs) {
        self.ends.retain(|end| now_ms.since(end.at_ms) < COUNTS_MS);
        let long_cleared = |(at_ms, _): &mut (MonoMs, bool)| now_ms.since(*at_ms) >= COUNTS_MS;
        self.cleared.take_if(long_cleared);
    }

    /// The ends.
    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Whether nothing is known of it any more.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.sentence.is_none() && self.cleared.is_none()
    }

    /// When something was last learned of it.
    pub fn newest_ms(&self) -> MonoMs {
        let ends = self.ends.iter().map(|end| end.at_ms);
        let cleared = self.cleared.map(|(at_ms, _)| at_ms);
        ends.chain(cleared).max().unwrap_or_default()
    }
}
