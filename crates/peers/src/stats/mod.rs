//! Counts calls and bytes by kind of call, for the control budget of a node.
//!
//! Bytes are those of the signed JSON bodies, without the HTTP headers.

use crate::message::PeerCall;
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};

/// The kinds of call that are counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// [`PeerCall::Probe`].
    Probe,
    /// [`PeerCall::Claim`].
    Claim,
    /// [`PeerCall::Settle`].
    Settle,
    /// [`PeerCall::Config`].
    Config,
    /// [`PeerCall::Request`].
    Request,
}

impl CallKind {
    /// All kinds, in the order of the counters.
    pub const ALL: [Self; 5] = [
        Self::Probe,
        Self::Claim,
        Self::Settle,
        Self::Config,
        Self::Request,
    ];

    /// Returns the kind of a call.
    pub fn of(call: &PeerCall) -> Self {
        match call {
            PeerCall::Probe { .. } => Self::Probe,
            PeerCall::Claim(_) => Self::Claim,
            PeerCall::Settle(_) => Self::Settle,
            PeerCall::Config { .. } => Self::Config,
            PeerCall::Request { .. } => Self::Request,
        }
    }
}

/// The counts of one kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCount {
    /// The number of calls sent to peers.
    pub calls_sent: u64,
    /// The number of peers' calls served.
    pub calls_received: u64,
    /// The bytes sent: calls to peers and answers to their calls.
    pub sent_bytes: Bytes,
    /// The bytes received: calls from peers and answers to calls from this node.
    pub received_bytes: Bytes,
}

#[derive(Debug, Default)]
struct Counter {
    calls_sent: AtomicU64,
    calls_received: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

/// The counters of one node's peer interface. Any thread can update them.
#[derive(Debug, Default)]
pub struct PeerStats {
    kinds: [Counter; CallKind::ALL.len()],
    refused: AtomicU64,
}

impl PeerStats {
    /// Returns the counts of one kind of call.
    pub fn count(&self, kind: CallKind) -> CallCount {
        let counter = &self.kinds[kind as usize];
        CallCount {
            calls_sent: counter.calls_sent.load(Ordering::Relaxed),
            calls_received: counter.calls_received.load(Ordering::Relaxed),
            sent_bytes: Bytes(counter.sent_bytes.load(Ordering::Relaxed)),
            received_bytes: Bytes(counter.received_bytes.load(Ordering::Relaxed)),
        }
    }

    /// Returns the number of refused calls: not authenticated, replayed or malformed.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    pub(crate) fn call_sent(&self, kind: CallKind, bytes: usize) {
        let counter = &self.kinds[kind as usize];
        counter.calls_sent.fetch_add(1, Ordering::Relaxed);
        add(&counter.sent_bytes, bytes);
    }

    pub(crate) fn answer_received(&self, kind: CallKind, bytes: usize) {
        add(&self.kinds[kind as usize].received_bytes, bytes);
    }

    pub(crate) fn call_received(&self, kind: CallKind, bytes: usize) {
        let counter = &self.kinds[kind as usize];
        counter.calls_received.fetch_add(1, Ordering::Relaxed);
        add(&counter.received_bytes, bytes);
    }

    pub(crate) fn answer_sent(&self, kind: CallKind, bytes: usize) {
        add(&self.kinds[kind as usize].sent_bytes, bytes);
    }

    /// Counts a refusal and returns the number of refusals so far.
    pub(crate) fn call_refused(&self) -> u64 {
        self.refused.fetch_add(1, Ordering::Relaxed) + 1
    }
}

fn add(counter: &AtomicU64, bytes: usize) {
    counter.fetch_add(bytes as u64, Ordering::Relaxed);
}
