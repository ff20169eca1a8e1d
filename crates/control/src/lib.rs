//! What is agreed through the log: the configuration in force, leases of duties with fencing
//! numbers, orders to upstreams, and the reclaiming of memory that dead owners hold.
//!
//! Terms: the *config stream* carries configuration and snapshot records, the *leases stream*
//! lease records; a *duty* is a job that one node at a time does for the fleet; its *fencing number* is the offset of the
//! record that granted it.
//!
//! Invariants: the reduction of either stream is deterministic in log order; a lease is
//! judged on its holder's monotonic clock from before the append was sent.

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
    /// Write configuration snapshots before retention takes the last one.
    Snapshot,
    /// Write the platform's VM list to the directory stream.
    Directory,
    /// Order and reclaim on the upstreams of one group of them.
    Coordinator(u32),
}

/// A lease of a duty, as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The duty.
    pub duty: Duty,
    /// Who holds it.
    pub holder: Incarnation,
    /// Where the holder's peer interface listens.
    pub address: Address,
    /// The fencing number.
    pub fencing: Fencing,
}

/// A change of what is agreed.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEvent {
    /// A configuration came into force here.
    Config {
        /// Its version.
        version: ConfigVersion,
        /// The configuration.
        config: Arc<FleetConfig>,
    },
    /// A duty's holder changed, as read from the log.
    Holder(Lease),
    /// This node holds a duty until the instant, unless renewed.
    Held {
        /// The lease.
        lease: Lease,
        /// When it ends on this node's clock, margin taken off.
        until_ms: MonoMs,
    },
    /// This node no longer holds a duty.
    Lost(Duty),
}

/// The answer to an operator's publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Published {
    /// It is in the log, read back, and in force.
    Accepted {
        /// Its version.
        version: ConfigVersion,
    },
    /// Another publication came first.
    Conflict {
        /// The version in force.
        current: ConfigVersion,
    },
}
