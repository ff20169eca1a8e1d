//! The other nodes: their cards, and which of them answer.
//!
//! Terms: a *candidate* is a peer address from the list or the settings; a node is *suspected*
//! once several probes in a row failed.
//!
//! Invariants: one card an address; of two incarnations at one address the one heard last counts,
//! as a process that was replaced says nothing any more. Suspicion is this node's own opinion: it
//! takes a node out of its view and proves nothing about it.

use bluebell_base::prelude::*;
use bluebell_peers::NodeCard;
use std::collections::BTreeMap;

/// Failed probes in a row that make a node suspected.
const FAILURES_TO_SUSPECT: u32 = 3;

#[derive(Clone, Debug, Default)]
struct Known {
    card: Option<NodeCard>,
    failures: u32,
    listed: bool,
    answered: Option<Answered>,
}

/// Who answered this node's own probe, and when.
#[derive(Clone, Copy, Debug)]
struct Answered {
    incarnation: Incarnation,
    at_ms: MonoMs,
}

/// The peers by address.
#[derive(Clone, Debug, Default)]
pub struct Nodes {
    known: BTreeMap<Address, Known>,
    own: Option<Address>,
}

impl Nodes {
    /// No peers known; `own` is never a peer.
    pub fn new(own: Address) -> Self {
        Self {
            known: BTreeMap::new(),
            own: Some(own),
        }
    }

    /// The list or the settings name a peer.
    pub fn on_candidate(&mut self, address: &Address) {
        if self.own.as_ref() != Some(address) {
            self.known.entry(address.clone()).or_default().listed = true;
        }
    }

    /// The list no longer names a peer; `true` where that changes the live nodes.
    ///
    /// A node that still answers stays: the list may be wrong about it.
    pub fn on_unlisted(&mut self, address: &Address) -> bool {
        let Some(known) = self.known.get_mut(address) else {
            return false;
        };
        known.listed = false;
        self.forget_dead(address)
    }

    /// A card was heard; `true` where that changes the live nodes.
    pub fn on_card(&mut self, card: &NodeCard) -> bool {
        if self.own.as_ref() == Some(&card.address) {
            return false;
        }
        let known = self.known.entry(card.address.clone()).or_default();
        let was_live = known.is_live();
        known.failures = 0;
        let before = known.card.replace(card.clone());
        !was_live || before.as_ref() != Some(card)
    }

    /// A probe sent at `asked_ms` was answered; gives the incarnation that is thereby known to be
    /// dead, if any.
    ///
    /// Only answers to own probes count, and only if the probe was sent after the other one had
    /// answered: then it lived first and another does now, at one address that two processes
    /// can't share. A card from a peer's probe may have waited in a queue while its sender was
    /// replaced, and would make the newer one look like the older.
    pub fn on_answer(
        &mut self,
        card: &NodeCard,
        asked_ms: MonoMs,
        now_ms: MonoMs,
    ) -> Option<Incarnation> {
        let known = self.known.get_mut(&card.address)?;
        let answered = Answered {
            incarnation: card.incarnation,
            at_ms: now_ms,
        };
        let before = known
            .answered
            .filter(|before| before.incarnation != card.incarnation);
        if known
            .answered
            .is_some_and(|before| asked_ms <= before.at_ms)
        {
            return None;
        }
        known.answered = Some(answered);
        before.map(|before| before.incarnation)
    }

    /// A probe failed; `true` where that changes the live nodes.
    pub fn on_failure(&mut self, address: &Address) -> bool {
        let Some(known) = self.known.get_mut(address) else {
            return false;
        };
        let was_live = known.is_live();
        known.failures = known.failures.saturating_add(1);
        let changed = was_live && !known.is_live();
        self.forget_dead(address);
        changed
    }

    fn forget_dead(&mut self, address: &Address) -> bool {
        let dead = |known: &Known| !known.listed && !known.is_live();
        if self.known.get(address).is_some_and(dead) {
            self.known.remove(address);
            return true;
        }
        false
    }

    /// Whether the next probe should go to this one: it just failed and is not suspected yet.
    pub fn wants_retry(&self, address: &Address) -> bool {
        let known = self.known.get(address);
        known.is_some_and(|known| known.failures > 0 && known.failures < FAILURES_TO_SUSPECT)
    }

    /// The cards of the live nodes.
    pub fn live(&self) -> Vec<NodeCard> {
        let live = self.known.values().filter(|known| known.is_live());
        live.filter_map(|known| known.card.clone()).collect()
    }

    /// Addresses of all peers, the suspected ones too, since they may be back.
    pub fn addresses(&self) -> Vec<Address> {
        self.known.keys().cloned().collect()
    }

    /// Addresses of live peers.
    pub fn live_addresses(&self) -> Vec<Address> {
        let live = self.known.iter().filter(|(_, known)| known.is_live());
        live.map(|(address, _)| address.clone()).collect()
    }

    /// Addresses of candidates that were never heard.
    pub fn unheard(&self) -> Vec<Address> {
        let unheard = |known: &Known| known.card.is_none() && known.failures == 0;
        let unheard = self.known.iter().filter(|(_, known)| unheard(known));
        unheard.map(|(address, _)| address.clone()).collect()
    }
}

impl Known {
    fn is_live(&self) -> bool {
        self.card.is_some() && self.failures < FAILURES_TO_SUSPECT
    }
}
