//! The replicas that are known, and how far each is to be trusted.
//!
//! Terms:
//! - a *listed* replica has an entry in the directory; a *lapsed* one lost its entry while the
//!   directory was away, and is kept until the directory had time to hear of it again;
//! - a *doubted* replica failed lately and gets no work until its pause is over, then one request
//!   on *trial* at a time until an answer is good.
//!
//! Invariants: a draining or removed replica gets no new work; two replicas never share an address.

mod health;

pub use health::{Health, Symptom};

use bluebell_base::prelude::*;
use rustc_hash::{FxHashMap, FxHasher};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

/// How long after the directory's return a lapsed replica is still used. The users' platform lists
/// those that live within two seconds again.
const RELIST_MS: SpanMs = SpanMs(2_000);

/// A replica's key as all nodes know it: a hash of its instance name.
///
/// Four bytes keep what nodes tell each other short. Among 1,800 replicas two share a key with a
/// chance of 4 in 10,000; both would then count as one load, which is wrong and harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(into = "String")]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// The key of the replica that calls itself `instance`.
    pub fn of(instance: &str) -> Self {
        let mut hasher = FxHasher::default();
        hasher.write(instance.as_bytes());
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

/// A hash of which replicas are listed, and which of them take work. Two nodes with the same one have
/// seen the same replicas come and go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

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
    /// The name of this run of it; a restarted replica has another.
    pub instance: Arc<str>,
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
}

/// What a change did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableEvent {
    /// A replica that wasn't known.
    Found,
    /// A known replica stopped taking work.
    Leaving,
    /// A replica's entry is gone.
    Removed,
    /// A replica's entry is gone while the directory was away.
    Lapsed,
    /// Nothing that matters for work.
    Unchanged,
}

#[derive(Debug)]
struct Row {
    replica: Arc<Replica>,
    health: Health,
    lapsed_at_ms: Option<MonoMs>,
}

/// All known replicas.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    rows: FxHashMap<ReplicaKey, Row>,
    /// When the directory was last found back after it had been away.
    back_at_ms: Option<MonoMs>,
    away: bool,
}

impl ReplicaTable {
    /// The directory can't be read.
    pub fn on_directory_lost(&mut self) {
        self.away = true;
    }

    /// The directory was read; entries that lapsed meanwhile get time to return.
    pub fn on_directory_read(&mut self, now_ms: MonoMs) {
        if self.away {
            self.back_at_ms = Some(now_ms);
        }
        self.away = false;
    }

    /// Whether entries that are missing may still return, since the directory was away.
    pub fn settling(&self, now_ms: MonoMs) -> bool {
        let back = self.back_at_ms;
        self.away || back.is_some_and(|at_ms| now_ms.since(at_ms) < RELIST_MS)
    }

    /// Takes a change in.
    pub fn apply(&mut self, change: ReplicaChange, now_ms: MonoMs) -> TableEvent {
        match change {
            ReplicaChange::Listed(replica) => self.list(replica),
            ReplicaChange::Removed(instance) => self.remove(&instance, now_ms),
        }
    }

    fn list(&mut self, replica: Replica) -> TableEvent {
        let key = ReplicaKey::of(&replica.instance);
        if let Some(row) = self.rows.get_mut(&key) {
            row.lapsed_at_ms = None;
            let was = row.replica.state;
            let is = replica.state;
            if *row.replica != replica {
                row.replica = Arc::new(replica);
            }
            return match was == ReplicaState::Ready && is == ReplicaState::Draining {
                true => TableEvent::Leaving,
                false => TableEvent::Unchanged,
            };
        }
        let address = replica.address;
        self.rows.retain(|_, row| row.replica.address != address);
        let row = Row {
            replica: Arc::new(replica),
            health: Health::default(),
            lapsed_at_ms: None,
        };
        self.rows.insert(key, row);
        TableEvent::Found
    }

    fn remove(&mut self, instance: &str, now_ms: MonoMs) -> TableEvent {
        let key = ReplicaKey::of(instance);
        if self.settling(now_ms) {
            let Some(row) = self.rows.get_mut(&key) else {
                return TableEvent::Unchanged;
            };
            row.lapsed_at_ms.get_or_insert(now_ms);
            return TableEvent::Lapsed;
        }
        match self.rows.remove(&key) {
            Some(_) => TableEvent::Removed,
            None => TableEvent::Unchanged,
        }
    }

    /// Keeps only `listed`, the whole directory as just read; lapses are judged as for
    /// [`ReplicaTable::apply`].
    pub fn retain_listed(&mut self, listed: &[Arc<str>], now_ms: MonoMs) {
        let listed: Vec<ReplicaKey> = listed.iter().map(|i| ReplicaKey::of(i)).collect();
        let gone: Vec<Arc<str>> = self
            .rows
            .iter()
            .filter(|(key, _)| !listed.contains(key))
            .map(|(_, row)| row.replica.instance.clone())
            .collect();
        for instance in gone {
            self.remove(&instance, now_ms);
        }
    }

    /// Drops lapsed replicas that the directory didn't list again; returns those dropped.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<Arc<Replica>> {
        if self.settling(now_ms) {
            return Vec::new();
        }
        let mut dropped = Vec::new();
        self.rows.retain(|_, row| {
            if row.lapsed_at_ms.is_some() {
                dropped.push(row.replica.clone());
            }
            row.lapsed_at_ms.is_none()
        });
        dropped
    }

    /// A replica that answered as another instance is gone from its address.
    pub fn on_stranger(&mut self, key: ReplicaKey) {
        self.rows.remove(&key);
    }

    /// The replica with this key.
    pub fn get(&self, key: ReplicaKey) -> Option<&Arc<Replica>> {
        self.rows.get(&key).map(|row| &row.replica)
    }

    /// The trust in a replica.
    pub fn health(&self, key: ReplicaKey) -> Option<&Health> {
        self.rows.get(&key).map(|row| &row.health)
    }

    /// The trust in a replica, to change it.
    pub fn health_mut(&mut self, key: ReplicaKey) -> Option<&mut Health> {
        self.rows.get_mut(&key).map(|row| &mut row.health)
    }

    /// The replicas of `service` that take work, in the order that all nodes share.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> Vec<(ReplicaKey, &'a Arc<Replica>, &'a Health)> {
        let rows = self.rows.iter().filter(|(_, row)| {
            row.replica.state == ReplicaState::Ready && row.replica.service == *service
        });
        let (lapsed, listed): (Vec<_>, Vec<_>) =
            rows.partition(|(_, row)| row.lapsed_at_ms.is_some());
        // Entries that lapse because the directory was away lapse together. A few that are missing
        // are replicas that left: work sent to them would reach them after their last moment.
        let mut ready = listed;
        if lapsed.len() > ready.len() {
            ready.extend(lapsed);
        }
        ready.sort_unstable_by_key(|(key, _)| **key);
        let seen = ready.into_iter();
        seen.map(|(key, row)| (*key, &row.replica, &row.health))
            .collect()
    }

    /// How the table looks; lapsed replicas count as gone.
    pub fn fingerprint(&self) -> Fingerprint {
        let listed = self
            .rows
            .iter()
            .filter(|(_, row)| row.lapsed_at_ms.is_none());
        let hashes = listed.map(|(key, row)| {
            let mut hasher = FxHasher::default();
            hasher.write_u32(key.0);
            hasher.write_u8(u8::from(row.replica.state == ReplicaState::Ready));
            hasher.finish()
        });
        Fingerprint(hashes.fold(0, u64::wrapping_add))
    }

    /// How many replicas are known.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
