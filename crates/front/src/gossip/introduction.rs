//! Answers nodes that introduce themselves by a request with a digest.
//!
//! Load pattern: after a loss of power dozens of nodes introduce themselves to each seed within half a
//! second. Each needs a digest to count this node among its live peers.
//!
//! Reason for the limits: one digest answers all introductions of [`INTRODUCTION_GATHER_MS`].
//!
//! Invariants: a node is answered once; peers that are known get their digests in any case.

use super::message::Origin;
use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The time for which introductions are gathered before a digest answers them: a twentieth of the interval
/// between digests.
const INTRODUCTION_GATHER_MS: SpanMs = SpanMs(25);

/// Records a node that introduced itself, and sends a digest soon if it is new.
pub(crate) fn on_introduced(node: &Rc<Node>, peer: &Origin) {
    let is_self = OwnerId(peer.owner) == node.owner;
    if is_self || !node.outbox.on_introduced(peer, node.now_ms()) {
        return;
    }
    if node.outbox.introduction_due.replace(true) {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from(INTRODUCTION_GATHER_MS)).await;
        node.outbox.introduction_due.set(false);
        node.outbox.introduce();
    });
}
