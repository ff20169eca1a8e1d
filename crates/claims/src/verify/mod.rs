//! Re-checks the invariants of a reduced shard; run by tests after each step.

use crate::reduce::ShardState;
use crate::table::seconds;
use bluebell_base::prelude::*;
use bluebell_peers::ClaimKey;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VerifyError {
    /// An entry is newer than the newest record.
    #[error("key {key} was claimed at second {claimed_s}, after the log's {log_ms}")]
    FromTheFuture {
        /// The key.
        key: ClaimKey,
        /// When it was claimed.
        claimed_s: u32,
        /// The newest record's time.
        log_ms: WallMs,
    },
    /// An expired entry outlived the sweep that should have taken it.
    #[error("key {key} expired long ago and is still kept")]
    NotSwept {
        /// The key.
        key: ClaimKey,
    },
    /// Batches were applied without an epoch.
    #[error("batch {batch} was applied without an epoch")]
    NoEpoch {
        /// The number of the last batch.
        batch: u64,
    },
}

/// Checks all invariants of a shard's state.
pub fn verify(state: &ShardState) -> Result<(), VerifyError> {
    if state.epoch.is_none() && state.last_batch != 0 {
        return Err(VerifyError::NoEpoch {
            batch: state.last_batch,
        });
    }
    let newest_s = seconds(state.log_ms);
    let longest_ms = state.validity_ms.mul_f64(1.25) + SpanMs(1000);
    for (key, entry) in state.table.iter() {
        if entry.claimed_s > newest_s {
            return Err(VerifyError::FromTheFuture {
                key,
                claimed_s: entry.claimed_s,
                log_ms: state.log_ms,
            });
        }
        if !entry.is_valid(state.log_ms, longest_ms) {
            return Err(VerifyError::NotSwept { key });
        }
    }
    Ok(())
}
