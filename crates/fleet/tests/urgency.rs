//! Tests of the order in which waiting requests are admitted.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use expect_test::expect;
use std::collections::VecDeque;

/// Guards against a short request that waits at its engine behind a long archive prompt that came
/// earlier, and against a ranked account's request that waits behind all others.
#[test]
fn ranks_go_first_and_then_short_targets() {
    let mut table = String::from("rank  300 ms  1500 ms  4000 ms\n");
    for rank in [0, 1, 2, 7] {
        let urgency = |target_ms| Urgency::of(rank, SpanMs(target_ms)).0;
        let (short, middle, long) = (urgency(300), urgency(1_500), urgency(4_000));
        table.push_str(&format!("{rank:>4}  {short:>6}  {middle:>7}  {long:>7}\n"));
    }
    expect![[r#"
        rank  300 ms  1500 ms  4000 ms
           0       0        1        2
           1       3        4        5
           2       6        7        8
           7       6        7        8
    "#]]
    .assert_eq(&table);
}

/// Guards against a late request that waits ahead of one that can be in time, and against one of a
/// ranked account that falls behind all others because it is late.
#[test]
fn late_requests_go_last_within_their_rank() {
    for rank in 0..=7 {
        let late = Urgency::late(rank);
        assert!(late <= Urgency::of(rank + 1, SpanMs::ZERO).max(Urgency(9)));
        for target_ms in [300, 1_500, 4_000] {
            assert!(Urgency::of(rank, SpanMs(target_ms)) < late);
        }
    }
    assert!(Urgency::late(0) <= Urgency::of(1, SpanMs(300)));
    assert!(Urgency::late(1) <= Urgency::of(2, SpanMs(300)));
    assert!(Urgency::late(7).0 <= 9);
}

/// The slots of an engine, and the time that each request occupies one.
const SLOTS: usize = 12;
const SERVICE_MS: u64 = 2_000;
/// The target, the time after which callers leave, and the engine's queue.
const TARGET_MS: u64 = 300;
const CALLER_TIMEOUT_MS: u64 = 2_000;
const QUEUE: usize = 24;

/// Replays six seconds in which requests arrive at `load` times what the slots serve. Returns the
/// number that began in time, as a share of those that the slots can begin.
fn share_in_time(load: f64, urgency: impl Fn(u64) -> Urgency) -> f64 {
    let span_ms = 6_000;
    let gap_ms = SERVICE_MS as f64 / SLOTS as f64 / load;
    let mut arrivals: VecDeque<u64> = (0..)
        .map(|n| (f64::from(n) * gap_ms) as u64)
        .take_while(|at_ms| *at_ms < span_ms)
        .collect();
    // The slots become free one after the other, as in a load that has lasted.
    let mut free_at_ms: Vec<u64> = (1..=SLOTS as u64)
        .map(|n| n * SERVICE_MS / SLOTS as u64)
        .collect();
    let mut queue: Vec<(Urgency, u64)> = Vec::new();
    let (mut begun, mut in_time) = (0, 0);
    for now_ms in 0..span_ms {
        while arrivals.front().is_some_and(|at_ms| *at_ms <= now_ms) {
            let at_ms = arrivals.pop_front().unwrap_or_default();
            // As placements expect it: one writer ends after the other.
            let usual = Urgency::of(1, SpanMs(TARGET_MS));
            let ahead = queue
                .iter()
                .filter(|(urgency, _)| *urgency <= usual)
                .count() as u64;
            let wait_ms = (ahead + 1) * SERVICE_MS / SLOTS as u64;
            if queue.len() < QUEUE {
                queue.push((urgency(wait_ms), at_ms));
            }
        }
        queue.retain(|(_, at_ms)| now_ms - at_ms < CALLER_TIMEOUT_MS);
        for free_ms in free_at_ms.iter_mut().filter(|free_ms| **free_ms <= now_ms) {
            let Some(next) = (0..queue.len()).min_by_key(|at| queue[*at]) else {
                break;
            };
            let (_, at_ms) = queue.remove(next);
            *free_ms = now_ms + SERVICE_MS;
            begun += 1;
            in_time += usize::from(now_ms - at_ms <= TARGET_MS);
        }
    }
    in_time as f64 / begun as f64
}

/// Guards against a peak over the slots in which all requests become late, because those that have
/// missed their target are served before those that can still meet it.
#[test]
fn late_requests_make_no_others_late_in_a_peak_over_the_slots() {
    let usual = |_| Urgency::of(1, SpanMs(TARGET_MS));
    let by_lateness = |wait_ms| match wait_ms > TARGET_MS {
        true => Urgency::late(1),
        false => Urgency::of(1, SpanMs(TARGET_MS)),
    };
    for load in [1.1, 1.3] {
        let (before, after) = (share_in_time(load, usual), share_in_time(load, by_lateness));
        assert!(after >= 0.85, "{load}: {after:.2}");
        assert!(before < after, "{load}: {before:.2} of {after:.2}");
    }
    assert!(share_in_time(0.9, by_lateness) >= share_in_time(0.9, usual));
}
