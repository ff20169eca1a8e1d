//! Configuration from peers, for a node that starts while the log is down or that lags behind the
//! log.
//!
//! Terms: the *floor* is the highest version that any peer reported.
//!
//! Invariants: no version below the floor comes into force; a peer's answer can only raise the
//! node's version.

use super::Control;
use crate::print::VersionSource;
use bluebell_base::prelude::*;
use bluebell_peers::{NodeCard, PeerAnswer, PeerCall};
use rand::Rng;
use stakker::{CX, ret_to};

/// The time for which a node waits to read a version that a peer holds from the log before it
/// requests it from a peer. Otherwise every node would fetch each change from peers as well.
const LOG_GRACE_MS: SpanMs = SpanMs(2_000);

/// The minimum time between two requests, which jitter doubles at most.
const REQUEST_INTERVAL_MS: u64 = 500;

/// The time after which a request without an answer is sent to another peer.
const ANSWER_TIMEOUT_MS: SpanMs = SpanMs(3_000);

/// The highest version of the peers and the state of requests to them.
#[derive(Clone, Debug)]
pub(super) struct PeerSide {
    floor: ConfigVersion,
    floor_at_ms: MonoMs,
    requested_ms: Option<MonoMs>,
    next_request_ms: MonoMs,
}

impl Default for PeerSide {
    fn default() -> Self {
        Self {
            floor: ConfigVersion(0),
            floor_at_ms: MonoMs(0),
            requested_ms: None,
            next_request_ms: MonoMs(0),
        }
    }
}

impl PeerSide {
    pub(super) fn floor(&self) -> ConfigVersion {
        self.floor
    }
}

impl Control {
    pub(super) fn raise_floor(&mut self, cx: CX![]) {
        let highest = self.nodes.iter().map(|card| card.config).max();
        let now_ms = self.timers.now_ms(cx);
        if let Some(highest) = highest.filter(|highest| *highest > self.peers.floor) {
            self.peers.floor = highest;
            self.peers.floor_at_ms = now_ms;
        }
        self.tick_peers(cx, now_ms);
    }

    pub(super) fn tick_peers(&mut self, cx: CX![], now_ms: MonoMs) {
        let lagging = self.config.highest_received() < self.peers.floor;
        let fresh = self.config.in_force_version() == ConfigVersion(0);
        let grace_over = now_ms >= self.peers.floor_at_ms + LOG_GRACE_MS;
        if !lagging || !(fresh || self.config.is_down() || grace_over) {
            return;
        }
        let waiting = self.peers.requested_ms;
        let waiting = waiting.is_some_and(|at_ms| now_ms.since(at_ms) < ANSWER_TIMEOUT_MS);
        if waiting || now_ms < self.peers.next_request_ms {
            return;
        }
        self.request_config(cx, now_ms);
    }

    fn request_config(&mut self, cx: CX![], now_ms: MonoMs) {
        let have = self.config.in_force_version();
        let newer: Vec<&NodeCard> = self.nodes.iter().filter(|c| c.config > have).collect();
        if newer.is_empty() {
            return;
        }
        // The peer is chosen at random: after an outage all new nodes send requests at once, which
        // would otherwise all go to the same peer.
        let card = newer[self.random.random_range(0..newer.len())];
        let jitter_ms = self.random.random_range(0..=REQUEST_INTERVAL_MS);
        self.peers.requested_ms = Some(now_ms);
        self.peers.next_request_ms = now_ms + SpanMs(REQUEST_INTERVAL_MS + jitter_ms);
        let ret = ret_to!([cx], on_peer_config() as (Result<PeerAnswer, Error>));
        let call = PeerCall::Config { have };
        self.ports.peers.call(cx, &card.address, call, ret);
    }

    fn on_peer_config(&mut self, cx: CX![], answer: Option<Result<PeerAnswer, Error>>) {
        self.peers.requested_ms = None;
        let Some(Ok(PeerAnswer::Config { version, body })) = answer else {
            return;
        };
        if let Some(body) = body {
            self.peers.floor = self.peers.floor.max(version);
            self.accept_version(cx, version, body, VersionSource::Peer);
        }
    }
}
