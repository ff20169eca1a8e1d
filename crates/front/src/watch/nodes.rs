//! Announces this node in the directory and finds the other announced nodes.

use super::era::Renewals;
use super::retry::Backoff;
use crate::node::Node;
use crate::platform::NodeEntry;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// The time in milliseconds until the list is read again while no peer is known. By then, nodes that
/// started together have all announced themselves.
const FIRST_READ_MS: u64 = 1_500;

/// The interval in milliseconds at which the list is read after that. A node that starts sends gossip
/// to all others, so these reads only make up for gossip lost in both directions, and each round costs
/// one call per node. With its random spread the interval is still shorter than the time after which
/// silent peers are forgotten. Nodes that were cut off from each other for long thus find each other
/// again.
const READ_INTERVAL_MS: u64 = 44_000;

/// Announces this node and reads the list of nodes until the process ends.
pub async fn watch_nodes(node: Rc<Node>) {
    let mut backoff = Backoff::new("nodes");
    let own = NodeEntry {
        incarnation: Incarnation(node.owner.0),
        address: node.settings.gossip,
    };
    let mut renewals = Renewals::subscribe(&node);
    announce(&node, &own, &mut backoff).await;
    loop {
        match node.platform.directory.read_nodes().await {
            Ok(nodes) => {
                backoff.succeeded(&node);
                let now_ms = node.now_ms();
                for entry in nodes.iter().filter(|entry| **entry != own) {
                    let owner = OwnerId(entry.incarnation.0);
                    node.outbox.on_announced(owner, entry.address, now_ms);
                }
            }
            Err(error) => {
                backoff.failed(&node, &error).await;
                continue;
            }
        }
        let alone = node.outbox.peer_count() == 0;
        let interval_ms = if alone {
            FIRST_READ_MS
        } else {
            READ_INTERVAL_MS
        };
        let spread_ms = rand::rng().random_range(0..=interval_ms / 4);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(interval_ms + spread_ms)) => {}
            // The older copy may lack this node's entry, so that starting nodes wouldn't find it.
            () = renewals.next(&node) => announce(&node, &own, &mut backoff).await,
        }
    }
}

/// Announces this node, and retries until that succeeds.
async fn announce(node: &Node, own: &NodeEntry, backoff: &mut Backoff) {
    while let Err(error) = node.platform.directory.announce(own.clone()).await {
        backoff.failed(node, &error).await;
    }
    backoff.succeeded(node);
}
