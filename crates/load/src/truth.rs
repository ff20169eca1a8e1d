//! The check of verdicts against what upstreams really ran.
//!
//! Invariants: only what upstreams counted convicts the system; a request they don't know is no
//! fault.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How often upstreams began one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// The request.
    pub request: RequestId,
    /// How often it was begun.
    pub runs: u64,
}

/// Knows what upstreams really ran.
pub trait RunSource: Send + Sync {
    /// Asks all upstreams for these requests; one that ran on several may appear several times.
    ///
    /// # Errors
    /// An upstream that can't be asked; nothing is concluded then.
    fn counts(&self, requests: &[RequestId]) -> Result<Vec<RunCount>, Error>;
}

/// What is kept of a request for the check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    /// Every identity that the request was given, over all its tries.
    pub(crate) requests: Vec<RequestId>,
    /// The last verdict that its caller was told; none where it got a whole answer or no word.
    pub(crate) verdict: Option<Verdict>,
    /// Whether it must run at most once.
    pub(crate) once: bool,
}

/// What was untrue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Untruths {
    /// Requests declared not run that ran.
    pub(crate) untrue_not_run: u64,
    /// Requests that must run at most once and were begun more often.
    pub(crate) ran_twice: u64,
}

/// Every identity that the check asks upstreams for.
pub(crate) fn requests_of(claims: &[Claim]) -> Vec<RequestId> {
    claims
        .iter()
        .flat_map(|claim| claim.requests.iter().copied())
        .collect()
}

/// Compares what callers were told with what upstreams ran.
pub(crate) fn compare(claims: &[Claim], counts: &[RunCount]) -> Untruths {
    let mut runs_of: HashMap<RequestId, u64> = HashMap::new();
    for count in counts {
        *runs_of.entry(count.request).or_default() += count.runs;
    }
    let mut untruths = Untruths::default();
    for claim in claims {
        let known = claim.requests.iter().filter_map(|id| runs_of.get(id));
        let runs: u64 = known.sum();
        if claim.verdict == Some(Verdict::NotRun) && runs > 0 {
            untruths.untrue_not_run += 1;
        }
        if claim.once && runs > 1 {
            untruths.ran_twice += 1;
        }
    }
    untruths
}
