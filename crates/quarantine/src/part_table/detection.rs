//! Decides if a part of prompts caused the crashes of servers that it was on.
//!
//! Load pattern: a server that crashes has requests that share parts with many others, on healthy servers as
//! well. One part is on most prompts of a route.
//!
//! Reason for the limits: a part that is refused wrongly takes all its callers out of service. So its crashes
//! must come from several different requests at several times, no answer to it may have begun in between, and
//! requests without it must be served meanwhile. That tells it from a fatal whole request, from a power
//! failure, and from a time at which nothing is served at all.

use crate::detection::{CrashedRuns, ONE_CAUSE_MS};
use crate::evidence::ServerRun;
use crate::record::{Crash, Record};
use bluebell_base::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

/// The number of crashed servers from which a part is refused that no answer has ever begun on.
pub(super) const MIN_RUNS: usize = 3;

/// The number of crashed servers from which a part is refused that was served before. Within it the users
/// accept crashes under a part before they count what is sent.
const MIN_RUNS_AFTER_SUCCESS: usize = 5;

/// The smallest number of requests that explains a part's crashes. Two requests that are fatal by themselves
/// may share parts.
const MIN_REQUESTS: usize = 3;

/// The smallest number of separate times at which servers crashed. Less is one failure of many servers.
const MIN_MOMENTS: usize = 3;

/// The time from when a crash is known until it is judged. By then nodes have reported answers that began after it:
/// an answer counts 300 ms after its first event, and reports are delayed by up to 200 ms.
pub const PART_DETECTION_DELAY_MS: SpanMs = SpanMs(600);

/// Judges parts by the crashes that are known at one time.
pub(super) struct PartDetector<'a> {
    /// The crashes of all servers.
    pub runs: &'a CrashedRuns,
    /// The runs that crashed under requests in quarantine, with the numbers of these requests.
    pub fatal_requests: &'a [(ServerRun, u64)],
    /// The runs that crashed under other parts in quarantine.
    pub explained: FxHashSet<ServerRun>,
    /// The current time.
    pub now_ms: MonoMs,
}

impl PartDetector<'_> {
    /// Returns true if a part is to be refused. `is_control_served` returns true if requests without the part
    /// were served after the given time.
    pub fn is_fatal(&self, record: &Record, is_control_served: impl Fn(MonoMs) -> bool) -> bool {
        let counted = self.counted(record);
        let runs: FxHashSet<ServerRun> = counted.iter().map(|crash| crash.run).collect();
        let min_runs = match record.cleared {
            Some(_) => MIN_RUNS_AFTER_SUCCESS,
            None => MIN_RUNS,
        };
        let first_ms = counted.iter().map(|crash| crash.at_ms).min();
        runs.len() >= min_runs
            && moments(&counted) >= MIN_MOMENTS
            && needs_requests(&counted, MIN_REQUESTS)
            && first_ms.is_some_and(is_control_served)
    }

    /// Returns the crashes that count against a part.
    fn counted<'r>(&self, record: &'r Record) -> Vec<&'r Crash> {
        let crashes = record.crashes();
        let own: FxHashSet<ServerRun> = crashes.iter().map(|crash| crash.run).collect();
        let requests: FxHashSet<u64> = crashes.iter().map(|crash| crash.request).collect();
        let is_explained = |run: ServerRun| {
            // A fatal request that has the part is one of the requests that explain the part's crashes.
            let mut fatal = self.fatal_requests.iter();
            self.explained.contains(&run)
                || fatal.any(|(crashed, request)| *crashed == run && !requests.contains(request))
        };
        let counted = crashes.iter().filter(|crash| {
            let due = self.now_ms.since(crash.known_ms) >= PART_DETECTION_DELAY_MS;
            due && !is_explained(crash.run) && self.runs.is_specific(crash.run, &own)
        });
        counted.collect()
    }
}

/// Returns the number of separate times at which servers crashed.
fn moments(crashes: &[&Crash]) -> usize {
    let mut times: Vec<MonoMs> = crashes.iter().map(|crash| crash.at_ms).collect();
    times.sort_unstable();
    let mut moments = 0;
    let mut begun_ms = None;
    for at_ms in times {
        if begun_ms.is_none_or(|begun_ms| at_ms.since(begun_ms) > ONE_CAUSE_MS) {
            moments += 1;
            begun_ms = Some(at_ms);
        }
    }
    moments
}

/// Returns true if fewer than `min` requests can't have been on all servers that crashed. The requests that
/// were on most servers are counted first.
fn needs_requests(crashes: &[&Crash], min: usize) -> bool {
    let mut left: Vec<&Crash> = crashes.to_vec();
    for _ in 1..min {
        let mut runs: FxHashMap<u64, FxHashSet<ServerRun>> = FxHashMap::default();
        for crash in &left {
            runs.entry(crash.request).or_default().insert(crash.run);
        }
        let widest = runs
            .into_iter()
            .max_by_key(|(request, runs)| (runs.len(), *request));
        let Some((_, covered)) = widest else {
            return false;
        };
        left.retain(|crash| !covered.contains(&crash.run));
    }
    !left.is_empty()
}
