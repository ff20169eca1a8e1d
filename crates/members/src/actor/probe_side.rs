//! Probes: one peer at a time, in random order, and at once where there is news.
//!
//! Each node sends and gets one probe a second on average, however many nodes there are, so the
//! cost of a node does not grow with the fleet. News goes to a few random peers at once and each
//! of them passes it on, which reaches a fleet of hundreds in a handful of round trips; the
//! steady probes bring it to those that the spreading missed.

use super::Members;
use crate::MemberEvent;
use bluebell_base::prelude::*;
use bluebell_peers::{NodeCard, PeerAnswer, PeerCall};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use stakker::{CX, ret_to};

/// How long a node is fresh and probes those it never heard faster than usual.
const FRESH_MS: SpanMs = SpanMs::from_secs(60);

/// Probes of unheard peers a fresh node sends on each tick.
const FRESH_PROBES: usize = 2;

/// The state of probing.
#[derive(Clone, Debug)]
pub(super) struct ProbeSide {
    started_ms: MonoMs,
    next_ms: MonoMs,
    retry: Vec<Address>,
    /// Peers still to be probed in this round, in random order.
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
        if now_ms.since(self.probes.started_ms) < FRESH_MS {
            self.probe_unheard(cx, now_ms);
        }
        if now_ms < self.probes.next_ms {
            return;
        }
        let probe_ms = self.settings.probe_ms.0;
        let wait_ms = self
            .random
            .random_range(probe_ms / 2..=probe_ms + probe_ms / 2);
        self.probes.next_ms = now_ms + SpanMs(wait_ms);
        // A peer that just failed is asked again before another, so that a dead one is suspected
        // within seconds and a lost answer is soon made good.
        let to = self.probes.retry.pop().or_else(|| self.next_of_round());
        if let Some(to) = to {
            self.probe(cx, &to, now_ms);
        }
    }

    /// The next peer of a round that goes through all of them, in a new order each time.
    ///
    /// Drawn at random each time, a given peer might not be probed for many times the mean.
    fn next_of_round(&mut self) -> Option<Address> {
        if self.probes.round.is_empty() {
            self.probes.round = self.nodes.addresses();
            self.probes.round.shuffle(&mut self.random);
        }
        self.probes.round.pop()
    }

    fn probe_unheard(&mut self, cx: CX![], now_ms: MonoMs) {
        let unheard = self.nodes.unheard();
        let chosen: Vec<Address> = unheard
            .choose_multiple(&mut self.random, FRESH_PROBES)
            .cloned()
            .collect();
        for to in chosen {
            self.probe(cx, &to, now_ms);
        }
    }

    /// Tells a few random peers at once.
    pub(super) fn spread_news(&mut self, cx: CX![], now_ms: MonoMs) {
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
            leaving: self.evidence.to_tell(now_ms),
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
        asked_ms: MonoMs,
        answer: Option<Result<PeerAnswer, Error>>,
    ) {
        match answer {
            Some(Ok(PeerAnswer::Probe { card, leaving })) => {
                self.hear(cx, &card, &leaving);
                let now_ms = self.timers.now_ms(cx);
                if card.address == to
                    && let Some(dead) = self.nodes.on_answer(&card, asked_ms, now_ms)
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
        if self.nodes.wants_retry(to) && !self.probes.retry.contains(to) {
            self.probes.retry.push(to.clone());
        }
    }

    /// Takes in what a peer says of itself and of leaving upstreams.
    pub(super) fn hear(&mut self, cx: CX![], card: &NodeCard, leaving: &[UpstreamName]) {
        if self.nodes.on_card(card) {
            self.announce_nodes();
        }
        let now_ms = self.timers.now_ms(cx);
        let mut news = false;
        for name in leaving {
            if self.evidence.on_hearsay(name, now_ms) {
                news = true;
                self.announce(name, now_ms);
            }
        }
        if news {
            self.spread_news(cx, now_ms);
        }
    }
}
