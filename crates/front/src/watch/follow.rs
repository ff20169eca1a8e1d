//! Copies the configuration from peers instead of reading it from the directory.

use super::config::PEER_CHECK_MS;
use super::roles;
use crate::copies::{self, ConfigCopy};
use crate::journal::Event;
use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use rand::seq::SliceRandom;
use std::time::Duration;

/// The maximum number of peers with the version that are asked besides the parent.
const MAX_OTHER_SOURCES: usize = 3;

/// The result of waiting for a newer configuration from peers.
pub(super) enum FollowResult {
    /// A peer provided the configuration. The copy is kept for other peers.
    Copied(ServingConfig, ConfigCopy),
    /// A newer one is known, but none of the peers that were asked provided it.
    NotFound,
    /// This node must read the directory itself.
    Reader,
}

/// Returns the peer from which this node copies the configuration, or `None` if this node must read
/// the directory.
pub(super) fn parent(node: &Node) -> Option<OwnerId> {
    node.config_version()?;
    roles::parent(node)
}

/// Waits for a newer configuration and copies it.
pub(super) async fn follow(node: &Node) -> FollowResult {
    loop {
        let Some(parent) = parent(node) else {
            return FollowResult::Reader;
        };
        if node.directory_watch.is_behind() {
            return copy_from(node, parent).await;
        }
        // Ignore a timeout: the next iteration checks for a newer version either way.
        let _ = tokio::time::timeout(
            Duration::from(PEER_CHECK_MS),
            node.directory_watch.newer_config.notified(),
        )
        .await;
    }
}

/// Requests a newer configuration from `parent` and then from other peers that have one.
async fn copy_from(node: &Node, parent: OwnerId) -> FollowResult {
    let Some(held) = node.config_version() else {
        return FollowResult::Reader;
    };
    match copy_from_first(node, held, sources(node, Some(parent), held)).await {
        Some((config, copy)) => FollowResult::Copied(config, copy),
        None => FollowResult::NotFound,
    }
}

/// Requests a newer configuration from peers that have one.
pub(super) async fn copy_from_holders(node: &Node) -> Option<(ServingConfig, ConfigCopy)> {
    let held = node.config_version()?;
    copy_from_first(node, held, sources(node, None, held)).await
}

/// Requests a configuration newer than `held` from `sources` in turn, until one provides it.
async fn copy_from_first(
    node: &Node,
    held: ConfigVersion,
    sources: Vec<OwnerId>,
) -> Option<(ServingConfig, ConfigCopy)> {
    for peer in sources {
        let Some(address) = node.outbox.address_of(peer) else {
            continue;
        };
        match copies::fetch(node, address, held).await {
            Ok(copied) => return Some(copied),
            Err(error) => node.journal.record(&Event::ConfigCopyFailed {
                peer: peer.0,
                reason: error.to_string().into(),
            }),
        }
    }
    None
}

/// Returns the peers to ask, in this order: the parent if there is one, which may be about to get the version,
/// and up to [`MAX_OTHER_SOURCES`] peers that have it.
fn sources(node: &Node, parent: Option<OwnerId>, held: ConfigVersion) -> Vec<OwnerId> {
    let mut holders = node.outbox.config_holders(held);
    holders.retain(|holder| Some(*holder) != parent);
    holders.shuffle(&mut rand::rng());
    holders.truncate(MAX_OTHER_SOURCES);
    parent.into_iter().chain(holders).collect()
}
