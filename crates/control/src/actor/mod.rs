//! The control actor of a node. It reads both streams, publishes configurations, holds leases and
//! sends the configuration to peers.
//!
//! Terms: the *config side* and the *lease side* are its two halves, each with a tail, an
//! appender and a reducer of its own stream.
//!
//! Invariants: the version of the configuration in force never decreases; a duty is announced as
//! held only while its lease is valid on this node's clock.

mod config_side;
mod lease_side;
mod peer_side;
mod publishing;

use crate::coordinator::{Coordinator, CoordinatorDump};
use crate::print::{ControlDump, HeldDump, VersionSeen};
use crate::settings::{ControlPorts, ControlSettings, NodeIdentity};
use crate::{ControlEvent, Duty, Lease, Published};
use bluebell_base::prelude::*;
use bluebell_peers::{NodeCard, PeerAnswer};
use bluebell_platform::VmEntry;
use bluebell_timers::Timers;
use bluebell_upstreams::EnginePort;
use config_side::ConfigSide;
use lease_side::LeaseSide;
use peer_side::PeerSide;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stakker::{ActorOwn, CX, Core, Fwd, Ret, actor, call, fwd_to, ret_nop};
use std::rc::Rc;

/// The time between two checks for expired leases, renewals, takes, snapshots and timeouts that
/// are due.
const TICK_MS: SpanMs = SpanMs(100);

/// The control actor; see [`Control::spawn`].
pub struct Control {
    me: NodeIdentity,
    ports: ControlPorts,
    settings: ControlSettings,
    timers: Timers,
    events: Fwd<ControlEvent>,
    random: ChaCha8Rng,
    nodes: Vec<NodeCard>,
    config: ConfigSide,
    leases: LeaseSide,
    peers: PeerSide,
    coordinator: ActorOwn<Coordinator>,
    started_ms: MonoMs,
    draining: Option<Ret<()>>,
    drained: bool,
    drain_ends_ms: MonoMs,
}

impl Control {
    /// Spawns the actor. It starts to read at once and reports changes of the agreed state through
    /// `events`.
    pub fn spawn(
        core: &mut Core,
        me: NodeIdentity,
        ports: ControlPorts,
        timers: Timers,
        settings: ControlSettings,
        seed: u64,
        events: Fwd<ControlEvent>,
    ) -> ActorOwn<Control> {
        actor!(
            core,
            Control::init(me, ports, timers, settings, seed, events),
            ret_nop!()
        )
    }

    fn init(
        cx: CX![],
        me: NodeIdentity,
        ports: ControlPorts,
        timers: Timers,
        settings: ControlSettings,
        seed: u64,
        events: Fwd<ControlEvent>,
    ) -> Option<Self> {
        for fault in settings.faults() {
            log::error!("control settings: {fault}");
        }
        let mut random = generator(seed, me.incarnation);
        let config = ConfigSide::open(cx, &ports, &timers, &settings, &mut random);
        let leases = LeaseSide::open(cx, &me, &ports, &timers, &settings, &mut random);
        let coordinator =
            Coordinator::spawn(cx, ports.weights.clone(), timers.clone(), settings.clone());
        let started_ms = timers.now_ms(cx);
        let mut control = Self {
            me,
            ports,
            settings,
            timers,
            events,
            random,
            nodes: Vec::new(),
            config,
            leases,
            peers: PeerSide::default(),
            coordinator,
            started_ms,
            draining: None,
            drained: false,
            drain_ends_ms: MonoMs(0),
        };
        control.find_leases_end(cx);
        control.tick(cx, started_ms);
        Some(control)
    }

    /// Publishes `body` as the version that follows `base`.
    ///
    /// Answers once the record is read back, so a publication whose append's answer was lost is
    /// still recognized by its operation id. An error with [`Verdict::MayHaveRun`] names that id;
    /// the publication may still come into force.
    pub fn publish(
        &mut self,
        cx: CX![],
        base: ConfigVersion,
        body: Arc<str>,
        ret: Ret<Result<Published, Error>>,
    ) {
        self.begin_publication(cx, base, body, ret);
    }

    /// Answers a peer's request for the configuration. The text is included if this node has a
    /// newer version than `have`.
    pub fn peer_config(&mut self, _cx: CX![], have: ConfigVersion, ret: Ret<PeerAnswer>) {
        let version = self.config.in_force_version();
        let body = (version > have).then(|| self.config.in_force_body());
        ret.ret(PeerAnswer::Config { version, body });
    }

    /// Replaces the cards of the live nodes, as reported by membership.
    pub fn nodes_changed(&mut self, cx: CX![], nodes: Vec<NodeCard>) {
        self.nodes = nodes;
        self.nodes
            .retain(|card| card.incarnation != self.me.incarnation);
        let nodes = &self.nodes;
        let is_live = |i: &Incarnation| nodes.iter().any(|card| card.incarnation == *i);
        self.leases.forget_stopped(is_live);
        self.raise_floor(cx);
    }

    /// Records an engine that appeared or whose entry in the platform's list changed.
    pub fn engine_updated(&mut self, _cx: CX![], entry: VmEntry, port: Rc<dyn EnginePort>) {
        call!([self.coordinator], engine_updated(entry, port));
    }

    /// Records that an engine is leaving.
    pub fn engine_leaving(&mut self, _cx: CX![], name: UpstreamName) {
        call!([self.coordinator], engine_leaving(name));
    }

    /// Removes an engine that is gone.
    pub fn engine_gone(&mut self, _cx: CX![], name: UpstreamName) {
        call!([self.coordinator], engine_gone(name));
    }

    /// Records that an incarnation is certainly dead, since another one answers at its address.
    pub fn node_replaced(&mut self, _cx: CX![], dead: Incarnation) {
        call!([self.coordinator], node_replaced(dead));
    }

    /// Answers with the state and the counters of this node's coordinator.
    pub fn coordinator_dump(&mut self, _cx: CX![], ret: Ret<CoordinatorDump>) {
        call!([self.coordinator], dump(ret));
    }

    /// Releases all duties and takes no more. Answers when other nodes may take them.
    pub fn drain(&mut self, cx: CX![], ret: Ret<()>) {
        self.begin_drain(cx, ret);
    }

    /// Answers with the version in force and its text as the operators wrote it.
    pub fn in_force(&mut self, _cx: CX![], ret: Ret<(ConfigVersion, Arc<str>)>) {
        ret.ret((self.config.in_force_version(), self.config.in_force_body()));
    }

    /// Answers with the versions that came into force on this node, oldest first.
    pub fn history(&mut self, _cx: CX![], ret: Ret<Vec<VersionSeen>>) {
        ret.ret(self.config.history());
    }

    /// Answers with the state of control on this node.
    pub fn dump(&mut self, _cx: CX![], ret: Ret<ControlDump>) {
        let held = |(lease, until_ms): (&Lease, MonoMs)| HeldDump {
            lease: lease.clone(),
            until_ms,
        };
        ret.ret(ControlDump {
            in_force: self.config.in_force_version(),
            faults: self.config.faults(),
            unusable: self.config.unusable(),
            seen_at_peers: self.peers.floor(),
            log_version: self.config.log_version(),
            pending_updates: self.config.pending_updates(),
            unresolved: self.config.unresolved(),
            contradictions: self.config.contradictions(),
            skipped: self.config.skipped().plus(self.leases.skipped()),
            leases_known: self.leases.is_known(),
            leases: self.leases.all(),
            held: self.leases.held().map(held).collect(),
            taking: self.leases.taking(),
            vacant: self.vacant(),
            log_down: self.config.is_down() || self.leases.is_down(),
        });
    }

    fn vacant(&self) -> Vec<Duty> {
        let mut duties = self.settings.duties();
        duties.retain(|duty| self.leases.holder_of(*duty).is_none());
        duties
    }

    fn tick(&mut self, cx: CX![], now_ms: MonoMs) {
        self.tick_publications(now_ms);
        self.tick_leases(cx, now_ms);
        self.tick_snapshot(cx, now_ms);
        self.tick_peers(cx, now_ms);
        let again = fwd_to!([cx], tick() as (MonoMs));
        self.timers.subscribe_in(cx, TICK_MS, again);
    }

    /// Reports an event to the node, and to the coordinator if it concerns it.
    fn emit(&mut self, event: ControlEvent) {
        match &event {
            ControlEvent::Config { config, .. } => {
                call!([self.coordinator], config_changed(config.clone()));
            }
            ControlEvent::Held { lease, until_ms } => {
                if let Duty::Coordinator(group) = lease.duty {
                    call!(
                        [self.coordinator],
                        duty_held(group, lease.clone(), *until_ms)
                    );
                }
            }
            ControlEvent::Lost(Duty::Coordinator(group)) => {
                call!([self.coordinator], duty_lost(*group));
            }
            ControlEvent::Holder(_) | ControlEvent::Lost(_) => (),
        }
        self.events.fwd(event);
    }

    fn operation(&mut self) -> OperationId {
        OperationId(self.random.random())
    }
}

/// Returns the random generator of a process. It is seeded with the incarnation as well: two nodes
/// with the same seed would otherwise draw the same operation ids and mistake each other's records
/// for their own.
fn generator(seed: u64, incarnation: Incarnation) -> ChaCha8Rng {
    let mut bytes = <ChaCha8Rng as SeedableRng>::Seed::default();
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..16].copy_from_slice(&incarnation.0.to_le_bytes());
    ChaCha8Rng::from_seed(bytes)
}
