//! Checks if a replica whose connections broke has crashed.
//!
//! Load pattern: a replica that crashes breaks the connections of all its requests at the same
//! time, at every node. So does a reset on the network path to a healthy replica.
//!
//! Reason for the limits: a crash must be known before the next arrival of the request that caused
//! it. Each node therefore probes the replica's address at once, with one connection for all
//! attempts that wait. If no replica of the service can be reached, its crash looks like a loss of this
//! node's own links, and shows once the directory drops it, another instance has its address, or any replica
//! of the service is reached again. A crash that is known late counts from the time at which the
//! connections broke.
//!
//! Invariants: a replica that was leaving, or that the node didn't know, never counts as crashed.

use crate::http::{Freshness, SendError};
use crate::journal::Event;
use crate::links::{self, Occupant};
use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// The time for which a check's result is reused. All connections of a crashed replica break at
/// about the same time.
const RESULT_TTL_MS: SpanMs = SpanMs(1_000);

/// The time within which a node knows a change of the directory.
const DIRECTORY_DELAY_MS: SpanMs = SpanMs(2_000);

/// The interval at which undecided checks look for further evidence.
const POLL_MS: SpanMs = SpanMs(50);

/// The state of the check for one replica's crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashState {
    /// The replica's address is being probed.
    Probing,
    /// The probe gave no result, or something accepts connections; the directory decides.
    Undecided,
    /// The address refuses connections, and no other replica of the service can be reached.
    Refusing,
    /// Something answers at the replica's address and doesn't name itself. Only the directory may still show that it is
    /// another instance.
    Answering,
    /// The replica has crashed.
    Crashed,
    /// The replica is still running, or it left in a planned way.
    Alive,
}

impl CrashState {
    /// Returns true if the probe of the address has finished.
    pub fn is_probed(&self) -> bool {
        *self != Self::Probing
    }

    /// Returns true if the replica has crashed, or the address refuses connections for another reason.
    pub fn refuses(&self) -> bool {
        matches!(self, Self::Crashed | Self::Refusing)
    }

    /// Returns true if nothing speaks for a crash, or one has been proved.
    pub fn is_settled(&self) -> bool {
        self.is_final() || *self == Self::Answering
    }

    /// Returns true if the state won't change any more.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Crashed | Self::Alive)
    }
}

/// The receiver of a check's state.
pub type CrashWatch = watch::Receiver<CrashState>;

/// The crash checks of replicas whose connections broke, by replica.
#[derive(Debug, Default)]
pub struct CrashChecks {
    checks: RefCell<FxHashMap<ReplicaKey, (MonoMs, CrashWatch)>>,
}

impl CrashChecks {
    /// Checks if this instance of a replica has crashed, or joins a check that is under way. The
    /// result is known within a few ms if the address refuses connections and another replica of the service
    /// can be reached, otherwise once the directory must have dropped a crashed replica.
    pub fn check(&self, node: &Rc<Node>, replica: &Arc<Replica>) -> CrashWatch {
        let now_ms = node.now_ms();
        let mut checks = self.checks.borrow_mut();
        checks.retain(|_, (at_ms, state)| {
            now_ms.since(*at_ms) < RESULT_TTL_MS || !state.borrow().is_settled()
        });
        if let Some((_, state)) = checks.get(&replica.key()) {
            return state.clone();
        }
        let (sender, state) = watch::channel(CrashState::Probing);
        checks.insert(replica.key(), (now_ms, state.clone()));
        let (node, replica) = (node.clone(), replica.clone());
        spawn_local(async move {
            let evidence = evidence(&node, &replica, &sender).await;
            node.journal.record(&Event::CrashChecked {
                instance: replica.instance.clone(),
                crashed: evidence.state() == CrashState::Crashed,
                how: evidence.as_str(),
                took_ms: node.now_ms().since(now_ms),
            });
            sender.send_replace(evidence.state());
        });
        state
    }
}

/// The evidence that decides a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashEvidence {
    /// The replica was leaving, or this node doesn't know it.
    NotReady,
    /// This instance answers at its address.
    Answered,
    /// Its address refuses connections while another replica of its service can be reached.
    Refused,
    /// Another instance answers at its address.
    Replaced,
    /// The directory no longer lists it, or lists another one at its address.
    Unlisted,
    /// It left in a planned way since then.
    Left,
    /// The directory still lists it after the time within which it drops a crashed replica.
    StillListed,
}

impl CrashEvidence {
    /// Returns the final state of a check with this evidence.
    fn state(self) -> CrashState {
        match self {
            Self::Refused | Self::Replaced | Self::Unlisted => CrashState::Crashed,
            Self::NotReady | Self::Answered | Self::Left | Self::StillListed => CrashState::Alive,
        }
    }

    /// Returns the name used in the log.
    fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::Unlisted => "unlisted",
            Self::Left => "left",
            Self::StillListed => "still_listed",
        }
    }
}

/// Waits for the evidence that decides if a replica has crashed.
async fn evidence(
    node: &Rc<Node>,
    replica: &Replica,
    state: &watch::Sender<CrashState>,
) -> CrashEvidence {
    if !is_ready(node, replica) {
        return CrashEvidence::NotReady;
    }
    let mut probed_ms = node.now_ms();
    let mut probed = match probe(node, replica).await {
        ControlFlow::Break(evidence) => return evidence,
        ControlFlow::Continue(probed) => probed,
    };
    state.send_replace(probed);
    let mut left_ms = node.settings.replica_lapse_ms + DIRECTORY_DELAY_MS;
    while left_ms > SpanMs::ZERO {
        tokio::time::sleep(Duration::from(POLL_MS)).await;
        if let Some(evidence) = listing_evidence(node, replica) {
            return evidence;
        }
        if probed == CrashState::Refusing && has_contact_since(node, replica, probed_ms) {
            probed_ms = node.now_ms();
            probed = match probe(node, replica).await {
                ControlFlow::Break(evidence) => return evidence,
                ControlFlow::Continue(probed) => probed,
            };
            state.send_replace(probed);
        }
        if !is_directory_outdated(node) {
            left_ms = SpanMs(left_ms.0.saturating_sub(POLL_MS.0));
        }
    }
    CrashEvidence::StillListed
}

/// Returns true if the node knows this instance of the replica and it accepts work.
fn is_ready(node: &Node, replica: &Replica) -> bool {
    listing_evidence(node, replica).is_none()
}

/// Returns what the directory shows of a replica that accepted work until its connections broke, or `None` if it
/// lists the replica as before.
fn listing_evidence(node: &Node, replica: &Replica) -> Option<CrashEvidence> {
    let takes_work = node.with(|state| {
        let known = state.replicas.get(replica.key());
        known.map(|known| state.replicas.takes_work(known))
    });
    match takes_work {
        None => Some(CrashEvidence::Unlisted),
        Some(false) => Some(CrashEvidence::Left),
        Some(true) => None,
    }
}

/// Returns true if a replica of the same service was reached at `since_ms` or later.
fn has_contact_since(node: &Node, replica: &Replica, since_ms: MonoMs) -> bool {
    node.with(|state| state.links.has_contact_since(&replica.service, since_ms))
}

/// Returns true while the directory is away or entries that lapsed meanwhile may return.
fn is_directory_outdated(node: &Node) -> bool {
    let now_ms = node.now_ms();
    node.with(|state| state.replicas.awaits_relisting(now_ms))
}

/// Opens a connection to the replica's address, and probes what accepts it. Returns what that shows for good, or the
/// state of the check until then. An address that refuses connections shows a crash only if another replica of
/// the service can be reached; otherwise this node's own links may be the cause.
async fn probe(node: &Rc<Node>, replica: &Replica) -> ControlFlow<CrashEvidence, CrashState> {
    match node.pool.lease(replica.address, Freshness::New).await {
        Ok(link) => {
            node.pool.give_back(link, None);
            match links::occupant(node, replica).await {
                Occupant::Same => ControlFlow::Break(CrashEvidence::Answered),
                Occupant::Other => ControlFlow::Break(CrashEvidence::Replaced),
                Occupant::Unnamed => ControlFlow::Continue(CrashState::Answering),
                Occupant::None => ControlFlow::Continue(CrashState::Undecided),
            }
        }
        Err(SendError::Refused(_)) => match links::reaches_another(node, replica).await {
            true => ControlFlow::Break(CrashEvidence::Refused),
            false => ControlFlow::Continue(CrashState::Refusing),
        },
        Err(error) => {
            log::debug!("probe of replica {} failed: {error}", replica.instance);
            ControlFlow::Continue(CrashState::Undecided)
        }
    }
}
