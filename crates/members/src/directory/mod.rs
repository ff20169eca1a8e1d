//! The directory stream: one node fetches the list for all and writes what changed.
//!
//! Terms: the *writer* holds the duty; a *beat* is a record of changes, often empty, with a digest
//! of the writer's list behind them; a *full* record set carries the whole list in parts.
//!
//! Invariants: a record under an older fencing number than one already read is ignored, so a
//! writer that lost its duty while paused changes nothing; a reader whose digest differs from the
//! writer's fetches the list itself.

mod record;
mod reducer;

pub use record::{Beat, DirectoryRecord, FullPart, decode, encode, full_records};
pub use reducer::{DirectoryOutcome, DirectoryReducer};

use bluebell_platform::VmEntry;
use sha2::{Digest, Sha256};

/// A digest of a list that does not depend on the order of its entries' arrival.
pub fn digest<'a>(entries: impl Iterator<Item = &'a VmEntry>) -> u64 {
    let mut hash = Sha256::new();
    for entry in entries {
        // An entry holds only strings and unit variants, which serde_json can't fail on.
        hash.update(serde_json::to_vec(entry).unwrap_or_default());
    }
    let bytes = hash.finalize();
    bytes
        .iter()
        .take(8)
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
