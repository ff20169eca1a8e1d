//! Taking gossip in.

use super::message::{Datagram, Gossip, WorkGossip};
use super::outbox::PeerEvent;
use super::send::send_one;
use crate::journal::Event;
use crate::node::Node;
use crate::{limits, quarantine, signals, watch};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// The largest datagram that is read; longer ones are cut and then can't be read.
const LARGEST_BYTES: usize = 2_048;

/// The pause after an error of receiving, which stems from an earlier send to a port that is closed.
const ERROR_PAUSE_MS: SpanMs = SpanMs(1);

/// The longest time that a peer's doubt counts.
const LONGEST_DOUBT_MS: u32 = 8_000;

/// Takes gossip in until the process ends.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let Some(datagram) = Datagram::decode(&buffer[..length]) else {
                    log::debug!("a datagram from {from} can't be read");
                    continue;
                };
                if datagram.pass_on {
                    pass_on(&node, &socket, &datagram);
                }
                take_in(&node, datagram);
            }
            Err(error) => {
                log::trace!("can't receive gossip: {error}");
                tokio::time::sleep(Duration::from(ERROR_PAUSE_MS)).await;
            }
        }
    }
}

/// Sends a peer's gossip on to the other nodes of this failure domain, once: they don't send it on.
fn pass_on(node: &Node, socket: &UdpSocket, datagram: &Datagram) {
    let origin = OwnerId(datagram.origin.owner);
    let bytes = datagram.encode(false);
    for address in node.outbox.addresses_in(&node.settings.domain, origin) {
        send_one(socket, &bytes, address);
    }
}

fn take_in(node: &Rc<Node>, datagram: Datagram) {
    let owner = OwnerId(datagram.origin.owner);
    if owner == node.owner {
        return;
    }
    let now_ms = node.now_ms();
    if node.outbox.heard(&datagram.origin, now_ms) == PeerEvent::Found {
        node.journal.record(&Event::PeerFound {
            incarnation: owner.0,
        });
    }
    for gossip in datagram.gossip {
        apply(node, owner, gossip, now_ms);
    }
}

fn apply(node: &Rc<Node>, owner: OwnerId, gossip: Gossip, now_ms: MonoMs) {
    match gossip {
        Gossip::Config { version } => {
            let version = ConfigVersion(version);
            node.outbox.has_config(owner, version);
            node.directory_watch.on_peer_config(node, owner, version);
        }
        Gossip::Replicas(told) => node.directory_watch.on_peer_replicas(node, told.into()),
        Gossip::Request(told) => quarantine::on_notified(node, told),
        Gossip::Era(era) => watch::on_notified_era(node, era),
        Gossip::Limit(told) => limits::on_notified(node, &told.into()),
        Gossip::DirectoryBack => node.directory_watch.on_peer_directory_back(),
        Gossip::Leaving { replica } => signals::on_notified(node, ReplicaKey(replica)),
        gossip => apply_work(node, owner, gossip, now_ms),
    }
}

fn apply_work(node: &Node, owner: OwnerId, gossip: Gossip, now_ms: MonoMs) {
    let id = |sequence| WorkId { owner, sequence };
    node.with(|state| match gossip {
        Gossip::Placed(work) => state
            .ledger
            .put(id(work.sequence), work.work(now_ms), now_ms),
        Gossip::Stage { sequence, late } => {
            let stage = if late { Stage::Late } else { Stage::Writing };
            state.ledger.set_stage(id(sequence), stage);
        }
        Gossip::Ended { sequence } => state.ledger.remove(id(sequence)),
        Gossip::Digest { from, to, works } => {
            apply_digest(state, owner, (from, to), &works, now_ms)
        }
        Gossip::Doubted { replica, for_ms } => {
            let until_ms = now_ms + SpanMs(u64::from(for_ms.min(LONGEST_DOUBT_MS)));
            if let Some(health) = state.replicas.health_mut(ReplicaKey(replica)) {
                health.on_peer_doubt(until_ms);
            }
        }
        Gossip::Pace { replica, pace_pct } => {
            let pace = Pace::new(f64::from(pace_pct) / 100.0);
            state.paces.note(ReplicaKey(replica), pace, now_ms);
        }
        Gossip::Config { .. }
        | Gossip::Replicas(_)
        | Gossip::Request(_)
        | Gossip::Era(_)
        | Gossip::Limit(_)
        | Gossip::Leaving { .. }
        | Gossip::DirectoryBack => {}
    });
}

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
            .put(WorkId { owner, sequence }, work.work(now_ms), now_ms);
    }
}
