//! The coordinator of a group of engines: brings them to the model versions of the configuration and
//! reclaims memory that is held for nobody.
//!
//! Terms: the *group* of an engine is the hash of its deployment's name modulo the number of
//! coordinators; a *view* is an engine's state as read back; an order is *wrong* where it comes from a
//! coordinator that was replaced in the meantime.
//!
//! All engines of a deployment have the same coordinator, for two reasons: an engine that checks
//! fencing numbers keeps one newest number, so orders to it must come under one duty; and only
//! who sees all replicas of a model can say how many may be away. With several coordinators each
//! loads at its part of the weight store's rate, so that together they keep to it without
//! talking.
//!
//! Invariants: the lease is checked immediately before each order is handed to the port, and the
//! order carries the fencing number of that lease; one engine of the group loads at a time.

mod engines;
mod orders;
mod plan;
mod reads;
mod reclaim;

pub use engines::{EngineSeat, View, group_of};
pub use plan::{Load, Rollout};
pub use reclaim::{HoldKey, HoldWatch};

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

/// The time between two looks at what is due.
const TICK_MS: SpanMs = SpanMs(200);

/// The coordinator actor of a node; idle while the node holds no coordinator's duty.
pub struct Coordinator {
    weights: Rc<dyn WeightPort>,
    timers: Timers,
    settings: ControlSettings,
    engines: Engines,
    config: Arc<FleetConfig>,
    duties: BTreeMap<u32, GroupDuty>,
    reads: ReadSide,
    orders: OrderSide,
    holds: HoldWatch,
    counts: CoordinatorCounts,
}

/// The duty for one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupDuty {
    fencing: Fencing,
    until_ms: MonoMs,
    since_ms: MonoMs,
}

/// What the coordinator did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorCounts {
    /// Orders sent to load a version.
    pub loads: u64,
    /// Loads seen done when the state was read back.
    pub loaded: u64,
    /// Loads not seen done in time.
    pub failed_loads: u64,
    /// Orders sent only to make an engine know the fencing number.
    pub fences: u64,
    /// Holds reclaimed.
    pub reclaimed: u64,
    /// Orders not sent because the lease was over.
    pub withheld: u64,
    /// Orders that an engine refused for an old fencing number.
    pub superseded: u64,
}

/// What the coordinator of this node knows, for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorDump {
    /// The groups it is coordinator of.
    pub groups: Vec<u32>,
    /// Engines known on this node.
    pub engines: usize,
    /// Engines of its groups whose state is not read back.
    pub unread: usize,
    /// The engine that is loading.
    pub loading: Option<UpstreamName>,
    /// Model versions that are not rolled on, since loading them failed.
    pub halted: Vec<Arc<str>>,
    /// What it did so far.
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
            holds: HoldWatch::default(),
            counts: CoordinatorCounts::default(),
        };
        coordinator.tick(cx, now_ms);
        Some(coordinator)
    }

    /// An engine is there, or what the list says of it changed.
    pub fn engine_updated(&mut self, _cx: CX![], entry: VmEntry, port: Rc<dyn EnginePort>) {
        self.engines.put(entry, port);
    }

    /// An engine leaves: it gets no more orders to load.
    pub fn engine_leaving(&mut self, _cx: CX![], name: UpstreamName) {
        self.engines.set_leaving(&name);
    }

    /// An engine is gone.
    pub fn engine_gone(&mut self, _cx: CX![], name: UpstreamName) {
        self.engines.remove(&name);
        self.holds.forget_engine(&name);
    }

    /// A configuration came into force.
    pub fn config_changed(&mut self, _cx: CX![], config: Arc<FleetConfig>) {
        self.config = config;
        self.orders.forget_failures();
    }

    /// The node holds the duty for `group` until the instant.
    pub fn duty_held(&mut self, cx: CX![], group: u32, lease: Lease, until_ms: MonoMs) {
        let now_ms = self.timers.now_ms(cx);
        let before = self.duties.get(&group);
        let same = before.filter(|duty| duty.fencing == lease.fencing);
        let since_ms = same.map_or(now_ms, |duty| duty.since_ms);
        if same.is_none() {
            // Whatever was read under an earlier fencing number may have been changed by another
            // coordinator since.
            self.engines.forget_views(group);
        }
        let duty = GroupDuty {
            fencing: lease.fencing,
            until_ms,
            since_ms,
        };
        self.duties.insert(group, duty);
    }

    /// The node no longer holds the duty for `group`.
    pub fn duty_lost(&mut self, _cx: CX![], group: u32) {
        self.duties.remove(&group);
    }

    /// An incarnation is certainly dead: another answers at its address.
    pub fn node_replaced(&mut self, cx: CX![], dead: Incarnation) {
        let now_ms = self.timers.now_ms(cx);
        self.holds.on_dead(dead, now_ms);
    }

    /// What the coordinator knows and did.
    pub fn dump(&mut self, _cx: CX![], ret: Ret<CoordinatorDump>) {
        let unread = self.engines.iter();
        let unread = unread.filter(|seat| self.duties.contains_key(&seat.group()));
        ret.ret(CoordinatorDump {
            groups: self.duties.keys().copied().collect(),
            engines: self.engines.len(),
            unread: unread.filter(|seat| seat.view().is_none()).count(),
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

    /// The fencing number for orders to engines of `group`, if its lease is valid right now.
    ///
    /// To be asked immediately before an order is handed over, not at the start of a step: a node
    /// that was paused in the middle would otherwise go on with a duty that another has by now.
    /// What a pause between this check and the sending leaves open is met by the engines that
    /// check the number, and for the others by the next coordinator's waiting and reading back.
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
