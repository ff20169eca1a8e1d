//! Receives gossip and applies it to the node's state.

use super::message::{Datagram, Gossip, WorkGossip};
use super::outbox::PeerEvent;
use super::send::send_one;
use crate::journal::Event;
use crate::node::Node;
use crate::{limits, quarantine, returns, shares, signals, watch};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// The size of the receive buffer, in bytes. Longer datagrams are truncated and can't be decoded.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// The pause after a receive error. Such errors stem from an earlier send to a closed port.
const ERROR_PAUSE_MS: SpanMs = SpanMs(1);

/// The maximum time in milliseconds for which a replica is doubted because a peer reported its failure.
const MAX_PEER_DOUBT_MS: u32 = 8_000;

/// Receives and applies gossip until the process ends.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let Some(datagram) = Datagram::decode(&buffer[..length]) else {
                    log::debug!(
                        "ignoring a datagram from {from}: malformed or of another format version"
                    );
                    continue;
                };
                if datagram.pass_on {
                    forward(&node, &socket, &datagram);
                }
                apply_datagram(&node, datagram);
            }
            Err(error) => {
                log::trace!("failed to receive gossip: {error}");
                tokio::time::sleep(Duration::from(ERROR_PAUSE_MS)).await;
            }
        }
    }
}

/// Forwards a peer's gossip to the other nodes of this failure domain, which don't forward it
/// again.
fn forward(node: &Node, socket: &UdpSocket, datagram: &Datagram) {
    let origin = OwnerId(datagram.origin.owner);
    let bytes = datagram.encode(false);
    for address in node.outbox.addresses_in(&node.settings.domain, origin) {
        send_one(socket, &bytes, address);
    }
}

/// Updates the peer table with the sender of a datagram, and applies its gossip.
fn apply_datagram(node: &Rc<Node>, datagram: Datagram) {
    let owner = OwnerId(datagram.origin.owner);
    if owner == node.owner {
        return;
    }
    let now_ms = node.now_ms();
    if node.outbox.on_received(&datagram.origin, now_ms) == PeerEvent::Found {
        node.journal.record(&Event::PeerFound {
            incarnation: owner.0,
        });
    }
    for gossip in datagram.gossip {
        if matches!(gossip, Gossip::Digest { to: u32::MAX, .. }) {
            node.outbox.on_digest(owner);
        }
        apply(node, owner, gossip, now_ms);
    }
}

/// Applies one piece of gossip.
fn apply(node: &Rc<Node>, owner: OwnerId, gossip: Gossip, now_ms: MonoMs) {
    match gossip {
        Gossip::Config { version } => {
            let version = ConfigVersion(version);
            node.outbox.note_config(owner, version);
            node.directory_watch.on_peer_config(node, owner, version);
        }
        Gossip::Replicas(notice) => node.directory_watch.on_peer_replicas(node, notice.into()),
        Gossip::Request(notice) => quarantine::on_notified(node, notice),
        Gossip::Part(notice) => quarantine::on_part_notified(node, notice),
        Gossip::Era(era) => watch::on_notified_era(node, era),
        Gossip::Limit(notice) => limits::on_notified(node, &notice.into()),
        Gossip::DirectoryBack => node.directory_watch.on_peer_directory_back(),
        Gossip::Evacuation(entry) => watch::on_notified_evacuation(node, &entry),
        Gossip::Leaving { replica } => signals::on_notified(node, ReplicaKey(replica)),
        Gossip::Promises(promises) => returns::on_notified(node, &promises),
        Gossip::AccountWork(gossip) => {
            let (service, report) = gossip.into_report();
            node.with(|state| shares::on_reported(state, owner, service, report, now_ms));
        }
        gossip => apply_work(node, owner, gossip, now_ms),
    }
}

/// Applies gossip about work, doubted replicas and paces.
fn apply_work(node: &Node, owner: OwnerId, gossip: Gossip, now_ms: MonoMs) {
    let id = |sequence| WorkId { owner, sequence };
    node.with(|state| match gossip {
        Gossip::Placed(work) => {
            state.put_work(id(work.sequence), work.to_work(now_ms), now_ms);
        }
        Gossip::Stage { sequence, late } => {
            let stage = if late { Stage::Late } else { Stage::Writing };
            state.ledger.set_stage(id(sequence), stage);
        }
        Gossip::Ended { sequence } => state.remove_work(id(sequence), now_ms),
        Gossip::Digest { from, to, works } => {
            apply_digest(state, owner, (from, to), &works, now_ms)
        }
        Gossip::Doubted { replica, for_ms } => {
            let until_ms = now_ms + SpanMs(u64::from(for_ms.min(MAX_PEER_DOUBT_MS)));
            if let Some(health) = state.replicas.health_mut(ReplicaKey(replica)) {
                health.on_peer_doubt(until_ms);
            }
        }
        Gossip::Pace { replica, pace_pct } => {
            let pace = Pace::new(f64::from(pace_pct) / 100.0);
            state.paces.note(ReplicaKey(replica), pace, now_ms);
        }
        Gossip::EngineWork {
            replica,
            running,
            waiting,
            memory_tokens,
        } => {
            let work = EngineWork {
                running,
                waiting,
                memory_tokens: Tokens(memory_tokens),
            };
            state.startup.on_report(ReplicaKey(replica), work);
        }
        Gossip::Config { .. }
        | Gossip::Replicas(_)
        | Gossip::Request(_)
        | Gossip::Part(_)
        | Gossip::Era(_)
        | Gossip::Limit(_)
        | Gossip::Leaving { .. }
        | Gossip::Evacuation(_)
        | Gossip::Promises(_)
        | Gossip::AccountWork(_)
        | Gossip::DirectoryBack => {}
    });
}

/// Replaces the peer's known work in the range of a digest by the work that the digest lists.
fn apply_digest(
    state: &mut crate::node::State,
    owner: OwnerId,
    (from, to): (u32, u32),
    works: &[WorkGossip],
    now_ms: MonoMs,
) {
    state.ledger.retain_owner(owner, |sequence| {
        let covered = (from..=to).contains(&sequence);
        !covered || works.iter().any(|work| work.sequence == sequence)
    });
    for work in works {
        let sequence = work.sequence;
        state
            .ledger
            .put(WorkId { owner, sequence }, work.to_work(now_ms), now_ms);
    }
}
