//! The replicas that the directory lists.

use super::era;
use super::pieces::Pieces;
use super::retry::Backoff;
use super::shared::ReplicasNotice;
use crate::journal::Event;
use crate::node::Node;
use crate::platform::ReplicaUpdate;
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

/// How much each peer adds to the span over which those that were told too little spread their reads:
/// what is told next may spare most of them.
const PEER_SPREAD_MS: u64 = 2;

/// The longest such span.
const LONGEST_SPREAD_MS: u64 = 400;

/// Watches the replicas until the process ends.
///
/// A node that can't read, but whose table peers that can confirm, has no reason to ask again.
pub async fn watch_replicas(node: Rc<Node>) {
    let mut backoff = Backoff::new("replicas");
    loop {
        let cursor = node.directory_watch.cursor();
        let read = tokio::select! {
            read = node.platform.directory.read_replicas(cursor) => read,
            // What was asked for while the directory was away is never answered.
            () = node.directory_watch.directory_back.notified() => {
                node.platform.directory.read_replicas(cursor).await
            }
        };
        match read {
            Ok(update) => {
                backoff.succeeded(&node);
                let cursor = update.cursor;
                let renewed = era::on_era(&node, cursor.era);
                let told = take(&node, update, renewed);
                node.directory_watch.on_own_read(cursor, node.now_ms());
                for piece in told {
                    node.outbox.replicas(piece);
                }
                node.on_replicas_read();
                tokio::time::sleep(Duration::from(LEAST_PAUSE_MS)).await;
            }
            Err(error) => {
                node.with(|state| state.replicas.on_directory_lost());
                backoff.failed(&node, &error).await;
            }
        }
        wait_for_age(&node).await;
    }
}

/// Waits until the list has gone unread for long enough, or a peer's differs.
async fn wait_for_age(node: &Node) {
    let due_ms = LEAST_AGE_MS + rand::random_range(0..SPREAD_MS);
    loop {
        let age_ms = node
            .directory_watch
            .age_ms(node.now_ms())
            .map_or(due_ms, |age| age.0);
        let Some(left_ms) = due_ms.checked_sub(age_ms).filter(|left_ms| *left_ms > 0) else {
            return;
        };
        tokio::select! {
            () = node.directory_watch.other_replicas.notified() => {
                let peers = node.outbox.live_peer_count() as u64;
                let spread_ms = (peers * PEER_SPREAD_MS).min(LONGEST_SPREAD_MS);
                let pause_ms = rand::random_range(0..=spread_ms);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                if node.directory_watch.misses_replicas() {
                    return;
                }
            }
            () = tokio::time::sleep(Duration::from_millis(left_ms)) => {}
        }
    }
}

/// Takes a read in, the first of a later era or not; returns what peers are told of it, piece by piece.
fn take(node: &Node, update: ReplicaUpdate, renewed: bool) -> Vec<ReplicasNotice> {
    let now_ms = node.now_ms();
    let mut pieces = Pieces::open(node, update.cursor.era);
    node.with(|state| state.replicas.on_directory_read(now_ms));
    if update.is_snapshot {
        let listed: Vec<Arc<str>> = update.changes.iter().filter_map(listed).collect();
        match renewed {
            false => node.with(|state| state.replicas.retain_listed(&listed, now_ms)),
            true => {
                for instance in node.with(|state| state.replicas.missing_from(&listed)) {
                    let missing = vec![ReplicaChange::Missing(instance)];
                    pieces.add(node, take_changes(node, missing));
                }
            }
        }
    }
    for change in update.changes {
        // What an older copy lists may have left since.
        if renewed && node.with(|state| state.replicas.is_outdated(&change)) {
            continue;
        }
        pieces.add(node, take_changes(node, vec![change]));
    }
    let (awaits_relisting, awaits_rewrites) = node.with(|state| {
        let replicas = &state.replicas;
        (
            replicas.awaits_relisting(now_ms),
            replicas.awaits_rewrites(now_ms),
        )
    });
    // What is missing after an outage may come back: each node judges that by what it saw of it. After a
    // renewal all have seen the same.
    match (update.is_snapshot || awaits_relisting) && !awaits_rewrites {
        true => pieces.unannounced(node, update.cursor),
        false => pieces.close(node, update.cursor),
    }
}

/// Takes changes in; returns those that matter for work.
pub(super) fn take_changes(node: &Node, changes: Vec<ReplicaChange>) -> Vec<ReplicaChange> {
    let now_ms = node.now_ms();
    let mut mattered = Vec::new();
    for change in changes {
        let seen = node.with(|state| state.replicas.apply(change.clone(), now_ms));
        let Some(event) = event_of(seen, &change) else {
            continue;
        };
        node.journal.record(&event);
        if seen != TableEvent::Unusable {
            mattered.push(change);
        }
        if seen == TableEvent::Restarted {
            node.directory_watch.replica_restarted.notify_waiters();
        }
    }
    mattered
}

/// The line that tells of a change; none where nothing changed that matters for work.
fn event_of(seen: TableEvent, change: &ReplicaChange) -> Option<Event> {
    let instance = match change {
        ReplicaChange::Listed(replica) => replica.instance.clone(),
        ReplicaChange::Removed(instance)
        | ReplicaChange::Missing(instance)
        | ReplicaChange::Unreadable { instance, .. } => instance.clone(),
    };
    match (seen, change) {
        (TableEvent::Found, ReplicaChange::Listed(replica)) => Some(Event::ReplicaFound {
            key: replica.key(),
            instance,
            address: replica.address,
        }),
        (TableEvent::Restarted, ReplicaChange::Listed(replica)) => Some(Event::ReplicaRestarted {
            key: replica.key(),
            instance,
            started: replica.started,
        }),
        (TableEvent::Unusable, ReplicaChange::Unreadable { why, .. }) => {
            Some(Event::EntryUnusable {
                instance,
                why: why.clone(),
            })
        }
        (TableEvent::Unusable, _) => Some(Event::EntryUnusable {
            instance,
            why: "its service isn't configured".into(),
        }),
        (TableEvent::Leaving, _) => Some(Event::ReplicaLeaving { instance }),
        (TableEvent::Removed, _) => Some(Event::ReplicaGone { instance }),
        (TableEvent::Relisted, _) => Some(Event::ReplicaRelisted { instance }),
        (TableEvent::Lapsed, _) => Some(Event::ReplicaLapsed { instance }),
        (TableEvent::Unchanged | TableEvent::Found | TableEvent::Restarted, _) => None,
    }
}

fn listed(change: &ReplicaChange) -> Option<Arc<str>> {
    match change {
        ReplicaChange::Listed(replica) => Some(replica.instance.clone()),
        // An entry that can't be read is there all the same: its replica isn't gone for it.
        ReplicaChange::Unreadable { instance, .. } => Some(instance.clone()),
        ReplicaChange::Removed(_) | ReplicaChange::Missing(_) => None,
    }
}
