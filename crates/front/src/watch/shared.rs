//! What nodes save each other of reading the directory.
//!
//! Load pattern: each node that reads every second costs a call a second, and each change of a
//! replica would make all nodes read at once; the directory's calls are limited for all nodes
//! together.
//!
//! Reason for the limits: a node that has just read tells the others how its table looks, how it
//! looked before, and the changes between. One whose table looks as after has missed nothing; one
//! whose table looks as before takes the changes in; one whose table looks otherwise, or that hears
//! nobody, reads itself. So a lost datagram costs a call and never a change.
//!
//! Invariants: what a peer tells changes a table only where it leads from exactly this table to
//! exactly the peer's.

use super::era::{KnownEra, on_notified_era};
use super::replicas::take_changes;
use crate::journal::Event;
use crate::node::Node;
use crate::platform::Cursor;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::cell::{Cell, RefCell};
use tokio::sync::{Notify, watch};

/// What the watchers share with those who take gossip in.
#[derive(Debug, Default)]
pub struct DirectoryWatch {
    /// The directory's newest era.
    pub(super) era: KnownEra,
    /// A peer knows a newer configuration.
    pub(super) newer_config: Notify,
    /// A peer's table of replicas differs.
    pub(super) other_replicas: Notify,
    /// A replica has started again.
    pub(super) replica_restarted: Notify,
    /// The first configuration, or the list of replicas, was read.
    pub(crate) learned: Notify,
    /// The directory answers again, after it did not answer a node that had read nothing yet.
    pub(super) directory_back: Notify,
    /// Whether it doesn't answer such a node.
    pub(super) directory_away: Cell<bool>,
    /// Whether the directory failed this node's last read.
    directory_lost: Cell<bool>,
    /// How often the directory came back after it had failed.
    returns: watch::Sender<u64>,
    /// The versions of the configuration that are in force and known.
    freshness: RefCell<ConfigFreshness>,
    /// Up to where the directory's replicas are known, and since when.
    confirmed: Cell<Option<(Cursor, MonoMs)>>,
    /// Up to where a peer has read them whose table is another.
    notified_replicas: Cell<Option<Cursor>>,
}

/// What a peer tells of its table of replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicasNotice {
    /// Up to where it has read.
    pub cursor: Cursor,
    /// How its table looked before that.
    pub before: Fingerprint,
    /// How its table looks now.
    pub after: Fingerprint,
    /// What led from one to the other; empty where that is too much to tell.
    pub changes: Vec<ReplicaChange>,
}

impl DirectoryWatch {
    /// A peer has seen this version of the configuration.
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
    }

    /// A version is in force. Returns for how long the node had been behind it.
    pub(super) fn on_config_in_force(&self, version: ConfigVersion, now_ms: MonoMs) -> SpanMs {
        self.freshness.borrow_mut().on_in_force(version, now_ms)
    }

    /// Reports the lag of the configuration in force.
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

    /// A read of the directory failed.
    pub(super) fn on_directory_failed(&self) {
        self.directory_lost.set(true);
    }

    /// A read of the directory succeeded.
    pub(super) fn on_directory_answered(&self, node: &Node) {
        if self.directory_lost.replace(false) {
            self.note_return();
            node.outbox.directory_back();
        }
    }

    /// A peer found that the directory is back.
    pub fn on_peer_directory_back(&self) {
        if self.directory_lost.replace(false) {
            self.note_return();
        }
    }

    fn note_return(&self) {
        self.returns.send_modify(|returns| *returns += 1);
    }

    /// Ends once the directory is back after it had failed.
    pub(super) async fn directory_returned(&self) {
        // The sender lives as long as the node.
        let _ = self.returns.subscribe().changed().await;
    }

    /// Whether the directory is known not to answer, as far as a node knows that has read nothing yet.
    pub fn is_directory_unreachable(&self) -> bool {
        self.directory_away.get()
    }

    /// Whether a peer told of a newer configuration than this version.
    pub(super) fn is_older_than_known(&self, version: ConfigVersion) -> bool {
        self.freshness.borrow().newest() > Some(version)
    }

    /// Whether a peer told of a newer configuration than the one in force.
    pub fn is_behind(&self) -> bool {
        self.freshness.borrow().is_behind()
    }

    /// Ends once no newer configuration than the one in force is known.
    pub async fn wait_until_current(&self) {
        loop {
            let learned = self.learned.notified();
            if !self.is_behind() {
                return;
            }
            learned.await;
        }
    }

    /// Ends once a later start of `replica` is known.
    pub async fn wait_for_restart(&self, node: &Node, replica: &Replica) {
        loop {
            let notified = self.replica_restarted.notified();
            if node.with(|state| state.replicas.has_restarted(replica)) {
                return;
            }
            notified.await;
        }
    }

    /// A peer has read the replicas.
    pub fn on_peer_replicas(&self, node: &Node, told: ReplicasNotice) {
        let Some((known, _)) = self.confirmed.get() else {
            return;
        };
        if told.cursor.era < known.era {
            return;
        }
        on_notified_era(node, told.cursor.era);
        let fingerprint = || node.with(|state| state.replicas.fingerprint());
        let own = fingerprint();
        if own != told.after && own == told.before {
            take_changes(node, told.changes);
        }
        if fingerprint() != told.after {
            self.notified_replicas
                .set(self.notified_replicas.get().max(Some(told.cursor)));
            if self.misses_replicas() {
                self.other_replicas.notify_one();
            }
            return;
        }
        let now_ms = node.now_ms();
        node.with(|state| state.replicas.on_directory_read(now_ms));
        let cursor = known.max(told.cursor);
        self.confirmed.set(Some((cursor, now_ms)));
    }

    /// Whether a peer has read more of the replicas than this node knows. One that has read less, or
    /// as much and judged it otherwise, has nothing to tell by a read: 195 tables that differed for
    /// the moment of a start made each other read four times a second.
    pub(super) fn misses_replicas(&self) -> bool {
        self.notified_replicas.get() > self.cursor()
    }

    /// This node has read the replicas up to `cursor`.
    pub(super) fn on_own_read(&self, cursor: Cursor, now_ms: MonoMs) {
        self.confirmed.set(Some((cursor, now_ms)));
    }

    /// Where to read on.
    pub(super) fn cursor(&self) -> Option<Cursor> {
        self.confirmed.get().map(|(cursor, _)| cursor)
    }

    /// How long ago the table was known to be right.
    pub(super) fn age_ms(&self, now_ms: MonoMs) -> Option<SpanMs> {
        self.confirmed.get().map(|(_, at_ms)| now_ms.since(at_ms))
    }
}
