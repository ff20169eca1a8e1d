//! The nodes that announced themselves.

use super::era::Renewals;
use super::retry::Backoff;
use crate::node::Node;
use crate::platform::NodeEntry;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// The first look at the list after the own announcement: nodes that started together have all
/// announced themselves by then.
const FIRST_MS: u64 = 1_500;

/// How often the list is read after that. A node that starts tells all others of itself, so this
/// only makes up for gossip lost on both ways, and each time it is a call of every node. With what it
/// is spread over it is shorter than the time after which silent peers are forgotten, so that nodes
/// which were cut off from each other for long find each other again.
const EVERY_MS: u64 = 44_000;

/// Announces this node and watches the others until the process ends.
pub async fn watch_nodes(node: Rc<Node>) {
    let mut backoff = Backoff::new("nodes");
    let own = NodeEntry {
        incarnation: Incarnation(node.owner.0),
        address: node.settings.gossip,
    };
    let mut renewals = Renewals::of(&node);
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
        let first = node.outbox.peer_count() == 0;
        let every_ms = if first { FIRST_MS } else { EVERY_MS };
        let spread_ms = rand::rng().random_range(0..=every_ms / 4);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(every_ms + spread_ms)) => {}
            // The older copy may lack this node's entry, and nodes that start would not find it.
            () = renewals.next(&node) => announce(&node, &own, &mut backoff).await,
        }
    }
}

async fn announce(node: &Node, own: &NodeEntry, backoff: &mut Backoff) {
    while let Err(error) = node.platform.directory.announce(own.clone()).await {
        backoff.failed(node, &error).await;
    }
    backoff.succeeded(node);
}
