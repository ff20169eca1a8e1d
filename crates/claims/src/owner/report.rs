//! The report of an owner on its shard.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The phase of an owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OwnerPhase {
    /// The owner reads what earlier owners wrote.
    #[default]
    CatchUp,
    /// The owner writes its epoch record.
    Announce,
    /// The owner reads up to its epoch record.
    Confirm,
    /// The owner answers claims.
    Serving,
    /// The owner answers no more claims: a newer epoch has begun, or records expired before it
    /// read them.
    Ended,
}

/// The state and counters of one owned shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReport {
    /// The shard.
    pub shard: u32,
    /// The fencing number of the lease.
    pub fencing: u64,
    /// The phase of the owner.
    pub phase: OwnerPhase,
    /// Number of keys in the table.
    pub keys: usize,
    /// Estimated memory of the keys.
    pub keys_bytes: Bytes,
    /// Number of operations that wait.
    pub queued: usize,
    /// True while the log fails or the outcome of an append is unknown.
    pub log_down: bool,
    /// Number of claims granted.
    pub granted: u64,
    /// Number of claims of keys that another request held.
    pub held: u64,
    /// Number of operations refused.
    pub refused: u64,
    /// Number of settlements written.
    pub settled: u64,
    /// Number of appends, including retries.
    pub appends: u64,
    /// Bytes appended.
    pub appended_bytes: Bytes,
    /// Bytes read, including the owner's own batches.
    pub read_bytes: Bytes,
    /// Number of batches of older epochs that were fenced out.
    pub fenced: u64,
    /// Number of duplicate batches.
    pub duplicates: u64,
    /// Number of records skipped because they are of an unknown kind or don't decode.
    pub skipped: u64,
    /// Number of claims written for keys that were held; see [`crate::reduce`].
    pub contested: u64,
}
