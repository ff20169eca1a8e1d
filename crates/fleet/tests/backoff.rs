//! Replicas that want no requests for a while.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;

const KEY: ReplicaKey = ReplicaKey(7);

fn resting(rest: RetryAfterSignal) -> ReplicaBackoffs {
    let mut replica_backoffs = ReplicaBackoffs::default();
    replica_backoffs.on_rejected(KEY, rest, MonoMs(1_000));
    replica_backoffs
}

/// Guards against a replica that draws requests because it turns them away.
#[test]
fn nothing_is_sent_within_a_rest() {
    let replica_backoffs = resting(RetryAfterSignal::For(SpanMs(3_000)));
    for now_ms in [1_000, 2_500, 3_999] {
        let left_ms = SpanMs(4_000 - now_ms);
        let admission = replica_backoffs.admission(KEY, MonoMs(now_ms));
        assert_eq!(admission, Admission::After(left_ms));
        assert!(replica_backoffs.is_backing_off(KEY, MonoMs(now_ms)));
    }
    assert_eq!(
        replica_backoffs.admission(KEY, MonoMs(4_000)),
        Admission::Now
    );
    assert_eq!(
        replica_backoffs.admission(ReplicaKey(8), MonoMs(1_000)),
        Admission::Now
    );
}

/// Guards against all that waited for the end of a rest arriving at once.
#[test]
fn one_request_at_a_time_follows_a_rest() {
    let mut replica_backoffs = resting(RetryAfterSignal::For(SpanMs(3_000)));
    replica_backoffs.on_sent(KEY, MonoMs(4_000));
    assert_eq!(
        replica_backoffs.admission(KEY, MonoMs(4_001)),
        Admission::After(SpanMs(249))
    );
    replica_backoffs.on_served(KEY, MonoMs(4_100));
    assert_eq!(
        replica_backoffs.admission(KEY, MonoMs(4_101)),
        Admission::Now
    );
    assert!(replica_backoffs.is_empty());
}

/// Guards against a rest that the answer to an earlier request ends.
#[test]
fn an_answer_from_before_ends_no_rest() {
    let mut replica_backoffs = resting(RetryAfterSignal::For(SpanMs(3_000)));
    replica_backoffs.on_served(KEY, MonoMs(1_500));
    assert!(replica_backoffs.is_backing_off(KEY, MonoMs(1_600)));
}

/// Guards against rests that are cut short by a later, shorter one, or granted where none is asked for.
#[test]
fn the_longest_rest_counts() {
    let mut replica_backoffs = resting(RetryAfterSignal::For(SpanMs(3_000)));
    let shorter = RetryAfterSignal::For(SpanMs(100));
    assert_eq!(
        replica_backoffs.on_rejected(KEY, shorter, MonoMs(1_200)),
        None
    );
    assert!(replica_backoffs.is_backing_off(KEY, MonoMs(3_900)));
    assert!(resting(RetryAfterSignal::Absent).is_empty());
    assert!(resting(RetryAfterSignal::For(SpanMs(0))).is_empty());
    assert!(resting(RetryAfterSignal::Unreadable).is_backing_off(KEY, MonoMs(1_900)));
}

/// Guards against a replica that is on trial for ever since nothing is sent to it.
#[test]
fn a_trial_without_requests_ends() {
    let mut replica_backoffs = resting(RetryAfterSignal::For(SpanMs(3_000)));
    replica_backoffs.expire(MonoMs(8_000));
    assert!(!replica_backoffs.is_empty());
    replica_backoffs.expire(MonoMs(10_000));
    assert!(replica_backoffs.is_empty());
}
