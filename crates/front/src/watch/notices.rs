//! Splits the changes of one read of the replica list into notices for peers.
//!
//! Load pattern: a fleet that starts lists all its replicas within seconds, and a rollout lists a dozen
//! at once. Both are more than one datagram holds.
//!
//! Reason for the limits: each notice leads from the table after the previous notice to the table after
//! its own changes. A peer that missed one finds that the next doesn't fit its table, and reads the
//! directory itself.
//!
//! Invariants: only the last notice carries the cursor at which the read ended, so that a peer which
//! received only some of the notices doesn't count as having read them all.

use super::shared::ReplicasNotice;
use crate::node::Node;
use crate::platform::{Cursor, Era};
use bluebell_fleet::prelude::*;

/// The number of changes that close a notice. They fit one datagram.
const NOTICE_CHANGES: usize = 16;

/// The maximum number of changes of one read that are sent to peers. After a larger read each node
/// reads the directory itself. When only the changes that fit one datagram were sent, a start of 195
/// nodes with 201 replicas made each node read 14 times in five seconds, half of a day's calls.
const MAX_SENT_CHANGES: usize = 256;

/// The notices of one read, built while its changes are applied.
pub(super) struct NoticeBuilder {
    closed: Vec<ReplicasNotice>,
    /// The position at which the read began.
    from: Cursor,
    /// The fingerprint from before the read.
    first: Fingerprint,
    /// The fingerprint from before the current notice.
    before: Fingerprint,
    changes: Vec<ReplicaChange>,
    /// The number of all changes of the read.
    count: usize,
}

impl NoticeBuilder {
    /// Starts at the position up to which `node` has read the directory's `era`.
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

    /// Adds changes that were just applied to the node's table.
    pub fn add(&mut self, node: &Node, changes: Vec<ReplicaChange>) {
        self.count += changes.len();
        self.changes.extend(changes);
        if self.changes.len() >= NOTICE_CHANGES {
            self.close_notice(node, self.from);
        }
    }

    /// Closes the current notice.
    fn close_notice(&mut self, node: &Node, cursor: Cursor) {
        let after = fingerprint(node);
        self.closed.push(ReplicasNotice {
            cursor,
            before: self.before,
            after,
            changes: std::mem::take(&mut self.changes),
        });
        self.before = after;
    }

    /// Returns the notices of a read that ended at `end`.
    pub fn finish(mut self, node: &Node, end: Cursor) -> Vec<ReplicasNotice> {
        if self.count > MAX_SENT_CHANGES {
            return self.finish_without_changes(node, end);
        }
        self.close_notice(node, end);
        self.closed
    }

    /// Returns a single notice without changes, for a read whose changes each node must judge by its
    /// own read.
    pub fn finish_without_changes(self, node: &Node, end: Cursor) -> Vec<ReplicasNotice> {
        vec![ReplicasNotice {
            cursor: end,
            before: self.first,
            after: fingerprint(node),
            changes: Vec::new(),
        }]
    }
}

/// Returns the fingerprint of the node's table of replicas.
fn fingerprint(node: &Node) -> Fingerprint {
    node.with(|state| state.replicas.fingerprint())
}
