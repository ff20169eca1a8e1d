//! Refusals are immediate, have the right reason and a retry time, and leave nothing in the tables.

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::{Decision, Job, Kind, RefusalReason};
use common::{KV_TOKENS, facts, job, load, open};

/// The change made before the job is admitted.
enum Preparation {
    Nothing,
    NoEngines,
    Busy,
}

/// Each reason for which a job cannot be admitted, with the refusal that is returned.
#[test]
fn impossible_jobs_are_refused_immediately() {
    let cases: Vec<(&str, Preparation, Job, RefusalReason)> = vec![
        (
            "no engine serves the model",
            Preparation::NoEngines,
            job(1, 2_000, 1_000, 500),
            RefusalReason::NoEngine,
        ),
        (
            "longer than a whole group",
            Preparation::Nothing,
            job(1, 8 * KV_TOKENS, 1_000, 500_000),
            RefusalReason::TooLong,
        ),
        (
            "the prefill alone ends after the deadline",
            Preparation::Nothing,
            job(1, 400_000, 1_000, 100),
            RefusalReason::TooLate,
        ),
        (
            "every engine has more ahead than the target allows",
            Preparation::Busy,
            job(1, 100_000, 1_000, 5_000),
            RefusalReason::Overloaded,
        ),
    ];
    for (name, preparation, job, reason) in cases {
        let engines = if matches!(preparation, Preparation::NoEngines) {
            0
        } else {
            4
        };
        let mut policy = open(Kind::Laxity, engines, 1);
        if matches!(preparation, Preparation::Busy) {
            for engine in 0..engines {
                policy.on_load(UpstreamId(engine), &load(400_000, 0), MonoMs(1_000));
            }
        }
        let refusal = policy.admit(job, MonoMs(1_000)).expect_err(name);
        assert_eq!(refusal.reason, reason, "{name}");
        assert!(refusal.retry_after_ms.0 > 0, "{name}");
        let mut out = Vec::new();
        policy.decide(MonoMs(1_000), &mut out);
        assert_eq!(out, [], "{name}: a refused job is not decided again");
        assert_eq!(policy.next_wake_ms(), None, "{name}");
        assert_eq!(policy.verify(), [], "{name}");
    }
}

/// A long prompt is admitted while all engines are about to become free. Then other nodes' work
/// fills them and they stay full. The caller must get a refusal before its deadline. The policy
/// must wake up by itself and refuse as soon as the prefill can no longer end in time.
#[test]
fn a_queued_job_is_refused_as_soon_as_it_cannot_end_in_time() {
    let mut policy = open(Kind::Laxity, 2, 1);
    for engine in 0..2 {
        policy.on_load(UpstreamId(engine), &load(4_000, 0), MonoMs(1_000));
    }
    let mut waiting = job(1, 60_000, 1_000, 20_000);
    waiting.deadline_ms = MonoMs(41_000);
    policy
        .admit(waiting, MonoMs(1_000))
        .expect("the job may wait");
    let mut now_ms = MonoMs(1_000);
    let mut out = Vec::new();
    while out.is_empty() {
        for engine in 0..2 {
            policy.on_load(UpstreamId(engine), &load(4_000_000, KV_TOKENS), now_ms);
        }
        policy.decide(now_ms, &mut out);
        now_ms = policy.next_wake_ms().unwrap_or(now_ms + SpanMs(20));
        assert!(now_ms <= MonoMs(41_000), "no decision by the deadline");
    }
    let refused = matches!(out[0], Decision::Refuse { refusal, .. }
        if refusal.reason == RefusalReason::TooLate);
    assert!(refused, "{out:?}");
    assert_eq!(policy.next_wake_ms(), None);
    assert_eq!(policy.verify(), []);
}

/// All engines failed twice within a second and are ejected. A job that arrives now must not wait
/// in the queue until its deadline for an engine to return.
#[test]
fn jobs_are_decided_while_all_engines_are_ejected() {
    let mut policy = open(Kind::Laxity, 2, 1);
    let mut out = Vec::new();
    for sequence in 1..=20 {
        policy
            .admit(job(sequence, 2_000, 1_000, 500), MonoMs(1_000))
            .expect("the job fits");
        policy.decide(MonoMs(1_000), &mut out);
        policy.on_end(
            common::request(sequence),
            bluebell_policy::Outcome::Failed,
            MonoMs(1_000),
        );
    }
    out.clear();
    policy
        .admit(job(99, 2_000, 1_100, 500), MonoMs(1_100))
        .expect("the job fits");
    policy.decide(MonoMs(1_100), &mut out);
    assert_eq!(out.len(), 1, "{out:?}");
}

/// An engine that returns after it has left gets work again.
#[test]
fn a_leaving_engine_gets_no_work_until_it_returns() {
    let mut policy = open(Kind::Laxity, 1, 1);
    let mut report = load(0, 0);
    report.leaving = true;
    policy.on_load(UpstreamId(0), &report, MonoMs(1_000));
    let refusal = policy.admit(job(1, 2_000, 1_000, 500), MonoMs(1_000));
    assert_eq!(refusal.map_err(|r| r.reason), Err(RefusalReason::NoEngine));
    policy.engine_updated(facts(0), MonoMs(2_000));
    policy
        .admit(job(2, 2_000, 2_000, 500), MonoMs(2_000))
        .expect("the engine accepts work again");
}

/// A prompt was admitted and its engine failed. Meanwhile the fleet is full and the prompt's
/// first-token target has passed. It must not be refused now, because its deadline can still be
/// met.
#[test]
fn a_retried_job_is_refused_only_for_its_deadline() {
    let mut policy = open(Kind::Laxity, 4, 1);
    for engine in 0..4 {
        policy.on_load(UpstreamId(engine), &load(400_000, 0), MonoMs(20_000));
    }
    let mut again = job(1, 50_000, 1_000, 3_000);
    again.deadline_ms = MonoMs(61_000);
    let first = policy.admit(again.clone(), MonoMs(20_000));
    assert_eq!(first.map_err(|r| r.reason), Err(RefusalReason::Overloaded));
    again.avoid.push(UpstreamId(3));
    assert_eq!(policy.admit(again, MonoMs(20_000)), Ok(()));
}
