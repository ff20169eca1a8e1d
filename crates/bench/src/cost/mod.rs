//! The cost of a decision at the two-year size: 1,800 replicas known and 2,200 accounts.

use bluebell_base::prelude::*;
use bluebell_config::{Account, Class, FirstTokenTarget, FleetConfig};
use bluebell_policy::{Decision, EngineFacts, Job, Outcome, Policy, PolicySettings, Prefix};
use bluebell_upstreams::LoadReport;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::time::Instant;

/// Replicas known.
const REPLICAS: u32 = 1_800;
/// Client accounts.
const ACCOUNTS: usize = 2_200;
/// Models in steady use.
const MODELS: u32 = 38;
/// Decisions measured.
const DECISIONS: u64 = 50_000;
/// Jobs in flight at once.
const IN_FLIGHT: usize = 200;
/// The memory of an engine, in tokens.
const KV_TOKENS: u64 = 480_000;

/// The longest time kept exactly: a minute.
const MOST_NS: u64 = 60_000_000_000;

/// The cost of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CostReport {
    /// The number of models that the replicas serve.
    pub models: u32,
    /// Admission and placement together, the median in microseconds.
    pub p50_us: f64,
    /// The 99th percentile in microseconds.
    pub p99_us: f64,
    /// The longest in microseconds.
    pub max_us: f64,
}

/// Measures the cost of admitting and placing a job, with all replicas serving one model (the
/// longest list) and with the two-year count of models.
pub fn measure(settings: &PolicySettings, seed: u64) -> Vec<CostReport> {
    [1, MODELS]
        .into_iter()
        .map(|models| measure_one(settings, models, seed))
        .collect()
}

fn measure_one(settings: &PolicySettings, models: u32, seed: u64) -> CostReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut policy = bluebell_policy::open(settings.clone(), &config(), seed);
    for upstream in 0..REPLICAS {
        policy.engine_updated(facts(upstream, models), MonoMs(0));
    }
    // The bounds and three digits are always valid.
    let mut cost_ns: Histogram<u64> =
        Histogram::new_with_max(MOST_NS, 3).unwrap_or_else(|_| unreachable!());
    let mut out = Vec::new();
    let mut sent = std::collections::VecDeque::new();
    for sequence in 0..DECISIONS {
        // 1,400 requests a second over 400 nodes.
        let now_ms = MonoMs(1_000 + sequence * 286);
        report_loads(policy.as_mut(), &mut rng, now_ms);
        let job = job(&mut rng, sequence, models, now_ms);
        out.clear();
        let begin = Instant::now();
        let admitted = policy.admit(job, now_ms);
        policy.decide(now_ms, &mut out);
        cost_ns.saturating_record(begin.elapsed().as_nanos() as u64);
        if admitted.is_err() {
            continue;
        }
        sent.extend(out.iter().filter_map(sent_request));
        while sent.len() > IN_FLIGHT {
            if let Some(request) = sent.pop_front() {
                policy.on_first_token(request, now_ms);
                policy.on_end(request, Outcome::Finished(Tokens(200)), now_ms);
            }
        }
    }
    let at = |quantile| cost_ns.value_at_quantile(quantile) as f64 / 1_000.0;
    CostReport {
        models,
        p50_us: at(0.5),
        p99_us: at(0.99),
        max_us: cost_ns.max() as f64 / 1_000.0,
    }
}

fn sent_request(decision: &Decision) -> Option<RequestId> {
    match decision {
        Decision::Send { request, .. } | Decision::Group { request, .. } => Some(*request),
        Decision::Recall { .. } | Decision::Refuse { .. } => None,
    }
}

/// The reports of a subset of 60 replicas, each polled each 5 s, between two decisions.
fn report_loads(policy: &mut dyn Policy, rng: &mut ChaCha8Rng, now_ms: MonoMs) {
    for _ in 0..4 {
        let upstream = UpstreamId(rng.random_range(0..REPLICAS));
        let report = LoadReport {
            prefill_backlog_tokens: Tokens(rng.random_range(0..30_000)),
            kv_used_tokens: Tokens(rng.random_range(0..KV_TOKENS)),
            kv_capacity_tokens: Tokens(KV_TOKENS),
            step_ms: 12.0,
            ..LoadReport::default()
        };
        policy.on_load(upstream, &report, now_ms);
    }
}

fn job(rng: &mut ChaCha8Rng, sequence: u64, models: u32, now_ms: MonoMs) -> Job {
    let uniform: f64 = rng.random();
    let prompt_tokens = (1_000.0 * 100_f64.powf(uniform)) as u64;
    let prefix = |i: u64| Prefix {
        hash: sequence * 100 + i,
        tokens: Tokens((i + 1) * 1_024),
    };
    Job {
        request: RequestId {
            incarnation: Incarnation(1),
            sequence,
        },
        account: AccountId(rng.random_range(0..ACCOUNTS as u32)),
        class: ClassId(0),
        model: ModelId(rng.random_range(0..models)),
        prompt_tokens: Tokens(prompt_tokens),
        max_tokens: Tokens(300),
        prefixes: (0..prompt_tokens / 1_024).map(prefix).collect(),
        arrived_ms: now_ms,
        first_token_due_ms: now_ms + SpanMs(600 + prompt_tokens / 10),
        deadline_ms: now_ms + SpanMs::from_secs(300),
        idempotent: true,
        avoid: Vec::new(),
    }
}

fn facts(upstream: u32, models: u32) -> EngineFacts {
    let name = UpstreamName::from(format!("engine-{upstream}").as_str());
    EngineFacts {
        upstream: UpstreamId(upstream),
        domain: DomainId(upstream % 9),
        models: vec![ModelId(upstream % models)],
        kv_capacity_tokens: Tokens(KV_TOKENS),
        rank: EngineFacts::rank_of(&name),
    }
}

fn config() -> FleetConfig {
    let account = |i: usize| Account {
        name: AccountName::from(format!("account-{i}").as_str()),
        key_sha256: "0".repeat(64).into(),
    };
    FleetConfig {
        classes: vec![Class {
            name: ClassName::from("draft"),
            first_token: vec![FirstTokenTarget {
                up_to_tokens: None,
                within_ms: SpanMs(600),
            }],
            end_ms: SpanMs::from_secs(300),
            idempotent: true,
        }],
        accounts: (0..ACCOUNTS).map(account).collect(),
        ..FleetConfig::default()
    }
}
