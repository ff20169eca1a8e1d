//! The state that the nodes of a fleet agree on through the log: the configuration in force and
//! the leases of duties with their fencing numbers. Also the work that depends on these leases:
//! orders to upstreams and reclaiming engine memory that dead owners hold.
//!
//! Terms: the *config stream* carries configuration and snapshot records, the *leases stream* lease
//! records; a *duty* is a job that one node at a time does for the fleet; its *fencing number* is
//! the offset of the record that granted it.
//!
//! Invariants: the reduction of either stream is deterministic in log order; the validity of a
//! lease is measured on its holder's monotonic clock, starting before the append was sent.

pub mod actor;
pub mod coordinator;
pub mod leases;
pub mod print;
pub mod records;
pub mod reduce;
pub mod settings;
pub mod verify;

pub use actor::Control;
pub use coordinator::{CoordinatorCounts, CoordinatorDump};
pub use print::{ControlDump, UnusableVersion, VersionSeen, VersionSource};
pub use settings::{ControlPorts, ControlSettings, NodeIdentity};

use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use serde::{Deserialize, Serialize};

/// A job that one node at a time does for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "duty", content = "index", rename_all = "snake_case")]
pub enum Duty {
    /// Own a shard of the idempotency keys.
    Shard(ShardId),
    /// Write configuration snapshots before the log's retention removes the last one.
    Snapshot,
    /// Write the platform's VM list to the directory stream.
    Directory,
    /// Send orders to the upstreams of one group and reclaim memory on them.
    Coordinator(u32),
}

/// A lease of a duty, as this node read it from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The duty.
    pub duty: Duty,
    /// The node that holds the duty.
    pub holder: Incarnation,
    /// The address of the holder's peer interface.
    pub address: Address,
    /// The fencing number.
    pub fencing: Fencing,
}

/// A change of the agreed state.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEvent {
    /// A configuration came into force here.
    Config {
        /// The version of the configuration.
        version: ConfigVersion,
        /// The configuration.
        config: Arc<FleetConfig>,
    },
    /// A duty's holder changed, as read from the log.
    Holder(Lease),
    /// This node holds a duty until `until_ms`, or longer if it renews the lease.
    Held {
        /// The lease.
        lease: Lease,
        /// The end of the lease on this node's clock, less the safety margin.
        until_ms: MonoMs,
    },
    /// This node no longer holds a duty.
    Lost(Duty),
}

/// The answer to an operator's publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Published {
    /// The publication was read back from the log and is in force.
    Accepted {
        /// The version that it created.
        version: ConfigVersion,
    },
    /// Another publication with the same base came first.
    Conflict {
        /// The version in force.
        current: ConfigVersion,
    },
}
