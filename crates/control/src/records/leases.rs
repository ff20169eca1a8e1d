//! The records of the leases stream.

use crate::Duty;
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// A record of the leases stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum LeaseRecord {
    /// A node requests a duty.
    Take(Take),
    /// A node renews the leases of its duties.
    Renew(Renew),
    /// A node releases duties.
    Release(Release),
    /// The state of all leases up to an offset.
    Checkpoint(Checkpoint),
    /// All leases become void. Written if no reader can know the leases any more.
    Reset(Reset),
}

/// Requests a duty. The request counts only if no record touched the duty after `seen`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Take {
    /// The id of this request.
    pub op: OperationId,
    /// The duty.
    pub duty: Duty,
    /// The node that requests the duty.
    pub holder: Incarnation,
    /// The address of that node's peer interface.
    pub address: Address,
    /// The last record that granted, renewed, released or reset the duty, as far as the writer had
    /// read the log; `None` if there was none.
    pub seen: Option<Offset>,
}

/// Renews the leases of all duties of a node in one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The id of this renewal.
    pub op: OperationId,
    /// The holder.
    pub holder: Incarnation,
    /// The duties to renew.
    pub held: Vec<HeldRecord>,
}

/// Releases duties, so that other nodes need not wait for their leases to expire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The id of this release.
    pub op: OperationId,
    /// The holder.
    pub holder: Incarnation,
    /// The duties to release.
    pub held: Vec<HeldRecord>,
    /// True if the holder is stopping and takes no more duties.
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

/// The state that results from reducing all records before `as_of`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The id of the operation that wrote this checkpoint.
    pub op: OperationId,
    /// The first offset whose record the checkpoint does not include.
    pub as_of: Offset,
    /// The last reset before `as_of`, if any.
    pub reset_at: Option<Offset>,
    /// The leases.
    pub grants: Vec<GrantRecord>,
}

/// One lease in a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// The duty.
    pub duty: Duty,
    /// The holder; `None` after a release.
    pub holder: Option<Incarnation>,
    /// The address of the last holder's peer interface.
    pub address: Address,
    /// The fencing number.
    pub fencing: Fencing,
    /// The last record that granted, renewed or released the lease.
    pub touched: Offset,
}

/// Voids all leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// The id of this reset.
    pub op: OperationId,
}
