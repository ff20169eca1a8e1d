//! The other side of a stream: an engine, or the peer that forwards it.

use super::Call;
use super::choose::Chosen;
use super::fatal;
use super::hop::{self, PeerLease};
use super::tries::{TryError, record_failure, restarted};
use crate::journal::Event;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;

/// The side from which a stream's events arrive.
pub(super) enum StreamServer {
    /// An engine, with the guard that counts the attempt as load on it.
    Engine(Box<Chosen>),
    /// A peer, which chooses the engine and watches it.
    Peer(PeerLease),
}

impl StreamServer {
    /// Records if events arrive in time.
    pub fn set_stage(&mut self, stage: Stage) {
        if let Self::Engine(chosen) = self {
            chosen.guard.set_stage(stage);
        }
    }

    /// Waits until the other side is known to have lost the request, and returns the resulting failure.
    pub async fn lost(&self, call: &Call) -> TryError {
        match self {
            Self::Engine(chosen) => {
                restarted(call, &chosen.replica, Verdict::Ran, Evidence::Running).await
            }
            Self::Peer(peer) => {
                peer.wait_until_lost().await;
                hop::peer_lost()
            }
        }
    }

    /// Returns the engine, or `None` for a peer.
    pub fn engine(&self) -> Option<&Chosen> {
        match self {
            Self::Engine(chosen) => Some(chosen),
            Self::Peer(_) => None,
        }
    }

    /// Records the failure of an attempt, and what it shows of the other side.
    pub async fn on_failed(&self, call: &Call, attempt: u32, error: &TryError) {
        match self {
            Self::Engine(chosen) => {
                record_failure(call, chosen, attempt, error);
                fatal::on_failed(call, chosen, error).await;
            }
            Self::Peer(peer) => call.node.journal.record(&Event::ForwardFailed {
                request: call.head.request.clone(),
                peer: peer.owner.0,
                why: error.why.clone(),
                ran: error.ran,
                age_ms: call.age_ms(),
            }),
        }
    }
}
