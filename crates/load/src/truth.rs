//! The check of verdicts against what upstreams really ran.
//!
//! Terms: a *run key* is what upstreams count runs by: the text of a request's id at engines, the
//! idempotency key at plain services.
//!
//! Invariants: only what upstreams counted convicts the system; a key they don't know is no fault,
//! and an upstream that can't be asked any more only makes the check find less.

use bluebell_base::prelude::*;
use serde::Deserialize;
use std::collections::HashMap;
use std::time::Duration;

/// Where stand-in upstreams tell what they ran.
const RUNS_PATH: &str = "/runs";

/// How long an upstream may take to tell.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The longest answer taken, in bytes: some hundred thousand requests.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// How often an upstream began the work of one run key.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RunCount {
    /// The run key.
    #[serde(alias = "request")]
    pub key: Arc<str>,
    /// How often its work was begun.
    #[serde(alias = "effects")]
    pub runs: u64,
}

/// What upstreams told of what they ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// All counts; what ran on several upstreams appears several times.
    pub counts: Vec<RunCount>,
    /// Upstreams that told.
    pub asked: u64,
    /// Upstreams that can't be asked any more, such as killed ones.
    pub unreachable: u64,
}

/// Knows what upstreams really ran.
pub trait RunSource: Send + Sync {
    /// Asks all upstreams.
    fn counts(&self) -> RunCounts;
}

/// Asks stand-in upstreams over HTTP.
#[derive(Debug)]
pub struct HttpRunSource {
    upstreams: Vec<Address>,
    agent: ureq::Agent,
}

impl HttpRunSource {
    /// Asks the stand-ins at these addresses: all that may have run anything.
    pub fn open(upstreams: Vec<Address>) -> Self {
        let agent = ureq::Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .new_agent();
        Self { upstreams, agent }
    }

    fn ask(&self, upstream: &Address) -> Result<Vec<RunCount>, ureq::Error> {
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
            match self.ask(upstream) {
                Ok(counts) => {
                    all.counts.extend(counts);
                    all.asked += 1;
                }
                Err(error) => {
                    log::warn!("what {upstream} ran can't be known: {error}");
                    all.unreachable += 1;
                }
            }
        }
        all
    }
}

/// What is kept of a request for the check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    /// Its run keys: of one that must run at most once those of all its tries, of another only
    /// the last, for each of its tries is a request of its own.
    pub(crate) keys: Vec<Arc<str>>,
    /// The last verdict that its caller was told; none where it got a whole answer or no word.
    pub(crate) verdict: Option<Verdict>,
    /// Whether it must run at most once.
    pub(crate) once: bool,
}

/// What was untrue, and how many upstreams were asked to find it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Untruths {
    /// Requests declared not run that ran.
    pub(crate) untrue_not_run: u64,
    /// Requests that must run at most once and were begun more often.
    pub(crate) ran_twice: u64,
    /// Upstreams that told what they ran.
    pub(crate) asked: u64,
    /// Upstreams that can't be asked any more.
    pub(crate) unreachable: u64,
}

/// Compares what callers were told with what upstreams ran.
pub(crate) fn compare(claims: &[Claim], told: &RunCounts) -> Untruths {
    let mut runs_of: HashMap<&str, u64> = HashMap::new();
    for count in &told.counts {
        *runs_of.entry(&count.key).or_default() += count.runs;
    }
    let mut untruths = Untruths {
        asked: told.asked,
        unreachable: told.unreachable,
        ..Untruths::default()
    };
    for claim in claims {
        let known = claim.keys.iter().filter_map(|key| runs_of.get(&**key));
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
