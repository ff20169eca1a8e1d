//! Following the configuration at peers instead of the directory.

use super::config::PROBE_INTERVAL_MS;
use crate::copies::{self, ConfigCopy};
use crate::journal::Event;
use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::distribution::{self, ConfigRole};
use bluebell_fleet::long_poll;
use bluebell_fleet::prelude::*;
use rand::seq::SliceRandom;
use std::time::Duration;

/// How many peers that have the version are asked where the parent doesn't give it.
const OTHER_SOURCES: usize = 3;

/// How a wait for a newer configuration at peers ended.
pub(super) enum Followed {
    /// A peer gave it.
    Copied(ServingConfig, ConfigCopy),
    /// There is a newer one, and no peer that was asked gave it.
    Nowhere,
    /// This node is to read the directory itself.
    Reader,
}

/// The node from which this one copies the configuration; none where it is to read the directory.
pub(super) fn parent(node: &Node) -> Option<OwnerId> {
    node.config_version()?;
    if !long_poll::can_rely_on_peers(node.outbox.live_peer_count()) {
        return None;
    }
    let peers = node.outbox.live_peers_in(&node.settings.domain);
    match distribution::role(node.owner, &peers) {
        ConfigRole::Reader => None,
        ConfigRole::Follower(parent) => Some(parent),
    }
}

/// How many nodes read the directory, this one included.
pub(super) fn readers(node: &Node) -> usize {
    let mut sizes = node.outbox.domain_sizes();
    *sizes.entry(node.settings.domain.clone()).or_insert(0) += 1;
    distribution::readers(sizes.into_values())
}

/// Waits for a newer configuration and copies it.
pub(super) async fn follow(node: &Node) -> Followed {
    loop {
        let Some(parent) = parent(node) else {
            return Followed::Reader;
        };
        if node.directory_watch.is_behind() {
            return copy_from(node, parent).await;
        }
        // Whether there is a newer one is seen by the next turn.
        let _ = tokio::time::timeout(
            Duration::from(PROBE_INTERVAL_MS),
            node.directory_watch.newer_config.notified(),
        )
        .await;
    }
}

async fn copy_from(node: &Node, parent: OwnerId) -> Followed {
    let Some(held) = node.config_version() else {
        return Followed::Reader;
    };
    for peer in sources(node, parent, held) {
        let Some(address) = node.outbox.address_of(peer) else {
            continue;
        };
        match copies::fetch(node, address, held).await {
            Ok((config, copy)) => return Followed::Copied(config, copy),
            Err(error) => node.journal.record(&Event::ConfigCopyFailed {
                peer: peer.0,
                reason: error.to_string().into(),
            }),
        }
    }
    Followed::Nowhere
}

/// The peers to ask, in this order: the parent, which may be about to have it, and some that have it.
fn sources(node: &Node, parent: OwnerId, held: ConfigVersion) -> Vec<OwnerId> {
    let mut holders = node.outbox.config_holders(held);
    holders.retain(|holder| *holder != parent);
    holders.shuffle(&mut rand::rng());
    holders.truncate(OTHER_SOURCES);
    holders.insert(0, parent);
    holders
}
