//! Stores the requests and parts in quarantine in the directory and reads them from there. That serves nodes
//! that can't get them from peers: after a loss of power at all nodes, and while most peers are cut
//! off.

use super::era::Renewals;
use super::join;
use super::retry::Backoff;
use super::roles;
use crate::node::Node;
use crate::quarantine;
use bluebell_base::prelude::*;
use bluebell_quarantine::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The interval at which a reader checks whether most peers are silent, and if so reads the directory.
/// It is within the three seconds after which a fatal request must be known.
const PEER_CHECK_MS: SpanMs = SpanMs(2_000);

/// Reads the stored requests at the start, and as a reader at intervals while most peers are silent,
/// until the process ends. Peers are notified of what was unknown.
pub async fn watch_quarantine(node: Rc<Node>) {
    let mut backoff = Backoff::for_shared_calls("quarantine");
    join::wait(&node).await;
    if join::has_joined(&node) {
        wait_until_needed(&node).await;
    }
    loop {
        match node.platform.directory.read_quarantine().await {
            Ok(stored) => {
                backoff.succeeded(&node);
                for (subject, term) in stored {
                    quarantine::on_stored(&node, subject, term);
                }
            }
            Err(error) => {
                backoff.failed(&node, &error).await;
                continue;
            }
        }
        wait_until_needed(&node).await;
    }
}

/// Waits until this node is a reader and most peers are silent.
async fn wait_until_needed(node: &Node) {
    loop {
        tokio::time::sleep(Duration::from(PEER_CHECK_MS)).await;
        if !most_peers_live(node) && roles::is_reader(node) {
            return;
        }
    }
}

/// Stores the requests in quarantine again after each renewal of the directory, until the process ends.
/// The older copy may lack them, and a loss of power at all nodes would then lose them. Each request is
/// stored by the node that reviews it.
pub async fn restore_quarantine(node: Rc<Node>) {
    let mut renewals = Renewals::subscribe(&node);
    loop {
        renewals.next(&node).await;
        for request in quarantine::list(&node) {
            if quarantine::is_reviewer(&node, &request.digest) {
                store_quarantine(node.clone(), request.digest);
            }
        }
    }
}

/// Returns true if at least half of the known peers are live.
fn most_peers_live(node: &Node) -> bool {
    node.outbox.live_peer_count() * 2 >= node.outbox.peer_count()
}

/// Stores a quarantine, or its end, in the directory. Retries until that succeeds.
pub fn store_quarantine(node: Rc<Node>, subject: QuarantineSubject) {
    spawn_local(async move {
        let mut backoff = Backoff::new("quarantine");
        loop {
            let term = quarantine::term(&node, &subject);
            let directory = &node.platform.directory;
            let written = directory.write_quarantine(subject, term).await;
            match written {
                Ok(()) => return backoff.succeeded(&node),
                Err(error) => backoff.failed(&node, &error).await,
            }
        }
    });
}
