//! The types of the configuration, as written in its JSON file.
//!
//! Invariants: unknown fields are refused in a file given by an operator; ids ([`ClassId`],
//! [`AccountId`]) are positions in these lists and valid for one version only.

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
    /// Models, with the version that engines must serve.
    pub models: Vec<Model>,
    /// Plain services to which calls are routed.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Properties of deployments.
    #[serde(default)]
    pub deployments: Vec<Deployment>,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
}

/// A class of work and its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: ClassName,
    /// First-token targets by prompt length, in ascending order. The last one has no length limit.
    pub first_token: Vec<FirstTokenTarget>,
    /// Time within which answers must end. It is also the deadline of a request that sets none.
    pub end_ms: SpanMs,
    /// True if work of this class may be run again after it may have run.
    pub idempotent: bool,
}

/// A first-token target for prompts up to a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FirstTokenTarget {
    /// Longest prompt to which the target applies, or `None` for any length.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub up_to_tokens: Option<Tokens>,
    /// Maximum time from the request's arrival to the first token.
    pub within_ms: SpanMs,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// SHA-256 of the caller's key in lower-case hex. The key itself is not stored anywhere.
    pub key_sha256: Arc<str>,
}

/// A model and the version to serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Version of the weights or adapter that engines must serve.
    pub version: u64,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service and of its deployment.
    pub name: ServiceName,
    /// Path prefix that is routed to the service, such as `/services/board`.
    pub prefix: Arc<str>,
    /// Maximum duration of a call.
    pub timeout_ms: SpanMs,
    /// Calls that may not be repeated. All other calls may be.
    #[serde(default)]
    pub no_repeat: Vec<NoRepeat>,
}

/// A pattern of calls that may not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoRepeat {
    /// HTTP method of the calls.
    pub method: Arc<str>,
    /// Start of the path after the service's prefix.
    pub path: Arc<str>,
}

/// Properties of a kind of upstream, given by the operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment in the platform's list.
    pub name: DeploymentName,
    /// True if its upstreams refuse orders with an old fencing number. False if omitted.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_bytes: Bytes,
    /// Maximum number of tokens in an answer.
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
    /// Returns the class with the given name.
    pub fn class(&self, name: &ClassName) -> Option<(ClassId, &Class)> {
        let index = self.classes.iter().position(|class| class.name == *name)?;
        Some((ClassId(index as u32), &self.classes[index]))
    }

    /// Returns the account with the given name.
    pub fn account(&self, name: &AccountName) -> Option<(AccountId, &Account)> {
        let index = self.accounts.iter().position(|a| a.name == *name)?;
        Some((AccountId(index as u32), &self.accounts[index]))
    }

    /// Returns true if the upstreams of a deployment refuse orders with an old fencing number.
    pub fn checks_fencing(&self, name: &DeploymentName) -> bool {
        let found = self.deployments.iter().find(|d| d.name == *name);
        found.is_some_and(|deployment| deployment.checks_fencing)
    }
}

impl Class {
    /// Returns the first-token target for a prompt of the given length.
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
