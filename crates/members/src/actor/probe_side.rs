//! Probes peers one at a time in random order, and a few at once when a refusal is new.
//!
//! Each node sends and receives one probe per second on average, regardless of the number of nodes,
//! so the cost of a node does not grow with the fleet. A new refusal is sent to a few random peers at
//! once, and each of them does the same. This reaches a fleet of hundreds of nodes in a handful of
//! round trips. The periodic probes reach the remaining nodes.

use super::Members;
use crate::MemberEvent;
use bluebell_base::prelude::*;
use bluebell_peers::{NodeCard, PeerAnswer, PeerCall};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use stakker::{CX, ret_to};

/// The time after its start during which a node probes peers that it hasn't contacted yet at a higher
/// rate.
const STARTUP_MS: SpanMs = SpanMs::from_secs(60);

/// The number of uncontacted peers that a starting node probes on each tick.
const STARTUP_PROBES_PER_TICK: usize = 2;

/// The state of the probes.
#[derive(Clone, Debug)]
pub(super) struct ProbeSide {
    started_ms: MonoMs,
    next_ms: MonoMs,
    retry: Vec<Address>,
    /// The peers that remain in this round, in random order.
    round: Vec<Address>,
}

impl ProbeSide {
    pub(super) fn new(now_ms: MonoMs) -> Self {
        Self {
            started_ms: now_ms,
            next_ms: now_ms,
            retry: Vec::new(),
            round: Vec::new(),
        }
    }

    pub(super) fn started_ms(&self) -> MonoMs {
        self.started_ms
    }
}

impl Members {
    pub(super) fn tick_probes(&mut self, cx: CX![], now_ms: MonoMs) {
        if now_ms.since(self.probes.started_ms) < STARTUP_MS {
            self.probe_uncontacted(cx, now_ms);
        }
        if now_ms < self.probes.next_ms {
            return;
        }
        let probe_ms = self.settings.probe_ms.0;
        let wait_ms = self
            .random
            .random_range(probe_ms / 2..=probe_ms + probe_ms / 2);
        self.probes.next_ms = now_ms + SpanMs(wait_ms);
        // A peer whose last probe failed is probed again before others, so that a dead peer is
        // suspected within seconds and a lost answer has no lasting effect.
        let to = self.probes.retry.pop().or_else(|| self.next_of_round());
        if let Some(to) = to {
            self.probe(cx, &to, now_ms);
        }
    }

    /// Returns the next peer of a round. A round covers all peers once, in a new random order.
    ///
    /// With an independent random choice each time, a given peer might not be probed for many times
    /// the mean interval.
    fn next_of_round(&mut self) -> Option<Address> {
        if self.probes.round.is_empty() {
            self.probes.round = self.nodes.addresses();
            self.probes.round.shuffle(&mut self.random);
        }
        self.probes.round.pop()
    }

    fn probe_uncontacted(&mut self, cx: CX![], now_ms: MonoMs) {
        let uncontacted = self.nodes.uncontacted();
        let chosen: Vec<Address> = uncontacted
            .choose_multiple(&mut self.random, STARTUP_PROBES_PER_TICK)
            .cloned()
            .collect();
        for to in chosen {
            self.probe(cx, &to, now_ms);
        }
    }

    /// Probes `news_fanout` random live peers at once, so that they receive the new state.
    pub(super) fn notify_random_peers(&mut self, cx: CX![], now_ms: MonoMs) {
        let live = self.nodes.live_addresses();
        let chosen: Vec<Address> = live
            .choose_multiple(&mut self.random, self.settings.news_fanout)
            .cloned()
            .collect();
        for to in chosen {
            self.probe(cx, &to, now_ms);
        }
    }

    fn probe(&mut self, cx: CX![], to: &Address, now_ms: MonoMs) {
        let call = PeerCall::Probe {
            card: self.card.clone(),
            leaving: self.refusals.names_for_peers(now_ms),
        };
        let ret = ret_to!(
            [cx],
            on_probe_answer(to.clone(), now_ms) as (Result<PeerAnswer, Error>)
        );
        self.ports.peers.call(cx, to, call, ret);
    }

    fn on_probe_answer(
        &mut self,
        cx: CX![],
        to: Address,
        sent_ms: MonoMs,
        answer: Option<Result<PeerAnswer, Error>>,
    ) {
        match answer {
            Some(Ok(PeerAnswer::Probe { card, leaving })) => {
                self.on_peer_state(cx, &card, &leaving);
                let now_ms = self.timers.now_ms(cx);
                if card.address == to
                    && let Some(dead) = self.nodes.on_answer(&card, sent_ms, now_ms)
                {
                    self.events.fwd(MemberEvent::NodeReplaced { dead });
                }
            }
            Some(_) | None => self.on_probe_failed(&to),
        }
    }

    fn on_probe_failed(&mut self, to: &Address) {
        if self.nodes.on_failure(to) {
            self.announce_nodes();
        }
        if self.nodes.needs_retry(to) && !self.probes.retry.contains(to) {
            self.probes.retry.push(to.clone());
        }
    }

    /// Processes a peer's card and the leaving upstreams that it reports.
    pub(super) fn on_peer_state(&mut self, cx: CX![], card: &NodeCard, leaving: &[UpstreamName]) {
        if self.nodes.on_card(card) {
            self.announce_nodes();
        }
        let now_ms = self.timers.now_ms(cx);
        let mut is_new = false;
        for name in leaving {
            if self.refusals.on_peer_report(name, now_ms) {
                is_new = true;
                self.announce(name, now_ms);
            }
        }
        if is_new {
            self.notify_random_peers(cx, now_ms);
        }
    }
}
