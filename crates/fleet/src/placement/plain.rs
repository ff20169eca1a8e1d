//! The replica for a plain call.
//!
//! Load pattern: calls are short and few against the replicas' slots; what hurts is a replica that
//! is slow or away.
//!
//! Reason for the limits: a node knows its own calls only. Even spread over the trusted replicas is
//! enough, and the nearest failure domain wins a tie.

use crate::replicas::ReplicaKey;

/// A replica that may take a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainCandidate {
    /// Which one.
    pub key: ReplicaKey,
    /// This node's calls that it has in hand.
    pub calls: u32,
    /// Whether it is in this node's failure domain.
    pub same_domain: bool,
}

/// Picks the replica with the fewest calls; ties go to the nearer, then by `draw`.
pub fn place_plain(candidates: &[PlainCandidate], draw: u32) -> Option<ReplicaKey> {
    let load = |c: &PlainCandidate| f64::from(c.calls) - f64::from(u8::from(c.same_domain)) * 0.5;
    let least = candidates.iter().map(load).fold(f64::INFINITY, f64::min);
    let tied: Vec<&PlainCandidate> = candidates.iter().filter(|c| load(c) <= least).collect();
    match tied.is_empty() {
        true => None,
        false => Some(tied[draw as usize % tied.len()].key),
    }
}
