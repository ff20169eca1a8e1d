//! What a datagram tells of the replicas that the directory lists.

use crate::outside::Cursor;
use crate::watch::ReplicasTold;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a node has just read of the replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ReplicasNews {
    cursor: Cursor,
    before: Fingerprint,
    after: Fingerprint,
    changes: Vec<ChangeNews>,
}

/// A change of one replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ChangeNews {
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

impl From<ReplicasTold> for ReplicasNews {
    fn from(told: ReplicasTold) -> Self {
        Self {
            cursor: told.cursor,
            before: told.before,
            after: told.after,
            changes: told.changes.into_iter().filter_map(change_news).collect(),
        }
    }
}

impl From<ReplicasNews> for ReplicasTold {
    fn from(news: ReplicasNews) -> Self {
        Self {
            cursor: news.cursor,
            before: news.before,
            after: news.after,
            changes: news.changes.into_iter().map(Into::into).collect(),
        }
    }
}

/// What peers are told of a change; nothing of an entry that can't be read, which changes no table.
fn change_news(change: ReplicaChange) -> Option<ChangeNews> {
    match change {
        ReplicaChange::Unreadable { .. } => None,
        ReplicaChange::Removed(instance) => Some(ChangeNews::Removed(instance)),
        ReplicaChange::Missing(instance) => Some(ChangeNews::Missing(instance)),
        ReplicaChange::Listed(replica) => Some(ChangeNews::Listed {
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

impl From<ChangeNews> for ReplicaChange {
    fn from(news: ChangeNews) -> Self {
        match news {
            ChangeNews::Removed(instance) => Self::Removed(instance),
            ChangeNews::Missing(instance) => Self::Missing(instance),
            ChangeNews::Listed {
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
