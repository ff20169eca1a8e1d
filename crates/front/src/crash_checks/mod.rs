//! Whether a replica has ended whose connections broke.
//!
//! Load pattern: a replica that ends breaks the connections of all that it had in hand at one moment,
//! at every node; so does a reset on the way to one that is sound.
//!
//! Reason for the limits: an end has to be known before the next arrival of the request that caused
//! it, so the replica's address is asked at once, by one connection of each node, whoever waits.
//!
//! Invariants: a replica that was leaving, or that the node didn't know, never counts as ended.

use crate::http::{Freshness, SendError};
use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// How long what was found of a replica is used: its connections all break within a moment.
const FOUND_MS: SpanMs = SpanMs(1_000);

/// How long the directory may take to drop a replica that has ended, where its address says nothing:
/// what listens there may be a proxy, or a later start.
const DROPPED_MS: SpanMs = SpanMs(2_500);

/// How often the directory's table is looked at meanwhile.
const LOOK_MS: SpanMs = SpanMs(250);

/// What is known of a replica's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashState {
    /// Its address is being asked.
    Asking,
    /// Something listens there; the directory will tell.
    Undecided,
    /// It has ended.
    Ended,
    /// It goes on, or left as it should.
    Alive,
}

impl CrashState {
    /// Whether its address has been asked.
    pub fn is_asked(&self) -> bool {
        *self != Self::Asking
    }

    /// Whether nothing more will be found.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Ended | Self::Alive)
    }
}

/// Tells what is found of a replica's end.
pub type CrashWatch = watch::Receiver<CrashState>;

/// Looks at replicas whose connections broke.
#[derive(Debug, Default)]
pub struct CrashChecks {
    checks: RefCell<FxHashMap<ReplicaKey, (MonoMs, CrashWatch)>>,
}

impl CrashChecks {
    /// Asks whether this run of a replica has ended. The answer comes within a few ms where its
    /// address refuses connections, and within [`DROPPED_MS`] where the directory has to tell.
    pub fn ask(&self, node: &Rc<Node>, replica: &Arc<Replica>) -> CrashWatch {
        let now_ms = node.now_ms();
        let mut checks = self.checks.borrow_mut();
        checks.retain(|_, (at_ms, found)| {
            now_ms.since(*at_ms) < FOUND_MS || !found.borrow().is_final()
        });
        if let Some((_, found)) = checks.get(&replica.key()) {
            return found.clone();
        }
        let (tell, found) = watch::channel(CrashState::Asking);
        checks.insert(replica.key(), (now_ms, found.clone()));
        let (node, replica) = (node.clone(), replica.clone());
        spawn_local(async move {
            if !is_ready(&node, &replica) {
                tell.send_replace(CrashState::Alive);
                return;
            }
            tell.send_replace(ask_address(&node, &replica).await);
            if *tell.borrow() == CrashState::Undecided {
                tell.send_replace(ask_directory(&node, &replica).await);
            }
        });
        found
    }
}

/// Whether the node knows this run of the replica as one that takes work.
fn is_ready(node: &Node, replica: &Replica) -> bool {
    node.with(|state| {
        let known = state.replicas.get(replica.key());
        known.is_some_and(|known| state.replicas.takes_work(known))
    })
}

async fn ask_address(node: &Rc<Node>, replica: &Replica) -> CrashState {
    match node.pool.lease(replica.address, Freshness::New).await {
        Err(SendError::Refused(_)) => return CrashState::Ended,
        Err(error) => log::debug!("{} can't be asked: {error}", replica.instance),
        Ok(link) => node.pool.give_back(link, None),
    }
    CrashState::Undecided
}

/// Waits for the directory to drop a replica that took work a moment ago.
async fn ask_directory(node: &Node, replica: &Replica) -> CrashState {
    let until_ms = node.now_ms() + DROPPED_MS;
    while node.now_ms() < until_ms {
        tokio::time::sleep(Duration::from(LOOK_MS)).await;
        let takes_work = node.with(|state| {
            let known = state.replicas.get(replica.key());
            known.map(|known| state.replicas.takes_work(known))
        });
        match takes_work {
            None => return CrashState::Ended,
            Some(false) => return CrashState::Alive,
            Some(true) => {}
        }
    }
    CrashState::Alive
}
