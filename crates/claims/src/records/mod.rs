//! The records of a shard's log stream and their codec.
//!
//! Terms: an *epoch record* opens an owner's epoch; a *batch* holds the claims and settlements of
//! one append and is numbered within its epoch.
//!
//! Compatibility: unknown fields are ignored. A record of an unknown kind, or one that does not
//! decode, is skipped and counted. A newer version that changes the meaning of claims must
//! therefore use a new kind *and* a new stream.

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
    /// The beginning of an owner's epoch.
    #[serde(rename = "epoch")]
    Epoch(EpochRecord),
    /// The claims and settlements of one append.
    #[serde(rename = "batch")]
    Batch(BatchRecord),
}

/// An owner's epoch. A later epoch compares greater.
///
/// The fencing number alone does not identify an epoch: a lease that expired while the log was down
/// may be renewed under the same number, and batches of the earlier epoch may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch {
    /// The fencing number of the owner's lease.
    pub fencing: Fencing,
    /// The number of this epoch among all that the owner's process has begun.
    pub round: u64,
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.fencing, self.round)
    }
}

/// The record that begins an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The fencing number of the owner's lease.
    #[serde(rename = "e")]
    pub fencing: Fencing,
    /// The number of this epoch among all that the owner's process has begun.
    #[serde(rename = "r", default)]
    pub round: u64,
    /// The incarnation of the owner's process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
}

/// A batch of settlements and claims. Its settlements take effect before its claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchRecord {
    /// The fencing number of the batch's epoch.
    #[serde(rename = "e")]
    pub fencing: Fencing,
    /// The round of the batch's epoch.
    #[serde(rename = "r", default)]
    pub round: u64,
    /// The number of the batch within its epoch, counted from 1. It identifies duplicates.
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
    /// Returns the epoch that begins.
    pub fn epoch(&self) -> Epoch {
        Epoch {
            fencing: self.fencing,
            round: self.round,
        }
    }
}

impl BatchRecord {
    /// Returns the batch's epoch.
    pub fn epoch(&self) -> Epoch {
        Epoch {
            fencing: self.fencing,
            round: self.round,
        }
    }
}

/// An encoded claim: key, fingerprint, and the request's incarnation and sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOp(Packed128, Packed64, Packed64, u64);

/// An encoded settlement: key, outcome code, and the request's incarnation and sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleOp(Packed128, u8, Packed64, u64);

/// The code of [`Settlement::NotRun`], the only one that frees a key.
const NOT_RUN_CODE: u8 = 0;
/// The code of [`Settlement::Ran`]. An unknown code is decoded as this, so that it frees no key.
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

/// Encodes a record for the log, as JSON.
pub fn encode(record: &Record) -> Arc<str> {
    // Encoding fails only for maps whose keys aren't strings, or if `Serialize` code fails.
    serde_json::to_string(record)
        .expect("a record encodes")
        .into()
}

/// Decodes a record. Returns `None` if it is of an unknown kind or damaged.
pub fn decode(body: &str) -> Option<Record> {
    serde_json::from_str(body).ok()
}

/// Returns the name of a shard's stream.
pub fn stream_of(shard: ShardId) -> StreamName {
    StreamName::from(format!("claims-{}", shard.0).as_str())
}

/// Returns the shard of a key. Keys are hashes, so they spread evenly over the shards.
pub fn shard_of(key: ClaimKey, shards: u32) -> ShardId {
    let shards = u128::from(shards.max(1));
    ShardId((key.0 % shards) as u32)
}
