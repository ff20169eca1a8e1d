//! The membership actor of a node.
//!
//! Terms: an upstream's *effective state* combines its state in the list with its own refusals; a
//! *new* refusal is one that this node did not know of.
//!
//! Invariants: an upstream that is leaving by either source is announced as leaving; events are
//! sent only for changes of the effective state.

mod directory_side;
mod listing_side;
mod probe_side;

use crate::listing::Listing;
use crate::nodes::Nodes;
use crate::refusals::Refusals;
use crate::settings::{MembersPorts, MembersSettings};
use crate::{MemberEvent, MembersDump};
use bluebell_base::prelude::*;
use bluebell_peers::{NodeCard, PeerAnswer};
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_timers::Timers;
use listing_side::ListingSide;
use probe_side::ProbeSide;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stakker::{ActorOwn, CX, Core, Fwd, Ret, actor, fwd_to, ret_nop};
use std::collections::BTreeMap;

/// The interval of the timer that starts due fetches, writes and probes.
const TICK_MS: SpanMs = SpanMs(200);

/// The membership actor; see [`Members::spawn`].
pub struct Members {
    card: NodeCard,
    ports: MembersPorts,
    settings: MembersSettings,
    timers: Timers,
    events: Fwd<MemberEvent>,
    random: ChaCha8Rng,
    listing: Listing,
    refusals: Refusals,
    nodes: Nodes,
    announced: BTreeMap<UpstreamName, VmEntry>,
    list_side: ListingSide,
    probes: ProbeSide,
    ticked_ms: MonoMs,
}

impl Members {
    /// Spawns the actor. It fetches the list at once and reports changes through `events`.
    pub fn spawn(
        core: &mut Core,
        card: NodeCard,
        ports: MembersPorts,
        timers: Timers,
        settings: MembersSettings,
        seed: u64,
        events: Fwd<MemberEvent>,
    ) -> ActorOwn<Members> {
        actor!(
            core,
            Members::init(card, ports, timers, settings, seed, events),
            ret_nop!()
        )
    }

    fn init(
        cx: CX![],
        card: NodeCard,
        ports: MembersPorts,
        timers: Timers,
        settings: MembersSettings,
        seed: u64,
        events: Fwd<MemberEvent>,
    ) -> Option<Self> {
        let mut nodes = Nodes::new(card.address.clone());
        settings
            .seeds
            .iter()
            .for_each(|seed| nodes.on_candidate(seed));
        let now_ms = timers.now_ms(cx);
        let mut random = generator(seed, card.incarnation);
        let list_side = ListingSide::open(cx, &ports, &timers, &settings, &mut random);
        let mut members = Self {
            refusals: Refusals::new(settings.refusal_ms),
            card,
            ports,
            settings,
            timers,
            events,
            random,
            listing: Listing::default(),
            nodes,
            announced: BTreeMap::new(),
            list_side,
            probes: ProbeSide::new(now_ms),
            ticked_ms: now_ms,
        };
        members.find_directory_end(cx);
        members.tick(cx, now_ms);
        Some(members)
    }

    /// Handles an upstream's refusal of this node's work because it is leaving.
    pub fn upstream_refused(&mut self, cx: CX![], name: UpstreamName) {
        let now_ms = self.timers.now_ms(cx);
        if self.refusals.on_refusal(&name, now_ms) {
            self.announce(&name, now_ms);
            self.notify_random_peers(cx, now_ms);
        }
    }

    /// Answers a peer's probe and processes its content.
    pub fn on_probe(
        &mut self,
        cx: CX![],
        card: NodeCard,
        leaving: Vec<UpstreamName>,
        ret: Ret<PeerAnswer>,
    ) {
        let now_ms = self.timers.now_ms(cx);
        ret.ret(PeerAnswer::Probe {
            card: self.card.clone(),
            leaving: self.refusals.names_for_peers(now_ms),
        });
        self.on_peer_state(cx, &card, &leaving);
    }

    /// Sets the version of the configuration in force, which this node's card reports to peers.
    pub fn config_changed(&mut self, _cx: CX![], version: ConfigVersion) {
        self.card.config = version;
    }

    /// Marks this node as stopping and notifies peers at once.
    pub fn leave(&mut self, cx: CX![]) {
        self.card.leaving = true;
        let now_ms = self.timers.now_ms(cx);
        self.notify_random_peers(cx, now_ms);
    }

    /// Starts or extends this node's duty to write the directory stream with the fencing number
    /// `fencing`, until `until_ms`.
    pub fn duty_held(&mut self, cx: CX![], fencing: Fencing, until_ms: MonoMs) {
        self.hold_duty(cx, fencing, until_ms);
    }

    /// Ends this node's duty to write the directory stream.
    pub fn duty_lost(&mut self, _cx: CX![]) {
        self.drop_duty();
    }

    /// Reports the state of membership on this node.
    pub fn dump(&mut self, cx: CX![], ret: Ret<MembersDump>) {
        let now_ms = self.timers.now_ms(cx);
        ret.ret(MembersDump {
            card: self.card.clone(),
            nodes: self.nodes.live(),
            listed: self.listing.entries().cloned().collect(),
            refused: self.refusals.names_for_peers(now_ms),
            writes_directory: self.writes_directory(now_ms),
            directory_stale: self.is_stale(now_ms),
            skipped_records: self.list_side.skipped(),
            ignored_records: self.list_side.ignored(),
        });
    }

    fn tick(&mut self, cx: CX![], now_ms: MonoMs) {
        for name in self.refusals.expire(self.ticked_ms, now_ms) {
            self.announce(&name, now_ms);
        }
        self.ticked_ms = now_ms;
        self.tick_listing(cx, now_ms);
        self.tick_probes(cx, now_ms);
        let again = fwd_to!([cx], tick() as (MonoMs));
        self.timers.subscribe_in(cx, TICK_MS, again);
    }

    /// Announces the effective state of an upstream if it changed.
    fn announce(&mut self, name: &UpstreamName, now_ms: MonoMs) {
        if self.list_side.is_replaying() {
            return;
        }
        let entry = self.listing.entry(&VmName(name.0.clone()));
        let entry = entry.filter(|entry| entry.role != VmRole::Node);
        let Some(mut entry) = entry.cloned() else {
            if self.announced.remove(name).is_some() {
                self.events.fwd(MemberEvent::UpstreamGone(name.clone()));
            }
            return;
        };
        if self.refusals.is_leaving(name, now_ms) {
            entry.state = VmState::Leaving;
        }
        let before = self.announced.insert(name.clone(), entry.clone());
        if before.as_ref() == Some(&entry) {
            return;
        }
        self.events.fwd(match entry.state {
            VmState::Live => MemberEvent::UpstreamLive(entry),
            VmState::Leaving => MemberEvent::UpstreamLeaving(name.clone()),
        });
    }

    fn announce_nodes(&mut self) {
        self.events.fwd(MemberEvent::Nodes(self.nodes.live()));
    }
}

/// Creates the random generator of a process from the seed and the incarnation. With the seed alone,
/// two nodes with the same seed would draw the same operation ids and treat each other's records as
/// their own.
fn generator(seed: u64, incarnation: Incarnation) -> ChaCha8Rng {
    let mut bytes = <ChaCha8Rng as SeedableRng>::Seed::default();
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..16].copy_from_slice(&incarnation.0.to_le_bytes());
    ChaCha8Rng::from_seed(bytes)
}
