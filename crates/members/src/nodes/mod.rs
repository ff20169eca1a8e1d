//! The other nodes: their cards and their liveness.
//!
//! Terms: a *candidate* is a peer address from the list or the settings; a node is *suspected*
//! once several probes in a row failed.
//!
//! Invariants: one card per address; of two incarnations at one address the last one received is
//! current, since a process that was replaced sends nothing more. Suspicion is local to this node: it
//! removes the suspected node from the live nodes and does not prove that it is dead.

use bluebell_base::prelude::*;
use bluebell_peers::NodeCard;
use std::collections::BTreeMap;

/// The number of failed probes in a row after which a node is suspected.
const FAILURES_BEFORE_SUSPICION: u32 = 3;

#[derive(Clone, Debug, Default)]
struct Peer {
    card: Option<NodeCard>,
    failures: u32,
    listed: bool,
    last_answer: Option<LastAnswer>,
}

/// The last answer to a probe of this node.
#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    incarnation: Incarnation,
    at_ms: MonoMs,
}

/// The peers by address.
#[derive(Clone, Debug, Default)]
pub struct Nodes {
    peers: BTreeMap<Address, Peer>,
    own: Option<Address>,
}

impl Nodes {
    /// Creates an empty set of peers. The address `own` is never a peer.
    pub fn new(own: Address) -> Self {
        Self {
            peers: BTreeMap::new(),
            own: Some(own),
        }
    }

    /// Records an address that the list or the settings name as a peer.
    pub fn on_candidate(&mut self, address: &Address) {
        if self.own.as_ref() != Some(address) {
            self.peers.entry(address.clone()).or_default().listed = true;
        }
    }

    /// Records that the list no longer names a peer. Returns true if the peer was removed.
    ///
    /// A node that still answers is kept, since the list may be wrong.
    pub fn on_unlisted(&mut self, address: &Address) -> bool {
        let Some(peer) = self.peers.get_mut(address) else {
            return false;
        };
        peer.listed = false;
        self.remove_if_dead(address)
    }

    /// Records a received card. Returns true if the live nodes or their cards changed.
    pub fn on_card(&mut self, card: &NodeCard) -> bool {
        if self.own.as_ref() == Some(&card.address) {
            return false;
        }
        let peer = self.peers.entry(card.address.clone()).or_default();
        let was_live = peer.is_live();
        peer.failures = 0;
        let before = peer.card.replace(card.clone());
        !was_live || before.as_ref() != Some(card)
    }

    /// Records the answer to a probe sent at `sent_ms`. Returns the incarnation that the answer proves
    /// to be dead, if any.
    ///
    /// Only answers to own probes count, and only if the probe was sent after another incarnation had
    /// answered. That incarnation was then alive first, and the new one is alive now at the same
    /// address, which two processes can't share. A card from a peer's probe may have waited in a
    /// queue while its sender was replaced, and would make the newer incarnation appear older.
    pub fn on_answer(
        &mut self,
        card: &NodeCard,
        sent_ms: MonoMs,
        now_ms: MonoMs,
    ) -> Option<Incarnation> {
        let peer = self.peers.get_mut(&card.address)?;
        let last_answer = LastAnswer {
            incarnation: card.incarnation,
            at_ms: now_ms,
        };
        let before = peer
            .last_answer
            .filter(|before| before.incarnation != card.incarnation);
        if peer
            .last_answer
            .is_some_and(|before| sent_ms <= before.at_ms)
        {
            return None;
        }
        peer.last_answer = Some(last_answer);
        before.map(|before| before.incarnation)
    }

    /// Records a failed probe. Returns true if the live nodes changed.
    pub fn on_failure(&mut self, address: &Address) -> bool {
        let Some(peer) = self.peers.get_mut(address) else {
            return false;
        };
        let was_live = peer.is_live();
        peer.failures = peer.failures.saturating_add(1);
        let changed = was_live && !peer.is_live();
        self.remove_if_dead(address);
        changed
    }

    fn remove_if_dead(&mut self, address: &Address) -> bool {
        let dead = |peer: &Peer| !peer.listed && !peer.is_live();
        if self.peers.get(address).is_some_and(dead) {
            self.peers.remove(address);
            return true;
        }
        false
    }

    /// Returns true if the next probe should go to this peer: its last probe failed, and it is not
    /// suspected yet.
    pub fn needs_retry(&self, address: &Address) -> bool {
        let peer = self.peers.get(address);
        peer.is_some_and(|peer| peer.failures > 0 && peer.failures < FAILURES_BEFORE_SUSPICION)
    }

    /// Returns the cards of the live nodes.
    pub fn live(&self) -> Vec<NodeCard> {
        let live = self.peers.values().filter(|peer| peer.is_live());
        live.filter_map(|peer| peer.card.clone()).collect()
    }

    /// Returns the addresses of all peers, including suspected ones, since they may be back.
    pub fn addresses(&self) -> Vec<Address> {
        self.peers.keys().cloned().collect()
    }

    /// Returns the addresses of the live peers.
    pub fn live_addresses(&self) -> Vec<Address> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live());
        live.map(|(address, _)| address.clone()).collect()
    }

    /// Returns the addresses of candidates that have neither sent a card nor failed a probe.
    pub fn uncontacted(&self) -> Vec<Address> {
        let uncontacted = |peer: &Peer| peer.card.is_none() && peer.failures == 0;
        let uncontacted = self.peers.iter().filter(|(_, peer)| uncontacted(peer));
        uncontacted.map(|(address, _)| address.clone()).collect()
    }
}

impl Peer {
    fn is_live(&self) -> bool {
        self.card.is_some() && self.failures < FAILURES_BEFORE_SUSPICION
    }
}
