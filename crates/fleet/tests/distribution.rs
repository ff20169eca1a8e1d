//! Tests of the tree by which nodes copy the configuration.

use bluebell_fleet::distribution::{self, ConfigRole, READERS_PER_DOMAIN};
use bluebell_fleet::prelude::*;
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
