//! The table of all known replicas, changed by the directory's updates.
//!
//! Invariants: see [`super`]; a change that was taken in before changes nothing.

use super::{Health, Replica, ReplicaChange, ReplicaKey, ReplicaStart, ReplicaState};
use crate::leaving::LeavingReplicas;
use bluebell_base::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use serde::{Deserialize, Serialize};
use std::hash::Hasher;
use std::net::SocketAddr;

/// How long after the directory's return a lapsed replica is still used. The users' platform lists
/// those that live within two seconds again.
const RELIST_MS: SpanMs = SpanMs(2_000);

/// How long a removed replica's start is remembered: an entry that was read before the removal
/// travels between nodes for less.
const REMOVED_REMEMBERED_MS: SpanMs = SpanMs(30_000);

/// A hash of which replicas are listed, and which of them take work. Two nodes with the same one have
/// seen the same replicas come and go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// What a change did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableEvent {
    /// A replica that wasn't known.
    Found,
    /// A known replica has started again; what the earlier start had in hand is lost.
    Restarted,
    /// An entry that names no replica to use, seen for the first time.
    Unusable,
    /// A known replica stopped taking work.
    Leaving,
    /// A replica's entry is gone.
    Removed,
    /// A replica's entry is gone while the directory was away.
    Lapsed,
    /// A lapsed entry is listed again.
    Relisted,
    /// Nothing that matters for work.
    Unchanged,
}

#[derive(Debug)]
struct Row {
    replica: Arc<Replica>,
    health: Health,
    lapsed_at_ms: Option<MonoMs>,
    /// Whether it is used although its entry has lapsed: an older copy of the directory doesn't know it.
    kept: bool,
}

/// All known replicas.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    /// The replicas whose answers said that they leave.
    pub leaving_replicas: LeavingReplicas,
    rows: FxHashMap<ReplicaKey, Row>,
    /// The key of each known instance's latest start.
    keys: FxHashMap<Arc<str>, ReplicaKey>,
    /// The starts of instances that were removed lately, and when.
    removed: FxHashMap<Arc<str>, (ReplicaStart, MonoMs)>,
    /// The instances whose last entry was found unusable, so that each is told of once.
    unusable: FxHashSet<Arc<str>>,
    /// The services of the configuration; none before the first.
    services: Option<FxHashSet<ServiceName>>,
    /// When the directory was last found back after it had been away.
    back_at_ms: Option<MonoMs>,
    /// When it was found to have come back from an older copy.
    renewed_at_ms: Option<MonoMs>,
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

    /// The directory came back from an older copy: replicas that began since are missing until they
    /// write again, and some that left are listed.
    pub fn on_directory_renewed(&mut self, now_ms: MonoMs) {
        self.back_at_ms = Some(now_ms);
        self.renewed_at_ms = Some(now_ms);
    }

    /// Whether entries that the older copy lacks may still return.
    pub fn awaits_rewrites(&self, now_ms: MonoMs) -> bool {
        let renewed = self.renewed_at_ms;
        renewed.is_some_and(|at_ms| now_ms.since(at_ms) < RELIST_MS)
    }

    /// Whether an entry of an older copy says less than is known: its replica has left since, or is
    /// leaving. If it lives all the same it writes again.
    pub fn is_outdated(&self, change: &ReplicaChange) -> bool {
        let ReplicaChange::Listed(replica) = change else {
            return false;
        };
        let removed = self.removed.get(&replica.instance);
        let left = removed.is_some_and(|(started, _)| replica.started <= *started);
        let row = self.rows.get(&replica.key());
        let leaves = row.is_some_and(|row| row.replica.state == ReplicaState::Draining);
        left || (leaves && replica.state == ReplicaState::Ready)
    }

    /// Whether entries that are missing may still return, since the directory was away.
    pub fn awaits_relisting(&self, now_ms: MonoMs) -> bool {
        let back = self.back_at_ms;
        self.away || back.is_some_and(|at_ms| now_ms.since(at_ms) < RELIST_MS)
    }

    /// The services that the configuration in force names. Entries of others are kept, since a later
    /// configuration may name them, but take no place from a replica that is in use.
    pub fn set_services(&mut self, services: impl Iterator<Item = ServiceName>) {
        self.services = Some(services.collect());
    }

    fn is_configured(&self, service: &ServiceName) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Takes a change in.
    pub fn apply(&mut self, change: ReplicaChange, now_ms: MonoMs) -> TableEvent {
        match change {
            ReplicaChange::Listed(replica) => self.list(replica),
            ReplicaChange::Removed(instance) => self.remove(&instance, now_ms),
            ReplicaChange::Missing(instance) => self.keep_missing(&instance, now_ms),
            ReplicaChange::Unreadable { instance, .. } => self.note_unusable(instance),
        }
    }

    /// An entry that names no replica to use says nothing of one that an earlier entry of the same
    /// instance named: that one is used until its own next entry, its removal or its answers say
    /// otherwise. Taken for a removal, a writer that spoils entries would take the fleet out.
    fn note_unusable(&mut self, instance: Arc<str>) -> TableEvent {
        match self.unusable.insert(instance) {
            true => TableEvent::Unusable,
            false => TableEvent::Unchanged,
        }
    }

    fn list(&mut self, replica: Replica) -> TableEvent {
        let known = self.keys.get(&replica.instance).copied();
        let row = known.and_then(|key| self.rows.get(&key));
        if let Some(row) = row {
            let usurps =
                !self.is_configured(&replica.service) && self.is_configured(&row.replica.service);
            if usurps {
                return self.note_unusable(replica.instance);
            }
        }
        let removed = self.removed.get(&replica.instance);
        let latest = row
            .map(|row| row.replica.started)
            .max(removed.map(|(started, _)| *started));
        if latest.is_some_and(|latest| replica.started < latest) {
            return TableEvent::Unchanged;
        }
        self.unusable.remove(&replica.instance);
        let key = replica.key();
        match known {
            Some(known) if known == key => self.update(key, replica),
            Some(known) => {
                self.rows.remove(&known);
                self.insert(key, replica);
                TableEvent::Restarted
            }
            None => {
                self.insert(key, replica);
                TableEvent::Found
            }
        }
    }

    fn update(&mut self, key: ReplicaKey, replica: Replica) -> TableEvent {
        let Some(row) = self.rows.get_mut(&key) else {
            return TableEvent::Unchanged;
        };
        let relisted = row.lapsed_at_ms.take().is_some();
        row.kept = false;
        let was = row.replica.state;
        let is = replica.state;
        if *row.replica != replica {
            row.replica = Arc::new(replica);
        }
        match was == ReplicaState::Ready && is == ReplicaState::Draining {
            true => TableEvent::Leaving,
            false if relisted => TableEvent::Relisted,
            false => TableEvent::Unchanged,
        }
    }

    fn insert(&mut self, key: ReplicaKey, replica: Replica) {
        if self.is_configured(&replica.service) {
            self.free_address(replica.address);
        }
        self.removed.remove(&replica.instance);
        self.keys.insert(replica.instance.clone(), key);
        let row = Row {
            replica: Arc::new(replica),
            health: Health::default(),
            lapsed_at_ms: None,
            kept: false,
        };
        self.rows.insert(key, row);
    }

    /// Drops who was known at an address that another replica has now.
    fn free_address(&mut self, address: SocketAddr) {
        let there = self.rows.iter();
        let there = there.filter(|(_, row)| row.replica.address == address);
        let there: Vec<ReplicaKey> = there.map(|(key, _)| *key).collect();
        for key in there {
            self.drop_row(key);
        }
    }

    fn drop_row(&mut self, key: ReplicaKey) -> Option<Row> {
        let row = self.rows.remove(&key)?;
        self.keys.remove(&row.replica.instance);
        Some(row)
    }

    fn remove(&mut self, instance: &str, now_ms: MonoMs) -> TableEvent {
        self.unusable.remove(instance);
        let Some(key) = self.keys.get(instance).copied() else {
            return TableEvent::Unchanged;
        };
        if self.awaits_relisting(now_ms) {
            let Some(row) = self.rows.get_mut(&key) else {
                return TableEvent::Unchanged;
            };
            row.lapsed_at_ms.get_or_insert(now_ms);
            row.kept = false;
            return TableEvent::Lapsed;
        }
        match self.drop_row(key) {
            Some(row) => {
                let replica = &row.replica;
                let start = (replica.started, now_ms);
                self.removed.insert(replica.instance.clone(), start);
                TableEvent::Removed
            }
            None => TableEvent::Unchanged,
        }
    }

    /// An older copy of the directory lacks the entry: its replica may have begun since, and is used until
    /// it had time to write again.
    fn keep_missing(&mut self, instance: &str, now_ms: MonoMs) -> TableEvent {
        let seen = self.remove(instance, now_ms);
        let key = self.keys.get(instance);
        if let Some(row) = key.and_then(|key| self.rows.get_mut(key)) {
            row.kept = seen == TableEvent::Lapsed;
        }
        seen
    }

    /// Keeps only `listed`, the whole directory as just read; lapses are judged as for
    /// [`ReplicaTable::apply`].
    pub fn retain_listed(&mut self, listed: &[Arc<str>], now_ms: MonoMs) {
        for instance in self.missing_from(listed) {
            self.remove(&instance, now_ms);
        }
    }

    /// The known instances that `listed` lacks.
    pub fn missing_from(&self, listed: &[Arc<str>]) -> Vec<Arc<str>> {
        let listed: FxHashSet<&Arc<str>> = listed.iter().collect();
        let known = self.keys.keys();
        known.filter(|i| !listed.contains(i)).cloned().collect()
    }

    /// Drops lapsed replicas that the directory didn't list again; returns those dropped.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<Arc<Replica>> {
        self.removed
            .retain(|_, (_, at_ms)| now_ms.since(*at_ms) < REMOVED_REMEMBERED_MS);
        let rows = &self.rows;
        self.leaving_replicas
            .expire(|key| rows.contains_key(&key), now_ms);
        if self.awaits_relisting(now_ms) {
            return Vec::new();
        }
        let lapsed = self.rows.iter();
        let lapsed = lapsed.filter(|(_, row)| row.lapsed_at_ms.is_some());
        let lapsed: Vec<ReplicaKey> = lapsed.map(|(key, _)| *key).collect();
        let dropped = lapsed.into_iter().filter_map(|key| self.drop_row(key));
        dropped.map(|row| row.replica).collect()
    }

    /// A replica that answered as another instance is gone from its address.
    pub fn on_instance_mismatch(&mut self, key: ReplicaKey) {
        self.drop_row(key);
    }

    /// Whether a later start of this replica is known.
    pub fn has_restarted(&self, replica: &Replica) -> bool {
        let known = self.keys.get(&replica.instance);
        known.is_some_and(|key| *key != replica.key())
    }

    /// Whether another instance is known at this replica's address, which was given to it after this
    /// one had ended.
    pub fn is_address_reused(&self, replica: &Replica) -> bool {
        let known = self.rows.values().map(|row| &row.replica);
        let mut there = known.filter(|known| known.address == replica.address);
        there.any(|known| known.instance != replica.instance)
    }

    /// The replica of a configured service at `address`.
    pub fn at(&self, address: SocketAddr) -> Option<ReplicaKey> {
        let mut rows = self.rows.iter();
        let found = rows.find(|(_, row)| {
            row.replica.address == address && self.is_configured(&row.replica.service)
        });
        found.map(|(key, _)| *key)
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

    /// Whether a replica takes work, by its entry and by its answers.
    pub fn takes_work(&self, replica: &Replica) -> bool {
        replica.state == ReplicaState::Ready && !self.leaving_replicas.contains(replica.key())
    }

    /// The replicas of `service` that take work, in the order that all nodes share.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> Vec<(ReplicaKey, &'a Arc<Replica>, &'a Health)> {
        let rows = self
            .rows
            .iter()
            .filter(|(_, row)| row.replica.service == *service && self.takes_work(&row.replica));
        let (lapsed, listed): (Vec<_>, Vec<_>) =
            rows.partition(|(_, row)| row.lapsed_at_ms.is_some() && !row.kept);
        // Entries that lapse because the directory was away lapse together. A few that are missing
        // are replicas that left: work sent to them would reach them after their last moment.
        let mut ready = listed;
        if lapsed.len() > ready.len() {
            ready.extend(lapsed);
        }
        // Where replicas tell their starts, an entry without one wasn't written by a replica.
        let untold = |row: &Row| row.replica.started == ReplicaStart::UNKNOWN;
        let strangers = ready.iter().filter(|(_, row)| untold(row)).count();
        if strangers * 2 < ready.len() {
            ready.retain(|(_, row)| !untold(row));
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
