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

/// How often the list is read: a replica that leaves must get no new work two seconds later.
const EVERY_MS: SpanMs = SpanMs(1_000);

/// Watches the replicas until the process ends.
pub async fn watch_replicas(node: Rc<Node>) {
    let mut cursor = None;
    let mut backoff = Backoff::new("replicas");
    loop {
        match node.outside.directory.read_replicas(cursor).await {
            Ok(news) => {
                backoff.succeeded(&node);
                cursor = Some(news.cursor);
                take(&node, news);
                node.on_replicas_read();
                tokio::time::sleep(Duration::from(EVERY_MS)).await;
            }
            Err(error) => {
                node.with(|state| state.replicas.on_directory_lost());
                backoff.failed(&node, &error).await;
            }
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
