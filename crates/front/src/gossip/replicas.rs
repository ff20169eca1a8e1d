//! What a datagram tells of the replicas that the directory lists.

use crate::platform::Cursor;
use crate::watch::ReplicasNotice;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a node has just read of the replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ReplicasGossip {
    cursor: Cursor,
    before: Fingerprint,
    after: Fingerprint,
    changes: Vec<ChangeGossip>,
}

/// A change of one replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ChangeGossip {
    /// It is listed so.
    Listed {
        instance: Arc<str>,
        started: ReplicaStart,
        service: Arc<str>,
        address: SocketAddr,
        domain: Arc<str>,
        slots: u32,
        ready: bool,
    },
    /// Its entry is gone.
    Removed(Arc<str>),
    /// An older copy of the directory lacks it.
    Missing(Arc<str>),
}

impl From<ReplicasNotice> for ReplicasGossip {
    fn from(told: ReplicasNotice) -> Self {
        Self {
            cursor: told.cursor,
            before: told.before,
            after: told.after,
            changes: told.changes.into_iter().filter_map(change_gossip).collect(),
        }
    }
}

impl From<ReplicasGossip> for ReplicasNotice {
    fn from(gossip: ReplicasGossip) -> Self {
        Self {
            cursor: gossip.cursor,
            before: gossip.before,
            after: gossip.after,
            changes: gossip.changes.into_iter().map(Into::into).collect(),
        }
    }
}

/// What peers are told of a change; nothing of an entry that can't be read, which changes no table.
fn change_gossip(change: ReplicaChange) -> Option<ChangeGossip> {
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
            }),
        }
    }
}
