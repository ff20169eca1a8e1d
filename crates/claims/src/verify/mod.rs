//! Checks the invariants of a reduced shard. Tests run it after each step.

use crate::reduce::ShardState;
use crate::table::seconds;
use bluebell_base::prelude::*;
use bluebell_peers::ClaimKey;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VerifyError {
    /// An entry is newer than the log's newest record.
    #[error("key {key} was claimed at second {claimed_s}, after the log's {log_ms}")]
    NewerThanLog {
        /// The key.
        key: ClaimKey,
        /// The second in which the key was claimed.
        claimed_s: u32,
        /// The append time of the newest record.
        log_ms: WallMs,
    },
    /// An expired entry remained after the sweep that should have removed it.
    #[error("key {key} expired long ago and is still kept")]
    NotSwept {
        /// The key.
        key: ClaimKey,
    },
    /// Batches were applied without an epoch.
    #[error("batch {batch} was applied without an epoch")]
    NoEpoch {
        /// The number of the last applied batch.
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
            return Err(VerifyError::NewerThanLog {
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
