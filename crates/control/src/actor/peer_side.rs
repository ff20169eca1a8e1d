//! Configuration from peers: for a node that starts while the log is down, or lags behind it.
//!
//! Terms: the *floor* is the highest version that any peer was seen to hold.
//!
//! Invariants: no version below the floor comes into force; what a peer says can only move the
//! node forward.

use super::Control;
use crate::print::VersionSource;
use bluebell_base::prelude::*;
use bluebell_peers::{NodeCard, PeerAnswer, PeerCall};
use rand::Rng;
use stakker::{CX, ret_to};

/// How long the log may take to bring a version that a peer holds, before that peer is asked.
/// Without it each change would be fetched from peers by every node, next to reading it.
const LOG_FIRST_MS: SpanMs = SpanMs(2_000);

/// The time between two asks, doubled by jitter at most.
const ASK_MS: u64 = 500;

/// How long an ask may stay unanswered before another peer is asked.
const ANSWER_MS: SpanMs = SpanMs(3_000);

/// What is known of the peers' configuration.
#[derive(Clone, Debug)]
pub(super) struct PeerSide {
    floor: ConfigVersion,
    floor_at_ms: MonoMs,
    asked_ms: Option<MonoMs>,
    ask_at_ms: MonoMs,
}

impl Default for PeerSide {
    fn default() -> Self {
        Self {
            floor: ConfigVersion(0),
            floor_at_ms: MonoMs(0),
            asked_ms: None,
            ask_at_ms: MonoMs(0),
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
        let lagging = self.config.reached() < self.peers.floor;
        let fresh = self.config.in_force_version() == ConfigVersion(0);
        let log_had_its_time = now_ms >= self.peers.floor_at_ms + LOG_FIRST_MS;
        if !lagging || !(fresh || self.config.is_down() || log_had_its_time) {
            return;
        }
        let waiting = self.peers.asked_ms;
        let waiting = waiting.is_some_and(|at_ms| now_ms.since(at_ms) < ANSWER_MS);
        if waiting || now_ms < self.peers.ask_at_ms {
            return;
        }
        self.ask_a_peer(cx, now_ms);
    }

    fn ask_a_peer(&mut self, cx: CX![], now_ms: MonoMs) {
        let have = self.config.in_force_version();
        let newer: Vec<&NodeCard> = self.nodes.iter().filter(|c| c.config > have).collect();
        if newer.is_empty() {
            return;
        }
        // A random one of them: after an outage all fresh nodes ask at once, and would all fall
        // on the same peer.
        let card = newer[self.random.random_range(0..newer.len())];
        let jitter_ms = self.random.random_range(0..=ASK_MS);
        self.peers.asked_ms = Some(now_ms);
        self.peers.ask_at_ms = now_ms + SpanMs(ASK_MS + jitter_ms);
        let ret = ret_to!([cx], on_peer_config() as (Result<PeerAnswer, Error>));
        let call = PeerCall::Config { have };
        self.ports.peers.call(cx, &card.address, call, ret);
    }

    fn on_peer_config(&mut self, cx: CX![], answer: Option<Result<PeerAnswer, Error>>) {
        self.peers.asked_ms = None;
        let Some(Ok(PeerAnswer::Config { version, body })) = answer else {
            return;
        };
        if let Some(body) = body {
            self.peers.floor = self.peers.floor.max(version);
            self.offer(cx, version, body, VersionSource::Peer);
        }
    }
}
