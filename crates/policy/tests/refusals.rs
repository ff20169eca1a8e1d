//! Refusals: at once, with the right reason and a time to come back, and nothing is left behind.

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::{Decision, Job, Kind, RefusalReason};
use common::{KV_TOKENS, facts, job, load, open};

/// What a case changes before the job comes.
enum Before {
    Nothing,
    NoEngines,
    Busy,
}

/// Each way in which a job cannot be taken, and what the caller is told.
#[test]
fn what_cannot_be_done_is_refused_at_once() {
    let cases: Vec<(&str, Before, Job, RefusalReason)> = vec![
        (
            "no engine serves the model",
            Before::NoEngines,
            job(1, 2_000, 1_000, 500),
            RefusalReason::NoEngine,
        ),
        (
            "longer than a whole group",
            Before::Nothing,
            job(1, 8 * KV_TOKENS, 1_000, 500_000),
            RefusalReason::TooLong,
        ),
        (
            "the prefill alone ends after the deadline",
            Before::Nothing,
            job(1, 400_000, 1_000, 100),
            RefusalReason::TooLate,
        ),
        (
            "every engine has more ahead than the target allows",
            Before::Busy,
            job(1, 100_000, 1_000, 5_000),
            RefusalReason::Overloaded,
        ),
    ];
    for (name, before, job, reason) in cases {
        let engines = if matches!(before, Before::NoEngines) {
            0
        } else {
            4
        };
        let mut policy = open(Kind::Laxity, engines, 1);
        if matches!(before, Before::Busy) {
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

/// A long prompt is taken while all engines are about to be free; then they fill with other nodes'
/// work and stay full. The caller must hear of it before its deadline, not at it or never: the
/// policy wakes by itself and refuses as soon as the prefill can no longer end in time.
#[test]
fn a_queued_job_is_refused_as_soon_as_it_cannot_end_in_time() {
    let mut policy = open(Kind::Laxity, 2, 1);
    for engine in 0..2 {
        policy.on_load(UpstreamId(engine), &load(4_000, 0), MonoMs(1_000));
    }
    let mut waiting = job(1, 60_000, 1_000, 20_000);
    waiting.deadline_ms = MonoMs(41_000);
    policy.admit(waiting, MonoMs(1_000)).expect("it may wait");
    let mut now_ms = MonoMs(1_000);
    let mut out = Vec::new();
    while out.is_empty() {
        for engine in 0..2 {
            policy.on_load(UpstreamId(engine), &load(4_000_000, KV_TOKENS), now_ms);
        }
        policy.decide(now_ms, &mut out);
        now_ms = policy.next_wake_ms().unwrap_or(now_ms + SpanMs(20));
        assert!(
            now_ms <= MonoMs(41_000),
            "nothing was decided by the deadline"
        );
    }
    let refused = matches!(out[0], Decision::Refuse { refusal, .. }
        if refusal.reason == RefusalReason::TooLate);
    assert!(refused, "{out:?}");
    assert_eq!(policy.next_wake_ms(), None);
    assert_eq!(policy.verify(), []);
}

/// All engines failed twice within a second and are ejected. A caller that comes now must not wait
/// in the queue until its deadline for an engine to be trusted again.
#[test]
fn with_all_engines_ejected_work_is_still_decided() {
    let mut policy = open(Kind::Laxity, 2, 1);
    let mut out = Vec::new();
    for sequence in 1..=20 {
        policy
            .admit(job(sequence, 2_000, 1_000, 500), MonoMs(1_000))
            .expect("it fits");
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
        .expect("it fits");
    policy.decide(MonoMs(1_100), &mut out);
    assert_eq!(out.len(), 1, "{out:?}");
}

/// An engine that comes back after it left takes work again.
#[test]
fn a_leaving_engine_gets_nothing_until_it_is_seen_again() {
    let mut policy = open(Kind::Laxity, 1, 1);
    let mut report = load(0, 0);
    report.leaving = true;
    policy.on_load(UpstreamId(0), &report, MonoMs(1_000));
    let refusal = policy.admit(job(1, 2_000, 1_000, 500), MonoMs(1_000));
    assert_eq!(refusal.map_err(|r| r.reason), Err(RefusalReason::NoEngine));
    policy.engine_updated(facts(0), MonoMs(2_000));
    policy
        .admit(job(2, 2_000, 2_000, 500), MonoMs(2_000))
        .expect("the engine is there");
}

/// A prompt was admitted and its engine died; meanwhile the fleet is full and its first-token target
/// has passed. It must not be refused now, since its deadline can still be met.
#[test]
fn work_that_comes_again_is_refused_only_for_its_deadline() {
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
