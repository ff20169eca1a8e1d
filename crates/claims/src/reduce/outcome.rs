//! What applying one record came to.

use crate::records::Epoch;
use crate::table::Entry;

/// What became of one claim of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// Its request holds the key.
    Granted,
    /// The key is held as the entry says.
    Held(Entry),
    /// Its request gave the key back before.
    GivenBack,
}

/// What applying one record came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// An epoch began.
    Epoch(Epoch),
    /// A batch took effect.
    Batch {
        /// Its epoch.
        epoch: Epoch,
        /// Its number.
        batch: u64,
        /// What became of its claims, in order.
        claims: Vec<ClaimOutcome>,
    },
    /// A batch came after a newer epoch had begun.
    Fenced {
        /// Its epoch.
        epoch: Epoch,
        /// Its number.
        batch: u64,
    },
    /// The record changed nothing.
    Ignored,
}
