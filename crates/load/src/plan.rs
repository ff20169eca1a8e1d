//! The configuration of a load run and its validation.

use crate::answer::Oracle;
use crate::mix::Mix;
use crate::verdict_check::RunSource;
use bluebell_base::prelude::*;
use std::fmt;

/// A client account's key. It is sent as a bearer token and never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct AccountKey(Arc<str>);

impl AccountKey {
    /// Wraps a key.
    pub fn new(key: impl Into<Arc<str>>) -> Self {
        Self(key.into())
    }

    /// Returns the key, for the `authorization` header.
    pub(crate) fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccountKey(set)")
    }
}

/// A class of work and the prompts that are sent under it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassPlan {
    /// The class's name in the configuration.
    pub name: ClassName,
    /// The longest prompt sent under this class; `None` for any length.
    pub up_to_tokens: Option<Tokens>,
    /// The maximum number of answer tokens requested.
    pub answer_tokens: Tokens,
}

/// Completions that must run at most once; each carries an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyedPlan {
    /// A class that the configuration declares not idempotent. It accepts prompts of any length.
    pub class: ClassName,
    /// The maximum number of answer tokens requested.
    pub answer_tokens: Tokens,
    /// The share of all requests that are of this kind, 0 to 1.
    pub share: f64,
}

/// Calls to a plain service that are part of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// The routed path that receives a `POST`, such as `/services/board/notices`.
    pub path: Arc<str>,
    /// The share of all requests that are of this kind, 0 to 1.
    pub share: f64,
}

/// A client that calls an engine without the system in between, to measure the latency that the
/// system adds.
pub trait DirectEngine: Send + Sync {
    /// Runs one prompt to its end and calls `on_token` for each token.
    ///
    /// # Errors
    /// Returns the failure if the answer isn't complete.
    fn run(
        &self,
        prompt: &Arc<str>,
        max_tokens: Tokens,
        on_token: &mut dyn FnMut(),
    ) -> Result<(), Error>;
}

/// The configuration of a load run.
#[derive(Clone)]
pub struct LoadPlan {
    /// The nodes' addresses for callers. Requests go to them in turn, as from a load balancer.
    pub targets: Vec<Address>,
    /// The mean arrival rate.
    pub rate: PerSecond,
    /// The number of requests to send.
    pub requests: u64,
    /// The seed of the schedule.
    pub seed: u64,
    /// The mix of prompt lengths.
    pub mix: Mix,
    /// The length that longer prompts are cut to; `None` for no limit.
    pub max_prompt_tokens: Option<Tokens>,
    /// Classes in ascending order of prompt length. The last one accepts any length.
    pub classes: Vec<ClassPlan>,
    /// The accounts' keys. Each request uses one of them, drawn uniformly.
    pub accounts: Vec<AccountKey>,
    /// The requested model.
    pub model: ModelName,
    /// Completions that must run at most once; `None` to send none.
    pub keyed: Option<KeyedPlan>,
    /// Calls to a plain service; `None` to send none.
    pub service: Option<ServicePlan>,
    /// The maximum number of attempts per request, including the first.
    pub tries: u32,
    /// The maximum number of requests in flight, which bounds threads and memory.
    pub threads: usize,
    /// The timeout for the head and for the body of one answer.
    pub patience_ms: SpanMs,
    /// The length of the prefix that all prompts of one account share.
    pub shared_prefix_tokens: Tokens,
    /// Computes the correct answers; `None` if tokens aren't checked.
    pub oracle: Option<Arc<dyn Oracle>>,
    /// Provides how often each request ran; `None` if verdicts aren't checked.
    pub run_source: Option<Arc<dyn RunSource>>,
    /// Calls an engine directly during the run, for `direct_share` of the requests; `None` to make
    /// no direct calls.
    pub direct: Option<Arc<dyn DirectEngine>>,
    /// The share of scheduled requests that are sent to the engine directly, 0 to 1.
    pub direct_share: f64,
    /// True if a progress line is written to standard error when that is a terminal.
    pub live: bool,
}

/// A reason why a plan can't be carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// A list is empty that must have an entry.
    #[error("{0} must not be empty")]
    Empty(&'static str),
    /// A number is out of range.
    #[error("{what} must be {wanted}")]
    OutOfRange {
        /// The field.
        what: &'static str,
        /// The permitted range.
        wanted: &'static str,
    },
    /// The last class has a length limit, so no class accepts the longest prompts.
    #[error("the last class must take prompts of any length")]
    LastClassLimited,
}

impl LoadPlan {
    /// Creates a plan with one account, one class of work and the default mix.
    pub fn new(targets: Vec<Address>, account: AccountKey, class: ClassName) -> Self {
        Self {
            targets,
            rate: PerSecond(20.0),
            requests: 1_000,
            seed: 1,
            mix: Mix::Mixed,
            max_prompt_tokens: None,
            classes: vec![ClassPlan {
                name: class,
                up_to_tokens: None,
                answer_tokens: Tokens(32),
            }],
            accounts: vec![account],
            model: ModelName::from("pond-1"),
            keyed: None,
            service: None,
            tries: 3,
            threads: 128,
            patience_ms: SpanMs::from_secs(300),
            shared_prefix_tokens: Tokens::ZERO,
            oracle: None,
            run_source: None,
            direct: None,
            direct_share: 0.0,
            live: true,
        }
    }

    /// Checks that the plan can be carried out.
    ///
    /// # Errors
    /// Returns every problem found.
    pub fn check(&self) -> Result<(), Vec<PlanError>> {
        let mut errors = Vec::new();
        let lists = [
            ("targets", self.targets.is_empty()),
            ("classes", self.classes.is_empty()),
            ("accounts", self.accounts.is_empty()),
        ];
        errors.extend(lists.iter().filter(|l| l.1).map(|l| PlanError::Empty(l.0)));
        let is_valid_rate = self.rate.0.is_finite() && self.rate.0 > 0.0;
        let keyed_share = self.keyed.as_ref().map_or(0.0, |keyed| keyed.share);
        let service_share = self.service.as_ref().map_or(0.0, |service| service.share);
        let ranges = [
            ("rate", "more than 0/s", is_valid_rate),
            ("requests", "more than 0", self.requests > 0),
            ("tries", "more than 0", self.tries > 0),
            ("threads", "more than 0", self.threads > 0),
            ("keyed share", "from 0 to 1", is_share(keyed_share)),
            ("direct share", "from 0 to 1", is_share(self.direct_share)),
            ("service share", "from 0 to 1", is_share(service_share)),
        ];
        for (what, wanted, fits) in ranges {
            if !fits {
                errors.push(PlanError::OutOfRange { what, wanted });
            }
        }
        if self
            .classes
            .last()
            .is_some_and(|c| c.up_to_tokens.is_some())
        {
            errors.push(PlanError::LastClassLimited);
        }
        if errors.is_empty() {
            return Ok(());
        }
        Err(errors)
    }
}

fn is_share(share: f64) -> bool {
    (0.0..=1.0).contains(&share)
}
