//! One replica as the directory lists it: its name, its start and the key of both.
//!
//! Invariants: a key stands for one start of one instance; a later start has another.

use bluebell_base::prelude::*;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

/// When a run of a replica began, in Unix ms by its own clock. It only orders the starts of one
/// instance and is never compared with a node's clock, which may jump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaStart(pub u64);

impl ReplicaStart {
    /// The replica doesn't say; any start that is told is later.
    pub const UNKNOWN: Self = Self(0);
}

/// A replica's key as all nodes know it: a hash of its instance name and its start.
///
/// Four bytes keep what nodes tell each other short. Among 1,800 replicas two share a key with a
/// chance of 4 in 10,000; both would then count as one load, which is wrong and harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(into = "String")]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// The key of the replica that calls itself `instance` and began at `started`.
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

/// Whether a replica takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// A replica as the directory lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Its name, which may outlast a restart.
    pub instance: Arc<str>,
    /// When this run of it began.
    pub started: ReplicaStart,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ReplicaState,
}

/// A change in the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaChange {
    /// The replica is listed so.
    Listed(Replica),
    /// The entry of this instance is gone.
    Removed(Arc<str>),
    /// The directory came back from an older copy that lacks the entry of this instance.
    Missing(Arc<str>),
    /// The entry of this instance can't be read.
    Unreadable {
        /// The instance.
        instance: Arc<str>,
        /// What is wrong with the entry.
        why: Arc<str>,
    },
}

impl Replica {
    /// Its key.
    pub fn key(&self) -> ReplicaKey {
        ReplicaKey::of(&self.instance, self.started)
    }
}
