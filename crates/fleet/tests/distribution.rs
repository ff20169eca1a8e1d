//! Tests of the tree by which nodes copy the configuration.

use bluebell_fleet::distribution::{
    self, ConfigRole, READERS_PER_DOMAIN, follower_interval, list_due_age,
};
use bluebell_fleet::long_poll::long_poll_timeout;
use bluebell_fleet::prelude::*;
use expect_test::expect;
use std::collections::BTreeMap;

/// Returns the role of each of `count` nodes of one failure domain that are all live to each other.
fn roles(count: usize) -> BTreeMap<OwnerId, ConfigRole> {
    let nodes: Vec<OwnerId> = (0..count).map(|n| OwnerId(n as u64 * 7 + 3)).collect();
    let role = |own: &OwnerId| {
        let peers: Vec<OwnerId> = nodes.iter().copied().filter(|peer| peer != own).collect();
        (*own, distribution::role(*own, &peers))
    };
    nodes.iter().map(role).collect()
}

/// Guards against a directory that every node of a large fleet reads, and against nodes that many
/// others copy from at once.
#[test]
fn few_nodes_read_the_directory_and_none_serves_many() {
    for (count, deepest) in [(1, 0), (3, 0), (9, 1), (39, 2), (80, 3), (400, 4)] {
        let roles = roles(count);
        let readers = roles.values().filter(|role| **role == ConfigRole::Reader);
        assert_eq!(readers.count(), count.min(READERS_PER_DOMAIN));
        let mut children = BTreeMap::new();
        for (own, role) in &roles {
            let mut depth = 0;
            let mut at = (*own, *role);
            while let (child, ConfigRole::Follower(parent)) = at {
                assert!(parent < child, "a parent has the lower position");
                depth += 1;
                at = (parent, roles[&parent]);
            }
            assert!(depth <= deepest, "{depth} hops among {count} nodes");
            if let ConfigRole::Follower(parent) = role {
                *children.entry(*parent).or_insert(0) += 1;
            }
        }
        assert!(children.values().all(|children| *children <= 4));
    }
}

/// Guards against a follower that keeps a lost parent: with the next set of peers it gets another one.
#[test]
fn a_lost_parent_is_replaced() {
    let peers: Vec<OwnerId> = (1..10).map(OwnerId).collect();
    let own = OwnerId(20);
    let ConfigRole::Follower(parent) = distribution::role(own, &peers) else {
        panic!("a follower is expected, since there are enough readers");
    };
    let left: Vec<OwnerId> = peers.into_iter().filter(|peer| *peer != parent).collect();
    let ConfigRole::Follower(next) = distribution::role(own, &left) else {
        panic!("a follower is expected, since there are enough readers");
    };
    assert_ne!(next, parent);
    assert_eq!(distribution::role(own, &left[..2]), ConfigRole::Reader);
}

/// Guards against a count of readers that assumes small failure domains to have all of theirs.
#[test]
fn readers_are_counted_by_failure_domain() {
    assert_eq!(distribution::readers([3, 3, 3]), 9);
    assert_eq!(distribution::readers([1, 39, 2]), 6);
}

/// The time that a notice takes to reach all nodes.
const NOTICE_MS: u64 = 20;

/// The time over which reads are counted.
const SPAN_MS: u64 = 25_000;

/// The reads of the replica list within [`SPAN_MS`].
struct ListReads {
    count: usize,
    longest_gap_ms: u64,
}

/// Returns the number of reads of the replica list, as [`list_reads`] does.
fn reads_of_the_list(nodes: usize, readers: usize) -> usize {
    list_reads(nodes, readers).count
}

/// Returns the reads of the replica list within 25 s by nodes of which all live readers, and no
/// followers, are due by [`distribution::list_due_age`]. Each read restarts the ages of all nodes once its
/// notice arrives.
fn list_reads(nodes: usize, readers: usize) -> ListReads {
    let mut draws = 0x9e37_79b9_7f4a_7c15_u64;
    let mut draw = || {
        draws = draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (draws >> 11) as f64 / (1u64 << 53) as f64
    };
    let (mut at_ms, mut reads, mut longest_gap_ms) = (0, 0, 0);
    while at_ms < SPAN_MS {
        let mut due: Vec<u64> = (0..nodes)
            .map(|node| {
                let interval_ms = (node >= readers).then(|| follower_interval(nodes));
                list_due_age(interval_ms, draw()).0
            })
            .collect();
        due.sort_unstable();
        let first_ms = due[0];
        reads += due.iter().filter(|ms| **ms < first_ms + NOTICE_MS).count();
        longest_gap_ms = longest_gap_ms.max(first_ms + NOTICE_MS);
        at_ms += first_ms + NOTICE_MS;
    }
    ListReads {
        count: reads,
        longest_gap_ms,
    }
}

/// Guards against reads of the replica list that grow with the fleet: with 985 nodes that each drew a time
/// within half a second, forty of them had read before the first one's notice arrived.
#[test]
fn the_reads_of_the_replica_list_do_not_grow_with_the_fleet() {
    let reads = [60, 250, 985, 1_970].map(|nodes| reads_of_the_list(nodes, 15));
    let most = reads.iter().max().copied().unwrap_or_default();
    // Two reads in each 0.7 s, the age up to which no node reads.
    assert!(most <= 2 * 25_000 / 700, "{reads:?}");
    // If all readers are lost, followers read as rarely.
    let reads = [60, 250, 985, 1_970].map(|nodes| reads_of_the_list(nodes, 0));
    assert!(
        reads.iter().all(|reads| *reads <= 2 * 25_000 / 700),
        "{reads:?}"
    );
}

/// Guards against a configuration that no node finds for seconds while all open reads are silent: all nodes had begun
/// them together, and a shorter timeout would cost calls in proportion to the nodes. Each read of the replica list is
/// followed by a check of the configuration, which finds it a second before it must be in force.
#[test]
fn some_node_checks_the_configuration_in_time_at_few_calls_in_a_fleet_of_any_size() {
    const IN_FORCE_MS: u64 = 2_000;
    // The time in which peers that the checking node notifies copy the version.
    const COPY_MS: u64 = 600;
    let mut table = String::from("nodes  readers  calls a second: lists  checks  open reads\n");
    let domains = [
        vec![1],
        vec![3, 2, 2],
        vec![12; 5],
        vec![60; 5],
        vec![197; 5],
    ];
    for domains in domains {
        let nodes: usize = domains.iter().sum();
        let readers = distribution::readers(domains);
        let lists = list_reads(nodes, readers);
        let gap_ms = lists.longest_gap_ms;
        assert!(
            gap_ms + COPY_MS < IN_FORCE_MS,
            "{gap_ms} ms at {nodes} nodes"
        );
        let span_s = SPAN_MS as f64 / 1_000.0;
        let per_s = lists.count as f64 / span_s;
        let open_ms = long_poll_timeout(0.5).0 as f64;
        let open_per_s = readers as f64 * 1_000.0 / open_ms;
        table.push_str(&format!(
            "{nodes:>5}  {readers:>7}  {per_s:>21.1}  {per_s:>6.1}  {open_per_s:>10.1}\n"
        ));
    }
    expect![[r#"
        nodes  readers  calls a second: lists  checks  open reads
            1        1                    1.1     1.1         0.1
            7        7                    1.9     1.9         0.4
           60       15                    2.2     2.2         0.8
          300       15                    1.7     1.7         0.8
          985       15                    2.2     2.2         0.8
    "#]]
    .assert_eq(&table);
}

/// Guards against an outage in which each node of a large fleet calls the directory every 0.8 s, though
/// refused calls are charged as well.
#[test]
fn the_calls_of_followers_in_an_outage_do_not_grow_with_the_fleet() {
    let per_second = [60, 250, 985, 1_970]
        .map(|nodes| nodes as f64 * 1_000.0 / follower_interval(nodes).0 as f64);
    assert!(
        per_second.iter().all(|calls| *calls <= 20.0),
        "{per_second:?}"
    );
}
