//! What an owner tells of its shard.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// How far an owner has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OwnerPhase {
    /// It reads what earlier owners wrote.
    #[default]
    CatchUp,
    /// It writes its epoch record.
    Announce,
    /// It reads up to its epoch record.
    Confirm,
    /// It answers claims.
    Serving,
    /// A newer epoch has begun, or its records expired unread: it answers no more claims.
    Ended,
}

/// The state and counters of one owned shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReport {
    /// The shard.
    pub shard: u32,
    /// The fencing number of the lease.
    pub fencing: u64,
    /// How far the owner has come.
    pub phase: OwnerPhase,
    /// Keys kept.
    pub keys: usize,
    /// About how much memory they take.
    pub keys_bytes: Bytes,
    /// Operations that wait.
    pub queued: usize,
    /// Whether the log did not answer lately.
    pub log_down: bool,
    /// Claims granted.
    pub granted: u64,
    /// Claims of keys that were held.
    pub held: u64,
    /// Claims refused.
    pub refused: u64,
    /// Settlements written.
    pub settled: u64,
    /// Appends made, tries again included.
    pub appends: u64,
    /// Bytes appended.
    pub appended_bytes: Bytes,
    /// Bytes read, the reading back of own batches included.
    pub read_bytes: Bytes,
    /// Batches of older epochs that were fenced out.
    pub fenced: u64,
    /// Second copies of batches.
    pub duplicates: u64,
    /// Records skipped as unknown.
    pub skipped: u64,
    /// Claims written for keys that were held; see the reduction.
    pub contested: u64,
}
