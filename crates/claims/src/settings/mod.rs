//! The settings of the claims and their validation.

use bluebell_base::prelude::*;

/// The settings of the claims. The number of shards and the validity must be the same on every
/// node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The number of shards. A change moves keys to other shards, so it needs a pause of one validity
    /// without non-idempotent work.
    pub shards: u32,
    /// The time from its claim for which a key is kept, by the log's clock.
    pub validity_ms: SpanMs,
    /// The time after which a node refuses a claim without an answer.
    pub claim_timeout_ms: SpanMs,
    /// The maximum time for which a claim or settlement waits at an owner for the log.
    pub max_wait_ms: SpanMs,
    /// The minimum interval between the batches of one shard.
    pub append_interval_ms: SpanMs,
    /// The maximum number of claims and settlements in one append.
    pub batch_ops: usize,
    /// The maximum number of claims and settlements that wait at one owner.
    pub queued_ops: usize,
    /// The maximum number of settlements that a node retries.
    pub max_settlements: usize,
    /// The initial interval between retries of settlements.
    pub settle_retry_ms: SpanMs,
    /// The time after which a refused caller should retry.
    pub retry_after_ms: SpanMs,
    /// The maximum size of the records in one read of the log.
    pub read_bytes: Bytes,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 16,
            validity_ms: SpanMs::from_secs(3600),
            claim_timeout_ms: SpanMs::from_secs(2),
            max_wait_ms: SpanMs::from_secs(1),
            append_interval_ms: SpanMs(100),
            batch_ops: 1024,
            queued_ops: 8192,
            max_settlements: 65_536,
            settle_retry_ms: SpanMs(1000),
            retry_after_ms: SpanMs::from_secs(2),
            // Reducing this many bytes takes some 4 ms, so that a takeover does not block the node.
            read_bytes: Bytes(256 * 1024),
        }
    }
}

/// The factor by which a key's record is considered beyond its validity, as a margin for different
/// clocks and readers of the log: a quarter.
pub(crate) const VALIDITY_MARGIN_FACTOR: f64 = 1.25;

/// An invalid setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The number of shards is 0.
    #[error("there must be at least one shard")]
    NoShards,
    /// The limit of batches, queued operations or settlements is 0.
    #[error("batches and queues must hold at least one claim")]
    ZeroLimit,
    /// The log would drop a key's record while the key is valid.
    #[error("keys are valid for {validity_ms}, but the log keeps records only for {retention_ms}")]
    OutlivesRetention {
        /// The configured validity.
        validity_ms: SpanMs,
        /// The log's retention.
        retention_ms: SpanMs,
    },
}

impl ClaimSettings {
    /// Validates the settings against the time for which the log keeps records.
    ///
    /// A key must expire by its validity, on which all readers of the log agree, before the log drops
    /// its record, which readers see at different times. The retention must therefore exceed the
    /// validity by a quarter.
    pub fn check(&self, retention_ms: SpanMs) -> Result<(), SettingsError> {
        if self.shards == 0 {
            return Err(SettingsError::NoShards);
        }
        if self.batch_ops == 0 || self.queued_ops == 0 || self.max_settlements == 0 {
            return Err(SettingsError::ZeroLimit);
        }
        if self.validity_ms.mul_f64(VALIDITY_MARGIN_FACTOR) > retention_ms {
            return Err(SettingsError::OutlivesRetention {
                validity_ms: self.validity_ms,
                retention_ms,
            });
        }
        Ok(())
    }
}
