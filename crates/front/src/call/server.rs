//! The other side of a stream: an engine, or the peer that forwards it.

use super::Call;
use super::choose::Chosen;
use super::fatal;
use super::hop::PeerLease;
use super::tries::{TryError, record_failure, record_silence, record_symptom, restarted};
use crate::journal::Event;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use std::future::pending;

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

    /// Waits until the engine is known to have lost the request, and returns the resulting failure. A peer watches its
    /// engine by itself.
    pub async fn restarted(&self, call: &Call) -> TryError {
        match self {
            Self::Engine(chosen) => {
                restarted(call, &chosen.replica, Verdict::Ran, Evidence::Running).await
            }
            Self::Peer(_) => pending().await,
        }
    }

    /// Returns the engine, or `None` for a peer.
    pub fn engine(&self) -> Option<&Chosen> {
        match self {
            Self::Engine(chosen) => Some(chosen),
            Self::Peer(_) => None,
        }
    }

    /// Records that the other side is silent, and what that shows of it. It may still go on.
    pub fn on_silent(&self, call: &Call, error: &TryError) {
        match self {
            Self::Engine(chosen) => record_silence(call, &chosen.target(), error),
            Self::Peer(peer) => call.node.journal.record(&Event::PeerSilent {
                request: call.head.request.clone(),
                peer: peer.owner.0,
                why: error.why.clone(),
                age_ms: call.age_ms(),
            }),
        }
    }

    /// Records that the other side goes on after a silence that began at `silent_since_ms`.
    pub fn on_recovered(&self, call: &Call, silent_since_ms: MonoMs) {
        if let Self::Engine(chosen) = self {
            record_symptom(call, chosen.key, Symptom::Good, "", silent_since_ms);
        }
        call.node.journal.record(&Event::WentOn {
            request: call.head.request.clone(),
            silent_ms: call.node.now_ms().since(silent_since_ms),
        });
    }

    /// Records the failure of an attempt, and what it shows of the other side.
    pub async fn on_failed(&self, call: &Call, attempt: u32, error: &TryError) {
        match self {
            Self::Engine(chosen) => {
                record_failure(call, &chosen.target(), attempt, error);
                fatal::on_failed(call, &chosen.replica, error).await;
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
