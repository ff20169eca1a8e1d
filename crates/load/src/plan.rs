//! What load is asked for.

use crate::answer::Oracle;
use crate::mix::Mix;
use crate::truth::RunSource;
use bluebell_base::prelude::*;
use std::fmt;

/// A client account's key, sent as a bearer token; never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct AccountKey(Arc<str>);

impl AccountKey {
    /// Wraps a key.
    pub fn new(key: impl Into<Arc<str>>) -> Self {
        Self(key.into())
    }

    /// The key itself, for the header that carries it.
    pub(crate) fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccountKey(set)")
    }
}

/// A class of work, and the prompts that are sent as of that class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassPlan {
    /// The class as the configuration names it.
    pub name: ClassName,
    /// The longest prompt sent as of this class; none: any length.
    pub up_to_tokens: Option<Tokens>,
    /// The most tokens asked for in an answer.
    pub answer_tokens: Tokens,
}

/// Completions that must run at most once, each under an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyedPlan {
    /// A class that the configuration declares not idempotent; it takes prompts of any length.
    pub class: ClassName,
    /// The most tokens asked for in an answer.
    pub answer_tokens: Tokens,
    /// Their share of all requests, 0 to 1.
    pub share: f64,
}

/// Calls to a plain service among the load.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// The routed path, such as `/services/board/notices`, which is posted to.
    pub path: Arc<str>,
    /// Their share of all requests, 0 to 1.
    pub share: f64,
}

/// Calls an engine without the system between, to measure what the system adds.
pub trait DirectEngine: Send + Sync {
    /// Runs one prompt to its end and calls `on_token` at each token.
    ///
    /// # Errors
    /// The failure, where the answer isn't whole.
    fn run(
        &self,
        prompt: &Arc<str>,
        max_tokens: Tokens,
        on_token: &mut dyn FnMut(),
    ) -> Result<(), Error>;
}

/// What load is asked for.
#[derive(Clone)]
pub struct LoadPlan {
    /// Nodes' callers' addresses, used in turn as a balancer would.
    pub targets: Vec<Address>,
    /// The mean rate of arrivals.
    pub rate: PerSecond,
    /// How many requests are sent.
    pub requests: u64,
    /// The seed of the schedule.
    pub seed: u64,
    /// The mix of prompt lengths.
    pub mix: Mix,
    /// Prompts longer than this are cut to it; none: no limit.
    pub max_prompt_tokens: Option<Tokens>,
    /// Classes by prompt length, ascending; the last takes any length.
    pub classes: Vec<ClassPlan>,
    /// The accounts' keys; each request is of one of them, drawn evenly.
    pub accounts: Vec<AccountKey>,
    /// The model asked for.
    pub model: ModelName,
    /// Completions that must run at most once.
    pub keyed: Option<KeyedPlan>,
    /// Calls to a plain service.
    pub service: Option<ServicePlan>,
    /// How often a request is tried in all, the first time included.
    pub tries: u32,
    /// The most requests in flight; it bounds threads and memory.
    pub threads: usize,
    /// How long one answer is waited for.
    pub patience_ms: SpanMs,
    /// The length of the beginning that all prompts of one account share.
    pub shared_prefix_tokens: Tokens,
    /// Knows the right answers; none: identity isn't checked.
    pub oracle: Option<Arc<dyn Oracle>>,
    /// Knows how often each request ran; none: truthfulness isn't checked.
    pub run_source: Option<Arc<dyn RunSource>>,
    /// Calls an engine directly, side by side, with each prompt of this share; none: not at all.
    pub direct: Option<Arc<dyn DirectEngine>>,
    /// The share of requests that are also sent to the engine directly.
    pub direct_share: f64,
    /// Whether a live line is written to standard error, where that is a terminal.
    pub live: bool,
}

/// A plan that can't be carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// A list that must not be empty is.
    #[error("{0} must not be empty")]
    Empty(&'static str),
    /// A number that is out of range.
    #[error("{what} must be {wanted}")]
    OutOfRange {
        /// The field.
        what: &'static str,
        /// The range.
        wanted: &'static str,
    },
    /// No class takes the longest prompts.
    #[error("the last class must take prompts of any length")]
    LastClassLimited,
}

impl LoadPlan {
    /// A plan with one account and one class of work, and the default mix.
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
    /// Every fault found.
    pub fn check(&self) -> Result<(), Vec<PlanError>> {
        let mut errors = Vec::new();
        let lists = [
            ("targets", self.targets.is_empty()),
            ("classes", self.classes.is_empty()),
            ("accounts", self.accounts.is_empty()),
        ];
        errors.extend(lists.iter().filter(|l| l.1).map(|l| PlanError::Empty(l.0)));
        let rate_fits = self.rate.0.is_finite() && self.rate.0 > 0.0;
        let keyed_share = self.keyed.as_ref().map_or(0.0, |keyed| keyed.share);
        let service_share = self.service.as_ref().map_or(0.0, |service| service.share);
        let ranges = [
            ("rate", "more than 0/s", rate_fits),
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
