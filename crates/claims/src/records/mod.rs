//! The records of a shard's log stream and their codec.
//!
//! Terms: an *epoch record* opens an owner's epoch; a *batch* holds the claims and settlements of
//! one append, numbered within its epoch.
//!
//! Rule for records of another version: unknown fields are ignored; a record of an unknown kind,
//! or one that does not decode, is skipped and counted. A newer version that changes the meaning
//! of claims must therefore use a new kind *and* a new stream.

mod packed;

use bluebell_base::prelude::*;
use bluebell_peers::{ClaimCall, ClaimKey, SettleCall, Settlement};
use packed::{Packed64, Packed128};
use serde::{Deserialize, Serialize};
use std::fmt;

/// One record of a shard's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "k")]
pub enum Record {
    /// An owner begins its epoch.
    #[serde(rename = "epoch")]
    Epoch(EpochRecord),
    /// The claims and settlements of one append.
    #[serde(rename = "batch")]
    Batch(BatchRecord),
}

/// An owner's epoch; a later one is larger.
///
/// The fencing number alone does not tell two tenures apart: a lease that lapsed while the log was
/// down may be renewed under the same number, and batches of the first tenure may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch {
    /// The fencing number of the owner's lease.
    pub fencing: Fencing,
    /// The owner's own count of its tenures.
    pub round: u64,
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.fencing, self.round)
    }
}

/// The beginning of an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The fencing number of the owner's lease.
    #[serde(rename = "e")]
    pub fencing: Fencing,
    /// The owner's count of its tenures.
    #[serde(rename = "r", default)]
    pub round: u64,
    /// The owner.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
}

/// One batch. Its settlements take effect before its claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchRecord {
    /// The fencing number of the epoch it belongs to.
    #[serde(rename = "e")]
    pub fencing: Fencing,
    /// The round of the epoch it belongs to.
    #[serde(rename = "r", default)]
    pub round: u64,
    /// Its number in the epoch, from 1; a second copy of it is told by the number.
    #[serde(rename = "n")]
    pub batch: u64,
    /// The settlements.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub settles: Vec<SettleOp>,
    /// The claims.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimOp>,
}

impl EpochRecord {
    /// The epoch that begins.
    pub fn epoch(&self) -> Epoch {
        Epoch {
            fencing: self.fencing,
            round: self.round,
        }
    }
}

impl BatchRecord {
    /// The epoch it belongs to.
    pub fn epoch(&self) -> Epoch {
        Epoch {
            fencing: self.fencing,
            round: self.round,
        }
    }
}

/// A claim as written: key, fingerprint, the request's incarnation and sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOp(Packed128, Packed64, Packed64, u64);

/// A settlement as written: key, whether it ran, the request's incarnation and sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleOp(Packed128, u8, Packed64, u64);

/// The code of [`Settlement::NotRun`], the only one that frees a key.
const NOT_RUN_CODE: u8 = 0;
/// The code of [`Settlement::Ran`]; an unknown code is read as this, so that it frees no key.
const RAN_CODE: u8 = 1;

impl From<&ClaimCall> for ClaimOp {
    fn from(call: &ClaimCall) -> Self {
        let RequestId {
            incarnation,
            sequence,
        } = call.request;
        Self(
            Packed128(call.key.0),
            Packed64(call.fingerprint),
            Packed64(incarnation.0),
            sequence,
        )
    }
}

impl From<&ClaimOp> for ClaimCall {
    fn from(op: &ClaimOp) -> Self {
        Self {
            key: ClaimKey(op.0.0),
            fingerprint: op.1.0,
            request: RequestId {
                incarnation: Incarnation(op.2.0),
                sequence: op.3,
            },
        }
    }
}

impl From<&SettleCall> for SettleOp {
    fn from(call: &SettleCall) -> Self {
        let code = match call.settlement {
            Settlement::Ran => RAN_CODE,
            Settlement::NotRun => NOT_RUN_CODE,
        };
        let RequestId {
            incarnation,
            sequence,
        } = call.request;
        Self(
            Packed128(call.key.0),
            code,
            Packed64(incarnation.0),
            sequence,
        )
    }
}

impl From<&SettleOp> for SettleCall {
    fn from(op: &SettleOp) -> Self {
        let settlement = match op.1 {
            NOT_RUN_CODE => Settlement::NotRun,
            _ => Settlement::Ran,
        };
        Self {
            key: ClaimKey(op.0.0),
            request: RequestId {
                incarnation: Incarnation(op.2.0),
                sequence: op.3,
            },
            settlement,
        }
    }
}

/// Encodes a record as the log keeps it.
pub fn encode(record: &Record) -> Arc<str> {
    // Only maps with keys that are no text, or failing `Serialize` code, fail to encode.
    serde_json::to_string(record)
        .expect("a record encodes")
        .into()
}

/// Decodes a record; none where it is of an unknown kind or damaged.
pub fn decode(body: &str) -> Option<Record> {
    serde_json::from_str(body).ok()
}

/// The stream of a shard.
pub fn stream_of(shard: ShardId) -> StreamName {
    StreamName::from(format!("claims-{}", shard.0).as_str())
}

/// The shard of a key. Keys are hashes, so the shards fill evenly.
pub fn shard_of(key: ClaimKey, shards: u32) -> ShardId {
    let shards = u128::from(shards.max(1));
    ShardId((key.0 % shards) as u32)
}
