//! The replicas that the directory lists.

use super::retry::Backoff;
use crate::journal::Event;
use crate::node::Node;
use crate::outside::ReplicaNews;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_fleet::replicas::TableEvent;
use std::rc::Rc;
use std::time::Duration;

/// How long the list may go unread by all nodes: a replica that leaves must get no new work two
/// seconds later.
const LEAST_AGE_MS: u64 = 700;

/// The span over which nodes spread their reads, so that mostly one reads for all.
const SPREAD_MS: u64 = 500;

/// The shortest pause between two reads: two nodes whose tables stay different for a while would
/// else make each other read without end.
const LEAST_PAUSE_MS: SpanMs = SpanMs(250);

/// Watches the replicas until the process ends.
pub async fn watch_replicas(node: Rc<Node>) {
    let mut backoff = Backoff::new("replicas");
    loop {
        let cursor = node.watching.cursor();
        match node.outside.directory.read_replicas(cursor).await {
            Ok(news) => {
                backoff.succeeded(&node);
                let cursor = news.cursor;
                take(&node, news);
                node.watching.on_own_read(cursor, node.now_ms());
                let fingerprint = node.with(|state| state.replicas.fingerprint());
                node.outbox.replicas(cursor, fingerprint);
                node.on_replicas_read();
                wait_for_age(&node).await;
            }
            Err(error) => {
                node.with(|state| state.replicas.on_directory_lost());
                backoff.failed(&node, &error).await;
            }
        }
    }
}

/// Waits until the list has gone unread for long enough, or a peer's differs.
async fn wait_for_age(node: &Node) {
    tokio::time::sleep(Duration::from(LEAST_PAUSE_MS)).await;
    let due_ms = LEAST_AGE_MS + rand::random_range(0..SPREAD_MS);
    loop {
        let age_ms = node
            .watching
            .age_ms(node.now_ms())
            .map_or(due_ms, |age| age.0);
        let Some(left_ms) = due_ms.checked_sub(age_ms).filter(|left_ms| *left_ms > 0) else {
            return;
        };
        tokio::select! {
            () = node.watching.other_replicas.notified() => return,
            () = tokio::time::sleep(Duration::from_millis(left_ms)) => {}
        }
    }
}

fn take(node: &Node, news: ReplicaNews) {
    let now_ms = node.now_ms();
    node.with(|state| state.replicas.on_directory_read(now_ms));
    if news.whole {
        let listed: Vec<Arc<str>> = news.changes.iter().filter_map(listed).collect();
        node.with(|state| state.replicas.retain_listed(&listed, now_ms));
    }
    for change in news.changes {
        let (instance, address) = match &change {
            ReplicaChange::Listed(replica) => (replica.instance.clone(), Some(replica.address)),
            ReplicaChange::Removed(instance) => (instance.clone(), None),
        };
        let event = match node.with(|state| state.replicas.apply(change, now_ms)) {
            TableEvent::Unchanged => continue,
            TableEvent::Found => match address {
                Some(address) => Event::ReplicaFound {
                    key: ReplicaKey::of(&instance),
                    instance,
                    address,
                },
                None => continue,
            },
            TableEvent::Leaving => Event::ReplicaLeaving { instance },
            TableEvent::Removed => Event::ReplicaGone { instance },
            TableEvent::Lapsed => Event::ReplicaLapsed { instance },
        };
        node.journal.tell(&event);
    }
}

fn listed(change: &ReplicaChange) -> Option<Arc<str>> {
    match change {
        ReplicaChange::Listed(replica) => Some(replica.instance.clone()),
        ReplicaChange::Removed(_) => None,
    }
}
