//! Choice of the replica for a plain call.
//!
//! Load pattern: calls are short, and few compared with the replicas' slots. Only replicas that are
//! slow or unreachable make calls late.
//!
//! Reason for the limits: a node knows only its own calls. It is enough to spread them evenly over
//! the replicas that aren't doubted, and a tie goes to this node's failure domain.

use crate::replicas::ReplicaKey;

/// A replica that may be given a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainCandidate {
    /// The replica's key.
    pub key: ReplicaKey,
    /// The number of this node's calls that the replica is running.
    pub calls: u32,
    /// True if the replica is in this node's failure domain.
    pub same_domain: bool,
}

/// Returns the replica with the fewest calls, or `None` without candidates. Ties go to this node's
/// failure domain, then by the random number `draw`.
pub fn place_plain(candidates: &[PlainCandidate], draw: u32) -> Option<ReplicaKey> {
    let load = |c: &PlainCandidate| f64::from(c.calls) - f64::from(u8::from(c.same_domain)) * 0.5;
    let least = candidates.iter().map(load).fold(f64::INFINITY, f64::min);
    let tied: Vec<&PlainCandidate> = candidates.iter().filter(|c| load(c) <= least).collect();
    match tied.is_empty() {
        true => None,
        false => Some(tied[draw as usize % tied.len()].key),
    }
}
