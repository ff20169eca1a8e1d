//! The records of the leases stream.

use crate::Duty;
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// A record of the leases stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum LeaseRecord {
    /// A node wants a duty.
    Take(Take),
    /// A node keeps its duties.
    Renew(Renew),
    /// A node gives duties back.
    Release(Release),
    /// The state up to an offset.
    Checkpoint(Checkpoint),
    /// All leases are void; written where no reader can know them any more.
    Reset(Reset),
}

/// Takes a duty, if nothing happened to it since the taker looked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Take {
    /// This taking.
    pub op: OperationId,
    /// The duty.
    pub duty: Duty,
    /// The taker.
    pub holder: Incarnation,
    /// Where the taker's peer interface listens.
    pub address: Address,
    /// The record by which the duty was last granted, renewed, released or reset, as the taker
    /// read it.
    pub seen: Option<Offset>,
}

/// Keeps all duties of a node in one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// This renewal.
    pub op: OperationId,
    /// The holder.
    pub holder: Incarnation,
    /// The duties kept.
    pub held: Vec<HeldRecord>,
}

/// Gives duties back, so that others need not wait for their end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// This release.
    pub op: OperationId,
    /// The holder.
    pub holder: Incarnation,
    /// The duties given back.
    pub held: Vec<HeldRecord>,
    /// Whether the holder stops and takes none any more.
    #[serde(default)]
    pub leaving: bool,
}

/// A duty with the fencing number under which it is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRecord {
    /// The duty.
    pub duty: Duty,
    /// The fencing number.
    pub fencing: Fencing,
}

/// What the reduction of all records before `as_of` gives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The writing of this checkpoint.
    pub op: OperationId,
    /// The first offset whose record is not in it.
    pub as_of: Offset,
    /// The last reset before it.
    pub reset_at: Option<Offset>,
    /// The leases.
    pub grants: Vec<GrantRecord>,
}

/// One lease in a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// The duty.
    pub duty: Duty,
    /// Its holder; none after a release.
    pub holder: Option<Incarnation>,
    /// Where the last holder's peer interface listens.
    pub address: Address,
    /// The fencing number.
    pub fencing: Fencing,
    /// The last record that granted, renewed or released it.
    pub touched: Offset,
}

/// Voids all leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// This reset.
    pub op: OperationId,
}
