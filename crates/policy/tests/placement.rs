//! Placement: short work, long work, groups, recalls and engines to avoid.

mod common;

use bluebell_base::prelude::*;
use bluebell_policy::{Decision, Job, Kind, Outcome, Policy};
use common::{KV_TOKENS, job, load, open, request};
use std::collections::BTreeSet;

fn place(policy: &mut dyn Policy, job: Job, now_ms: u64) -> Vec<Decision> {
    let mut out = Vec::new();
    policy
        .admit(job, MonoMs(now_ms))
        .expect("the job is admitted");
    policy.decide(MonoMs(now_ms), &mut out);
    out
}

fn engine_of(out: &[Decision]) -> UpstreamId {
    match out {
        [Decision::Send { upstream, .. }] => *upstream,
        other => panic!("expected one sent job: {other:?}"),
    }
}

fn priority_of(out: &[Decision]) -> i32 {
    match out {
        [Decision::Send { priority, .. }] => priority.0,
        other => panic!("expected one sent job: {other:?}"),
    }
}

/// A short prompt arrives while a long one is read on the same engine. It must get the higher
/// priority, though it came later.
#[test]
fn short_work_has_priority_over_long_work() {
    let mut policy = open(Kind::Laxity, 1, 1);
    let long = place(policy.as_mut(), job(1, 100_000, 1_000, 60_000), 1_000);
    let short = place(policy.as_mut(), job(2, 2_000, 1_000, 1_500), 1_000);
    assert!(priority_of(&short) > priority_of(&long));
}

/// A long prompt that has become urgent must not delay short work.
#[test]
fn urgent_long_work_does_not_overtake_short_work() {
    let mut policy = open(Kind::Laxity, 1, 1);
    let mut urgent = job(1, 200_000, 1_000, 25_000);
    // 30 ms more than the expected duration of its prefill alone.
    urgent.first_token_due_ms = MonoMs(1_000 + 6_727);
    let urgent = place(policy.as_mut(), urgent, 1_000);
    let short = place(policy.as_mut(), job(2, 2_000, 1_000, 1_500), 1_000);
    assert!(priority_of(&short) > priority_of(&urgent));
}

/// Two nodes number the engines differently. Both must still send long work to one end of the rank
/// order and short work to the other. Otherwise each would disturb the other's short work.
#[test]
fn nodes_agree_on_the_engines_reserved_for_short_work() {
    const ENGINES: u32 = 25;
    let spread = |shift: u32, prompt_tokens: u64| {
        let config = common::config(10);
        let settings = bluebell_policy::PolicySettings::default();
        let mut policy = bluebell_policy::open(settings, &config, u64::from(shift));
        for engine in 0..ENGINES {
            let mut facts = common::facts(engine);
            facts.upstream = UpstreamId((engine + shift) % ENGINES);
            policy.engine_updated(facts, MonoMs(0));
        }
        let mut used = BTreeSet::new();
        for sequence in 1..=12 {
            let mut job = job(sequence, prompt_tokens, 10, 5_000);
            job.idempotent = sequence % 2 == 0;
            let out = place(policy.as_mut(), job, 10);
            used.insert((engine_of(&out).0 + ENGINES - shift) % ENGINES);
            policy.on_end(request(sequence), Outcome::Finished(Tokens(1)), MonoMs(10));
        }
        used
    };
    let short: BTreeSet<_> = spread(0, 1_500).union(&spread(7, 1_500)).copied().collect();
    let long: BTreeSet<_> = spread(0, 30_000)
        .union(&spread(7, 30_000))
        .copied()
        .collect();
    assert!(short.len() <= 3, "{short:?}");
    assert!(short.is_disjoint(&long), "{short:?} {long:?}");
}

/// A prompt is longer than one engine's memory. The parts must add up and be on different engines.
#[test]
fn a_group_holds_its_whole_prompt_on_different_engines() {
    for prompt_tokens in [KV_TOKENS + 1, 700_000, 1_000_000, 2 * KV_TOKENS + 200_000] {
        let mut policy = open(Kind::Laxity, 6, 1);
        let out = place(policy.as_mut(), job(1, prompt_tokens, 0, 200_000), 0);
        let [
            Decision::Group {
                leader, members, ..
            },
        ] = out.as_slice()
        else {
            panic!("{prompt_tokens}: {out:?}");
        };
        let engines: BTreeSet<_> = members.iter().map(|m| m.upstream).collect();
        assert_eq!(engines.len(), members.len(), "{out:?}");
        assert!(!engines.contains(leader), "{out:?}");
        let lent: u64 = members.iter().map(|m| m.kv_tokens.0).sum();
        assert!(lent + KV_TOKENS >= prompt_tokens + 200, "{out:?}");
        assert!(
            members.iter().all(|m| m.kv_tokens.0 <= KV_TOKENS),
            "{out:?}"
        );
        assert_eq!(policy.verify(), []);
        policy.on_end(request(1), Outcome::Finished(Tokens(100)), MonoMs(1));
        assert_eq!(policy.verify(), []);
    }
}

/// A group's reservation failed because another node reserved the memory first. The group must not
/// be tried again immediately with the same data, nor be forgotten.
#[test]
fn a_refused_group_is_tried_again_after_a_wait() {
    let mut policy = open(Kind::Laxity, 4, 1);
    let mut wanted = job(1, 600_000, 0, 200_000);
    let out = place(policy.as_mut(), wanted.clone(), 0);
    let [Decision::Group { members, .. }] = out.as_slice() else {
        panic!("{out:?}");
    };
    let refused_by = members[0].upstream;
    policy.on_end(request(1), Outcome::NotRun, MonoMs(3));
    wanted.avoid.push(refused_by);
    let again = place(policy.as_mut(), wanted, 3);
    assert_eq!(again, [], "the group waits");
    let mut out = Vec::new();
    let wake_ms = policy.next_wake_ms().expect("the group is queued");
    policy.decide(wake_ms + SpanMs(50), &mut out);
    let [
        Decision::Group {
            leader, members, ..
        },
    ] = out.as_slice()
    else {
        panic!("{out:?}");
    };
    assert!(*leader != refused_by || members.is_empty());
    assert!(members.iter().all(|m| m.upstream != refused_by), "{out:?}");
}

/// Another node has just filled the engine, which the load sent with the acceptance shows. A prompt
/// that may be run again is recalled and goes to another engine. One that may not be repeated
/// stays, because the cancel could cross with the start of its work.
#[test]
fn repeatable_work_behind_other_work_is_recalled() {
    for idempotent in [true, false] {
        let mut policy = open(Kind::Laxity, 8, 1);
        let mut long = job(1, 50_000, 0, 20_000);
        long.idempotent = idempotent;
        let first = engine_of(&place(policy.as_mut(), long, 0));
        policy.on_accepted(request(1), Tokens(0), &load(300_000, 300_000), MonoMs(3));
        let mut out = Vec::new();
        policy.decide(MonoMs(3), &mut out);
        if !idempotent {
            assert_eq!(out, []);
            continue;
        }
        assert_eq!(
            out,
            [Decision::Recall {
                request: request(1)
            }]
        );
        out.clear();
        policy.on_end(request(1), Outcome::NotRun, MonoMs(5));
        policy.decide(MonoMs(5), &mut out);
        assert_ne!(engine_of(&out), first);
        assert_eq!(policy.verify(), []);
    }
}

/// The first token crosses with the recall. The answer has begun, so the recall has no effect and
/// the end of the attempt is the end of the job.
#[test]
fn a_first_token_cancels_a_recall_that_it_crosses() {
    let mut policy = open(Kind::Laxity, 8, 1);
    place(policy.as_mut(), job(1, 50_000, 0, 20_000), 0);
    policy.on_accepted(request(1), Tokens(0), &load(300_000, 0), MonoMs(3));
    let mut out = Vec::new();
    policy.decide(MonoMs(3), &mut out);
    assert_eq!(
        out,
        [Decision::Recall {
            request: request(1)
        }]
    );
    policy.on_first_token(request(1), MonoMs(4));
    policy.on_end(request(1), Outcome::Cancelled, MonoMs(5));
    out.clear();
    policy.decide(MonoMs(5), &mut out);
    assert_eq!((out, policy.next_wake_ms()), (vec![], None));
}

/// Short work arrives continuously for a minute while one long prompt waits for a free engine. The
/// long prompt must be sent in time for its target.
#[test]
fn long_work_is_not_starved_by_short_work() {
    let mut policy = open(Kind::Laxity, 4, 1);
    policy
        .admit(job(1_000_000, 60_000, 0, 20_000), MonoMs(0))
        .expect("the job is admitted");
    let mut sent_ms = None;
    for sequence in 1..3_000 {
        let now_ms = sequence * 20;
        for engine in 0..4 {
            policy.on_load(UpstreamId(engine), &load(15_000, 0), MonoMs(now_ms));
        }
        // The job adds load whether it is refused or not.
        let _ = policy.admit(job(sequence, 2_000, now_ms, 2_000), MonoMs(now_ms));
        let mut out = Vec::new();
        policy.decide(MonoMs(now_ms), &mut out);
        let is_long = |d: &Decision| matches!(d, Decision::Send { request: r, .. } if *r == request(1_000_000));
        if out.iter().any(is_long) {
            sent_ms = Some(now_ms);
            break;
        }
        policy.on_end(
            request(sequence),
            Outcome::Finished(Tokens(1)),
            MonoMs(now_ms),
        );
    }
    assert!(sent_ms.is_some_and(|at| at <= 20_000), "{sent_ms:?}");
}

/// An engine that failed twice gets no work for a second, then one job at a time, and all work
/// again after that job succeeds.
#[test]
fn a_failing_engine_is_ejected_and_returns_gradually() {
    let mut policy = open(Kind::Laxity, 2, 1);
    let bad = UpstreamId(0);
    let mut sequence = 0;
    let mut run = |policy: &mut dyn Policy, now_ms: u64, outcome: Option<Outcome>| {
        sequence += 1;
        let out = place(policy, job(sequence, 2_000, now_ms, 500), now_ms);
        let engine = engine_of(&out);
        let outcome = outcome.filter(|_| engine == bad);
        policy.on_end(
            request(sequence),
            outcome.unwrap_or(Outcome::Finished(Tokens(1))),
            MonoMs(now_ms),
        );
        engine
    };
    let failing: Vec<_> = (0..60)
        .map(|_| run(policy.as_mut(), 1_000, Some(Outcome::Failed)))
        .collect();
    assert_eq!(
        failing.iter().filter(|e| **e == bad).count(),
        2,
        "{failing:?}"
    );
    let later: Vec<_> = (0..60).map(|_| run(policy.as_mut(), 2_500, None)).collect();
    assert!(later.contains(&bad), "the engine gets work again");
    assert_eq!(policy.verify(), []);
}
