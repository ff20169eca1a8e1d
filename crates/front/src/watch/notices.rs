//! Splits the changes of one read of the replica list into notices for peers.
//!
//! Load pattern: a fleet that starts lists all its replicas within seconds, and a rollout lists a dozen
//! at once. Both are more than one datagram holds.
//!
//! Reason for the limits: each notice leads from the position and table after the previous notice to those
//! after its own changes. A peer that missed one finds that the next doesn't follow from what it knows.
//!
//! Invariants: a notice's cursor is never after a change that the notice and those before it lack.

use super::shared::ReplicasNotice;
use crate::node::Node;
use crate::platform::Cursor;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;

/// The number of changes that close a notice. They fit one datagram.
const NOTICE_CHANGES: usize = 16;

/// The maximum number of changes of one read that are sent to peers. Copying the list from a peer takes
/// fewer bytes than more changes.
const MAX_SENT_CHANGES: usize = 256;

/// The positions that a read covers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadSpan {
    /// The position from which the read continued, or `None` if it listed all replicas.
    pub from: Option<Cursor>,
    /// The position at which the read ended.
    pub end: Cursor,
}

/// The notices of one read, built while its changes are applied.
pub(super) struct NoticeBuilder {
    closed: Vec<ReplicasNotice>,
    span: ReadSpan,
    /// The position from which the current notice leads on.
    from: Option<Cursor>,
    /// The fingerprint from before the read.
    first: Fingerprint,
    /// The fingerprint from before the current notice.
    before: Fingerprint,
    changes: Vec<PositionedChange>,
    /// The number of all changes of the read.
    count: usize,
}

impl NoticeBuilder {
    /// Starts the notices of a read.
    pub fn open(node: &Node, span: ReadSpan) -> Self {
        let table = fingerprint(node);
        Self {
            closed: Vec::new(),
            span,
            from: span.from,
            first: table,
            before: table,
            changes: Vec::new(),
            count: 0,
        }
    }

    /// Adds a change that was just applied to the node's table.
    pub fn add(&mut self, node: &Node, change: PositionedChange) {
        let PositionedChange { offset, .. } = change;
        self.count += 1;
        self.changes.push(change);
        if self.changes.len() >= NOTICE_CHANGES {
            self.close_notice(node, offset + 1);
        }
    }

    /// Closes the current notice, which leads to the offset `end`.
    fn close_notice(&mut self, node: &Node, end: u64) {
        let after = fingerprint(node);
        let cursor = match self.from {
            Some(from) => Cursor {
                offset: end,
                ..from
            },
            // Without positions, a peer that received only some of the notices must not count as having
            // received all.
            None => Cursor::first(self.span.end.era),
        };
        self.closed.push(ReplicasNotice {
            cursor,
            from: self.from,
            relist_left_ms: relist_left_ms(node),
            before: self.before,
            after,
            changes: std::mem::take(&mut self.changes),
        });
        self.from = self.from.map(|_| cursor);
        self.before = after;
    }

    /// Returns the notices of the read.
    pub fn finish(mut self, node: &Node) -> Vec<ReplicasNotice> {
        if self.count > MAX_SENT_CHANGES {
            return self.finish_without_changes(node);
        }
        self.close_notice(node, self.span.end.offset);
        if let Some(last) = self.closed.last_mut() {
            last.cursor = self.span.end;
        }
        self.closed
    }

    /// Returns a single notice without changes, for a read that each node must judge by itself.
    pub fn finish_without_changes(self, node: &Node) -> Vec<ReplicasNotice> {
        vec![ReplicasNotice {
            cursor: self.span.end,
            from: None,
            relist_left_ms: SpanMs::ZERO,
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

/// Returns the time for which entries that are missing from the directory may still return.
fn relist_left_ms(node: &Node) -> SpanMs {
    let now_ms = node.now_ms();
    node.with(|state| state.replicas.relist_left_ms(now_ms))
}
