//! Which node reviews a request's quarantine.

use crate::digest::RequestDigest;
use rustc_hash::FxHasher;
use std::hash::Hasher;

/// Whether the node that calls itself `own` reviews a request, beside the `others` that it hears.
///
/// Nodes that hear the same others agree (rendezvous hashing), so that one arrival is tried and not
/// one at each node; those that are cut off from each other try one each.
pub fn reviews(digest: &RequestDigest, own: u64, others: impl IntoIterator<Item = u64>) -> bool {
    let weight = |node: u64| {
        let mut hasher = FxHasher::default();
        hasher.write_u64(digest.number());
        hasher.write_u64(node);
        (hasher.finish(), node)
    };
    let heaviest = others.into_iter().map(weight).max();
    heaviest <= Some(weight(own))
}
