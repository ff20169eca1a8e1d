//! Tests of the choice of the node that reviews a request.

use bluebell_quarantine::prelude::*;
use bluebell_quarantine::review::reviews;

/// Guards against nine nodes that each try a request again at the end of its term, which crashed nine
/// replicas. All nodes agree on the one that tries it.
#[test]
fn one_node_reviews_a_request() {
    let nodes: Vec<u64> = (1..10).map(|n| n * 7_919).collect();
    let mut reviewers = Vec::new();
    for body in [b"a", b"b", b"c", b"d", b"e", b"f"] {
        let digest = RequestDigest::of(&RequestParts {
            account: "",
            method: "POST",
            host: "h",
            target: "/",
            body,
        });
        let others = |own: u64| nodes.iter().copied().filter(move |other| *other != own);
        let chosen = nodes
            .iter()
            .filter(|own| reviews(&digest.into(), **own, others(**own)));
        let chosen: Vec<&u64> = chosen.collect();
        assert_eq!(chosen.len(), 1);
        reviewers.push(*chosen[0]);
        assert!(
            reviews(&digest.into(), 5, []),
            "a node without peers reviews all requests"
        );
    }
    reviewers.sort_unstable();
    reviewers.dedup();
    assert!(reviewers.len() > 1, "reviews are spread over the nodes");
}
