//! What nodes save each other of reading the directory.
//!
//! Load pattern: each node that reads every second costs a call a second, and the directory's calls
//! are limited for all nodes together.
//!
//! Reason for the limits: a node that has just read tells the others how its table looks. One whose
//! table looks the same has missed nothing; one whose table differs, or that hears nobody, reads
//! itself. So a lost datagram costs a call and never a change.
//!
//! Invariants: a table is never changed by what a peer tells.

use crate::node::Node;
use crate::outside::Cursor;
use bluebell_base::prelude::*;
use std::cell::Cell;
use tokio::sync::Notify;

/// What the watchers share with those who take news in.
#[derive(Debug, Default)]
pub struct Watching {
    /// A peer knows a newer configuration.
    pub(super) newer_config: Notify,
    /// A peer's table of replicas differs.
    pub(super) other_replicas: Notify,
    /// Up to where the directory's replicas are known, and since when.
    confirmed: Cell<Option<(Cursor, MonoMs)>>,
}

impl Watching {
    /// A peer has seen this version of the configuration.
    pub fn on_peer_config(&self, node: &Node, version: ConfigVersion) {
        let own = node.with(|state| state.config.as_ref().map(|c| c.version()));
        if own.is_some_and(|own| own < version) {
            self.newer_config.notify_one();
        }
    }

    /// A peer has read the replicas up to `cursor`, and its table has this fingerprint.
    pub fn on_peer_replicas(&self, node: &Node, cursor: Cursor, fingerprint: u64) {
        let own = node.with(|state| state.replicas.fingerprint());
        let Some((known, _)) = self.confirmed.get() else {
            return;
        };
        if own != fingerprint {
            self.other_replicas.notify_one();
            return;
        }
        let cursor = Cursor(known.0.max(cursor.0));
        self.confirmed.set(Some((cursor, node.now_ms())));
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
