//! Tests of the choice of the replica for a plain call.

use bluebell_fleet::placement::PlainCandidate;
use bluebell_fleet::prelude::*;
use std::collections::BTreeSet;

fn candidate(number: u32) -> PlainCandidate {
    PlainCandidate {
        key: ReplicaKey(number),
        calls: 0,
        same_domain: number < 12,
        connected: false,
    }
}

/// Returns the replicas that are chosen by a thousand draws.
fn chosen(candidates: &[PlainCandidate]) -> BTreeSet<ReplicaKey> {
    let draws = (0..1_000).map(|draw| place_plain(candidates, draw));
    draws.flatten().collect()
}

/// Guards against a new connection for nearly each call. Of 985 nodes each had a call in two seconds and drew one
/// of 58 replicas for it, to which it kept no connection. A kept connection is used, but not for a second call
/// beside the first, and not in place of a replica in the node's failure domain.
#[test]
fn a_node_with_few_calls_uses_its_kept_connections() {
    let mut candidates: Vec<PlainCandidate> = (0..58).map(candidate).collect();
    assert_eq!(chosen(&candidates).len(), 12);
    candidates[5].connected = true;
    candidates[40].connected = true;
    assert_eq!(chosen(&candidates), BTreeSet::from([ReplicaKey(5)]));
    candidates[5].calls = 1;
    let others = chosen(&candidates);
    assert_eq!(others.len(), 11);
    assert!(!others.contains(&ReplicaKey(5)));
    assert!(!others.contains(&ReplicaKey(40)));
}
