//! The choice of the node that reviews a quarantine.

use crate::subject::QuarantineSubject;
use rustc_hash::FxHasher;
use std::hash::Hasher;

/// Returns true if the node `own` reviews a subject, given the `others`, its live peers.
///
/// Nodes with the same live peers agree (rendezvous hashing), so that one arrival runs as a trial in the
/// whole fleet and not one at each node. Nodes that receive nothing from each other run one each.
pub fn reviews(
    subject: &QuarantineSubject,
    own: u64,
    others: impl IntoIterator<Item = u64>,
) -> bool {
    first(subject.number(), others.into_iter().chain([own])) == Some(own)
}

/// Returns the node among `nodes` that is responsible for what `number` stands for.
pub(crate) fn first(number: u64, nodes: impl IntoIterator<Item = u64>) -> Option<u64> {
    let weight = |node: &u64| {
        let mut hasher = FxHasher::default();
        hasher.write_u64(number);
        hasher.write_u64(*node);
        (hasher.finish(), *node)
    };
    nodes.into_iter().max_by_key(weight)
}
