//! Joins a starting node to running ones: it copies their state instead of reading the directory.
//!
//! Terms: a *seed* is a node whose address every node is given at its start. It may be running or not.
//!
//! Load pattern: hundreds of nodes start within a fraction of a second, after a loss of power or when a
//! deployment begins, and each needs the configuration, the replicas and the other nodes. If each reads the
//! directory, its calls grow with the nodes and each answer grows with them as well.
//!
//! Reason for the limits: the seeds read the directory and the others copy from them. A node that serves as
//! many copies as it can names others that are able to, so the number of sources grows with each copy.
//! A node that reaches no seed, or whose seeds learn nothing, reads the directory after a random time, in
//! which the first nodes that did so become known.
//!
//! Invariants: a copy never replaces anything newer; a node that can't join reads the directory.

use crate::copies::{self, NodeState, StateReply};
use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::startup;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The time after which a node that reaches no seed reads the directory. Nodes that start together may
/// listen a few hundred ms after each other.
const UNREACHABLE_TIMEOUT_MS: SpanMs = SpanMs(500);

/// The time after which a node whose seeds have learned nothing reads the directory.
const NOT_READY_TIMEOUT_MS: SpanMs = SpanMs(2_000);

/// The time after which a node reads the directory although others have a state and are busy. All nodes of
/// a large fleet get a copy within a few seconds.
const BUSY_TIMEOUT_MS: SpanMs = SpanMs(8_000);

/// The share of these timeouts that is added at random, so that nodes don't call the directory together.
const TIMEOUT_SPREAD: f64 = 2.0;

/// The maximum number of nodes that are asked in one round.
const MAX_SOURCES: usize = 12;

/// The number of peers that are asked for a copy by a node that is already running.
const PEER_SOURCES: usize = 3;

/// The time after joining at which a node asks a seed for the nodes that joined at the same time.
const SECOND_COPY_MS: SpanMs = SpanMs(300);

/// The time after that within which the peers send their digests, by which the node knows its role.
const ACQUAINTANCE_MS: SpanMs = SpanMs(1_000);

/// The way in which a node gets its first state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum JoinPhase {
    /// The node reads the directory.
    #[default]
    Reading,
    /// The node tries to copy the state of others and doesn't read the directory yet.
    Joining,
    /// The node has copied the state of another.
    Joined,
}

/// The result of one round of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    Joined,
    /// A node has a state and serves as many copies as it can.
    Busy,
    /// Nodes answered, but none had a state.
    NotReady,
    Unreachable,
}

/// Lets the watchers of the directory wait for a copy, unless this node is a seed or has none.
pub fn begin_join(node: &Node) {
    let settings = &node.settings;
    let is_seed = settings.seeds.contains(&settings.gossip);
    if !is_seed && !settings.seeds.is_empty() {
        node.directory_watch
            .join_phase
            .send_replace(JoinPhase::Joining);
    }
}

/// Copies the first state of this node from others, until it has one or has read the directory.
pub async fn join(node: Rc<Node>) {
    if node.settings.seeds.is_empty() {
        return;
    }
    let started_ms = node.now_ms();
    let spread = 1.0 + TIMEOUT_SPREAD * rand::random::<f64>();
    for round in 0.. {
        if node.is_initialized() {
            return;
        }
        let timeout_ms = match ask_seeds(&node).await {
            Round::Joined => {
                node.outbox.introduce();
                meet_peers(&node).await;
                return set_phase(&node, JoinPhase::Joined);
            }
            Round::Busy => BUSY_TIMEOUT_MS,
            Round::NotReady => NOT_READY_TIMEOUT_MS,
            Round::Unreachable => UNREACHABLE_TIMEOUT_MS,
        };
        if node.now_ms().since(started_ms) >= timeout_ms.mul_f64(spread) {
            set_phase(&node, JoinPhase::Reading);
        }
        let pause_ms = startup::join_pause(round, rand::random());
        tokio::time::sleep(Duration::from(pause_ms)).await;
    }
}

/// Waits until this node has joined and met its peers, or is to read the directory.
pub(super) async fn wait(node: &Node) {
    let mut phase = node.directory_watch.join_phase.subscribe();
    // The sender lives as long as the node.
    let _ = phase.wait_for(|phase| *phase != JoinPhase::Joining).await;
}

/// Returns true if this node copied its first state from another.
pub(super) fn has_joined(node: &Node) -> bool {
    *node.directory_watch.join_phase.borrow() == JoinPhase::Joined
}

/// Finds the nodes that joined together with this one, and waits until their digests arrive. A node that
/// knew only some of its peers would take itself for a reader.
async fn meet_peers(node: &Rc<Node>) {
    let pause_ms = SECOND_COPY_MS.mul_f64(rand::random_range(1.0..2.0));
    tokio::time::sleep(Duration::from(pause_ms)).await;
    let mut sources = node.settings.seeds.clone();
    sources.shuffle(&mut rand::rng());
    if !copy_from(node, &sources).await {
        copy_state(node).await;
    }
    node.outbox.introduce();
    tokio::time::sleep(Duration::from(ACQUAINTANCE_MS)).await;
}

/// Copies the state of a live peer, with the peers that it knows and the replicas if it has read more of
/// them.
pub(super) async fn copy_state(node: &Rc<Node>) {
    let mut peers = node.outbox.live_origins();
    peers.shuffle(&mut rand::rng());
    // Copies from the own failure domain are cheaper.
    let own_domain = &node.settings.domain.0;
    peers.sort_by_key(|peer| peer.domain != *own_domain);
    let sources = peers.into_iter().map(|peer| peer.address);
    let sources: Vec<SocketAddr> = sources.take(PEER_SOURCES).collect();
    copy_from(node, &sources).await;
}

/// Copies the state of the first of `sources` that provides it and has read as much of the replica list as
/// any peer that is known. Returns true if one did.
async fn copy_from(node: &Rc<Node>, sources: &[SocketAddr]) -> bool {
    for source in sources {
        match copies::fetch_state(node, *source).await {
            Ok(StateReply::State(state)) => {
                state.apply(node);
                if !node.directory_watch.peer_has_read_more() {
                    return true;
                }
            }
            Ok(StateReply::Busy(_)) => {}
            Err(error) => log::debug!("no state from {source}: {error}"),
        }
    }
    false
}

/// Asks the seeds for their state, and the nodes that they name.
async fn ask_seeds(node: &Rc<Node>) -> Round {
    let mut sources = node.settings.seeds.clone();
    sources.shuffle(&mut rand::rng());
    let mut asked: Vec<SocketAddr> = vec![node.settings.gossip];
    let mut round = Round::Unreachable;
    while let Some(source) = sources.pop() {
        if asked.contains(&source) || asked.len() > MAX_SOURCES {
            continue;
        }
        asked.push(source);
        match copies::fetch_state(node, source).await {
            Ok(StateReply::State(state)) => match complete(node, source, state).await {
                Ok(()) => return Round::Joined,
                Err(error) => log::debug!("no configuration from {source}: {error}"),
            },
            Ok(StateReply::Busy(others)) => {
                round = Round::Busy;
                sources.extend(others);
            }
            Err(error) => {
                if round == Round::Unreachable && error.is_from_peer() {
                    round = Round::NotReady;
                }
                log::debug!("no state from {source}: {error}");
            }
        }
    }
    round
}

/// Copies the configuration that belongs to a state from the same node, and applies both.
async fn complete(
    node: &Rc<Node>,
    source: SocketAddr,
    state: NodeState,
) -> Result<(), copies::CopyError> {
    let (config, copy) = copies::fetch(node, source, ConfigVersion(0)).await?;
    state.apply(node);
    super::config::put_copy_in_force(node, config, copy);
    Ok(())
}

/// Changes the phase of a node that is joining.
fn set_phase(node: &Node, phase: JoinPhase) {
    node.directory_watch.join_phase.send_if_modified(|current| {
        let changes = *current == JoinPhase::Joining;
        if changes {
            *current = phase;
        }
        changes
    });
}
