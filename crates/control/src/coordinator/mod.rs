//! The coordinator of a group of engines. It brings the engines to the model versions of the
//! configuration and reclaims engine memory without a live owner.
//!
//! Terms: the *group* of an engine is the hash of its deployment's name modulo the number of
//! coordinators; a *view* is an engine's state as read back; an order is *wrong* if it comes from a
//! coordinator that was replaced in the meantime.
//!
//! All engines of a deployment have the same coordinator, for two reasons. An engine that checks
//! fencing numbers keeps only the newest number, so orders to it must come under one duty. And only
//! a coordinator that knows all replicas of a model can decide how many may be unavailable. Each of
//! several coordinators loads at its share of the weight store's rate, so that together they keep
//! to that rate without communication.
//!
//! Invariants: the lease is checked immediately before each order is handed to the port, and the
//! order carries the fencing number of that lease; one engine of the group loads at a time.

mod engines;
mod orders;
mod plan;
mod reads;
mod reclaim;

pub use engines::{KnownEngine, View, group_of};
pub use plan::{Load, Rollout};
pub use reclaim::{HoldKey, HoldTracker};

use crate::Lease;
use crate::settings::ControlSettings;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_platform::{VmEntry, WeightPort};
use bluebell_timers::Timers;
use bluebell_upstreams::EnginePort;
use engines::Engines;
use orders::OrderSide;
use reads::ReadSide;
use serde::{Deserialize, Serialize};
use stakker::{ActorOwn, CX, Core, Ret, actor, fwd_to, ret_nop};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The time between two checks for work that is due.
const TICK_MS: SpanMs = SpanMs(200);

/// The coordinator actor of a node. It is idle while the node holds no coordinator duty.
pub struct Coordinator {
    weights: Rc<dyn WeightPort>,
    timers: Timers,
    settings: ControlSettings,
    engines: Engines,
    config: Arc<FleetConfig>,
    duties: BTreeMap<u32, GroupDuty>,
    reads: ReadSide,
    orders: OrderSide,
    holds: HoldTracker,
    counts: CoordinatorCounts,
}

/// The coordinator duty for one group, as held by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupDuty {
    fencing: Fencing,
    until_ms: MonoMs,
    since_ms: MonoMs,
}

/// The counters of a coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorCounts {
    /// Orders sent to load a version.
    pub loads: u64,
    /// Loads that the state read back showed as complete.
    pub loaded: u64,
    /// Loads that did not complete in time.
    pub failed_loads: u64,
    /// Orders sent only to give an engine the fencing number.
    pub fences: u64,
    /// Orders sent to reclaim a hold.
    pub reclaimed: u64,
    /// Orders not sent because the lease had ended.
    pub withheld: u64,
    /// Orders that an engine refused because of their old fencing number.
    pub superseded: u64,
}

/// The state of this node's coordinator, for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorDump {
    /// The groups that it coordinates.
    pub groups: Vec<u32>,
    /// The number of engines that this node knows.
    pub engines: usize,
    /// The number of engines of its groups whose state is not read back.
    pub unread: usize,
    /// The engine that is loading a version, if any.
    pub loading: Option<UpstreamName>,
    /// The model versions whose rollout is halted since loading them failed.
    pub halted: Vec<Arc<str>>,
    /// The counters since the start.
    pub counts: CoordinatorCounts,
}

impl Coordinator {
    /// Spawns an idle coordinator.
    pub fn spawn(
        core: &mut Core,
        weights: Rc<dyn WeightPort>,
        timers: Timers,
        settings: ControlSettings,
    ) -> ActorOwn<Coordinator> {
        actor!(
            core,
            Coordinator::init(weights, timers, settings),
            ret_nop!()
        )
    }

    fn init(
        cx: CX![],
        weights: Rc<dyn WeightPort>,
        timers: Timers,
        settings: ControlSettings,
    ) -> Option<Self> {
        let now_ms = timers.now_ms(cx);
        let mut coordinator = Self {
            weights,
            timers,
            engines: Engines::new(settings.coordinators),
            settings,
            config: Arc::default(),
            duties: BTreeMap::new(),
            reads: ReadSide::default(),
            orders: OrderSide::default(),
            holds: HoldTracker::default(),
            counts: CoordinatorCounts::default(),
        };
        coordinator.tick(cx, now_ms);
        Some(coordinator)
    }

    /// Records an engine that appeared or whose entry in the platform's list changed.
    pub fn engine_updated(&mut self, _cx: CX![], entry: VmEntry, port: Rc<dyn EnginePort>) {
        self.engines.put(entry, port);
    }

    /// Records that an engine is leaving. It receives no more orders to load a version.
    pub fn engine_leaving(&mut self, _cx: CX![], name: UpstreamName) {
        self.engines.set_leaving(&name);
    }

    /// Removes an engine that is gone.
    pub fn engine_gone(&mut self, _cx: CX![], name: UpstreamName) {
        self.engines.remove(&name);
        self.holds.forget_engine(&name);
    }

    /// Applies a configuration that came into force.
    pub fn config_changed(&mut self, _cx: CX![], config: Arc<FleetConfig>) {
        self.config = config;
        self.orders.forget_failures();
    }

    /// Records that the node holds the duty for `group` until `until_ms`.
    pub fn duty_held(&mut self, cx: CX![], group: u32, lease: Lease, until_ms: MonoMs) {
        let now_ms = self.timers.now_ms(cx);
        let before = self.duties.get(&group);
        let same = before.filter(|duty| duty.fencing == lease.fencing);
        let since_ms = same.map_or(now_ms, |duty| duty.since_ms);
        if same.is_none() {
            // Another coordinator may have changed any state that was read under an earlier
            // fencing number.
            self.engines.forget_views(group);
        }
        let duty = GroupDuty {
            fencing: lease.fencing,
            until_ms,
            since_ms,
        };
        self.duties.insert(group, duty);
    }

    /// Records that the node no longer holds the duty for `group`.
    pub fn duty_lost(&mut self, _cx: CX![], group: u32) {
        self.duties.remove(&group);
    }

    /// Records that an incarnation is certainly dead, since another one answers at its address.
    pub fn node_replaced(&mut self, cx: CX![], dead: Incarnation) {
        let now_ms = self.timers.now_ms(cx);
        self.holds.on_dead(dead, now_ms);
    }

    /// Answers with the coordinator's state and counters.
    pub fn dump(&mut self, _cx: CX![], ret: Ret<CoordinatorDump>) {
        let unread = self.engines.iter();
        let unread = unread.filter(|engine| self.duties.contains_key(&engine.group()));
        ret.ret(CoordinatorDump {
            groups: self.duties.keys().copied().collect(),
            engines: self.engines.len(),
            unread: unread.filter(|engine| engine.view().is_none()).count(),
            loading: self.orders.loading(),
            halted: self.orders.halted(),
            counts: self.counts,
        });
    }

    fn tick(&mut self, cx: CX![], now_ms: MonoMs) {
        self.duties.retain(|_, duty| now_ms < duty.until_ms);
        if !self.duties.is_empty() {
            self.tick_reads(cx, now_ms);
            self.tick_fences(cx, now_ms);
            self.tick_loads(cx, now_ms);
        }
        let again = fwd_to!([cx], tick() as (MonoMs));
        self.timers.subscribe_in(cx, TICK_MS, again);
    }

    /// Returns the fencing number for orders to engines of `group`, if its lease is valid now.
    ///
    /// The caller calls this immediately before it hands over an order, not at the start of a step.
    /// Otherwise a node that was paused in the middle would continue a duty that another node holds
    /// by now. A pause between this check and the sending is still possible. Engines that check the
    /// number refuse such an order; for the other engines the next coordinator waits and reads
    /// their state back.
    fn fencing_now(&mut self, cx: CX![], group: u32) -> Option<Fencing> {
        let now_ms = self.timers.now_ms(cx);
        let duty = self.duties.get(&group);
        let valid = duty.filter(|duty| now_ms < duty.until_ms);
        let fencing = valid.map(|duty| duty.fencing);
        if fencing.is_none() {
            self.counts.withheld += 1;
        }
        fencing
    }
}
