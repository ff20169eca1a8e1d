//! One replica as the directory lists it: its instance name, its start and the key of both.
//!
//! Invariants: a key stands for one start of one instance; a later start has another key.

use crate::directory::Cursor;
use bluebell_base::prelude::*;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

/// The start of a run of a replica, in Unix ms by the replica's own clock. It tells the starts of one
/// instance apart, and orders them only where the directory's history doesn't. It is never compared with a
/// node's clock, which may jump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaStart(pub u64);

impl ReplicaStart {
    /// The start of a replica that doesn't report one. Any reported start is later.
    pub const UNKNOWN: Self = Self(0);
}

/// A replica's key, the same on all nodes: a hash of its instance name and its start.
///
/// Four bytes keep gossip short. Among 1,800 replicas two share a key with a probability of 4 in
/// 10,000; both would then count as one load, which is wrong and harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(into = "String")]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// Returns the key of the replica `instance` that started at `started`.
    pub fn of(instance: &str, started: ReplicaStart) -> Self {
        let mut hasher = FxHasher::default();
        hasher.write(instance.as_bytes());
        hasher.write_u64(started.0);
        let hash = hasher.finish();
        Self((hash >> 32) as u32 ^ hash as u32)
    }
}

impl From<ReplicaKey> for String {
    fn from(key: ReplicaKey) -> Self {
        key.to_string()
    }
}

impl fmt::Display for ReplicaKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rep{:08x}", self.0)
    }
}

/// The state that a replica's entry in the directory reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// The replica accepts work.
    Ready,
    /// The replica finishes the work that it has and leaves.
    Draining,
}

/// A replica as the directory lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// The instance name, which may outlast a restart.
    pub instance: Arc<str>,
    /// The start of this run.
    pub started: ReplicaStart,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// The state: ready for work, or draining.
    pub state: ReplicaState,
    /// The time for which it stays cold after its entry was read.
    pub cold_ms: SpanMs,
}

/// A change of an entry in the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaChange {
    /// The replica is listed with these properties.
    Listed(Replica),
    /// The entry of this instance is gone.
    Removed(Arc<str>),
    /// The directory came back from an older copy that lacks the entry of this instance.
    Missing(Arc<str>),
    /// The entry of this instance can't be read.
    Unreadable {
        /// The instance name.
        instance: Arc<str>,
        /// The fault in the entry.
        why: Arc<str>,
    },
}

/// The position of a change in the directory's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangePosition {
    /// The position of the entry itself, which orders the replicas that have had one address.
    pub written_at: Cursor,
    /// The position up to which the change is known to be the newest of its instance.
    pub known_at: Cursor,
}

impl ChangePosition {
    /// The position of a change of which nothing is known. Any other position is later.
    pub const UNKNOWN: Self = Self {
        written_at: Cursor::at(0),
        known_at: Cursor::at(0),
    };

    /// Returns the position of a change that was read from the history at `written_at`.
    pub fn in_history(written_at: Cursor) -> Self {
        let offset = written_at.offset + 1;
        Self {
            written_at,
            known_at: Cursor {
                offset,
                ..written_at
            },
        }
    }

    /// Returns this position, or if nothing is known of it one that is as late as `known_at`.
    pub(super) fn or_known_at(self, known_at: Cursor) -> Self {
        match self == Self::UNKNOWN {
            true => Self { known_at, ..self },
            false => self,
        }
    }

    /// Returns the position of an entry that was written at `written_at`, in a list of the newest entries up
    /// to `end`.
    pub fn in_list(written_at: Cursor, end: Cursor) -> Self {
        Self {
            written_at,
            known_at: end,
        }
    }
}

/// A change of an entry, with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct PositionedChange {
    /// The offset of the entry, in the era of what it was read with; 0 if it isn't known.
    pub offset: u64,
    /// The change.
    pub change: ReplicaChange,
}

impl Replica {
    /// Returns the replica's key.
    pub fn key(&self) -> ReplicaKey {
        ReplicaKey::of(&self.instance, self.started)
    }
}
