//! The state dump of control for operators.

use crate::records::DecodeError;
use crate::{Duty, Lease};
use bluebell_base::prelude::*;
use bluebell_config::Fault;
use serde::{Deserialize, Serialize};

/// The source from which this node received a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionSource {
    /// The log.
    Log,
    /// A peer.
    Peer,
}

/// A version that came into force on this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSeen {
    /// The version.
    pub version: ConfigVersion,
    /// The source of the version.
    pub source: VersionSource,
    /// The time at which it came into force, on this node's clock.
    pub at_ms: MonoMs,
    /// The size of the version's text.
    pub body_bytes: Bytes,
}

/// A version that this node received and can't bring into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableVersion {
    /// The version.
    pub version: ConfigVersion,
    /// The reason why this program can't decode the text of the version.
    pub fault: Fault,
}

/// A duty held by this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldDump {
    /// The lease.
    pub lease: Lease,
    /// The end of the lease on this node's clock.
    pub until_ms: MonoMs,
}

/// The numbers of skipped records by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SkippedRecords {
    /// Records over the record limit.
    pub too_large: u64,
    /// Records of a kind that is unknown to this version.
    pub unknown_kind: u64,
    /// Records that can't be decoded.
    pub malformed: u64,
}

impl SkippedRecords {
    /// Counts a record that was skipped because of `error`.
    pub fn count(&mut self, error: &DecodeError) {
        match error {
            DecodeError::TooLarge(_) => self.too_large += 1,
            DecodeError::UnknownKind(_) => self.unknown_kind += 1,
            DecodeError::Malformed(_) => self.malformed += 1,
        }
    }

    /// Returns the sums of both counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            too_large: self.too_large + other.too_large,
            unknown_kind: self.unknown_kind + other.unknown_kind,
            malformed: self.malformed + other.malformed,
        }
    }
}

/// The state of control on this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlDump {
    /// The version in force on this node.
    pub in_force: ConfigVersion,
    /// The first faults that this program's check finds in the version in force. Not empty if a
    /// program with another check published it.
    pub faults: Vec<Fault>,
    /// A version newer than the one in force that this program can't decode.
    pub unusable: Option<UnusableVersion>,
    /// The highest version that any peer reported.
    pub seen_at_peers: ConfigVersion,
    /// The current version according to the log; `None` while the state is unknown.
    pub log_version: Option<ConfigVersion>,
    /// The number of updates that wait for a snapshot.
    pub pending_updates: usize,
    /// The number of publications of this node that are not resolved.
    pub unresolved: usize,
    /// The number of snapshots that contradicted the records that this node read. It is 0 unless
    /// the log is broken.
    pub contradictions: u64,
    /// The numbers of skipped records of both streams.
    pub skipped: SkippedRecords,
    /// True if the state of the leases is known.
    pub leases_known: bool,
    /// All leases as read from the log.
    pub leases: Vec<Lease>,
    /// The leases that this node holds.
    pub held: Vec<HeldDump>,
    /// The number of takes of this node whose outcome is not read yet.
    pub taking: usize,
    /// The duties without a holder according to the log.
    pub vacant: Vec<Duty>,
    /// True if either stream can't be read now.
    pub log_down: bool,
}

impl ControlDump {
    /// Returns the dump as indented JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
