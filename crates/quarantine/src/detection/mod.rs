//! Whether a request is to blame for the ends of the servers that it was on.
//!
//! Load pattern: a server that ends takes up to its slots of requests along, one of which may be to
//! blame; racks and networks fail as well, and end many servers under whatever is on them.
//!
//! Reason for the limits: a request that is refused for what another did, or a power cut, is lost for
//! its caller. So an end counts only where the request was on most of the servers that ended with it,
//! and where no request that is known to be to blame was there as well.
//!
//! Invariants: pure; the same ends give the same verdict whatever the order in which they were told.

use crate::evidence::ServerRun;
use crate::record::{End, Record};
use bluebell_base::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeSet;

/// How many servers a request ends before it is run no more: the users' aim.
pub(crate) const ENDS: usize = 3;

/// What these ends have to come to: three of a running request, five where it may have waited.
const POINTS: u32 = 5;

/// Servers that end within this time of each other may have ended for one cause. Replicas of a rack
/// that lost power broke their connections within 50 ms of each other.
const ONE_CAUSE_MS: SpanMs = SpanMs(100);

/// How far the first and the last of its ends lie apart at least: what comes all the time is on every
/// replica that a power cut ends, and served by none until they are back.
const LEAST_SPREAD_MS: SpanMs = SpanMs(250);

/// How old an end is before it is judged: by then nodes have told what else ended with it. Nodes see
/// an end within some 10 ms of each other and tell it within some 10 ms more.
pub const DETECTION_DELAY_MS: SpanMs = SpanMs(150);

/// All runs of servers that ended lately, under whatever request.
#[derive(Debug, Default)]
pub(crate) struct EndedRuns {
    at_ms: FxHashMap<ServerRun, MonoMs>,
    in_order: BTreeSet<(MonoMs, ServerRun)>,
}

impl EndedRuns {
    /// A run ended; the earliest time that was told counts.
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

    /// Forgets what ended before.
    pub fn expire(&mut self, before_ms: MonoMs) {
        while let Some((at_ms, run)) = self.in_order.first().copied()
            && at_ms < before_ms
        {
            self.in_order.pop_first();
            self.at_ms.remove(&run);
        }
    }

    /// The runs that ended with this one.
    fn with(&self, run: ServerRun) -> impl Iterator<Item = ServerRun> {
        let at_ms = self.at_ms.get(&run).copied().unwrap_or_default();
        let first = (at_ms - ONE_CAUSE_MS, ServerRun::FIRST);
        let last = (at_ms + ONE_CAUSE_MS, ServerRun::LAST);
        self.in_order.range(first..=last).map(|(_, run)| *run)
    }
}

/// Judges requests by what is known at one moment.
pub(crate) struct Judge<'a> {
    pub runs: &'a EndedRuns,
    pub now_ms: MonoMs,
}

impl Judge<'_> {
    /// Whether a request is to be run no more, where the ends of `explained` runs are put down to
    /// others.
    pub fn is_fatal(&self, record: &Record, explained: &FxHashSet<ServerRun>) -> bool {
        if record.ends().len() < ENDS {
            return false;
        }
        let own: FxHashSet<ServerRun> = record.ends().iter().map(|end| end.run).collect();
        let counted = |end: &&End| {
            let old = self.now_ms.since(end.at_ms) >= DETECTION_DELAY_MS;
            old && !explained.contains(&end.run) && self.is_specific(end.run, &own)
        };
        let counted: Vec<&End> = record.ends().iter().filter(counted).collect();
        let points: u32 = counted.iter().map(|end| end.evidence.points()).sum();
        let times = counted.iter().map(|end| end.at_ms);
        let first = times.clone().min().unwrap_or_default();
        let last = times.max().unwrap_or_default();
        counted.len() >= ENDS && points >= POINTS && last.since(first) >= LEAST_SPREAD_MS
    }

    /// Whether the request was on half or more of the servers that ended together.
    ///
    /// A power cut ends many servers under many requests, each of which was on one or two: in waves
    /// of such cuts up to 36 of some 3,000 requests of a day were refused for good without this.
    /// A request that several callers send at once is on all of those that it ends.
    fn is_specific(&self, run: ServerRun, own: &FxHashSet<ServerRun>) -> bool {
        let together: Vec<ServerRun> = self.runs.with(run).collect();
        let ours = together.iter().filter(|run| own.contains(run)).count();
        ours * 2 >= together.len()
    }
}
