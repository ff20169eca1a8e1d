//! Announces this node in the directory and finds the other announced nodes.

use super::era::Renewals;
use super::join;
use super::retry::Backoff;
use super::roles;
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

/// The interval in milliseconds at which other nodes are looked for after that. A node that starts sends
/// gossip to all others, so this only makes up for gossip lost in both directions. With its random spread
/// the interval is still shorter than the time after which silent peers are forgotten. Nodes that were cut
/// off from each other for long thus find each other again.
const INTERVAL_MS: u64 = 44_000;

/// The interval in milliseconds of the first rounds. Of nodes that start together, some join before others
/// are known.
const FIRST_INTERVAL_MS: u64 = 3_000;

/// The number of these first rounds.
const FIRST_ROUNDS: u32 = 2;

/// Announces this node if it is one of those by which others find the fleet, and looks for other nodes,
/// until the process ends.
///
/// The readers are announced, and the nodes that found no other to join. Readers read the list of
/// announced nodes; the others copy the peers of a peer.
pub async fn watch_nodes(node: Rc<Node>) {
    let mut watch = NodesWatch {
        own: NodeEntry {
            incarnation: Incarnation(node.owner.0),
            address: node.settings.gossip,
            domain: Some(node.settings.domain.clone()),
        },
        announced: false,
        backoff: Backoff::new("nodes"),
        node,
    };
    let mut renewals = Renewals::subscribe(&watch.node);
    join::wait(&watch.node).await;
    for round in 0.. {
        let found = match watch.is_announcer(round) {
            true => watch.announce_and_read().await,
            false => {
                join::copy_state(&watch.node).await;
                true
            }
        };
        if !found {
            continue;
        }
        tokio::select! {
            () = tokio::time::sleep(watch.interval(round)) => {}
            // The older copy may lack this node's entry, so that starting nodes wouldn't find it.
            () = renewals.next(&watch.node) => watch.announced = false,
        }
    }
}

/// The state of the watcher of nodes.
struct NodesWatch {
    node: Rc<Node>,
    /// This node's own entry.
    own: NodeEntry,
    /// True if the directory holds this node's entry.
    announced: bool,
    backoff: Backoff,
}

impl NodesWatch {
    /// Returns true if this node announces itself and reads the list of announced nodes.
    fn is_announcer(&self, round: u32) -> bool {
        let found_none = round == 0 && !join::has_joined(&self.node);
        found_none || roles::is_reader(&self.node)
    }

    /// Announces this node unless it is announced already, and reads the list. Returns false after a
    /// failure.
    async fn announce_and_read(&mut self) -> bool {
        let directory = self.node.platform.directory.clone();
        if !self.announced {
            if let Err(error) = directory.announce(self.own.clone()).await {
                self.backoff.failed(&self.node, &error).await;
                return false;
            }
            self.announced = true;
        }
        match directory.read_nodes().await {
            Ok(entries) => self.on_read(entries),
            Err(error) => {
                self.backoff.failed(&self.node, &error).await;
                return false;
            }
        }
        true
    }

    fn on_read(&mut self, entries: Vec<NodeEntry>) {
        let node = &self.node;
        self.backoff.succeeded(node);
        let now_ms = node.now_ms();
        for entry in entries.into_iter().filter(|entry| *entry != self.own) {
            let owner = OwnerId(entry.incarnation.0);
            node.outbox
                .on_announced(owner, entry.address, entry.domain, now_ms);
        }
    }

    /// Returns the time until the next round.
    fn interval(&self, round: u32) -> Duration {
        let alone = self.node.outbox.peer_count() == 0;
        let interval_ms = match () {
            () if alone => FIRST_READ_MS,
            () if round < FIRST_ROUNDS && join::has_joined(&self.node) => FIRST_INTERVAL_MS,
            () => INTERVAL_MS,
        };
        let spread_ms = rand::rng().random_range(0..=interval_ms / 4);
        Duration::from_millis(interval_ms + spread_ms)
    }
}
