//! Checks if a replica whose connections broke has crashed.
//!
//! Load pattern: a replica that crashes breaks the connections of all its requests at the same
//! time, at every node. So does a reset on the network path to a healthy replica.
//!
//! Reason for the limits: a crash must be known before the next arrival of the request that caused
//! it. Each node therefore probes the replica's address at once, with one connection for all
//! attempts that wait.
//!
//! Invariants: a replica that was leaving, or that the node didn't know, never counts as crashed.

use crate::http::{Freshness, SendError};
use crate::links;
use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// The time for which a check's result is reused. All connections of a crashed replica break at
/// about the same time.
const RESULT_TTL_MS: SpanMs = SpanMs(1_000);

/// The time within which the directory must drop a crashed replica whose address still accepts
/// connections: a proxy or a restarted replica may be listening there.
const DIRECTORY_TIMEOUT_MS: SpanMs = SpanMs(2_500);

/// The interval at which the directory's table is checked during that time.
const DIRECTORY_POLL_MS: SpanMs = SpanMs(250);

/// The state of the check for one replica's crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashState {
    /// The replica's address is being probed.
    Probing,
    /// The probe gave no result, or something accepts connections; the directory decides.
    Undecided,
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
    /// result is known within a few ms if the address refuses connections, otherwise within
    /// [`DIRECTORY_TIMEOUT_MS`].
    pub fn check(&self, node: &Rc<Node>, replica: &Arc<Replica>) -> CrashWatch {
        let now_ms = node.now_ms();
        let mut checks = self.checks.borrow_mut();
        checks.retain(|_, (at_ms, state)| {
            now_ms.since(*at_ms) < RESULT_TTL_MS || !state.borrow().is_final()
        });
        if let Some((_, state)) = checks.get(&replica.key()) {
            return state.clone();
        }
        let (sender, state) = watch::channel(CrashState::Probing);
        checks.insert(replica.key(), (now_ms, state.clone()));
        let (node, replica) = (node.clone(), replica.clone());
        spawn_local(async move {
            if !is_ready(&node, &replica) {
                sender.send_replace(CrashState::Alive);
                return;
            }
            sender.send_replace(probe_address(&node, &replica).await);
            if *sender.borrow() == CrashState::Undecided {
                sender.send_replace(wait_for_directory(&node, &replica).await);
            }
        });
        state
    }
}

/// Returns true if the node knows this instance of the replica and it accepts work.
fn is_ready(node: &Node, replica: &Replica) -> bool {
    node.with(|state| {
        let known = state.replicas.get(replica.key());
        known.is_some_and(|known| state.replicas.takes_work(known))
    })
}

/// Opens a connection to the replica's address: one that is refused shows a crash.
async fn probe_address(node: &Rc<Node>, replica: &Replica) -> CrashState {
    match node.pool.lease(replica.address, Freshness::New).await {
        // If no other replica can be reached, this node's own links may be the cause.
        Err(SendError::Refused(_)) if links::are_sound(node, replica).await => {
            return CrashState::Crashed;
        }
        Err(error) => log::debug!("probe of replica {} failed: {error}", replica.instance),
        Ok(link) => node.pool.give_back(link, None),
    }
    CrashState::Undecided
}

/// Waits for the directory to drop a replica that accepted work until its connections broke.
async fn wait_for_directory(node: &Node, replica: &Replica) -> CrashState {
    let until_ms = node.now_ms() + DIRECTORY_TIMEOUT_MS;
    while node.now_ms() < until_ms {
        tokio::time::sleep(Duration::from(DIRECTORY_POLL_MS)).await;
        let takes_work = node.with(|state| {
            let known = state.replicas.get(replica.key());
            known.map(|known| state.replicas.takes_work(known))
        });
        match takes_work {
            None => return CrashState::Crashed,
            Some(false) => return CrashState::Alive,
            Some(true) => {}
        }
    }
    CrashState::Alive
}
