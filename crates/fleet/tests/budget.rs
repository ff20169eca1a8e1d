//! Tests of the retry budget and of the health of replicas.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_fleet::replicas::Health;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    allowance: 100.0,
    window_ms: SpanMs(10_000),
};

/// Guards against nodes that are cut off from each other and repeat too much when replicas fail all
/// requests. All nodes together must stay within the operators' limits in any window.
#[test]
fn isolated_nodes_stay_within_the_shared_limit() {
    let service = ServiceName("drafts".into());
    let nodes = 9;
    let mut repeats = 0;
    for _ in 0..nodes {
        let mut budget = RetryBudget::new(LIMITS);
        for at in 0..600 {
            let now_ms = MonoMs(20_000 + at * 15);
            budget.on_request(&service, now_ms);
            repeats += u32::from(budget.take(&service, nodes, now_ms));
        }
    }
    let requests = 600.0 * nodes as f64;
    let limit = LIMITS.ratio * requests + LIMITS.allowance;
    assert!(f64::from(repeats) <= limit, "{repeats} over {limit}");
    assert!(
        f64::from(repeats) >= limit / 2.0,
        "{repeats} is less than half of the limit {limit}"
    );
}

/// A repeat that was taken is available again once its window is over.
#[test]
fn the_budget_recovers() {
    let service = ServiceName("drafts".into());
    let mut budget = RetryBudget::new(LIMITS);
    let mut take = |now_ms| budget.take(&service, 1, MonoMs(now_ms));
    let first = (0..200).filter(|_| take(20_000)).count();
    assert!(first > 0 && !take(29_000));
    assert!(take(30_001));
}

/// A silent replica answers no request. It must get none while it is doubted, then one at a time,
/// and each failure on trial doubles the pause.
#[test]
fn a_silent_replica_is_let_back_one_request_at_a_time() {
    let mut health = Health::default();
    assert!(health.on_symptom(Symptom::Silent, MonoMs(1_000)));
    assert!(!health.admits(MonoMs(1_500)));
    assert!(health.admits(MonoMs(2_000)));
    assert!(health.begin(), "it is on trial");
    assert!(!health.admits(MonoMs(2_000)), "one at a time");
    health.on_symptom(Symptom::Silent, MonoMs(2_100));
    health.end_trial();
    assert!(!health.admits(MonoMs(4_000)), "the pause has doubled");
    assert!(health.admits(MonoMs(4_100)));
    health.begin();
    health.on_symptom(Symptom::Good, MonoMs(4_200));
    health.end_trial();
    assert!(!health.begin(), "it is no longer doubted");
}

/// Some services fail one call in seven by themselves. Their replicas must not be doubted for that,
/// but a replica that fails every second call must be.
#[test]
fn a_replica_is_doubted_for_failing_more_than_its_service_does() {
    let fails = |every: u64| {
        let mut health = Health::default();
        let answers = (1..60).map(|n| match n % every {
            0 => Symptom::Failed,
            _ => Symptom::Good,
        });
        let mut now_ms = 0;
        answers.fold(false, |doubted, symptom| {
            now_ms += 50;
            doubted | health.on_symptom(symptom, MonoMs(now_ms))
        })
    };
    assert!(!fails(7));
    assert!(fails(2));
}

/// Guards against calls that fail because all healthy replicas of a service are doubted. Some
/// callers had left them 40 ms, and each such silence excluded a replica for a second.
#[test]
fn a_replica_without_time_to_answer_is_not_doubted() {
    let mut health = Health::default();
    let symptom = Symptom::of_silence(SpanMs(40), SpanMs(100));
    assert!(!health.on_symptom(symptom, MonoMs(1_000)));
    assert!(health.admits(MonoMs(1_001)));
    let symptom = Symptom::of_silence(SpanMs(200), SpanMs(100));
    assert!(health.on_symptom(symptom, MonoMs(1_002)));
}
