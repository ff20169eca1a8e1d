//! The encoding of notices about the directory's replica list.

use crate::platform::Cursor;
use crate::watch::ReplicasNotice;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A notice that the sender has just read the replica list, with the changes that it found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ReplicasGossip {
    cursor: Cursor,
    from: Option<Cursor>,
    relist_left_ms: u32,
    before: Fingerprint,
    after: Fingerprint,
    /// The changes with the offsets of their entries.
    changes: Vec<(u64, ChangeGossip)>,
}

/// A change to one replica's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ChangeGossip {
    /// The replica is listed with these properties.
    Listed {
        instance: Arc<str>,
        started: ReplicaStart,
        service: Arc<str>,
        address: SocketAddr,
        domain: Arc<str>,
        slots: u32,
        ready: bool,
        cold_ms: u32,
    },
    /// The entry of this instance was removed.
    Removed(Arc<str>),
    /// The directory came back from an older copy that lacks this instance.
    Missing(Arc<str>),
}

impl From<ReplicasNotice> for ReplicasGossip {
    fn from(notice: ReplicasNotice) -> Self {
        Self {
            cursor: notice.cursor,
            from: notice.from,
            relist_left_ms: notice.relist_left_ms.0 as u32,
            before: notice.before,
            after: notice.after,
            changes: notice
                .changes
                .into_iter()
                .filter_map(|change| Some((change.offset, change_gossip(change.change)?)))
                .collect(),
        }
    }
}

impl From<ReplicasGossip> for ReplicasNotice {
    fn from(gossip: ReplicasGossip) -> Self {
        Self {
            cursor: gossip.cursor,
            from: gossip.from,
            relist_left_ms: SpanMs(u64::from(gossip.relist_left_ms)),
            before: gossip.before,
            after: gossip.after,
            changes: gossip
                .changes
                .into_iter()
                .map(|(offset, change)| PositionedChange {
                    offset,
                    change: change.into(),
                })
                .collect(),
        }
    }
}

/// Converts a change for sending. Returns `None` for an unreadable entry, which changes no node's
/// table.
pub(crate) fn change_gossip(change: ReplicaChange) -> Option<ChangeGossip> {
    match change {
        ReplicaChange::Unreadable { .. } => None,
        ReplicaChange::Removed(instance) => Some(ChangeGossip::Removed(instance)),
        ReplicaChange::Missing(instance) => Some(ChangeGossip::Missing(instance)),
        ReplicaChange::Listed(replica) => Some(ChangeGossip::Listed {
            instance: replica.instance,
            started: replica.started,
            service: replica.service.0,
            address: replica.address,
            domain: replica.domain.0,
            slots: replica.slots,
            ready: replica.state == ReplicaState::Ready,
            cold_ms: replica.cold_ms.0 as u32,
        }),
    }
}

impl From<ChangeGossip> for ReplicaChange {
    fn from(gossip: ChangeGossip) -> Self {
        match gossip {
            ChangeGossip::Removed(instance) => Self::Removed(instance),
            ChangeGossip::Missing(instance) => Self::Missing(instance),
            ChangeGossip::Listed {
                instance,
                started,
                service,
                address,
                domain,
                slots,
                ready,
                cold_ms,
            } => Self::Listed(Replica {
                instance,
                started,
                service: ServiceName(service),
                address,
                domain: DomainName(domain),
                slots,
                state: match ready {
                    true => ReplicaState::Ready,
                    false => ReplicaState::Draining,
                },
                cold_ms: SpanMs(u64::from(cold_ms)),
            }),
        }
    }
}
