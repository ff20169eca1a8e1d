//! Who tries a request again.

use bluebell_quarantine::prelude::*;
use bluebell_quarantine::review::reviews;

/// Each of nine nodes tried the request again at the end of its term, and nine replicas ended. All
/// nodes agree on the one that tries it.
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
        let mine = nodes
            .iter()
            .filter(|own| reviews(&digest, **own, others(**own)));
        let mine: Vec<&u64> = mine.collect();
        assert_eq!(mine.len(), 1);
        reviewers.push(*mine[0]);
        assert!(reviews(&digest, 5, []), "alone it reviews all");
    }
    reviewers.sort_unstable();
    reviewers.dedup();
    assert!(reviewers.len() > 1, "reviews are spread");
}
