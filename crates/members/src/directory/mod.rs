//! The directory stream: one node fetches the list for all nodes and writes the changes.
//!
//! Terms: the *writer* is the node that holds the duty to write the stream; a *beat* (heartbeat) is
//! a record of changes, often empty, with a digest of the writer's list after them; a *full* record
//! set carries the whole list in parts.
//!
//! Invariants: a record with an older fencing number than one already read is ignored, so a writer
//! that lost its duty while paused has no effect; a reader whose digest differs from the writer's
//! fetches the list itself.

mod record;
mod reducer;

pub use record::{Beat, DirectoryRecord, FullPart, decode, encode, full_records};
pub use reducer::{DirectoryOutcome, DirectoryReducer};

use bluebell_platform::VmEntry;
use sha2::{Digest, Sha256};

/// Returns a digest of a list. The entries must be sorted by name, so that the digest does not depend
/// on the order in which they arrived.
pub fn digest<'a>(entries: impl Iterator<Item = &'a VmEntry>) -> u64 {
    let mut hash = Sha256::new();
    for entry in entries {
        // An entry has only strings and unit variants, for which serde_json does not fail.
        hash.update(serde_json::to_vec(entry).unwrap_or_default());
    }
    let bytes = hash.finalize();
    bytes
        .iter()
        .take(8)
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
