//! Shared fixtures of the policy's tests: a fleet of engines, and jobs of any length.

#![allow(dead_code, reason = "each test file uses a part of it")]

use bluebell_base::prelude::*;
use bluebell_config::{Account, Class, FirstTokenTarget, FleetConfig};
use bluebell_policy::{EngineFacts, Job, Kind, Policy, PolicySettings, Prefix};
use bluebell_upstreams::LoadReport;

/// Memory of each engine, in tokens.
pub const KV_TOKENS: u64 = 480_000;

/// Returns a configuration with one class and the given number of accounts.
pub fn config(accounts: usize) -> FleetConfig {
    let account = |i: usize| Account {
        name: AccountName::from(format!("account-{i}").as_str()),
        key_sha256: "0".repeat(64).into(),
    };
    FleetConfig {
        classes: vec![Class {
            name: ClassName::from("draft"),
            first_token: vec![FirstTokenTarget {
                up_to_tokens: None,
                within_ms: SpanMs(60_000),
            }],
            end_ms: SpanMs::from_secs(300),
            idempotent: true,
        }],
        accounts: (0..accounts).map(account).collect(),
        ..FleetConfig::default()
    }
}

/// Returns the facts of an engine.
pub fn facts(upstream: u32) -> EngineFacts {
    let name = UpstreamName::from(format!("engine-{upstream}").as_str());
    EngineFacts {
        upstream: UpstreamId(upstream),
        domain: DomainId(upstream % 3),
        models: vec![ModelId(0)],
        kv_capacity_tokens: Tokens(KV_TOKENS),
        rank: EngineFacts::rank_of(&name),
    }
}

/// Creates a policy with the given number of engines.
pub fn open(kind: Kind, engines: u32, seed: u64) -> Box<dyn Policy> {
    let mut policy = bluebell_policy::open(PolicySettings::of(kind), &config(10), seed);
    for upstream in 0..engines {
        policy.engine_updated(facts(upstream), MonoMs(0));
    }
    policy
}

/// Returns the identity of a request.
pub fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(1),
        sequence,
    }
}

/// Returns a job whose first token is due `due_ms` after its arrival, and its end after ten times
/// that.
pub fn job(sequence: u64, prompt_tokens: u64, arrived_ms: u64, due_ms: u64) -> Job {
    Job {
        request: request(sequence),
        account: AccountId((sequence % 10) as u32),
        class: ClassId(0),
        model: ModelId(0),
        prompt_tokens: Tokens(prompt_tokens),
        max_tokens: Tokens(200),
        prefixes: vec![Prefix {
            hash: sequence % 5,
            tokens: Tokens(prompt_tokens / 2),
        }],
        arrived_ms: MonoMs(arrived_ms),
        first_token_due_ms: MonoMs(arrived_ms + due_ms),
        deadline_ms: MonoMs(arrived_ms + 10 * due_ms),
        idempotent: true,
        avoid: Vec::new(),
    }
}

/// Returns a load report with the given backlog and memory in use.
pub fn load(backlog_tokens: u64, kv_used_tokens: u64) -> LoadReport {
    LoadReport {
        prefill_backlog_tokens: Tokens(backlog_tokens),
        kv_used_tokens: Tokens(kv_used_tokens),
        kv_capacity_tokens: Tokens(KV_TOKENS),
        step_ms: 12.0,
        ..LoadReport::default()
    }
}
