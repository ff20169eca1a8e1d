//! A fleet of nodes with the production actors on one platform, under virtual time.
//!
//! Each node has a `Stakker` of its own, so that a pause acts as on a process: nothing of the node
//! runs, and its clock has jumped when it resumes.
#![allow(dead_code, unused_imports)]

mod counting;
mod engine;
mod faults;
mod network;
mod query;
mod spawn;

use bluebell_base::prelude::*;
use bluebell_control::{
    Control, ControlDump, ControlEvent, ControlPorts, ControlSettings, CoordinatorDump, Duty,
    NodeIdentity, Published,
};
use bluebell_members::{MemberEvent, Members, MembersDump, MembersPorts, MembersSettings};
use bluebell_peers::{NodeCard, PeerAnswer, PeerCall, PeerPort};
use bluebell_platform::{ReadBatch, VmEntry, VmRole, VmState, WeightInfo};
use bluebell_stand_ins::platform::{
    FakePlatform, FakeSettings, Fault, FaultRule, Operation, PlatformModel, PlatformSettings,
    VmChange,
};
use bluebell_timers::Timers;
use bluebell_upstreams::EnginePort;
use counting::Counting;
pub use counting::{Counts, Traffic};
pub use engine::Engine;
pub use network::Network;
use stakker::{Actor, ActorOwn, Fwd, Ret, Stakker, call};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Returns a configuration with one class, whose end target distinguishes versions.
pub fn config_text(end_ms: u64) -> Arc<str> {
    format!(
        r#"{{"classes":[{{"name":"draft","first_token":[{{"within_ms":600}}],"end_ms":{end_ms},
        "idempotent":true}}],"accounts":[],"models":[]}}"#
    )
    .into()
}

/// Returns a configuration of about `bytes` bytes.
pub fn large_config_text(end_ms: u64, bytes: usize) -> Arc<str> {
    let account = |i| format!(r#"{{"name":"account-{i}","key_sha256":"{i:064x}"}}"#);
    let accounts: Vec<String> = (0..bytes / 105).map(account).collect();
    let accounts = accounts.join(",");
    config_text(end_ms)
        .replace(r#""accounts":[]"#, &format!(r#""accounts":[{accounts}]"#))
        .into()
}

/// The state of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    Paused,
    Dead,
}

/// Events with the time of each on the node's clock.
pub type TimedEvents<T> = Rc<RefCell<Vec<(MonoMs, T)>>>;

/// A node of the fleet.
pub struct Node {
    pub stakker: Stakker,
    pub control: ActorOwn<Control>,
    pub members: ActorOwn<Members>,
    pub events: TimedEvents<ControlEvent>,
    pub member_events: TimedEvents<MemberEvent>,
    /// The duties announced to the node as held, with the end of each on its own clock.
    pub held: Rc<RefCell<BTreeMap<Duty, MonoMs>>>,
    /// The rate of its clock relative to virtual time.
    pub rate: f64,
    /// The time in milliseconds between the handover of an order and its departure from the node.
    pub send_ms: Rc<Cell<u64>>,
    /// The node's traffic with the platform.
    pub counts: Counts,
    pub incarnation: Incarnation,
    pub address: Address,
    pub name: VmName,
    pub state: ProcessState,
}

/// The fleet.
pub struct Fleet {
    pub origin: Instant,
    pub now_ms: MonoMs,
    pub nodes: Vec<Node>,
    pub model: Rc<RefCell<PlatformModel>>,
    pub net: Rc<RefCell<Network>>,
    /// The engines, by name.
    pub engines: Rc<RefCell<BTreeMap<UpstreamName, Engine>>>,
    /// Engines that run on the clock of one node, for fleets of one node.
    pub ports: Rc<RefCell<BTreeMap<UpstreamName, Rc<dyn EnginePort>>>>,
    pub settings: ControlSettings,
    pub members_settings: MembersSettings,
    /// The clock rate of nodes started from now on.
    pub next_rate: f64,
    seed: u64,
    started: u64,
}

impl Fleet {
    pub fn new(seed: u64, platform: PlatformSettings) -> Self {
        let settings = ControlSettings {
            retention_ms: platform.retention_ms,
            ..ControlSettings::default()
        };
        Self {
            origin: Instant::now(),
            now_ms: MonoMs(0),
            nodes: Vec::new(),
            model: Rc::new(RefCell::new(PlatformModel::new(platform, WallMs(0)))),
            net: Network::open(),
            engines: Rc::default(),
            ports: Rc::default(),
            settings,
            members_settings: MembersSettings::default(),
            next_rate: 1.0,
            seed,
            started: 0,
        }
    }

    pub fn with_nodes(seed: u64, count: usize) -> Self {
        let mut fleet = Self::new(seed, PlatformSettings::default());
        (0..count).for_each(|_| {
            fleet.start_node();
        });
        fleet
    }

    /// Returns the time now on a clock of the given rate.
    fn local(&self, rate: f64) -> Instant {
        self.origin + Duration::from_millis(self.now_ms.0).mul_f64(rate)
    }

    /// Runs the fleet for `span_ms` milliseconds.
    pub fn run_ms(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + SpanMs(span_ms);
        self.run_until(end_ms, |_| false);
    }

    /// Runs the fleet until `done` returns true. Returns false if `end_ms` is reached before.
    pub fn run_until(&mut self, end_ms: MonoMs, mut done: impl FnMut(&mut Fleet) -> bool) -> bool {
        loop {
            self.run_nodes();
            if done(self) {
                return true;
            }
            if self.now_ms >= end_ms {
                return false;
            }
            self.now_ms = self.next_ms().min(end_ms);
        }
    }

    /// Runs all nodes twice at this time, so that each processes what the others send to it.
    fn run_nodes(&mut self) {
        for _ in 0..2 {
            for index in 0..self.nodes.len() {
                let now = self.local(self.nodes[index].rate);
                let node = &mut self.nodes[index];
                if node.state == ProcessState::Running {
                    node.stakker.run(now, false);
                }
            }
        }
        self.check_holders();
    }

    /// Panics if two running nodes hold the same duty according to their own clocks and events.
    fn check_holders(&self) {
        let mut holders: BTreeMap<Duty, usize> = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if node.state != ProcessState::Running {
                continue;
            }
            for duty in self.held_duties(index) {
                if let Some(other) = holders.insert(duty, index) {
                    panic!(
                        "{duty:?} is held by nodes {other} and {index} at {}",
                        self.now_ms
                    );
                }
            }
        }
    }

    fn next_ms(&mut self) -> MonoMs {
        let origin = self.origin;
        let running = self
            .nodes
            .iter_mut()
            .filter(|n| n.state == ProcessState::Running);
        let next = running.filter_map(|node| {
            let at = node.stakker.next_expiry()?;
            let span = at.saturating_duration_since(origin).div_f64(node.rate);
            Some(MonoMs(span.as_millis() as u64 + 1))
        });
        let next = next.min().unwrap_or(MonoMs(u64::MAX));
        next.max(self.now_ms + SpanMs(1))
    }
}
