//! Follows this node's warm-up, in which it places work without knowing that of its peers.
//!
//! Invariants: a warm-up begins once, when the node is able to serve, and ends within
//! [`MAX_WARM_UP_MS`](bluebell_fleet::startup::MAX_WARM_UP_MS).

use crate::journal::Event;
use crate::node::Node;
use crate::watch;
use bluebell_base::prelude::*;
use bluebell_fleet::fanout::digest_interval;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The interval at which the node checks if its knowledge is complete.
const CHECK_INTERVAL_MS: SpanMs = SpanMs(25);

/// Runs the warm-up of this node, from the moment at which it is able to serve to its end.
pub async fn warm_up(node: Rc<Node>) {
    node.wait_until_initialized().await;
    begin(&node);
    let began_ms = node.now_ms();
    while !end_if_known(&node, began_ms) {
        tokio::time::sleep(Duration::from(CHECK_INTERVAL_MS)).await;
    }
}

fn begin(node: &Rc<Node>) {
    let now_ms = node.now_ms();
    let (baselines, from_peer) = node.with(|state| {
        state.startup.begin(now_ms);
        let baselines = &state.startup.baselines;
        (baselines.len(), baselines.are_from_peer())
    });
    node.journal.record(&Event::WarmUpBegan {
        peers: node.outbox.knowledge().known,
        baselines,
        from_peer,
    });
    if !from_peer {
        spawn_local(watch::read_engine_work(node.clone()));
    }
}

/// Ends the warm-up if the node knows enough. Returns true if it did.
fn end_if_known(node: &Node, began_ms: MonoMs) -> bool {
    let now_ms = node.now_ms();
    let peers = node.outbox.knowledge();
    let digest_interval_ms = digest_interval(node.outbox.peer_count());
    let (end, baselines) = node.with(|state| {
        let baselines = state.startup.baselines.len();
        let end = state.startup.update(peers, digest_interval_ms, now_ms);
        (end, baselines)
    });
    let Some(end) = end else {
        return false;
    };
    node.journal.record(&Event::WarmUpEnded {
        how: end.as_str(),
        took_ms: now_ms.since(began_ms),
        peers: peers.known,
        digests: peers.with_digest,
        baselines,
    });
    true
}
