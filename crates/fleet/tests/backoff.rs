//! Tests of the back-off of replicas that want no requests for some time.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;

const KEY: ReplicaKey = ReplicaKey(7);

fn backing_off(signal: RetryAfterSignal) -> ReplicaBackoffs {
    let mut replica_backoffs = ReplicaBackoffs::default();
    replica_backoffs.on_rejected(KEY, signal, MonoMs(1_000));
    replica_backoffs
}

/// Guards against a replica that attracts requests because it rejects them.
#[test]
fn nothing_is_sent_during_a_back_off() {
    let replica_backoffs = backing_off(RetryAfterSignal::For(SpanMs(3_000)));
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

/// Guards against requests that waited for the end of a back-off and all arrive at once.
#[test]
fn one_request_at_a_time_follows_a_back_off() {
    let mut replica_backoffs = backing_off(RetryAfterSignal::For(SpanMs(3_000)));
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

/// Guards against a back-off that the answer to an earlier request ends.
#[test]
fn an_earlier_answer_does_not_end_a_back_off() {
    let mut replica_backoffs = backing_off(RetryAfterSignal::For(SpanMs(3_000)));
    replica_backoffs.on_served(KEY, MonoMs(1_500));
    assert!(replica_backoffs.is_backing_off(KEY, MonoMs(1_600)));
}

/// Guards against a back-off that a later, shorter one cuts short, or that no answer asked for.
#[test]
fn the_longest_back_off_applies() {
    let mut replica_backoffs = backing_off(RetryAfterSignal::For(SpanMs(3_000)));
    let shorter = RetryAfterSignal::For(SpanMs(100));
    assert_eq!(
        replica_backoffs.on_rejected(KEY, shorter, MonoMs(1_200)),
        None
    );
    assert!(replica_backoffs.is_backing_off(KEY, MonoMs(3_900)));
    assert!(backing_off(RetryAfterSignal::Absent).is_empty());
    assert!(backing_off(RetryAfterSignal::For(SpanMs(0))).is_empty());
    assert!(backing_off(RetryAfterSignal::Unreadable).is_backing_off(KEY, MonoMs(1_900)));
}

/// Guards against a replica that is on trial for ever because nothing is sent to it.
#[test]
fn a_trial_without_requests_ends() {
    let mut replica_backoffs = backing_off(RetryAfterSignal::For(SpanMs(3_000)));
    replica_backoffs.expire(MonoMs(8_000));
    assert!(!replica_backoffs.is_empty());
    replica_backoffs.expire(MonoMs(10_000));
    assert!(replica_backoffs.is_empty());
}
