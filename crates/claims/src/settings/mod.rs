//! The settings of the claims and their check.

use bluebell_base::prelude::*;

/// The settings of the claims. The number of shards and the validity are the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The parts of the key space. Changing it needs a pause of one validity without
    /// non-idempotent work, since a key then lies in another shard.
    pub shards: u32,
    /// How long a key is remembered, by the log's clock, from the claim on.
    pub validity_ms: SpanMs,
    /// How long a node tries to get an answer to a claim before it refuses.
    pub claim_timeout_ms: SpanMs,
    /// How long an owner keeps a claim or settlement waiting for the log.
    pub hold_ms: SpanMs,
    /// The shortest time between two appends of one shard.
    pub append_interval_ms: SpanMs,
    /// The most claims and settlements in one append.
    pub batch_ops: usize,
    /// The most claims and settlements that wait at one owner.
    pub queued_ops: usize,
    /// The most settlements that one node keeps trying to place.
    pub settlements: usize,
    /// The time after which a settlement that was not taken is tried again.
    pub settle_retry_ms: SpanMs,
    /// When a refused caller should come back.
    pub retry_after_ms: SpanMs,
    /// The most bytes of records in one read of the log.
    pub read_bytes: Bytes,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 16,
            validity_ms: SpanMs::from_secs(3600),
            claim_timeout_ms: SpanMs::from_secs(2),
            hold_ms: SpanMs::from_secs(1),
            append_interval_ms: SpanMs(100),
            batch_ops: 1024,
            queued_ops: 8192,
            settlements: 65_536,
            settle_retry_ms: SpanMs(1000),
            retry_after_ms: SpanMs::from_secs(2),
            // Reduced in some 4 ms, so that a takeover does not hold the node up.
            read_bytes: Bytes(256 * 1024),
        }
    }
}

/// How much longer than its validity a key's record is reckoned with, where clocks or readers of
/// the log differ: by a quarter.
pub(crate) const VALIDITY_MARGIN: f64 = 1.25;

/// A setting that can't work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There must be a shard.
    #[error("there must be at least one shard")]
    NoShards,
    /// A batch and the queues must hold something.
    #[error("batches and queues must hold at least one claim")]
    ZeroLimit,
    /// A key would be forgotten while it is valid.
    #[error("keys are valid for {validity_ms}, but the log keeps records only for {retention_ms}")]
    OutlivesRetention {
        /// The validity set.
        validity_ms: SpanMs,
        /// The log's retention.
        retention_ms: SpanMs,
    },
}

impl ClaimSettings {
    /// Checks the settings against the time for which the log keeps records.
    ///
    /// A key must be forgotten by its validity, which all readers of the log agree on, before
    /// retention takes its record, which they see at different times: hence a margin of a quarter.
    pub fn check(&self, retention_ms: SpanMs) -> Result<(), SettingsError> {
        if self.shards == 0 {
            return Err(SettingsError::NoShards);
        }
        if self.batch_ops == 0 || self.queued_ops == 0 || self.settlements == 0 {
            return Err(SettingsError::ZeroLimit);
        }
        if self.validity_ms.mul_f64(VALIDITY_MARGIN) > retention_ms {
            return Err(SettingsError::OutlivesRetention {
                validity_ms: self.validity_ms,
                retention_ms,
            });
        }
        Ok(())
    }
}
