//! The requests in quarantine that the directory remembers, for nodes that can't hear of them from
//! peers: after power was lost at all of them, and while most are cut off.

use super::era::Renewals;
use super::retry::Backoff;
use crate::node::Node;
use crate::quarantine;
use bluebell_base::prelude::*;
use bluebell_quarantine::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How often a node looks whether it hears too few peers to learn from them, and reads where it does:
/// within the three seconds after which a fatal request must be known.
const LOOK_MS: SpanMs = SpanMs(2_000);

/// Reads what the directory remembers, once at the start and while most peers are silent.
pub async fn watch_quarantine(node: Rc<Node>) {
    let mut backoff = Backoff::new("quarantine");
    loop {
        match node.platform.directory.read_quarantine().await {
            Ok(stored) => {
                backoff.succeeded(&node);
                for (digest, term) in stored {
                    quarantine::on_stored(&node, digest, term);
                }
            }
            Err(error) => {
                backoff.failed(&node, &error).await;
                continue;
            }
        }
        tokio::time::sleep(Duration::from(LOOK_MS)).await;
        while hears_most(&node) {
            tokio::time::sleep(Duration::from(LOOK_MS)).await;
        }
    }
}

/// Stores what is in quarantine again after each renewal of the directory, until the process ends: the
/// older copy may lack it, and a loss of power at all nodes would forget it. The node that reviews a
/// request does that.
pub async fn restore_quarantine(node: Rc<Node>) {
    let mut renewals = Renewals::of(&node);
    loop {
        renewals.next(&node).await;
        for request in quarantine::list(&node) {
            if quarantine::is_reviewer(&node, &request.digest) {
                store_quarantine(node.clone(), request.digest);
            }
        }
    }
}

fn hears_most(node: &Node) -> bool {
    node.outbox.live_peer_count() * 2 >= node.outbox.peer_count()
}

/// Tells the directory how a request stands, until it knows.
pub fn store_quarantine(node: Rc<Node>, digest: RequestDigest) {
    spawn_local(async move {
        let mut backoff = Backoff::new("quarantine");
        loop {
            let term = node.with(|state| state.quarantine.term(&digest));
            let written = node.platform.directory.write_quarantine(digest, term).await;
            match written {
                Ok(()) => return backoff.succeeded(&node),
                Err(error) => backoff.failed(&node, &error).await,
            }
        }
    });
}
