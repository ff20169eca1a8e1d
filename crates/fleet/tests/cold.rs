//! Cold replicas, and the rate of requests that all nodes together send to one.

use bluebell_base::prelude::*;
use bluebell_fleet::cold;
use bluebell_fleet::prelude::*;

/// The rate that a cold replica bears, and what may be exceeded of it in one second: half of it and five
/// requests.
const COLD_RATE: PerSecond = PerSecond(17.0);
const MOST_IN_A_SECOND: usize = 30;

/// The time for which the replica is cold.
const COLD_MS: u64 = 3_000;

const REPLICA: ReplicaKey = ReplicaKey(7);

/// Returns the most requests in any second that `count` nodes send to one cold replica if each of them sends
/// whenever it may. Each node hears `heard` of the others.
fn most_in_a_second(count: u64, heard: usize) -> usize {
    let owners: Vec<OwnerId> = (0..count).map(|n| OwnerId(n * 7 + 3)).collect();
    let mut nodes: Vec<Limits> = owners.iter().map(|_| Limits::default()).collect();
    let mut sent_ms = Vec::new();
    for now_ms in (0..COLD_MS).map(MonoMs) {
        for (own, limits) in owners.iter().zip(&mut nodes) {
            limits.impose(REPLICA, cold::shared_rate(COLD_RATE), now_ms);
            if limits.has_stale_shares(now_ms) {
                let others = owners.iter().copied().filter(|owner| owner != own);
                let others: Vec<OwnerId> = others.collect();
                let nodes = Nodes {
                    own: *own,
                    heard: &others[..heard],
                    known: others.len(),
                };
                limits.share(&nodes, now_ms);
            }
            if limits.admission(REPLICA, now_ms) == Admission::Now {
                limits.on_sent(REPLICA, now_ms);
                sent_ms.push(now_ms.0);
            }
        }
    }
    let count_from = |from: u64| {
        let window = from..from + 1_000;
        sent_ms.iter().filter(|ms| window.contains(ms)).count()
    };
    let counts = sent_ms.iter().map(|from| count_from(*from));
    counts.max().unwrap_or(0)
}

/// Guards against a cold replica that crashes because it looks idle to all nodes at once, whether they hear
/// each other or are cut off.
#[test]
fn all_nodes_together_keep_to_the_rate_that_a_cold_replica_bears() {
    for count in [1, 3, 9, 60, 300] {
        let hear_all = most_in_a_second(count, count as usize - 1);
        assert!(hear_all <= MOST_IN_A_SECOND, "{count} nodes: {hear_all}");
        assert!(hear_all > 0, "{count} nodes");
        let cut_off = most_in_a_second(count, 0);
        assert!(
            cut_off <= MOST_IN_A_SECOND,
            "{count} nodes cut off: {cut_off}"
        );
    }
}

/// Guards against a replica that counts as warm because a later report, which another node received earlier,
/// names a shorter time.
#[test]
fn the_longest_time_that_is_known_counts() {
    let mut replicas = ColdReplicas::default();
    replicas.on_report(REPLICA, SpanMs(3_000), MonoMs(1_000));
    replicas.on_report(REPLICA, SpanMs(500), MonoMs(1_200));
    assert_eq!(replicas.left_ms(REPLICA, MonoMs(1_500)), SpanMs(2_500));
    replicas.on_report(REPLICA, SpanMs(4_000), MonoMs(2_000));
    assert_eq!(replicas.keys(MonoMs(5_999)).count(), 1);
    assert_eq!(replicas.keys(MonoMs(6_000)).count(), 0);
    replicas.expire(MonoMs(6_000));
    assert!(replicas.is_empty());
}
