//! The nodes that call the directory on behalf of their peers.

use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::distribution::{self, ConfigRole};
use bluebell_fleet::long_poll;
use bluebell_fleet::prelude::*;

/// Returns the node from which this one copies the configuration, or `None` if this node reads the
/// directory: it is a reader of its failure domain, or has too few live peers to rely on.
pub(super) fn parent(node: &Node) -> Option<OwnerId> {
    if !long_poll::can_rely_on_peers(node.outbox.live_peer_count()) {
        return None;
    }
    let peers = node.outbox.live_peers_in(&node.settings.domain);
    match distribution::role(node.owner, &peers) {
        ConfigRole::Reader => None,
        ConfigRole::Follower(parent) => Some(parent),
    }
}

/// Returns true if this node reads the directory.
pub(super) fn is_reader(node: &Node) -> bool {
    parent(node).is_none()
}

/// Returns the time over which followers spread their calls to the directory, or `None` if this node
/// reads the directory.
pub(super) fn follower_interval(node: &Node) -> Option<SpanMs> {
    let nodes = node.outbox.live_peer_count() + 1;
    (!is_reader(node)).then(|| distribution::follower_interval(nodes))
}
