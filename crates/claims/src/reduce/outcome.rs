//! The result of applying one record.

use crate::records::Epoch;
use crate::table::Entry;

/// The outcome of one claim of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim's request holds the key.
    Granted,
    /// The key is held, as described by the entry.
    Held(Entry),
    /// The claim's request had already released the key.
    Released,
}

/// The result of applying one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// An epoch began.
    Epoch(Epoch),
    /// A batch took effect.
    Batch {
        /// The epoch of the batch.
        epoch: Epoch,
        /// The number of the batch in its epoch.
        batch: u64,
        /// The outcomes of its claims, in the order of the record.
        claims: Vec<ClaimOutcome>,
    },
    /// A batch was fenced out because a newer epoch had begun before it.
    Fenced {
        /// The epoch of the batch.
        epoch: Epoch,
        /// The number of the batch in its epoch.
        batch: u64,
    },
    /// The record changed nothing.
    Ignored,
}
