//! Checks if this node reaches the replicas of its services, and restores its use of them after a cut.
//!
//! Terms: the *links* of a service are the paths from this node to its replicas.
//!
//! Load pattern: see [`bluebell_fleet::links`].
//!
//! Invariants: a check opens a bounded number of connections; at most one runs for a service. Failures of
//! lost links don't count against replicas.

use crate::http::Freshness;
use crate::journal::Event;
use crate::node::Node;
use crate::{limits, signals};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bytes::Bytes as Buffer;
use futures_util::future::join_all;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use rand::seq::{IndexedRandom, SliceRandom};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The interval at which a replica of a service whose links are lost is tried again.
pub const RETRY_INTERVAL_MS: SpanMs = SpanMs(500);

/// The share of that interval that is added at random, so that nodes whose links are restored together
/// don't connect together.
const RETRY_SPREAD: f64 = 0.4;

/// The number of services that are tried again in each interval. The first that is reached lets all others
/// be tried at once.
const RETRIED_SERVICES: usize = 4;

/// The time within which a replica must answer a probe. A sound one takes a few ms.
const PROBE_TIMEOUT_MS: SpanMs = SpanMs(400);

/// The maximum size of the answer to a probe, in bytes.
const MAX_PROBE_BYTES: usize = 64 * 1024;

/// The time after which a connection that opens is known not to be reset at once: two hops to a replica.
const RESET_DELAY_MS: SpanMs = SpanMs(20);

/// The state that the checks share.
#[derive(Debug, Default)]
pub struct LinkChecks {
    /// Notified when the links of a service are lost.
    lost: Notify,
    is_retrying: Cell<bool>,
}

/// Records that a replica of `service` answered.
pub fn on_answer(node: &Node, service: &ServiceName) {
    let now_ms = node.now_ms();
    let lost_ms = node.with(|state| state.links.on_answer(service, now_ms));
    record_restored(node, service, lost_ms);
}

/// Records that a replica of `service` was reached by a check.
fn on_contact(node: &Node, service: &ServiceName) {
    let now_ms = node.now_ms();
    let lost_ms = node.with(|state| state.links.on_contact(service, now_ms));
    record_restored(node, service, lost_ms);
}

fn record_restored(node: &Node, service: &ServiceName, lost_ms: Option<SpanMs>) {
    if let Some(lost_ms) = lost_ms {
        node.journal.record(&Event::LinksRestored {
            service: service.clone(),
            lost_ms,
            lost: node.with(|state| state.links.lost().len()),
        });
    }
}

/// Records that an attempt which began at `began_ms` could not reach its replica, and checks others.
pub fn on_unreachable(node: &Rc<Node>, replica: &Replica, began_ms: MonoMs) {
    let now_ms = node.now_ms();
    let service = &replica.service;
    // A replica that may not be sent anything can't be evidence.
    let mut replicas = checkable(node, service);
    replicas.retain(|other| other.key() != replica.key());
    let replicas = replicas.len() + 1;
    let is_lost = node.with(|state| {
        state
            .links
            .on_unreachable(service, replica.key(), began_ms, replicas, now_ms)
    });
    match is_lost {
        true => on_lost(node, service),
        false => suspect(node, service, began_ms),
    }
}

/// Checks the links of a service because an attempt that began at `began_ms` got no answer, unless a
/// replica was reached since then.
pub fn suspect(node: &Rc<Node>, service: &ServiceName, began_ms: MonoMs) {
    if node.with(|state| state.links.begin_check(service, began_ms)) {
        spawn_local(check(node.clone(), service.clone()));
    }
}

/// Checks one replica of a service and, if it can't be reached, as many others at once as are needed to
/// decide.
async fn check(node: Rc<Node>, service: ServiceName) {
    let mut count = 1;
    loop {
        let now_ms = node.now_ms();
        let missing = node.with(|state| state.links.missing_evidence(&service, now_ms));
        let replicas = unchecked(&node, &service, count.min(missing));
        if replicas.is_empty() || node.with(|state| state.links.is_lost(&service)) {
            break;
        }
        let reached = replicas.iter().map(|replica| reach(&node, replica));
        if join_all(reached).await.contains(&true) {
            break;
        }
        count = missing;
    }
    node.with(|state| state.links.end_check(&service));
}

/// Draws up to `count` replicas of a service that aren't known to be unreachable.
fn unchecked(node: &Node, service: &ServiceName, count: usize) -> Vec<Arc<Replica>> {
    let mut replicas = checkable(node, service);
    node.with(|state| {
        replicas.retain(|replica| !state.links.is_unreachable(service, replica.key()));
    });
    replicas.shuffle(&mut rand::rng());
    replicas.truncate(count);
    replicas
}

/// Returns the replicas of a service that accept work.
fn ready(node: &Node, service: &ServiceName) -> Vec<Arc<Replica>> {
    node.with(|state| {
        let ready = state.replicas.ready(service).into_iter();
        ready.map(|(_, replica, _)| replica.clone()).collect()
    })
}

/// Returns the replicas of a service that accept work and that this node may send something to now.
fn checkable(node: &Node, service: &ServiceName) -> Vec<Arc<Replica>> {
    limits::update_shares(node);
    let mut replicas = ready(node, service);
    replicas.retain(|replica| may_send(node, replica));
    replicas
}

/// Checks if a replica can be reached, and records the result.
async fn reach(node: &Rc<Node>, replica: &Replica) -> bool {
    let began_ms = node.now_ms();
    let is_reached = match probe_request(node, replica) {
        Some(request) => probe(node, replica.address, request).await.is_some(),
        None => open(node, replica).await,
    };
    match is_reached {
        true => on_contact(node, &replica.service),
        false => on_unreachable(node, replica, began_ms),
    }
    is_reached
}

/// Returns true if this node may send a replica something now: it isn't backing off, and its limits leave room.
fn may_send(node: &Node, replica: &Replica) -> bool {
    let key = replica.key();
    let now_ms = node.now_ms();
    node.with(|state| {
        let admits = |limits: &Limits| limits.admission(key, now_ms) == Admission::Now;
        admits(&state.limits)
            && admits(&state.cold_limits)
            && !state.replica_backoffs.is_backing_off(key, now_ms)
    })
}

/// Returns the request that a replica answers without work: for an engine its report, for a plain replica
/// its health. `None` if it has none.
fn probe_request(node: &Node, replica: &Replica) -> Option<Request<Full<Buffer>>> {
    let dialect = &node.platform.dialect;
    let config = node.with(|state| state.config.clone())?;
    let service = config.service(&replica.service)?;
    match &service.engine {
        Some(_) => Some(dialect.report_request(replica.address)),
        None => dialect.health_request(replica.address, service.health_path.as_ref()?),
    }
}

/// What serves at a replica's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occupant {
    /// Nothing that answers a probe well. Something may accept connections in the replica's place.
    None,
    /// A replica that doesn't name itself.
    Unnamed,
    /// This instance of the replica.
    Same,
    /// Another instance.
    Other,
}

/// Returns what serves at a replica's address.
pub async fn occupant(node: &Rc<Node>, replica: &Replica) -> Occupant {
    let request = probe_request(node, replica).filter(|_| may_send(node, replica));
    let Some(request) = request else {
        return Occupant::None;
    };
    let answer = probe(node, replica.address, request).await;
    let Some(answer) = answer.filter(|answer| answer.status.is_success()) else {
        return Occupant::None;
    };
    match answer.instance {
        None => Occupant::Unnamed,
        Some(instance) if instance == replica.instance => Occupant::Same,
        Some(_) => Occupant::Other,
    }
}

/// An answer to a probe.
#[derive(Debug)]
struct ProbeAnswer {
    status: StatusCode,
    /// The instance that answered, or `None` if it doesn't name itself.
    instance: Option<Arc<str>>,
}

/// Sends a probe on a new connection. Returns `None` if no answer comes in time.
async fn probe(
    node: &Rc<Node>,
    address: SocketAddr,
    request: Request<Full<Buffer>>,
) -> Option<ProbeAnswer> {
    let answer = send_probe(node, address, request);
    let answer = tokio::time::timeout(Duration::from(PROBE_TIMEOUT_MS), answer);
    answer.await.ok()?
}

async fn send_probe(
    node: &Rc<Node>,
    address: SocketAddr,
    request: Request<Full<Buffer>>,
) -> Option<ProbeAnswer> {
    let mut link = node.pool.lease(address, Freshness::New).await.ok()?;
    limits::on_sent_to_address(node, address);
    let sent_ms = node.now_ms();
    let answer = link.send(request).await.ok()?;
    let status = answer.status();
    let dialect = &node.platform.dialect;
    let instance = dialect.healthy_instance(answer.headers());
    let answered = dialect.signals(status.as_u16(), answer.headers());
    // A refusal without a limit doesn't end one: another replica may have the address now.
    if status.is_success() || answered.limit != LimitSignal::Absent {
        signals::on_answer_at(node, address, &answered, Source::Probe, sent_ms);
    }
    let body = Limited::new(answer.into_body(), MAX_PROBE_BYTES);
    if body.collect().await.is_ok() {
        node.pool.give_back(link, None);
    }
    Some(ProbeAnswer { status, instance })
}

/// Opens a connection to a replica that can't be probed, and keeps it if it isn't reset at once.
async fn open(node: &Rc<Node>, replica: &Replica) -> bool {
    match node.pool.lease(replica.address, Freshness::New).await {
        Ok(link) => {
            tokio::time::sleep(Duration::from(RESET_DELAY_MS)).await;
            let is_usable = link.is_usable();
            if is_usable {
                node.pool.give_back(link, None);
            }
            is_usable
        }
        Err(error) => {
            log::debug!("replica {} can't be reached: {error}", replica.instance);
            false
        }
    }
}

/// The number of other replicas that are tried at once to find out if this node reaches any.
const TRIED_REPLICAS: usize = 3;

/// Returns true if another replica of the same service can be reached than this one, which can't. Without another
/// one that may be tried nothing shows that this node's links are whole.
pub async fn reaches_another(node: &Rc<Node>, replica: &Replica) -> bool {
    let mut others = checkable(node, &replica.service);
    others.retain(|other| other.key() != replica.key());
    others.shuffle(&mut rand::rng());
    others.truncate(TRIED_REPLICAS);
    let reached = others.iter().map(|other| reach(node, other));
    join_all(reached).await.contains(&true)
}

/// Lets requests for a service whose links are lost go to peers.
fn on_lost(node: &Rc<Node>, service: &ServiceName) {
    let now_ms = node.now_ms();
    node.with(|state| state.replicas.clear_doubts(service));
    for replica in ready(node, service) {
        node.pool.forget(replica.address);
    }
    let answer_age_ms = node.with(|state| state.links.answer_age_ms(service, now_ms));
    node.journal.record(&Event::LinksLost {
        service: service.clone(),
        answer_age_ms,
        peers: node.outbox.live_peer_count(),
        lost: node.with(|state| state.links.lost().len()),
    });
    node.link_checks.lost.notify_waiters();
    // What cut the replicas of one service off usually cuts off those of all.
    for other in services(node) {
        suspect(node, &other, now_ms);
    }
    if !node.link_checks.is_retrying.replace(true) {
        spawn_local(retry(node.clone()));
    }
}

/// Returns the configured services.
fn services(node: &Node) -> Vec<ServiceName> {
    node.with(|state| {
        let config = state.config.as_ref();
        let services = config.into_iter().flat_map(|config| config.services());
        services.map(|service| service.name.clone()).collect()
    })
}

/// Tries replicas of services whose links are lost at intervals, until all are restored.
async fn retry(node: Rc<Node>) {
    loop {
        let mut lost = node.with(|state| state.links.lost());
        if lost.is_empty() {
            break;
        }
        let spread = 1.0 + RETRY_SPREAD * rand::random::<f64>();
        tokio::time::sleep(Duration::from(RETRY_INTERVAL_MS.mul_f64(spread))).await;
        lost.shuffle(&mut rand::rng());
        let rest = lost.split_off(lost.len().min(RETRIED_SERVICES));
        if reach_any(&node, &lost).await {
            reach_any(&node, &rest).await;
        }
    }
    node.link_checks.is_retrying.set(false);
}

/// Checks one replica of each service. Returns true if one could be reached.
async fn reach_any(node: &Rc<Node>, services: &[ServiceName]) -> bool {
    let replicas = services.iter().filter_map(|service| {
        let replicas = checkable(node, service);
        replicas.choose(&mut rand::rng()).cloned()
    });
    let replicas: Vec<Arc<Replica>> = replicas.collect();
    let reached = replicas.iter().map(|replica| reach(node, replica));
    join_all(reached).await.contains(&true)
}

/// Waits until the links of a service are lost.
pub async fn wait_until_lost(node: &Node, service: &ServiceName) {
    loop {
        let lost = node.link_checks.lost.notified();
        if node.with(|state| state.links.is_lost(service)) {
            return;
        }
        lost.await;
    }
}
