//! Decides if a request caused the crashes of the servers that it was on.
//!
//! Load pattern: a server that crashes may have as many requests as it has slots, and one of them may be
//! the cause. Racks and networks fail as well, and take down many servers with all requests on them.
//!
//! Reason for the limits: a request that is refused because of another request or a power failure is lost
//! for its caller. A crash therefore counts only if the request was on at least half of the servers that
//! crashed together, and if no request in quarantine was on the same server. Where such crashes prove
//! nothing, as those of few servers under several fatal requests, the crash of a server on which the request
//! alone was tried does. So it does where several requests were on the same servers.
//!
//! Invariants: the decision is a pure function; the same crashes give the same result in whatever order
//! they were received.

use crate::evidence::ServerRun;
use crate::record::Record;
use bluebell_base::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeSet;

/// The number of crashes from which a request is refused, as the users require.
pub(crate) const MIN_CRASHES: usize = 3;

/// The points that these crashes need: three crashes of a running request suffice, or five of one that may
/// have been waiting.
const MIN_POINTS: u32 = 5;

/// The time within which crashes of servers may have one cause. Replicas of a rack that lost power broke
/// their connections within 50 ms of each other.
pub(crate) const ONE_CAUSE_MS: SpanMs = SpanMs(100);

/// The minimum time between the first and the last counted crash. A request that comes all the time is on
/// every replica that a power failure takes down, and none serves it until they are back.
const MIN_SPREAD_MS: SpanMs = SpanMs(250);

/// The time from when a crash is known until it is judged. By then nodes have reported what else crashed with it:
/// they see a crash within some 10 ms of each other and report it within some 10 ms more.
pub const DETECTION_DELAY_MS: SpanMs = SpanMs(150);

/// All runs of servers that crashed lately, whatever requests they had.
#[derive(Debug, Default)]
pub(crate) struct CrashedRuns {
    at_ms: FxHashMap<ServerRun, MonoMs>,
    in_order: BTreeSet<(MonoMs, ServerRun)>,
}

impl CrashedRuns {
    /// Records that a run crashed. The earliest reported time counts.
    pub fn add(&mut self, run: ServerRun, at_ms: MonoMs) {
        let known = self.at_ms.get(&run).copied();
        if known.is_some_and(|known| known <= at_ms) {
            return;
        }
        if let Some(known) = known {
            self.in_order.remove(&(known, run));
        }
        self.at_ms.insert(run, at_ms);
        self.in_order.insert((at_ms, run));
    }

    /// Removes all runs that crashed before `before_ms`.
    pub fn expire(&mut self, before_ms: MonoMs) {
        while let Some((at_ms, run)) = self.in_order.first().copied()
            && at_ms < before_ms
        {
            self.in_order.pop_first();
            self.at_ms.remove(&run);
        }
    }

    /// Returns true if at least half of the servers that crashed together with `run` are in `own`, those of
    /// one request or part.
    ///
    /// A power failure takes down many servers with many requests, each of which was on one or two of them.
    /// Without this rule, waves of such failures had up to 36 of some 3,000 requests of a day refused for
    /// good. A request that several callers send at once is on all servers that it crashes.
    pub fn is_specific(&self, run: ServerRun, own: &FxHashSet<ServerRun>) -> bool {
        let together: Vec<ServerRun> = self.with(run).collect();
        let ours = together.iter().filter(|run| own.contains(run)).count();
        ours * 2 >= together.len()
    }

    /// Returns the runs that crashed together with this one, including itself.
    fn with(&self, run: ServerRun) -> impl Iterator<Item = ServerRun> {
        let at_ms = self.at_ms.get(&run).copied().unwrap_or_default();
        let first = (at_ms - ONE_CAUSE_MS, ServerRun::FIRST);
        let last = (at_ms + ONE_CAUSE_MS, ServerRun::LAST);
        self.in_order.range(first..=last).map(|(_, run)| *run)
    }
}

/// The runs whose crashes don't count against a request, since something else caused them.
#[derive(Debug, Default)]
pub(crate) struct Explained {
    /// Those that crashed under parts in quarantine.
    pub by_parts: FxHashSet<ServerRun>,
    /// Those that crashed under other requests in quarantine. Their verdict may hide another fatal request.
    pub by_requests: FxHashSet<ServerRun>,
}

impl Explained {
    /// Returns true if the crash of a run doesn't count.
    pub fn contains(&self, run: ServerRun) -> bool {
        self.by_parts.contains(&run) || self.by_requests.contains(&run)
    }
}

/// What the crashes of a request show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// The number of crashes that are known.
    pub crashes: usize,
    /// The number of crashes that another request or a part in quarantine explains.
    pub explained: usize,
    /// The number of crashes together with which more servers crashed than the request was on.
    pub unspecific: usize,
    /// The number of crashes that count.
    pub counted: usize,
    /// The points of the evidence of these.
    pub points: u32,
    /// The number of crashes that no part in quarantine explains.
    pub possible: usize,
    /// The points of these.
    pub possible_points: u32,
    /// The number of those that count under which another suspect with enough crashes was as well.
    pub contested: usize,
    /// True if one of those that count was in a trial.
    pub in_trial: bool,
    /// The time from the first to the last of these.
    pub spread_ms: SpanMs,
}

impl Finding {
    /// Returns true if the request is to be refused: enough crashes count, or one of enough crashes was that of
    /// a server on which it was tried. Crashes that may all be those of other suspects are no proof.
    pub(crate) fn is_fatal(&self) -> bool {
        let is_contested = self.contested == self.counted;
        self.is_proved_in_trial() || (self.is_proved_by_crashes() && !is_contested)
    }

    /// Returns true if the request crashed the server on which it was tried, and has as many other crashes as a
    /// fatal one, even if other requests explain those.
    pub(crate) fn is_proved_in_trial(&self) -> bool {
        self.in_trial && self.possible >= MIN_CRASHES && self.possible_points >= MIN_POINTS
    }

    /// Returns true if enough crashes count.
    fn is_proved_by_crashes(&self) -> bool {
        self.counted >= MIN_CRASHES && self.points >= MIN_POINTS && self.spread_ms >= MIN_SPREAD_MS
    }
}

/// Judges requests by the crashes that are known at one time.
pub(crate) struct Detector<'a> {
    /// The crashes of all servers, whatever requests they had.
    pub runs: &'a CrashedRuns,
    /// The current time.
    pub now_ms: MonoMs,
    /// The runs that crashed under several suspects, each of which has enough crashes to be judged.
    pub contested: &'a FxHashSet<ServerRun>,
}

impl Detector<'_> {
    /// Returns what the crashes of a request show. Those that are explained don't count, nor do those that are too
    /// recent to be judged.
    pub fn finding(&self, record: &Record, explained: &Explained) -> Finding {
        let own: FxHashSet<ServerRun> = record.crashes().iter().map(|crash| crash.run).collect();
        let mut finding = Finding {
            crashes: record.crashes().len(),
            ..Finding::default()
        };
        let mut times = Vec::new();
        for crash in record.crashes() {
            if !explained.by_parts.contains(&crash.run) {
                finding.possible += 1;
                finding.possible_points += crash.evidence.points();
            }
            if explained.contains(crash.run) {
                finding.explained += 1;
            } else if !self.runs.is_specific(crash.run, &own) {
                finding.unspecific += 1;
            } else if self.now_ms.since(crash.known_ms) >= DETECTION_DELAY_MS {
                finding.points += crash.evidence.points();
                finding.contested += usize::from(self.contested.contains(&crash.run));
                finding.in_trial |= crash.in_trial;
                times.push(crash.at_ms);
            }
        }
        let first = times.iter().min().copied().unwrap_or_default();
        let last = times.iter().max().copied().unwrap_or_default();
        finding.counted = times.len();
        finding.spread_ms = last.since(first);
        finding
    }

    /// Returns true if a request is to be refused.
    pub fn is_fatal(&self, record: &Record, explained: &Explained) -> bool {
        record.crashes().len() >= MIN_CRASHES && self.finding(record, explained).is_fatal()
    }
}
