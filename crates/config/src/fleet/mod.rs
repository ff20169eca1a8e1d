//! The configuration's data, as written in its JSON file.
//!
//! Invariants: fields that this version does not know are refused in a file given by an operator;
//! ids ([`ClassId`], [`AccountId`]) are positions in these lists and valid for one version only.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The whole configuration of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Classes of work.
    pub classes: Vec<Class>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Models and the version that shall be served.
    pub models: Vec<Model>,
    /// Plain services routed to.
    #[serde(default)]
    pub services: Vec<Service>,
    /// What is known of kinds of upstreams.
    #[serde(default)]
    pub deployments: Vec<Deployment>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: Limits,
}

/// A class of work and its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: ClassName,
    /// How soon answers begin, by prompt length; ascending, the last without a limit.
    pub first_token: Vec<FirstTokenTarget>,
    /// How soon answers end; also the deadline of a request that names none.
    pub end_ms: SpanMs,
    /// Whether its work may be run again after it may have run.
    pub idempotent: bool,
}

/// A first-token target for prompts up to a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FirstTokenTarget {
    /// The longest prompt it is for; none: any length.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub up_to_tokens: Option<Tokens>,
    /// The target, counted from the request's arrival.
    pub within_ms: SpanMs,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// SHA-256 of the caller's key, in lower-case hex; the key itself is nowhere kept.
    pub key_sha256: Arc<str>,
}

/// A model and the version to serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// The version of weights or adapter that engines shall serve.
    pub version: u64,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, which is also its deployment's.
    pub name: ServiceName,
    /// The routed path's prefix, such as `/services/board`.
    pub prefix: Arc<str>,
    /// How long a call may take.
    pub timeout_ms: SpanMs,
    /// Calls that may not be repeated; all others may.
    #[serde(default)]
    pub no_repeat: Vec<NoRepeat>,
}

/// A pattern of calls that may not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoRepeat {
    /// The HTTP method.
    pub method: Arc<str>,
    /// The beginning of the path behind the service's prefix.
    pub path: Arc<str>,
}

/// What the operators say of a kind of upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name in the platform's list.
    pub name: DeploymentName,
    /// Whether its upstreams refuse orders with an old fencing number; not said means they don't.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Limits on callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The largest request body.
    pub body_bytes: Bytes,
    /// The most tokens an answer may have.
    pub answer_tokens: Tokens,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: Bytes(16 * 1024 * 1024),
            answer_tokens: Tokens(4096),
        }
    }
}

impl FleetConfig {
    /// The class of that name.
    pub fn class(&self, name: &ClassName) -> Option<(ClassId, &Class)> {
        let index = self.classes.iter().position(|class| class.name == *name)?;
        Some((ClassId(index as u32), &self.classes[index]))
    }

    /// The account of that name.
    pub fn account(&self, name: &AccountName) -> Option<(AccountId, &Account)> {
        let index = self.accounts.iter().position(|a| a.name == *name)?;
        Some((AccountId(index as u32), &self.accounts[index]))
    }

    /// Whether upstreams of a deployment refuse orders with an old fencing number.
    pub fn checks_fencing(&self, name: &DeploymentName) -> bool {
        let found = self.deployments.iter().find(|d| d.name == *name);
        found.is_some_and(|deployment| deployment.checks_fencing)
    }
}

impl Class {
    /// The first-token target for a prompt of that length.
    pub fn first_token_ms(&self, prompt_tokens: Tokens) -> SpanMs {
        let fits = |target: &&FirstTokenTarget| {
            target
                .up_to_tokens
                .is_none_or(|limit| prompt_tokens <= limit)
        };
        let target = self.first_token.iter().find(fits);
        target.map_or(self.end_ms, |target| target.within_ms)
    }
}
