//! Random sequences of events for every policy. The verifier must find no violation after any step,
//! every job must be decided by its deadline, and the same calls must give the same decisions.

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::{Decision, Kind, Outcome, Policy};
use bluebell_upstreams::engine::CacheEvent;
use common::{facts, job, load, open, request};
use proptest::prelude::*;

/// One step of a random run. Numbers are reduced modulo the existing entries.
#[derive(Clone, Debug)]
enum Step {
    Admit {
        length_log2: u32,
        due_ms: u64,
    },
    Load {
        engine: u32,
        backlog: u64,
        kv_used: u64,
    },
    Cache {
        engine: u32,
        hash: u64,
        stored: bool,
        gap: bool,
    },
    Accepted(u64, u64),
    FirstToken(u64),
    End(u64, u8),
    Withdraw(u64),
    Updated(u32),
    Leaving(u32),
    Gone(u32),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let engine = 0..6_u32;
    prop_oneof![
        4 => (10..20_u32, 50..20_000_u64)
            .prop_map(|(length_log2, due_ms)| Step::Admit { length_log2, due_ms }),
        3 => (engine.clone(), 0..500_000_u64, 0..480_000_u64)
            .prop_map(|(engine, backlog, kv_used)| Step::Load { engine, backlog, kv_used }),
        1 => (engine.clone(), 0..5_u64, any::<bool>(), any::<bool>())
            .prop_map(|(engine, hash, stored, gap)| Step::Cache { engine, hash, stored, gap }),
        2 => (any::<u64>(), 0..300_000_u64).prop_map(|(n, backlog)| Step::Accepted(n, backlog)),
        2 => any::<u64>().prop_map(Step::FirstToken),
        2 => (any::<u64>(), 0..4_u8).prop_map(|(n, outcome_code)| Step::End(n, outcome_code)),
        1 => any::<u64>().prop_map(Step::Withdraw),
        1 => engine.clone().prop_map(Step::Updated),
        1 => engine.clone().prop_map(Step::Leaving),
        1 => engine.prop_map(Step::Gone),
        4 => (1..3_000_u64).prop_map(Step::Advance),
    ]
}

struct Run {
    policy: Box<dyn Policy>,
    now_ms: MonoMs,
    jobs: u64,
    log: Vec<Decision>,
}

impl Run {
    fn apply(&mut self, step: &Step) {
        let known = |n: &u64| request(n % (self.jobs + 1));
        let now_ms = self.now_ms;
        match step {
            Step::Admit {
                length_log2,
                due_ms,
            } => {
                self.jobs += 1;
                let job = job(self.jobs, 1 << length_log2, now_ms.0, *due_ms);
                // A refusal is a valid result here.
                let _ = self.policy.admit(job, now_ms);
            }
            Step::Load {
                engine,
                backlog,
                kv_used,
            } => {
                let report = load(*backlog, *kv_used);
                self.policy.on_load(UpstreamId(*engine), &report, now_ms);
            }
            Step::Cache {
                engine,
                hash,
                stored,
                gap,
            } => {
                let event = CacheEvent {
                    prefix_hash: *hash,
                    tokens: Tokens(512),
                    stored: *stored,
                };
                self.policy.on_cache(UpstreamId(*engine), &[event], *gap);
            }
            Step::Accepted(n, backlog) => {
                self.policy
                    .on_accepted(known(n), Tokens(backlog / 7), &load(*backlog, 0), now_ms);
            }
            Step::FirstToken(n) => self.policy.on_first_token(known(n), now_ms),
            Step::End(n, outcome_code) => {
                let outcome = match outcome_code {
                    0 => Outcome::Finished(Tokens(100)),
                    1 => Outcome::NotRun,
                    2 => Outcome::Failed,
                    _ => Outcome::Cancelled,
                };
                self.policy.on_end(known(n), outcome, now_ms);
            }
            Step::Withdraw(n) => self.policy.withdraw(known(n), now_ms),
            Step::Updated(engine) => self.policy.engine_updated(facts(*engine), now_ms),
            Step::Leaving(engine) => self.policy.engine_leaving(UpstreamId(*engine), now_ms),
            Step::Gone(engine) => self.policy.engine_gone(UpstreamId(*engine), now_ms),
            Step::Advance(span_ms) => self.now_ms = now_ms + SpanMs(*span_ms),
        }
        self.policy.decide(self.now_ms, &mut self.log);
    }
}

fn run(kind: Kind, seed: u64, steps: &[Step]) -> Result<Vec<Decision>, TestCaseError> {
    let mut run = Run {
        policy: open(kind, 4, seed),
        now_ms: MonoMs(0),
        jobs: 0,
        log: Vec::new(),
    };
    for step in steps {
        run.apply(step);
        let found = run.policy.verify();
        prop_assert!(found.is_empty(), "{kind} after {step:?}: {found:?}");
    }
    // The longest deadline is 200 s after the last admission.
    run.now_ms = run.now_ms + SpanMs::from_secs(201);
    run.policy.decide(run.now_ms, &mut run.log);
    prop_assert_eq!(
        run.policy.next_wake_ms(),
        None,
        "a job is undecided after its deadline"
    );
    Ok(run.log)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn random_events_keep_the_invariants(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        for kind in Kind::ALL {
            let first = run(kind, seed, &steps)?;
            let second = run(kind, seed, &steps)?;
            prop_assert_eq!(first, second);
        }
    }
}
