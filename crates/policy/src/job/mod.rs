//! The data that go into and come out of decisions.

use bluebell_base::prelude::*;
use bluebell_upstreams::Priority;
use serde::{Deserialize, Serialize};

/// What the policy knows of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// Who asks.
    pub account: AccountId,
    /// Its class.
    pub class: ClassId,
    /// The model.
    pub model: ModelId,
    /// The prompt's estimated length.
    pub prompt_tokens: Tokens,
    /// The most tokens the answer may have.
    pub max_tokens: Tokens,
    /// Hashes of the prompt's beginnings, for the prefix cache; ascending lengths.
    pub prefixes: Vec<Prefix>,
    /// When it arrived.
    pub arrived_ms: MonoMs,
    /// When its first token is due by the class's target.
    pub first_token_due_ms: MonoMs,
    /// When it must have ended.
    pub deadline_ms: MonoMs,
    /// Whether it may be run again after it may have run.
    pub idempotent: bool,
    /// Engines that already failed it.
    pub avoid: Vec<UpstreamId>,
}

/// A prompt's beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix {
    /// Its hash, computed as engines do for cache events.
    pub hash: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// What is known of an engine apart from its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineFacts {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The models it serves.
    pub models: Vec<ModelId>,
    /// Its KV memory in tokens.
    pub kv_capacity_tokens: Tokens,
    /// Its place in an order that every node agrees on; see [`EngineFacts::rank_of`].
    pub rank: u64,
}

impl EngineFacts {
    /// The rank of an engine of that name: an FNV-1a hash, the same in every process, where
    /// [`UpstreamId`] is local to one.
    pub fn rank_of(name: &UpstreamName) -> u64 {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        name.as_str().bytes().fold(OFFSET_BASIS, step)
    }
}

/// One engine's part of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPart {
    /// The engine.
    pub upstream: UpstreamId,
    /// The memory reserved there.
    pub kv_tokens: Tokens,
}

/// What shall be done with a job now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to one engine.
    Send {
        /// The job.
        request: RequestId,
        /// The engine.
        upstream: UpstreamId,
        /// Its priority there.
        priority: Priority,
    },
    /// Reserve memory on the members and send it to the leader.
    Group {
        /// The job.
        request: RequestId,
        /// The engine that runs it.
        leader: UpstreamId,
        /// The engines that lend memory, without the leader.
        members: Vec<GroupPart>,
        /// Its priority.
        priority: Priority,
    },
    /// Cancel its attempt, which waits behind other work on its engine, unless its first token
    /// came meanwhile; only for work that may be repeated. Its end is told by
    /// [`crate::Policy::on_end`] as ever (`NotRun` or `Cancelled`); the policy has queued it again
    /// by itself then and decides it anew, so that it is not admitted a second time.
    Recall {
        /// The job.
        request: RequestId,
    },
    /// Give it up now.
    Refuse {
        /// The job.
        request: RequestId,
        /// Why.
        refusal: Refusal,
    },
}

/// Why a job was refused, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When it may fare better.
    pub retry_after_ms: SpanMs,
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No engine serves the model now.
    NoEngine,
    /// The deadline cannot be met.
    TooLate,
    /// The fleet is over capacity and the account over its share.
    OverShare,
    /// The fleet is over capacity.
    Overloaded,
    /// Longer than all engines together can hold.
    TooLong,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// With a whole answer of this many tokens.
    Finished(Tokens),
    /// Refused by the engine before any work.
    NotRun,
    /// Broken off: the engine or the connection to it failed.
    Failed,
    /// Cancelled by the caller or at its deadline; says nothing of the engine's health.
    Cancelled,
}
