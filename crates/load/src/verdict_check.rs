//! Compares the verdicts that callers received with what upstreams actually ran.
//!
//! Terms: a *run key* is the key by which upstreams count runs: the text of a request's id at
//! engines, the idempotency key at plain services.
//!
//! Invariants: a fault is reported only on the basis of runs that upstreams counted. A key that
//! they don't know is no fault, and an unreachable upstream can hide faults but never cause one.

use bluebell_base::prelude::*;
use serde::Deserialize;
use std::collections::HashMap;
use std::time::Duration;

/// The path at which stand-in upstreams report their run counts.
const RUNS_PATH: &str = "/runs";

/// The timeout for one upstream's run counts.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The longest accepted answer, in bytes; enough for some hundred thousand requests.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// The number of times that an upstream started the work of one run key.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RunCount {
    /// The run key.
    #[serde(alias = "request")]
    pub key: Arc<str>,
    /// The number of times that its work was started.
    #[serde(alias = "effects")]
    pub runs: u64,
}

/// The run counts reported by all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// All counts. A key that ran on several upstreams appears several times.
    pub counts: Vec<RunCount>,
    /// The number of upstreams that answered.
    pub asked: u64,
    /// The number of upstreams that did not answer, such as killed ones.
    pub unreachable: u64,
}

/// A source of upstreams' run counts.
pub trait RunSource: Send + Sync {
    /// Requests the run counts of all upstreams.
    fn counts(&self) -> RunCounts;
}

/// A source that requests stand-in upstreams' run counts over HTTP.
#[derive(Debug)]
pub struct HttpRunSource {
    upstreams: Vec<Address>,
    agent: ureq::Agent,
}

impl HttpRunSource {
    /// Creates a source for the stand-ins at these addresses, which must include every one that may
    /// have run a request.
    pub fn open(upstreams: Vec<Address>) -> Self {
        let agent = ureq::Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .new_agent();
        Self { upstreams, agent }
    }

    fn fetch(&self, upstream: &Address) -> Result<Vec<RunCount>, ureq::Error> {
        let url = format!("http://{upstream}{RUNS_PATH}");
        let mut answer = self.agent.get(url).call()?;
        let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        body.read_json()
    }
}

impl RunSource for HttpRunSource {
    fn counts(&self) -> RunCounts {
        let mut all = RunCounts::default();
        for upstream in &self.upstreams {
            match self.fetch(upstream) {
                Ok(counts) => {
                    all.counts.extend(counts);
                    all.asked += 1;
                }
                Err(error) => {
                    log::warn!("can't read the run counts of {upstream}: {error}");
                    all.unreachable += 1;
                }
            }
        }
        all
    }
}

/// The verdict that a caller received for one request, with the request's run keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReportedVerdict {
    /// The request's run keys: those of all attempts if it must run at most once, otherwise only
    /// the last one, since each of its attempts is a separate request.
    pub(crate) keys: Vec<Arc<str>>,
    /// The last verdict that the caller received; `None` after a complete answer, after an error
    /// without verdict, or without any answer.
    pub(crate) verdict: Option<Verdict>,
    /// True if the request must run at most once.
    pub(crate) at_most_once: bool,
}

/// The number of wrong verdicts and repeated runs, and the number of upstreams that were compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct VerdictFaults {
    /// Requests with the verdict `not_run` that an upstream ran.
    pub(crate) untrue_not_run: u64,
    /// Requests that must run at most once and were started more often.
    pub(crate) ran_twice: u64,
    /// Upstreams that reported their run counts.
    pub(crate) asked: u64,
    /// Upstreams that did not answer.
    pub(crate) unreachable: u64,
}

/// Compares the verdicts that callers received with the run counts of upstreams.
pub(crate) fn compare(verdicts: &[ReportedVerdict], run_counts: &RunCounts) -> VerdictFaults {
    let mut runs_of: HashMap<&str, u64> = HashMap::new();
    for count in &run_counts.counts {
        *runs_of.entry(&count.key).or_default() += count.runs;
    }
    let mut faults = VerdictFaults {
        asked: run_counts.asked,
        unreachable: run_counts.unreachable,
        ..VerdictFaults::default()
    };
    for reported in verdicts {
        let known = reported.keys.iter().filter_map(|key| runs_of.get(&**key));
        let runs: u64 = known.sum();
        if reported.verdict == Some(Verdict::NotRun) && runs > 0 {
            faults.untrue_not_run += 1;
        }
        if reported.at_most_once && runs > 1 {
            faults.ran_twice += 1;
        }
    }
    faults
}
