//! The table of all known replicas, which follows the directory's updates.
//!
//! Load pattern: entries arrive from the directory's history, from lists of all entries, and from peers, so
//! the same change is seen several times and in different orders. A list names its entries by key and not
//! in the order in which they were written, and for some seconds it has both the entry of a replica that
//! died and that of the replica which has its address now.
//!
//! Reason for the limits: the directory's history decides what is later, for the entries of one instance
//! and for the replicas at one address. Starts are stated by the replicas' own clocks, which disagree.
//!
//! Invariants: see [`super`]; a change that was already applied changes nothing; the order in which
//! positioned changes and lists are applied doesn't affect the table.

use super::addresses::{Addresses, Claim};
use super::{
    ChangePosition, Health, Replica, ReplicaChange, ReplicaKey, ReplicaStart, ReplicaState,
};
use crate::cold::ColdReplicas;
use crate::directory::Cursor;
use crate::evacuation::Evacuations;
use crate::leaving::LeavingReplicas;
use bluebell_base::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use serde::{Deserialize, Serialize};
use std::hash::Hasher;
use std::net::SocketAddr;

/// The time for which a lapsed replica is still used after the directory's return. The users' platform
/// lists live replicas again within two seconds.
const RELIST_WINDOW_MS: SpanMs = SpanMs(2_000);

/// The time for which the start of a removed replica is remembered. An entry that was read before the
/// removal takes less time to travel between nodes.
const REMOVED_RETENTION_MS: SpanMs = SpanMs(30_000);

/// A hash over the listed replicas and their states. Two nodes with equal fingerprints know of the same
/// replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// The effect of a directory change on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableEvent {
    /// An unknown replica was listed.
    Found,
    /// A known replica has started again; the work in flight of its earlier start is lost.
    Restarted,
    /// An entry that names no usable replica was seen for the first time.
    Unusable,
    /// A known replica stopped accepting work.
    Leaving,
    /// A replica's entry is gone.
    Removed,
    /// A replica's entry is gone while the directory was away.
    Lapsed,
    /// A lapsed entry is listed again.
    Relisted,
    /// Properties of a replica other than its state changed.
    Updated,
    /// Nothing changed that matters for work.
    Unchanged,
}

/// What was last known of an instance, by which a change that was read later but is older is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LastKnown {
    known_at: Cursor,
    /// Decides only between changes whose positions aren't known.
    started: ReplicaStart,
}

#[derive(Debug)]
struct Row {
    replica: Arc<Replica>,
    health: Health,
    /// The position up to which the entry or its lapse is known to be the instance's newest change.
    known_at: Cursor,
    lapsed: bool,
    /// True if the replica is used although its entry has lapsed: an older copy of the directory lacks it.
    kept: bool,
}

impl Row {
    fn last_known(&self) -> LastKnown {
        LastKnown {
            known_at: self.known_at,
            started: self.replica.started,
        }
    }
}

/// A removed entry.
#[derive(Clone, Copy, Debug)]
struct Removal {
    last_known: LastKnown,
    removed_ms: MonoMs,
}

/// All known replicas with their health, kept up to date by the directory's changes.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    /// The replicas whose answers reported that they leave.
    pub leaving_replicas: LeavingReplicas,
    /// The replicas that are cold.
    pub cold_replicas: ColdReplicas,
    /// The failure domains whose replicas get no new work.
    pub evacuations: Evacuations,
    /// The replicas with an entry. A displaced one isn't used, but comes back if the replica that has its
    /// address is removed: its entry isn't written again.
    rows: FxHashMap<ReplicaKey, Row>,
    addresses: Addresses,
    /// The key of each known instance's latest start.
    keys: FxHashMap<Arc<str>, ReplicaKey>,
    /// The recently removed instances.
    removed: FxHashMap<Arc<str>, Removal>,
    /// The instances whose last entry was found unusable, so that each is reported once.
    unusable: FxHashSet<Arc<str>>,
    /// The services of the configuration, or `None` before the first configuration.
    services: Option<FxHashSet<ServiceName>>,
    /// The time at which the directory was last readable again after it had been away.
    directory_back_ms: Option<MonoMs>,
    /// The time at which the directory was last found to have come back from an older copy.
    renewed_at_ms: Option<MonoMs>,
    directory_away: bool,
}

impl ReplicaTable {
    /// Records that the directory can't be read.
    pub fn on_directory_lost(&mut self) {
        self.directory_away = true;
    }

    /// Records that the directory was read. Entries that lapsed meanwhile get time to return.
    pub fn on_directory_read(&mut self, now_ms: MonoMs) {
        if self.directory_away {
            self.directory_back_ms = Some(now_ms);
        }
        self.directory_away = false;
    }

    /// Records that the directory came back from an older copy. Replicas that started after the copy was
    /// made are missing until they write their entries again, and some that left are listed.
    pub fn on_directory_renewed(&mut self, now_ms: MonoMs) {
        self.directory_back_ms = Some(now_ms);
        self.renewed_at_ms = Some(now_ms);
    }

    /// Returns true while entries that the older copy lacks may still return.
    pub fn awaits_rewrites(&self, now_ms: MonoMs) -> bool {
        let renewed = self.renewed_at_ms;
        renewed.is_some_and(|at_ms| now_ms.since(at_ms) < RELIST_WINDOW_MS)
    }

    /// Returns true if an entry of an older copy is out of date: its replica has left since then, or is
    /// leaving. If the replica lives nevertheless, it writes its entry again.
    pub fn is_outdated(&self, change: &ReplicaChange) -> bool {
        let ReplicaChange::Listed(replica) = change else {
            return false;
        };
        let removed = self.removed.get(&replica.instance);
        let left = removed.is_some_and(|removal| replica.started <= removal.last_known.started);
        let row = self.row_of(&replica.instance);
        let restarted = row.is_some_and(|row| replica.started < row.replica.started);
        let row = row.filter(|row| row.replica.key() == replica.key());
        let leaves = row.is_some_and(|row| row.replica.state == ReplicaState::Draining);
        left || restarted || (leaves && replica.state == ReplicaState::Ready)
    }

    /// Returns the row of an instance's latest start.
    fn row_of(&self, instance: &str) -> Option<&Row> {
        self.keys.get(instance).and_then(|key| self.rows.get(key))
    }

    /// Returns true while missing entries may still return because the directory was away.
    pub fn awaits_relisting(&self, now_ms: MonoMs) -> bool {
        let back = self.directory_back_ms;
        self.directory_away || back.is_some_and(|at_ms| now_ms.since(at_ms) < RELIST_WINDOW_MS)
    }

    /// Returns the time for which missing entries may still return; 0 if none may.
    pub fn relist_left_ms(&self, now_ms: MonoMs) -> SpanMs {
        let back_ms = match self.directory_away {
            true => now_ms,
            false => self.directory_back_ms.unwrap_or_default(),
        };
        let past_ms = now_ms.since(back_ms);
        match self.awaits_relisting(now_ms) {
            true => SpanMs(RELIST_WINDOW_MS.0.saturating_sub(past_ms.0)),
            false => SpanMs::ZERO,
        }
    }

    /// Records that a peer, which saw the directory come back, lets missing entries return for this time.
    pub fn await_relisting(&mut self, left_ms: SpanMs, now_ms: MonoMs) {
        if left_ms == SpanMs::ZERO {
            return;
        }
        let past_ms = SpanMs(RELIST_WINDOW_MS.0.saturating_sub(left_ms.0));
        let back_ms = Some(now_ms - past_ms);
        self.directory_back_ms = self.directory_back_ms.max(back_ms);
    }

    /// Returns the replicas that are listed in the directory, displaced ones included, without those whose entry
    /// has lapsed.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<Replica>> {
        let rows = self.rows.values();
        let listed = rows.filter(|row| !row.lapsed);
        listed.map(|row| &row.replica)
    }

    /// Returns the position at which a replica's entry was written, or the start of the history if that isn't
    /// known.
    pub fn written_at(&self, replica: &Replica) -> Cursor {
        let claim = self.addresses.claim(replica.address, replica.key());
        claim.map_or(ChangePosition::UNKNOWN.written_at, |claim| claim.written_at)
    }

    /// Sets the services that the configuration in force names. Entries of other services are kept, since a
    /// later configuration may name them, but they displace no replica that is in use.
    pub fn set_services(&mut self, services: impl Iterator<Item = ServiceName>) {
        let services: FxHashSet<ServiceName> = services.collect();
        let rows = &self.rows;
        self.addresses.set_configured(|key| {
            let row = rows.get(&key);
            row.is_some_and(|row| services.contains(&row.replica.service))
        });
        self.services = Some(services);
    }

    fn is_configured(&self, service: &ServiceName) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Applies a change whose position in the directory's history isn't known. It counts as later than what is
    /// known of its instance, unless it names an earlier start.
    pub fn apply(&mut self, change: ReplicaChange, now_ms: MonoMs) -> TableEvent {
        self.apply_at(change, ChangePosition::UNKNOWN, now_ms)
    }

    /// Applies a change of the directory. One that is older than what is known of its instance changes
    /// nothing.
    pub fn apply_at(
        &mut self,
        change: ReplicaChange,
        position: ChangePosition,
        now_ms: MonoMs,
    ) -> TableEvent {
        match change {
            ReplicaChange::Listed(replica) => {
                self.cold_replicas
                    .on_report(replica.key(), replica.cold_ms, now_ms);
                self.list(replica, position)
            }
            ReplicaChange::Removed(instance) => self.remove(&instance, position, now_ms),
            ReplicaChange::Missing(instance) => self.keep_missing(&instance, now_ms),
            ReplicaChange::Unreadable { instance, .. } => self.note_unusable(instance),
        }
    }

    /// Records an entry that names no usable replica. It doesn't affect a replica that an earlier entry of
    /// the same instance named: that one is used until its own next entry, its removal or its answers say
    /// otherwise. If it counted as a removal, a writer that corrupts entries would take the fleet out.
    fn note_unusable(&mut self, instance: Arc<str>) -> TableEvent {
        match self.unusable.insert(instance) {
            true => TableEvent::Unusable,
            false => TableEvent::Unchanged,
        }
    }

    fn list(&mut self, replica: Replica, position: ChangePosition) -> TableEvent {
        let known = self.keys.get(&replica.instance).copied();
        let row = known.and_then(|key| self.rows.get(&key));
        if let Some(row) = row {
            let displaces =
                !self.is_configured(&replica.service) && self.is_configured(&row.replica.service);
            if displaces {
                return self.note_unusable(replica.instance);
            }
        }
        let removed = self.removed.get(&replica.instance);
        let latest = row
            .map(Row::last_known)
            .max(removed.map(|removal| removal.last_known));
        let latest_at = latest.map(|latest| latest.known_at);
        let position = position.or_known_at(latest_at.unwrap_or(position.known_at));
        let own = LastKnown {
            known_at: position.known_at,
            started: replica.started,
        };
        if latest.is_some_and(|latest| own < latest) {
            return TableEvent::Unchanged;
        }
        self.unusable.remove(&replica.instance);
        let key = replica.key();
        match known {
            Some(known) if known == key => self.update(key, replica, position),
            Some(known) => {
                self.remove_row(known);
                self.insert(key, replica, position);
                TableEvent::Restarted
            }
            None => {
                self.insert(key, replica, position);
                TableEvent::Found
            }
        }
    }

    fn update(
        &mut self,
        key: ReplicaKey,
        replica: Replica,
        position: ChangePosition,
    ) -> TableEvent {
        let configured = self.is_configured(&replica.service);
        let Some(row) = self.rows.get_mut(&key) else {
            return TableEvent::Unchanged;
        };
        let relisted = std::mem::take(&mut row.lapsed);
        row.kept = false;
        row.known_at = position.known_at;
        let was = row.replica.state;
        let is = replica.state;
        let changed = *row.replica != replica;
        if row.replica.address != replica.address {
            self.addresses.release(row.replica.address, key);
        }
        self.addresses.claim_at(
            replica.address,
            Claim {
                key,
                written_at: position.written_at,
                configured,
            },
        );
        if changed {
            row.replica = Arc::new(replica);
        }
        match was == ReplicaState::Ready && is == ReplicaState::Draining {
            true => TableEvent::Leaving,
            false if relisted => TableEvent::Relisted,
            false if changed => TableEvent::Updated,
            false => TableEvent::Unchanged,
        }
    }

    fn insert(&mut self, key: ReplicaKey, replica: Replica, position: ChangePosition) {
        let claim = Claim {
            key,
            written_at: position.written_at,
            configured: self.is_configured(&replica.service),
        };
        self.addresses.claim_at(replica.address, claim);
        self.removed.remove(&replica.instance);
        self.keys.insert(replica.instance.clone(), key);
        let row = Row {
            replica: Arc::new(replica),
            health: Health::default(),
            known_at: position.known_at,
            lapsed: false,
            kept: false,
        };
        self.rows.insert(key, row);
    }

    fn remove_row(&mut self, key: ReplicaKey) -> Option<Row> {
        let row = self.rows.remove(&key)?;
        self.addresses.release(row.replica.address, key);
        self.keys.remove(&row.replica.instance);
        Some(row)
    }

    fn remove(&mut self, instance: &str, position: ChangePosition, now_ms: MonoMs) -> TableEvent {
        let key = self.keys.get(instance).copied();
        let Some((key, row)) = key.and_then(|key| Some((key, self.rows.get_mut(&key)?))) else {
            self.unusable.remove(instance);
            self.record_removal(instance, position.known_at, ReplicaStart::UNKNOWN, now_ms);
            return TableEvent::Unchanged;
        };
        let known_at = position.or_known_at(row.known_at).known_at;
        if known_at < row.known_at {
            return TableEvent::Unchanged;
        }
        row.known_at = known_at;
        self.unusable.remove(instance);
        if self.awaits_relisting(now_ms) {
            let Some(row) = self.rows.get_mut(&key) else {
                return TableEvent::Unchanged;
            };
            row.lapsed = true;
            row.kept = false;
            return TableEvent::Lapsed;
        }
        match self.remove_row(key) {
            Some(row) => {
                self.record_removal(instance, known_at, row.replica.started, now_ms);
                TableEvent::Removed
            }
            None => TableEvent::Unchanged,
        }
    }

    /// Remembers a removal, so that an entry from before it which arrives late changes nothing.
    fn record_removal(
        &mut self,
        instance: &str,
        known_at: Cursor,
        started: ReplicaStart,
        removed_ms: MonoMs,
    ) {
        let last_known = LastKnown { known_at, started };
        let earlier = self.removed.get(instance);
        let last_known = earlier.map_or(last_known, |earlier| earlier.last_known.max(last_known));
        let removal = Removal {
            last_known,
            removed_ms,
        };
        self.removed.insert(instance.into(), removal);
    }

    /// Records that an older copy of the directory lacks the entry. Its replica may have begun after the
    /// copy was made, so it is used until it had time to write its entry again.
    fn keep_missing(&mut self, instance: &str, now_ms: MonoMs) -> TableEvent {
        let seen = self.remove(instance, ChangePosition::UNKNOWN, now_ms);
        let key = self.keys.get(instance);
        if let Some(row) = key.and_then(|key| self.rows.get_mut(key)) {
            row.kept = seen == TableEvent::Lapsed;
        }
        seen
    }

    /// Removes all replicas but `listed`, the whole directory as it was read up to `end`. A missing entry
    /// lapses or is removed as in [`ReplicaTable::apply_at`].
    pub fn retain_listed(&mut self, listed: &[Arc<str>], end: Cursor, now_ms: MonoMs) {
        for instance in self.missing_from(listed, end) {
            self.remove(&instance, ChangePosition::in_list(end, end), now_ms);
        }
    }

    /// Returns the known instances that `listed` lacks, the whole directory as it was read up to `end`. An
    /// instance whose entry is known to be later isn't missing.
    pub fn missing_from(&self, listed: &[Arc<str>], end: Cursor) -> Vec<Arc<str>> {
        let listed: FxHashSet<&Arc<str>> = listed.iter().collect();
        let known = self.rows.values().filter(|row| row.known_at <= end);
        let known = known.map(|row| &row.replica.instance);
        known.filter(|i| !listed.contains(i)).cloned().collect()
    }

    /// Removes lapsed replicas that the directory didn't list again. Returns the removed ones.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<Arc<Replica>> {
        self.removed
            .retain(|_, removal| now_ms.since(removal.removed_ms) < REMOVED_RETENTION_MS);
        self.cold_replicas.expire(now_ms);
        let rows = &self.rows;
        self.leaving_replicas
            .expire(|key| rows.contains_key(&key), now_ms);
        if self.awaits_relisting(now_ms) {
            return Vec::new();
        }
        let lapsed = self.rows.iter();
        let lapsed = lapsed.filter(|(_, row)| row.lapsed);
        let lapsed: Vec<ReplicaKey> = lapsed.map(|(key, _)| *key).collect();
        let dropped = lapsed.into_iter().filter_map(|key| self.remove_row(key));
        dropped.map(|row| row.replica).collect()
    }

    /// Returns true if a later start of this replica is known.
    pub fn has_restarted(&self, replica: &Replica) -> bool {
        let known = self.keys.get(&replica.instance);
        known.is_some_and(|key| *key != replica.key())
    }

    /// Returns true if the address of this replica was given to another instance after this replica had
    /// ended.
    pub fn is_address_reused(&self, replica: &Replica) -> bool {
        let last = self.addresses.last_at(replica.address);
        let last = last.and_then(|key| self.rows.get(&key));
        last.is_some_and(|row| row.replica.instance != replica.instance)
    }

    /// Returns the key of the replica of a configured service at `address`, or `None` if none is known.
    pub fn at(&self, address: SocketAddr) -> Option<ReplicaKey> {
        self.addresses.occupant(address)
    }

    /// Returns a replica's row, unless another replica has displaced it.
    fn row_in_use(&self, key: ReplicaKey) -> Option<&Row> {
        let row = self.rows.get(&key);
        row.filter(|_| !self.addresses.is_displaced(key))
    }

    /// Returns the replica with this key, or `None` if it isn't known or is displaced.
    pub fn get(&self, key: ReplicaKey) -> Option<&Arc<Replica>> {
        self.row_in_use(key).map(|row| &row.replica)
    }

    /// Returns the health of a replica, or `None` if the replica isn't known or is displaced.
    pub fn health(&self, key: ReplicaKey) -> Option<&Health> {
        self.row_in_use(key).map(|row| &row.health)
    }

    /// Returns the health of a replica, to be changed, or `None` if the replica isn't known.
    pub fn health_mut(&mut self, key: ReplicaKey) -> Option<&mut Health> {
        self.rows.get_mut(&key).map(|row| &mut row.health)
    }

    /// Ends the doubt in all replicas of `service`, because the failures were those of this node's own
    /// links.
    pub fn clear_doubts(&mut self, service: &ServiceName) {
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.replica.service == *service) {
            row.health.clear();
        }
    }

    /// Returns true if a replica accepts work, by its entry and by its answers.
    pub fn takes_work(&self, replica: &Replica) -> bool {
        replica.state == ReplicaState::Ready && !self.leaving_replicas.contains(replica.key())
    }

    /// Returns the replicas of `service` that accept work and aren't evacuated, in an order that is the
    /// same on all nodes.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> Vec<(ReplicaKey, &'a Arc<Replica>, &'a Health)> {
        let mut ready = self.accepting(service);
        if !self.evacuations.is_empty() {
            ready.retain(|(_, replica, _)| !self.evacuations.contains(&replica.domain));
        }
        ready
    }

    /// Returns true if a replica of `service` accepts work and is in an evacuated failure domain.
    pub fn has_evacuated(&self, service: &ServiceName) -> bool {
        let evacuated = |replica: &Replica| self.evacuations.contains(&replica.domain);
        let accepting = || self.accepting(service).into_iter();
        !self.evacuations.is_empty() && accepting().any(|(_, replica, _)| evacuated(replica))
    }

    /// Records that the replicas of `service` in `domain` may have become cold for `left_ms`.
    pub fn on_returned_domain(
        &mut self,
        service: &ServiceName,
        domain: &DomainName,
        left_ms: SpanMs,
        now_ms: MonoMs,
    ) {
        let is_there = |replica: &Replica| replica.service == *service && replica.domain == *domain;
        let there = self.rows.iter().filter(|(_, row)| is_there(&row.replica));
        for (key, _) in there {
            self.cold_replicas.on_report(*key, left_ms, now_ms);
        }
    }

    /// Returns the number of known replicas in a failure domain.
    pub fn count_in(&self, domain: &DomainName) -> usize {
        let used = self.used_rows().map(|(_, row)| &row.replica);
        used.filter(|replica| replica.domain == *domain).count()
    }

    /// Returns the replicas that no other has displaced.
    fn used_rows(&self) -> impl Iterator<Item = (&ReplicaKey, &Row)> {
        let rows = self.rows.iter();
        rows.filter(|(key, _)| !self.addresses.is_displaced(**key))
    }

    /// Returns the replicas of `service` that accept work, in an order that is the same on all nodes.
    fn accepting<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> Vec<(ReplicaKey, &'a Arc<Replica>, &'a Health)> {
        let rows = self
            .used_rows()
            .filter(|(_, row)| row.replica.service == *service && self.takes_work(&row.replica));
        let (lapsed, listed): (Vec<_>, Vec<_>) = rows.partition(|(_, row)| row.lapsed && !row.kept);
        // Entries that lapse because the directory was away lapse together. If only a few are missing,
        // their replicas have left, and work sent to them would arrive after their end.
        let mut ready = listed;
        if lapsed.len() > ready.len() {
            ready.extend(lapsed);
        }
        // If most replicas report their starts, an entry without one wasn't written by a replica.
        let has_no_start = |row: &Row| row.replica.started == ReplicaStart::UNKNOWN;
        let without_start = ready.iter().filter(|(_, row)| has_no_start(row)).count();
        if without_start * 2 < ready.len() {
            ready.retain(|(_, row)| !has_no_start(row));
        }
        ready.sort_unstable_by_key(|(key, _)| **key);
        let seen = ready.into_iter();
        seen.map(|(key, row)| (*key, &row.replica, &row.health))
            .collect()
    }

    /// Returns the fingerprint of the table. Lapsed replicas count as gone.
    pub fn fingerprint(&self) -> Fingerprint {
        let listed = self.rows.iter().filter(|(_, row)| !row.lapsed);
        let hashes = listed.map(|(key, row)| {
            let mut hasher = FxHasher::default();
            hasher.write_u32(key.0);
            hasher.write_u8(u8::from(row.replica.state == ReplicaState::Ready));
            hasher.finish()
        });
        Fingerprint(hashes.fold(0, u64::wrapping_add))
    }

    /// Returns the number of known replicas that aren't displaced.
    pub fn len(&self) -> usize {
        self.rows.len() - self.addresses.displaced_count()
    }

    /// Returns true if no replica is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the replicas that were displaced from `address`.
    pub fn displaced_from(&self, address: SocketAddr) -> impl Iterator<Item = &Arc<Replica>> {
        let displaced = self.addresses.displaced_at(address);
        let rows = displaced.filter_map(|key| self.rows.get(&key));
        rows.map(|row| &row.replica)
    }
}
