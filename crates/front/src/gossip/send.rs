//! Sends queued gossip and periodic digests.

use super::GATHER_MS;
use super::message::{Generation, Gossip, Origin, WorkGossip, digest, pack};
use crate::journal::Event;
use crate::limits;
use crate::node::Node;
use crate::returns;
use bluebell_base::prelude::*;
use bluebell_fleet::fanout::{GossipKind, batch_delay, digest_interval};
use bluebell_fleet::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Sends queued gossip, and a digest at regular intervals, until the process ends.
pub async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut digest_at = Instant::now();
    loop {
        tokio::select! {
            () = node.outbox.urgent.notified() => gather().await,
            () = node.outbox.deferred.notified() => tokio::select! {
                () = node.outbox.urgent.notified() => gather().await,
                () = tokio::time::sleep(Duration::from(batch_delay(node.outbox.peer_count()))) => {}
            },
            () = digest_due(&node, digest_at) => {
                let every_ms = digest_interval(node.outbox.peer_count());
                digest_at = Instant::now() + Duration::from(every_ms);
                drop_silent(&node);
                let draw = rand::random();
                send_to_all(&node, &socket, own_digest(&node), GossipKind::Digest { draw });
            }
        }
        let mut gossip = node.outbox.take();
        gossip.extend(
            returns::take_unsent(&node)
                .into_iter()
                .map(Gossip::Promises),
        );
        if !gossip.is_empty() {
            send_to_all(&node, &socket, gossip, GossipKind::Change);
        }
    }
}

/// Waits until the next digest is due, or until new peers are to be told of this node.
async fn digest_due(node: &Node, digest_at: Instant) {
    tokio::select! {
        () = tokio::time::sleep_until(digest_at) => {}
        () = node.outbox.introduction.notified() => {}
    }
}

/// Waits for [`GATHER_MS`], while more gossip is queued.
async fn gather() {
    tokio::time::sleep(Duration::from(GATHER_MS)).await;
}

/// Builds this node's digest, together with the notices that are repeated for peers that missed them.
fn own_digest(node: &Node) -> Vec<Gossip> {
    let now_ms = node.now_ms();
    let chance = notify_chance(node);
    limits::update_shares(node);
    let (works, version, requests, limits, replicas) = node.with(|state| {
        let own = state.ledger.of_owner(node.owner);
        let works = own.map(|(sequence, work)| WorkGossip::from_work(sequence, work, now_ms));
        let version = state.config.as_ref().map(|c| c.version());
        let again = state.quarantine.repeated_notices(now_ms);
        let draw = || rand::random_bool(chance);
        let quarantined = state.quarantine.quarantine_notices(now_ms, draw);
        let requests = again.into_iter().chain(quarantined).map(Gossip::Request);
        let parts = state.parts.repeated_notices(now_ms).into_iter();
        let draw = || rand::random_bool(chance);
        let quarantined = state.parts.quarantine_notices(now_ms, draw);
        let parts = parts.chain(quarantined).map(Gossip::Part);
        let limits = state.limits.repeated_notices(now_ms);
        (
            works.collect(),
            version,
            requests.chain(parts),
            limits,
            repeated_of_replicas(&state.replicas, chance, now_ms),
        )
    });
    let mut gossip = digest(works);
    if let Some(version) = version {
        gossip.push(Gossip::Config { version: version.0 });
    }
    gossip.extend(requests);
    gossip.extend(
        limits
            .into_iter()
            .map(|notice| Gossip::Limit(notice.into())),
    );
    gossip.extend(replicas);
    gossip
}

/// Returns the notices about leaving replicas and evacuated domains that this node repeats. Each entry of
/// an evacuation is repeated with probability `chance`.
fn repeated_of_replicas(replicas: &ReplicaTable, chance: f64, now_ms: MonoMs) -> Vec<Gossip> {
    let leaving = replicas.leaving_replicas.to_notify(now_ms).into_iter();
    let leaving = leaving.map(|key| Gossip::Leaving { replica: key.0 });
    let evacuations = replicas.evacuations.entries().into_iter();
    let drawn = evacuations.filter(|_| rand::random_bool(chance));
    leaving.chain(drawn.map(Gossip::Evacuation)).collect()
}

/// The average number of nodes that repeat each notice of a request in quarantine or of an evacuated
/// failure domain with every round of digests. A node that missed the first notice then receives one
/// within the three seconds after which it must be known.
const NOTICE_REPEATERS: f64 = 8.0;

/// Returns the probability with which this node repeats such a notice with a digest. If all nodes
/// repeated all requests in quarantine, 300 nodes and sixteen requests would cost 120 KB/s at each node.
fn notify_chance(node: &Node) -> f64 {
    (NOTICE_REPEATERS / node.node_count() as f64).min(1.0)
}

/// Sends gossip to all peers, directly or through relays.
fn send_to_all(node: &Node, socket: &UdpSocket, gossip: Vec<Gossip>, gossip_kind: GossipKind) {
    let origin = Origin::of(node);
    let destinations = node.outbox.destinations(&origin, gossip_kind);
    if destinations.is_empty() {
        return;
    }
    let mut generations: BTreeMap<Generation, Vec<Gossip>> = BTreeMap::new();
    for gossip in gossip {
        let same = generations.entry(gossip.generation()).or_default();
        same.push(gossip);
    }
    let datagrams = generations.into_values();
    for datagram in datagrams.flat_map(|gossip| pack(&origin, gossip)) {
        let direct = datagram.encode(false);
        let relayed = datagram.encode(true);
        for (address, pass_on) in &destinations {
            let bytes = if *pass_on { &relayed } else { &direct };
            send_one(socket, bytes, *address);
        }
    }
}

/// Sends a datagram without waiting. If the socket's buffer is full the datagram is dropped, since
/// its gossip would be late.
pub(super) fn send_one(socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
    if let Err(error) = socket.try_send_to(bytes, address) {
        log::trace!("dropped a gossip datagram for {address}: {error}");
    }
}

/// Drops the work of peers that fell silent, and logs their loss.
fn drop_silent(node: &Node) {
    let lost = node.outbox.expire(node.now_ms());
    for (owner, silent_ms) in lost {
        node.with(|state| {
            state.ledger.remove_owner(owner);
            state.share_state.shares.remove_owner(owner);
        });
        node.journal.record(&Event::PeerLost {
            incarnation: owner.0,
            silent_ms,
        });
    }
}
