//! Input and output types of the policy: jobs, facts about engines, decisions, refusals and
//! outcomes.

use bluebell_base::prelude::*;
use bluebell_upstreams::Priority;
use serde::{Deserialize, Serialize};

/// The policy's view of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identity of the request.
    pub request: RequestId,
    /// Client account that sent the request.
    pub account: AccountId,
    /// Class of work.
    pub class: ClassId,
    /// Requested model.
    pub model: ModelId,
    /// Estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum length of the answer.
    pub max_tokens: Tokens,
    /// Hashes of prefixes of the prompt, for the prefix cache, ordered by ascending length.
    pub prefixes: Vec<Prefix>,
    /// Time of arrival.
    pub arrived_ms: MonoMs,
    /// Time at which the class's target requires the first token.
    pub first_token_due_ms: MonoMs,
    /// Time by which the request must have ended.
    pub deadline_ms: MonoMs,
    /// True if the request may be run again after it may have run.
    pub idempotent: bool,
    /// Engines that have failed or refused this job before, the last one last.
    pub avoid: Vec<UpstreamId>,
}

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix {
    /// Hash of the prefix, computed in the same way as the engines' cache events.
    pub hash: u64,
    /// Length of the prefix.
    pub tokens: Tokens,
}

/// Properties of an engine other than its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineFacts {
    /// Identity of the engine in this process.
    pub upstream: UpstreamId,
    /// Failure domain of the engine.
    pub domain: DomainId,
    /// Models that the engine serves.
    pub models: Vec<ModelId>,
    /// Capacity of its KV memory.
    pub kv_capacity_tokens: Tokens,
    /// Sort key that gives the engines the same order at every node; see [`EngineFacts::rank_of`].
    pub rank: u64,
}

impl EngineFacts {
    /// Returns the rank of the engine with the given name. It is an FNV-1a hash of the name and so
    /// the same in every process, whereas an [`UpstreamId`] is local to one process.
    pub fn rank_of(name: &UpstreamName) -> u64 {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        name.as_str().bytes().fold(OFFSET_BASIS, step)
    }
}

/// Memory reserved on one engine of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPart {
    /// The engine.
    pub upstream: UpstreamId,
    /// Reserved KV memory.
    pub kv_tokens: Tokens,
}

/// An action to carry out for a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the job to one engine.
    Send {
        /// The job.
        request: RequestId,
        /// The engine.
        upstream: UpstreamId,
        /// Priority of the job on the engine.
        priority: Priority,
    },
    /// Reserve memory on the members, then send the job to the leader.
    Group {
        /// The job.
        request: RequestId,
        /// Engine that runs the job.
        leader: UpstreamId,
        /// Engines that lend memory, without the leader.
        members: Vec<GroupPart>,
        /// Priority of the job on the leader.
        priority: Priority,
    },
    /// Cancel the job's attempt, which waits behind other work on its engine, unless its first
    /// token has arrived meanwhile. Only jobs that may be repeated are recalled. The end of the
    /// attempt is reported to [`crate::Policy::on_end`] like any other (`NotRun` or `Cancelled`).
    /// The policy then queues the job again by itself, so the caller must not admit it a second
    /// time.
    Recall {
        /// The job.
        request: RequestId,
    },
    /// Give up the job now.
    Refuse {
        /// The job.
        request: RequestId,
        /// Reason, and the time after which to retry.
        refusal: Refusal,
    },
}

/// Reason for a refusal, and the time after which to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry has a better chance.
    pub retry_after_ms: SpanMs,
}

/// Reason for the refusal of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No engine currently serves the model.
    NoEngine,
    /// The deadline cannot be met.
    TooLate,
    /// The fleet is over capacity and the account is over its share.
    OverShare,
    /// The fleet is over capacity.
    Overloaded,
    /// The job needs more memory than the largest possible group of engines has.
    TooLong,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The answer was complete and had this many tokens.
    Finished(Tokens),
    /// The engine refused the job before it did any work.
    NotRun,
    /// The engine or the connection to it failed during the attempt.
    Failed,
    /// The caller cancelled the request, or its deadline passed. This says nothing about the
    /// engine's health.
    Cancelled,
}
