//! State that the watchers share, and notices that save nodes most reads of the directory.
//!
//! Load pattern: each node that reads every second costs a call a second, and each change of a replica
//! would make all nodes read at once. The directory's calls are limited for all nodes together.
//!
//! Reason for the limits: a node that has just read the replica list sends the others the changes with
//! their positions, and the fingerprints of its table before and after. A node that knows the list up to
//! a position within the notice applies the rest of it, so that readers which read at the same time
//! don't contradict each other. A node whose table matches the earlier fingerprint applies all changes. Any
//! other node has missed something and copies the list from a peer, or reads the directory. A lost
//! datagram thus costs a call to a peer but never a change.
//!
//! Invariants: a peer's notice changes a table only if nothing is missing between the table and the
//! notice's changes.

use super::era::{KnownEra, on_era, on_notified_era};
use super::join::JoinPhase;
use super::replicas::{apply_change, listed_instance};
use crate::journal::Event;
use crate::node::Node;
use crate::platform::Cursor;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::cell::{Cell, RefCell};
use tokio::sync::{Notify, watch};

/// The state that the directory watchers share with the receiver of gossip.
#[derive(Debug, Default)]
pub struct DirectoryWatch {
    /// The newest era of the directory that this node knows.
    pub(super) era: KnownEra,
    /// The way in which the node gets its first state.
    pub(super) join_phase: watch::Sender<JoinPhase>,
    /// Notified when a peer knows a newer configuration.
    pub(super) newer_config: Notify,
    /// Wakes [`Self::wait_until_behind`] when a peer knows a newer configuration.
    behind: Notify,
    /// Notified when a peer has read more of the replica list and its table differs.
    pub(super) replicas_differ: Notify,
    /// Notified when a replica has restarted.
    pub(super) replica_restarted: Notify,
    /// Notified when a configuration came into force or the replica list was read.
    pub(crate) data_changed: Notify,
    /// Notified when the directory answers again, after it didn't answer a node that had read nothing
    /// yet.
    pub(super) directory_back: Notify,
    /// True while the directory doesn't answer a node that has read nothing yet.
    pub(super) first_read_unanswered: Cell<bool>,
    /// True if this node's last call of the directory failed and no peer has reported its return.
    directory_failed: Cell<bool>,
    /// The number of times that the directory came back after a failed call.
    return_count: watch::Sender<u64>,
    /// The number of this node's own reads of the replica list that succeeded.
    list_reads: watch::Sender<u64>,
    /// The configuration version in force and the newest known one.
    freshness: RefCell<ConfigFreshness>,
    /// The position up to which the replica list is known, and when that was last confirmed.
    confirmed: Cell<Option<(Cursor, MonoMs)>>,
    /// The latest position up to which a peer with a differing table has read the replica list.
    peer_cursor: Cell<Option<Cursor>>,
}

/// A notice that a peer has read the replica list.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicasNotice {
    /// The position up to which the notice leads.
    pub cursor: Cursor,
    /// The position from which the changes are complete, or `None` if only the fingerprints tell to which
    /// tables they apply.
    pub from: Option<Cursor>,
    /// The time for which entries that are missing after an outage may still return; 0 if none may.
    pub relist_left_ms: SpanMs,
    /// The fingerprint of its table before the read.
    pub before: Fingerprint,
    /// The fingerprint of its table after the read.
    pub after: Fingerprint,
    /// The changes that lead from `before` to `after`, in the order of their positions. Empty if there are
    /// too many to send, or if each node must judge them by its own read.
    pub changes: Vec<PositionedChange>,
}

/// The replica list that was copied from a peer.
#[derive(Clone, Debug)]
pub struct CopiedReplicas {
    /// The position up to which the peer knows the list.
    pub cursor: Cursor,
    /// The time at which the peer's list was last confirmed, by this node's clock.
    pub confirmed_ms: MonoMs,
    /// The time for which entries that are missing after an outage may still return; 0 if none may.
    pub relist_left_ms: SpanMs,
    /// All listed replicas, with the positions at which their entries were written.
    pub listed: Vec<(Cursor, ReplicaChange)>,
}

impl ReplicasNotice {
    /// Returns true if nothing is missing between the position `known` and the notice's changes.
    fn covers(&self, known: Cursor) -> bool {
        let complete_from = self.from.filter(|from| from.era == known.era);
        complete_from.is_some_and(|from| from <= known && known <= self.cursor)
    }

    /// Takes the changes that apply to a table with this fingerprint that is known up to `known`.
    fn take_changes(&mut self, known: Cursor, table: Fingerprint) -> Vec<PositionedChange> {
        let changes = std::mem::take(&mut self.changes).into_iter();
        let first_offset = match self.covers(known) {
            true => known.offset,
            false if table == self.before => 0,
            false => return Vec::new(),
        };
        changes
            .filter(|change| change.offset >= first_offset)
            .collect()
    }
}

impl DirectoryWatch {
    /// Handles the notice that a peer knows this version of the configuration.
    pub fn on_peer_config(&self, node: &Node, peer: OwnerId, version: ConfigVersion) {
        let is_new = self.freshness.borrow_mut().on_known(version, node.now_ms());
        if !self.is_behind() {
            return;
        }
        if is_new {
            node.journal.record(&Event::ConfigKnown {
                version,
                peer: peer.0,
            });
        }
        self.newer_config.notify_one();
        self.behind.notify_waiters();
    }

    /// Records that a version is in force. Returns the time for which the node had been behind.
    pub(super) fn on_config_in_force(&self, version: ConfigVersion, now_ms: MonoMs) -> SpanMs {
        self.freshness.borrow_mut().on_in_force(version, now_ms)
    }

    /// Reports the lag of the configuration in force to the metrics and, if it is long, to the log.
    pub fn report_lag(&self, node: &Node) {
        let now_ms = node.now_ms();
        let mut freshness = self.freshness.borrow_mut();
        if let Some(ages) = freshness.ages(now_ms) {
            node.journal.metrics().record_config_ages(&ages);
        }
        if let Some(lag) = freshness.report(now_ms) {
            node.journal.record(&Event::ConfigBehind {
                in_force: lag.in_force,
                newest: lag.newest,
                behind_ms: lag.behind_ms,
            });
        }
    }

    /// Records that a call of the directory failed.
    pub(super) fn on_directory_failed(&self) {
        self.directory_failed.set(true);
    }

    /// Records that a call of the directory succeeded, and notifies peers if the one before had failed.
    pub(super) fn on_directory_answered(&self, node: &Node) {
        if self.directory_failed.replace(false) {
            self.on_directory_returned();
            node.outbox.directory_back();
        }
    }

    /// Handles the notice that the directory answers a peer again.
    pub fn on_peer_directory_back(&self) {
        if self.directory_failed.replace(false) {
            self.on_directory_returned();
        }
    }

    /// Wakes the tasks that wait for the directory to come back.
    fn on_directory_returned(&self) {
        self.return_count
            .send_modify(|return_count| *return_count += 1);
    }

    /// Waits until the directory comes back after a failed call.
    pub(super) async fn wait_for_directory_return(&self) {
        // The sender lives as long as the node.
        let _ = self.return_count.subscribe().changed().await;
    }

    /// Records that this node has read the replica list from the directory.
    pub(super) fn on_list_read(&self) {
        self.list_reads.send_modify(|reads| *reads += 1);
    }

    /// Subscribes to this node's own reads of the replica list from now on.
    pub(super) fn list_reads(&self) -> watch::Receiver<u64> {
        self.list_reads.subscribe()
    }

    /// Returns true if this node has read nothing yet and the directory doesn't answer it.
    pub fn is_directory_unreachable(&self) -> bool {
        self.first_read_unanswered.get()
    }

    /// Returns true if a newer configuration than this version is known.
    pub(super) fn is_older_than_known(&self, version: ConfigVersion) -> bool {
        self.freshness.borrow().newest() > Some(version)
    }

    /// Returns true if a newer configuration than the one in force is known.
    pub fn is_behind(&self) -> bool {
        self.freshness.borrow().is_behind()
    }

    /// Waits until a newer configuration than the one in force is known.
    pub(super) async fn wait_until_behind(&self) {
        loop {
            let behind = self.behind.notified();
            if self.is_behind() {
                return;
            }
            behind.await;
        }
    }

    /// Waits until no newer configuration than the one in force is known.
    pub async fn wait_until_current(&self) {
        loop {
            let data_changed = self.data_changed.notified();
            if !self.is_behind() {
                return;
            }
            data_changed.await;
        }
    }

    /// Waits until a later start of `replica` is known.
    pub async fn wait_for_restart(&self, node: &Node, replica: &Replica) {
        loop {
            let notified = self.replica_restarted.notified();
            if node.with(|state| state.replicas.has_restarted(replica)) {
                return;
            }
            notified.await;
        }
    }

    /// Handles the notice that a peer has read the replica list.
    pub fn on_peer_replicas(&self, node: &Node, mut notice: ReplicasNotice) {
        let Some((known, _)) = self.confirmed.get() else {
            return;
        };
        if notice.cursor.era < known.era {
            return;
        }
        on_notified_era(node, notice.cursor.era);
        let now_ms = node.now_ms();
        let relist_left_ms = notice.relist_left_ms;
        node.with(|state| state.replicas.await_relisting(relist_left_ms, now_ms));
        let fingerprint = || node.with(|state| state.replicas.fingerprint());
        let covered = notice.covers(known);
        let own = fingerprint();
        if own != notice.after {
            let Cursor { era, .. } = notice.cursor;
            for PositionedChange { offset, change } in notice.take_changes(known, own) {
                let position = ChangePosition::in_history(Cursor { era, offset });
                apply_change(node, change, position);
            }
        }
        if !covered && fingerprint() != notice.after {
            self.peer_cursor
                .set(self.peer_cursor.get().max(Some(notice.cursor)));
            if self.peer_has_read_more() {
                self.replicas_differ.notify_one();
            }
            return;
        }
        node.with(|state| state.replicas.on_directory_read(now_ms));
        let cursor = known.max(notice.cursor);
        self.confirmed.set(Some((cursor, now_ms)));
    }

    /// Replaces the table by a peer's list, unless as much is known already.
    pub fn on_copied_replicas(&self, node: &Node, copied: CopiedReplicas) {
        if self.cursor() >= Some(copied.cursor) {
            return;
        }
        on_era(node, copied.cursor.era);
        let now_ms = node.now_ms();
        let listed = copied.listed.iter().map(|(_, change)| change);
        let instances: Vec<Arc<str>> = listed.filter_map(listed_instance).collect();
        node.with(|state| {
            let replicas = &mut state.replicas;
            replicas.await_relisting(copied.relist_left_ms, now_ms);
            replicas.retain_listed(&instances, copied.cursor, now_ms);
        });
        for (written_at, change) in copied.listed {
            let position = ChangePosition::in_list(written_at, copied.cursor);
            apply_change(node, change, position);
        }
        self.confirmed
            .set(Some((copied.cursor, copied.confirmed_ms)));
        node.on_replicas_read();
    }

    /// Returns true if a peer with a differing table has read more of the replica list than this node
    /// knows. If the peer has read less, or as much with another judgement, a read would bring nothing
    /// new: 195 tables that differed briefly during a start made each other read four times a second.
    pub(super) fn peer_has_read_more(&self) -> bool {
        self.peer_cursor.get() > self.cursor()
    }

    /// Records that this node has read the replica list up to `cursor`.
    pub(super) fn on_own_read(&self, cursor: Cursor, now_ms: MonoMs) {
        let cursor = self.cursor().map_or(cursor, |known| known.max(cursor));
        self.confirmed.set(Some((cursor, now_ms)));
    }

    /// Returns the position from which the next read continues. `None` before the first read.
    pub(crate) fn cursor(&self) -> Option<Cursor> {
        self.confirmed.get().map(|(cursor, _)| cursor)
    }

    /// Returns the time since the table was last confirmed. `None` before the first read.
    pub(crate) fn age_ms(&self, now_ms: MonoMs) -> Option<SpanMs> {
        self.confirmed.get().map(|(_, at_ms)| now_ms.since(at_ms))
    }
}
