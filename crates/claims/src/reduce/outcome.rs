//! What applying one record came to.

use crate::table::Entry;
use bluebell_base::prelude::*;

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
    Epoch(Fencing),
    /// A batch took effect.
    Batch {
        /// Its epoch.
        fencing: Fencing,
        /// Its number.
        batch: u64,
        /// What became of its claims, in order.
        claims: Vec<ClaimOutcome>,
    },
    /// A batch came after a newer epoch had begun.
    Fenced {
        /// Its epoch.
        fencing: Fencing,
        /// Its number.
        batch: u64,
    },
    /// The record changed nothing.
    Ignored,
}
