//! What peers are told of one read of the replicas.
//!
//! Load pattern: a fleet that starts lists all its replicas within seconds, and a rollout a dozen at
//! once; both are more than a datagram holds.
//!
//! Reason for the limits: the changes are told in pieces, each of which leads from the table after
//! the one before to the next. A peer that missed one finds that the next doesn't fit, and reads.
//!
//! Invariants: only the last piece names where the read ended, so that a peer which got a part of
//! them doesn't take itself to have read them all.

use super::shared::ReplicasNotice;
use crate::node::Node;
use crate::platform::{Cursor, Era};
use bluebell_fleet::prelude::*;

/// The most changes of one piece: they fit a datagram.
const PIECE_CHANGES: usize = 16;

/// The most changes of one read that peers are told; where more came at once each node reads itself.
/// A start of 195 nodes beside 201 replicas had each node read 14 times in five seconds, half of all
/// calls of a day, when only what fitted one datagram was told.
const MOST_TOLD: usize = 256;

/// The pieces of one read, as its changes are taken in.
pub(super) struct Pieces {
    closed: Vec<ReplicasNotice>,
    from: Cursor,
    first: Fingerprint,
    before: Fingerprint,
    changes: Vec<ReplicaChange>,
    count: usize,
}

impl Pieces {
    /// Begins where `node` has read to, of the directory's `era`.
    pub fn open(node: &Node, era: Era) -> Self {
        let table = fingerprint(node);
        let from = node.directory_watch.cursor().filter(|from| from.era == era);
        Self {
            closed: Vec::new(),
            from: from.unwrap_or(Cursor::first(era)),
            first: table,
            before: table,
            changes: Vec::new(),
            count: 0,
        }
    }

    /// Adds changes that were just taken in.
    pub fn add(&mut self, node: &Node, changes: Vec<ReplicaChange>) {
        self.count += changes.len();
        self.changes.extend(changes);
        if self.changes.len() >= PIECE_CHANGES {
            self.cut(node, self.from);
        }
    }

    fn cut(&mut self, node: &Node, cursor: Cursor) {
        let after = fingerprint(node);
        self.closed.push(ReplicasNotice {
            cursor,
            before: self.before,
            after,
            changes: std::mem::take(&mut self.changes),
        });
        self.before = after;
    }

    /// What peers are told of a read that ended at `end`.
    pub fn close(mut self, node: &Node, end: Cursor) -> Vec<ReplicasNotice> {
        if self.count > MOST_TOLD {
            return self.unannounced(node, end);
        }
        self.cut(node, end);
        self.closed
    }

    /// What peers are told of a read whose changes they judge for themselves.
    pub fn unannounced(self, node: &Node, end: Cursor) -> Vec<ReplicasNotice> {
        vec![ReplicasNotice {
            cursor: end,
            before: self.first,
            after: fingerprint(node),
            changes: Vec::new(),
        }]
    }
}

fn fingerprint(node: &Node) -> Fingerprint {
    node.with(|state| state.replicas.fingerprint())
}
