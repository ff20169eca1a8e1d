//! The record of one request or of one part of prompts: its crashes, its quarantine and its last clearing, by a success or by an
//! operator.

use crate::detection::MIN_CRASHES;
use crate::evidence::{Evidence, ServerRun};
use crate::term::Term;
use bluebell_base::prelude::*;

/// The time for which a crash counts. Callers that repeat a request by hand do so within minutes.
pub(crate) const CRASH_EXPIRY_MS: SpanMs = SpanMs(600_000);

/// The time for which a crash that nothing has decided counts: longer than a directory lists a replica that
/// has crashed.
const UNDECIDED_EXPIRY_MS: SpanMs = SpanMs(10_000);

/// The time after which an unfinished trial is given up and another arrival is tried: more than the longest
/// time that a request runs.
const TRIAL_TIMEOUT_MS: SpanMs = SpanMs(60_000);

/// The maximum number of crashes that a record keeps, far above what leads to quarantine. A part that all
/// requests share is on all servers that crash.
const MAX_CRASHES: usize = 128;

/// A crash of a server that had the request, or a request with the part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crash {
    /// The run of the server that crashed.
    pub run: ServerRun,
    /// The number of the request that was on it.
    pub request: u64,
    /// The state of the request on that server.
    pub evidence: Evidence,
    /// The time of the crash, by this node's clock.
    pub at_ms: MonoMs,
    /// The time at which this node learned of the crash, which may be seconds later.
    pub known_ms: MonoMs,
    /// True if this node observed the crash itself.
    pub own: bool,
    /// True if it crashed in this node's trial of the request.
    pub in_trial: bool,
}

/// A server whose connection broke under a request, while nothing shows if it crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UndecidedCrash {
    /// The run of the server.
    pub run: ServerRun,
    /// The time at which the connection broke.
    pub at_ms: MonoMs,
    /// True if this node observed it itself.
    pub own: bool,
}

/// The quarantine of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantineState {
    /// The time at which the current term began.
    pub since_ms: MonoMs,
    /// The current term, at the end of which comes a review.
    pub term: Term,
    /// The start of the latest trial of the current term, or `None` if this node began none.
    pub trial_at_ms: Option<MonoMs>,
}

impl QuarantineState {
    /// Returns the time at which its review is due.
    pub fn review_ms(&self) -> MonoMs {
        self.since_ms + self.term.span_ms()
    }

    /// Returns true if a trial is under way.
    pub fn is_trial_running(&self, now_ms: MonoMs) -> bool {
        let trial = self.trial_at_ms;
        trial.is_some_and(|at_ms| now_ms.since(at_ms) < TRIAL_TIMEOUT_MS)
    }
}

/// The crashes, the quarantine and the last clearing of one request, as this node knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    crashes: Vec<Crash>,
    undecided: Vec<UndecidedCrash>,
    /// The quarantine, or `None` if the request isn't in quarantine.
    pub quarantine: Option<QuarantineState>,
    /// The time of the last clearing, and whether this node cleared it itself. Nothing from before that
    /// time counts.
    pub cleared: Option<(MonoMs, bool)>,
}

impl Record {
    /// Returns true if something that happened at `at_ms` still counts.
    pub fn counts(&self, at_ms: MonoMs) -> bool {
        self.cleared
            .is_none_or(|(cleared_ms, _)| at_ms > cleared_ms)
    }

    /// Adds a crash. Returns true if the crash was unknown, or shows more than before.
    pub fn add(&mut self, crash: Crash) -> bool {
        if !self.counts(crash.at_ms) {
            return false;
        }
        let is_same = |known: &&mut Crash| known.run == crash.run && known.request == crash.request;
        let known = self.crashes.iter_mut().find(is_same);
        let Some(known) = known else {
            if self.crashes.len() == MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(crash);
            return true;
        };
        let more = crash.evidence > known.evidence || (crash.in_trial && !known.in_trial);
        known.evidence = known.evidence.max(crash.evidence);
        known.in_trial |= crash.in_trial;
        more
    }

    /// Adds a server of which it isn't known if it crashed. Returns true if it was unknown. The latest time at
    /// which a connection to it broke counts.
    pub fn add_undecided(&mut self, undecided: UndecidedCrash) -> bool {
        if !self.counts(undecided.at_ms) {
            return false;
        }
        let mut known = self.undecided.iter_mut();
        if let Some(known) = known.find(|known| known.run == undecided.run) {
            known.at_ms = known.at_ms.max(undecided.at_ms);
            return false;
        }
        if self.undecided.len() < MAX_CRASHES {
            self.undecided.push(undecided);
        }
        true
    }

    /// Removes a server that turned out not to have crashed.
    pub fn remove_undecided(&mut self, run: ServerRun) {
        self.undecided.retain(|known| known.run != run);
    }

    /// Returns the servers of which it isn't known if they crashed.
    pub fn undecided(&self) -> &[UndecidedCrash] {
        &self.undecided
    }

    /// Returns true if so many servers crashed, or may have crashed, under the request that one more would make it
    /// fatal.
    pub fn is_suspected(&self) -> bool {
        let crashed = |run: ServerRun| self.crashes.iter().any(|crash| crash.run == run);
        let undecided = self.undecided.iter().filter(|known| !crashed(known.run));
        self.crashes.len() + undecided.count() + 1 >= MIN_CRASHES
    }

    /// Returns true if a crash that became known after `since_ms` may make the request fatal once it is judged.
    pub fn awaits_judgement(&self, since_ms: MonoMs) -> bool {
        let mut known = self.crashes.iter().map(|crash| crash.known_ms);
        self.crashes.len() >= MIN_CRASHES && known.any(|known_ms| known_ms > since_ms)
    }

    /// Clears all that happened up to `at_ms`. Returns true if there was anything to clear.
    pub fn clear(&mut self, at_ms: MonoMs, own: bool) -> bool {
        if !self.counts(at_ms) {
            return false;
        }
        self.cleared = Some((at_ms, own));
        let crashes = self.crashes.len() + self.undecided.len();
        self.crashes.retain(|crash| crash.at_ms > at_ms);
        self.undecided.retain(|known| known.at_ms > at_ms);
        let quarantine = self.quarantine.take_if(|s| s.since_ms <= at_ms);
        quarantine.is_some() || self.crashes.len() + self.undecided.len() < crashes
    }

    /// Returns true if the request is a suspect or in quarantine.
    pub fn is_suspicious(&self) -> bool {
        !self.crashes.is_empty() || !self.undecided.is_empty() || self.quarantine.is_some()
    }

    /// Removes crashes that don't count any more.
    pub fn expire(&mut self, now_ms: MonoMs) {
        self.crashes
            .retain(|crash| now_ms.since(crash.at_ms) < CRASH_EXPIRY_MS);
        self.undecided
            .retain(|known| now_ms.since(known.at_ms) < UNDECIDED_EXPIRY_MS);
        let long_cleared =
            |(at_ms, _): &mut (MonoMs, bool)| now_ms.since(*at_ms) >= CRASH_EXPIRY_MS;
        self.cleared.take_if(long_cleared);
    }

    /// Returns the known crashes, in the order in which this node learned of them.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns true if nothing is known of the request any more.
    pub fn is_empty(&self) -> bool {
        !self.is_suspicious() && self.cleared.is_none()
    }

    /// Returns the time of the latest crash or clearing.
    pub fn newest_ms(&self) -> MonoMs {
        let crashes = self.crashes.iter().map(|crash| crash.at_ms);
        let cleared = self.cleared.map(|(at_ms, _)| at_ms);
        crashes.chain(cleared).max().unwrap_or_default()
    }
}
