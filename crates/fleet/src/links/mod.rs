//! Decides if this node has lost its links to the replicas of a service.
//!
//! Load pattern: the network cuts a node off from all replicas for seconds, while callers, peers and
//! the directory still reach it. Each attempt fails as if its replica were gone, and the next one goes
//! to another replica over the same lost links. Replicas that crash, stall for a second or refuse
//! connections for lack of room fail alike, but not all at once.
//!
//! Reason for the limits: one unreachable replica says nothing of the links, and a check of a few others
//! decides within two connect timeouts. The number of connections that a check opens doesn't depend on
//! the number of replicas.
//!
//! Invariants: links are lost only if several replicas could not be reached and none was reached since
//! the first of these attempts began; any contact restores them.

use crate::replicas::ReplicaKey;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// The number of different replicas that must be unreachable in turn, or all replicas of a service that
/// has fewer.
const UNREACHABLE_REPLICAS: usize = 3;

/// The time for which an unreachable replica counts.
const EVIDENCE_MS: SpanMs = SpanMs(3_000);

/// The contact with the replicas of one service.
#[derive(Debug, Default)]
struct ServiceLinks {
    /// The time of the last answer of a replica.
    answered_ms: Option<MonoMs>,
    /// The time at which a replica last answered a request or was reached by a check.
    contact_ms: Option<MonoMs>,
    /// The replicas that could not be reached since then, with the time of the failure.
    unreachable: Vec<(ReplicaKey, MonoMs)>,
    /// The time since which the links are lost.
    lost_ms: Option<MonoMs>,
    is_checking: bool,
}

impl ServiceLinks {
    fn has_contact_since(&self, since_ms: MonoMs) -> bool {
        self.contact_ms.is_some_and(|at_ms| at_ms >= since_ms)
    }
}

/// The contact of this node with the replicas of each service.
#[derive(Debug, Default)]
pub struct Links {
    services: FxHashMap<ServiceName, ServiceLinks>,
}

impl Links {
    fn service(&mut self, service: &ServiceName) -> &mut ServiceLinks {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceLinks::default());
        }
        self.services.get_mut(service).expect("it was inserted")
    }

    /// Records that a check reached a replica of `service`. Returns the time for which the links were lost,
    /// if they were.
    pub fn on_contact(&mut self, service: &ServiceName, now_ms: MonoMs) -> Option<SpanMs> {
        let links = self.service(service);
        links.contact_ms = Some(now_ms);
        links.unreachable.clear();
        links.lost_ms.take().map(|at_ms| now_ms.since(at_ms))
    }

    /// Records that a replica of `service` answered, whatever it answered. Returns the time for which
    /// the links were lost, if they were.
    pub fn on_answer(&mut self, service: &ServiceName, now_ms: MonoMs) -> Option<SpanMs> {
        self.service(service).answered_ms = Some(now_ms);
        self.on_contact(service, now_ms)
    }

    /// Records that an attempt or a check which began at `began_ms` could not reach a replica of
    /// `service`, of which `replicas` replicas can be checked. Returns true if the links are lost from
    /// now on.
    pub fn on_unreachable(
        &mut self,
        service: &ServiceName,
        replica: ReplicaKey,
        began_ms: MonoMs,
        replicas: usize,
        now_ms: MonoMs,
    ) -> bool {
        let links = self.service(service);
        if links.has_contact_since(began_ms) {
            return false;
        }
        links
            .unreachable
            .retain(|(key, at_ms)| *key != replica && now_ms.since(*at_ms) < EVIDENCE_MS);
        links.unreachable.push((replica, now_ms));
        let is_lost = links.unreachable.len() >= UNREACHABLE_REPLICAS.min(replicas);
        if !is_lost || links.lost_ms.is_some() {
            return false;
        }
        links.lost_ms = Some(now_ms);
        true
    }

    /// Returns true if other replicas of `service` are to be checked, because an attempt that began at
    /// `began_ms` failed. A check is under way until [`Links::end_check`].
    pub fn begin_check(&mut self, service: &ServiceName, began_ms: MonoMs) -> bool {
        let links = self.service(service);
        let is_needed =
            !links.is_checking && links.lost_ms.is_none() && !links.has_contact_since(began_ms);
        links.is_checking |= is_needed;
        is_needed
    }

    /// Records that the check of a service has ended.
    pub fn end_check(&mut self, service: &ServiceName) {
        self.service(service).is_checking = false;
    }

    /// Returns the number of further replicas that a check of `service` must find unreachable.
    pub fn missing_evidence(&mut self, service: &ServiceName, now_ms: MonoMs) -> usize {
        let links = self.service(service);
        links
            .unreachable
            .retain(|(_, at_ms)| now_ms.since(*at_ms) < EVIDENCE_MS);
        UNREACHABLE_REPLICAS.saturating_sub(links.unreachable.len())
    }

    /// Returns true if a replica of `service` is known to be unreachable by a recent attempt.
    pub fn is_unreachable(&self, service: &ServiceName, replica: ReplicaKey) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|links| links.unreachable.iter().any(|(key, _)| *key == replica))
    }

    /// Returns true if the links to the replicas of `service` are lost.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|links| links.lost_ms.is_some())
    }

    /// Returns the services whose links are lost.
    pub fn lost(&self) -> Vec<ServiceName> {
        let lost = self.services.iter();
        let lost = lost.filter(|(_, links)| links.lost_ms.is_some());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Returns true if a replica of `service` was reached at `since_ms` or later.
    pub fn has_contact_since(&self, service: &ServiceName, since_ms: MonoMs) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|links| links.has_contact_since(since_ms))
    }

    /// Returns the time since a replica of `service` last answered, or `None` if none has.
    pub fn answer_age_ms(&self, service: &ServiceName, now_ms: MonoMs) -> Option<SpanMs> {
        let answered_ms = self.services.get(service)?.answered_ms?;
        Some(now_ms.since(answered_ms))
    }

    /// Drops the services that `is_configured` doesn't name.
    pub fn retain(&mut self, is_configured: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }
}
