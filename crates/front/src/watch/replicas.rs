//! Keeps the table of replicas up to date with the directory's list.
//!
//! Load pattern: every node must know within two seconds that a replica leaves, and hundreds of nodes that
//! each read the list would call the directory hundreds of times a second.
//!
//! Reason for the limits: the readers read the list in turn and notify all peers, so the number of reads
//! doesn't depend on the number of nodes. Followers read only if no notice arrives in time.

use super::era;
use super::join;
use super::notices::{NoticeBuilder, ReadSpan};
use super::retry::Backoff;
use super::roles;
use super::shared::ReplicasNotice;
use crate::journal::Event;
use crate::node::Node;
use crate::platform::{Cursor, ReplicaUpdate};
use bluebell_base::prelude::*;
use bluebell_fleet::distribution;
use bluebell_fleet::prelude::*;
use bluebell_fleet::replicas::TableEvent;
use std::rc::Rc;
use std::time::Duration;

/// The minimum pause between two reads. Otherwise two nodes whose tables stay different for a while
/// would make each other read continuously.
const MIN_PAUSE_MS: SpanMs = SpanMs(250);

/// The time in milliseconds that each peer adds to the span over which nodes that missed a notice spread
/// their copies and reads.
const PEER_SPREAD_MS: u64 = 2;

/// The maximum of that span, in milliseconds.
const MAX_SPREAD_MS: u64 = 400;

/// Watches the replicas until the process ends.
///
/// A node that can't read the directory doesn't retry while notices from peers confirm its table.
pub async fn watch_replicas(node: Rc<Node>) {
    let mut backoff = Backoff::for_shared_calls("replicas");
    let mut next_call_ms = MonoMs(0);
    join::wait(&node).await;
    if node.directory_watch.cursor().is_some() {
        wait_until_due(&node, next_call_ms).await;
    }
    loop {
        let cursor_before = node.directory_watch.cursor();
        let read = tokio::select! {
            read = node.platform.directory.read_replicas(cursor_before) => read,
            // A read that was sent during the directory's outage is never answered.
            () = node.directory_watch.directory_back.notified() => {
                node.platform.directory.read_replicas(cursor_before).await
            }
        };
        match read {
            Ok(update) => {
                backoff.succeeded(&node);
                let cursor = update.cursor;
                let renewed = era::on_era(&node, cursor.era);
                let notices = apply_update(&node, cursor_before, update, renewed);
                node.directory_watch.on_own_read(cursor, node.now_ms());
                node.directory_watch.on_list_read();
                for notice in notices {
                    node.outbox.replicas(notice);
                }
                node.on_replicas_read();
                tokio::time::sleep(Duration::from(MIN_PAUSE_MS)).await;
            }
            Err(error) => {
                node.with(|state| state.replicas.on_directory_lost());
                next_call_ms = node.now_ms() + backoff.on_failed(&node, &error);
            }
        }
        wait_until_due(&node, next_call_ms).await;
    }
}

/// Waits until this node must read the list: it is due by age, or a peer has read more of it and no peer
/// provides a copy. Returns at `next_call_ms` at the earliest.
async fn wait_until_due(node: &Rc<Node>, next_call_ms: MonoMs) {
    let draw: f64 = rand::random();
    let mut must_read = false;
    loop {
        must_read &= node.directory_watch.peer_has_read_more();
        let now_ms = node.now_ms();
        let due_ms = distribution::list_due_age(roles::follower_interval(node), draw);
        let age_ms = node.directory_watch.age_ms(now_ms);
        let by_age_ms = age_ms.map_or(SpanMs::ZERO, |age_ms| {
            SpanMs(due_ms.0.saturating_sub(age_ms.0))
        });
        let by_age_ms = if must_read { SpanMs::ZERO } else { by_age_ms };
        let left_ms = by_age_ms.max(next_call_ms.since(now_ms));
        if left_ms == SpanMs::ZERO {
            return;
        }
        tokio::select! {
            () = node.directory_watch.replicas_differ.notified() => {
                let peers = node.outbox.live_peer_count() as u64;
                let spread_ms = (peers * PEER_SPREAD_MS).min(MAX_SPREAD_MS);
                let pause_ms = rand::random_range(0..=spread_ms);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                if node.directory_watch.peer_has_read_more() {
                    let may_call = node.now_ms() >= next_call_ms;
                    must_read = !copy_from_peers(node, may_call).await;
                }
            }
            () = tokio::time::sleep(Duration::from(left_ms)) => {}
        }
    }
}

/// Copies the list from a peer that has read more of it. Returns true if the node then knows as much. A reader
/// that may call the directory doesn't copy.
async fn copy_from_peers(node: &Rc<Node>, may_call: bool) -> bool {
    if may_call && roles::is_reader(node) {
        return false;
    }
    join::copy_state(node).await;
    !node.directory_watch.peer_has_read_more()
}

/// Applies a read to the table. `renewed` is true if it is the first read of a later era. Returns the
/// notices for peers.
fn apply_update(
    node: &Node,
    cursor_before: Option<Cursor>,
    update: ReplicaUpdate,
    renewed: bool,
) -> Vec<ReplicasNotice> {
    let now_ms = node.now_ms();
    let end = update.cursor;
    let from = cursor_before.filter(|_| !update.is_snapshot);
    let mut notices = NoticeBuilder::open(node, ReadSpan { from, end });
    node.with(|state| state.replicas.on_directory_read(now_ms));
    if update.is_snapshot {
        let changes = update.changes.iter().map(|positioned| &positioned.change);
        let listed: Vec<Arc<str>> = changes.filter_map(listed_instance).collect();
        match renewed {
            false => node.with(|state| state.replicas.retain_listed(&listed, end, now_ms)),
            true => {
                for instance in node.with(|state| state.replicas.missing_from(&listed, end)) {
                    let change = ReplicaChange::Missing(instance);
                    apply_change(node, change.clone(), ChangePosition::UNKNOWN);
                    notices.add(node, PositionedChange { offset: 0, change });
                }
            }
        }
    }
    // Peers' notices may have arrived during the read. What they brought is not applied again, but it belongs
    // to the notices of this read, which claim to be complete.
    let known = node.directory_watch.cursor();
    let applied_to = known.filter(|known| from.is_some() && known.era == end.era);
    let applied_to = applied_to.map_or(0, |known| known.offset);
    for positioned in update.changes {
        let PositionedChange { offset, change } = &positioned;
        if *offset < applied_to {
            notices.add(node, positioned);
            continue;
        }
        // A replica that the older copy lists may have left since.
        if renewed && node.with(|state| state.replicas.is_outdated(change)) {
            continue;
        }
        let written_at = Cursor {
            offset: *offset,
            ..end
        };
        let position = match update.is_snapshot {
            true => ChangePosition::in_list(written_at, end),
            false => ChangePosition::in_history(written_at),
        };
        if apply_change(node, change.clone(), position) {
            notices.add(node, positioned);
        }
    }
    let awaits_rewrites = node.with(|state| state.replicas.awaits_rewrites(now_ms));
    // A list of all replicas doesn't tell what changed. After a renewal all nodes have observed the same.
    match update.is_snapshot && !awaits_rewrites {
        true => notices.finish_without_changes(node),
        false => notices.finish(node),
    }
}

/// Applies a change to the table. Returns true if it may change another node's table, as all do but repeated
/// and unusable entries. An entry may be gone from this table for a reason that other nodes don't know.
pub(super) fn apply_change(node: &Node, change: ReplicaChange, position: ChangePosition) -> bool {
    let now_ms = node.now_ms();
    let result = node.with(|state| state.replicas.apply_at(change.clone(), position, now_ms));
    if let Some(event) = event_of(result, &change) {
        node.journal.record(&event);
    }
    if let ReplicaChange::Listed(replica) = &change
        && matches!(result, TableEvent::Found | TableEvent::Restarted)
    {
        // Connections that are kept to this address are those of an earlier replica.
        node.pool.forget(replica.address);
        log_displaced(node, replica);
    }
    if result == TableEvent::Restarted {
        node.directory_watch.replica_restarted.notify_waiters();
    }
    let is_repeated = result == TableEvent::Unchanged && matches!(change, ReplicaChange::Listed(_));
    result != TableEvent::Unusable && !is_repeated
}

/// Logs the replicas that have lost their address to another one, now that `replica` was listed there.
fn log_displaced(node: &Node, replica: &Replica) {
    let displaced: Vec<Arc<str>> = node.with(|state| {
        let displaced = state.replicas.displaced_from(replica.address);
        displaced.map(|replica| replica.instance.clone()).collect()
    });
    for instance in displaced {
        node.journal.record(&Event::ReplicaDisplaced {
            instance,
            address: replica.address,
        });
    }
}

/// Returns the log event for a change, or `None` if the change doesn't affect which replicas can be
/// used.
fn event_of(result: TableEvent, change: &ReplicaChange) -> Option<Event> {
    let instance = match change {
        ReplicaChange::Listed(replica) => replica.instance.clone(),
        ReplicaChange::Removed(instance)
        | ReplicaChange::Missing(instance)
        | ReplicaChange::Unreadable { instance, .. } => instance.clone(),
    };
    match (result, change) {
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
        (
            TableEvent::Unchanged | TableEvent::Updated | TableEvent::Found | TableEvent::Restarted,
            _,
        ) => None,
    }
}

/// Returns the instance of an entry that is present in the directory.
pub(super) fn listed_instance(change: &ReplicaChange) -> Option<Arc<str>> {
    match change {
        ReplicaChange::Listed(replica) => Some(replica.instance.clone()),
        // An unreadable entry is still present, so its replica isn't gone.
        ReplicaChange::Unreadable { instance, .. } => Some(instance.clone()),
        ReplicaChange::Removed(_) | ReplicaChange::Missing(_) => None,
    }
}
