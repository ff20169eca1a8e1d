//! The state of control as it is dumped for operators.

use crate::records::DecodeError;
use crate::{Duty, Lease};
use bluebell_base::prelude::*;
use bluebell_config::Fault;
use serde::{Deserialize, Serialize};

/// From where a version came into force on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionSource {
    /// Read from the log.
    Log,
    /// Told by a peer.
    Peer,
}

/// A version that came into force on this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSeen {
    /// The version.
    pub version: ConfigVersion,
    /// Where it came from.
    pub source: VersionSource,
    /// When, on this node's clock.
    pub at_ms: MonoMs,
    /// The size of its text.
    pub body_bytes: Bytes,
}

/// A version that this node knows of and can't bring into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableVersion {
    /// The version.
    pub version: ConfigVersion,
    /// Why its text is no configuration to this program.
    pub fault: Fault,
}

/// A duty held by this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldDump {
    /// The lease.
    pub lease: Lease,
    /// When it ends on this node's clock.
    pub until_ms: MonoMs,
}

/// Records that were skipped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SkippedRecords {
    /// Over the record limit.
    pub too_large: u64,
    /// Of a kind that this version does not know.
    pub unknown_kind: u64,
    /// Not readable at all.
    pub malformed: u64,
}

impl SkippedRecords {
    /// Counts one.
    pub fn count(&mut self, error: &DecodeError) {
        match error {
            DecodeError::TooLarge(_) => self.too_large += 1,
            DecodeError::UnknownKind(_) => self.unknown_kind += 1,
            DecodeError::Malformed(_) => self.malformed += 1,
        }
    }

    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            too_large: self.too_large + other.too_large,
            unknown_kind: self.unknown_kind + other.unknown_kind,
            malformed: self.malformed + other.malformed,
        }
    }
}

/// What control knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlDump {
    /// The version in force here.
    pub in_force: ConfigVersion,
    /// What the check of this program has against the version in force; the first of them. Not
    /// empty where it was published through a program with another check.
    pub faults: Vec<Fault>,
    /// A version newer than the one in force that this program can't decode.
    pub unusable: Option<UnusableVersion>,
    /// The highest version that a peer said it holds.
    pub seen_at_peers: ConfigVersion,
    /// The version that the log gives; none while it is not known.
    pub log_version: Option<ConfigVersion>,
    /// Updates that wait for a snapshot.
    pub pending_updates: usize,
    /// Publications of this node that are not resolved.
    pub unresolved: usize,
    /// Snapshots that contradicted what this node read; always 0 unless the log is broken.
    pub contradictions: u64,
    /// Records that were skipped.
    pub skipped: SkippedRecords,
    /// Whether the leases are known.
    pub leases_known: bool,
    /// All leases as read.
    pub leases: Vec<Lease>,
    /// Duties of this node.
    pub held: Vec<HeldDump>,
    /// Takes of this node whose fate is not read.
    pub taking: usize,
    /// Duties that nobody holds by the log.
    pub vacant: Vec<Duty>,
    /// Whether either stream can't be read now.
    pub log_down: bool,
}

impl ControlDump {
    /// The dump as indented JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
