//! A fleet of the production actors on fakes, under virtual time, in one `Stakker`.

mod node;

pub use node::RigNode;

use bluebell_base::prelude::*;
use bluebell_control::{ControlSettings, Published};
use bluebell_members::MembersSettings;
use bluebell_peers::fakes::FakeNet;
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_stand_ins::engine::{EngineSettings, FakeEngine};
use bluebell_stand_ins::platform::{PlatformModel, PlatformSettings, VmChange};
use bluebell_timers::Timers;
use node::Surroundings;
use stakker::{Ret, Stakker, call};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The timeout of a call to a peer.
const PEER_TIMEOUT_MS: SpanMs = SpanMs(2_000);

/// The default interval at which the node program reads the config stream.
const CONFIG_TAIL_MS: SpanMs = SpanMs(500);

/// The failure domains over which VMs are spread.
const DOMAINS: usize = 9;

/// A fleet of nodes on fakes of the platform and the network.
pub struct Rig {
    stakker: Stakker,
    origin: Instant,
    now_ms: MonoMs,
    around: Surroundings,
    /// The nodes.
    pub nodes: Vec<RigNode>,
    started: usize,
}

impl Rig {
    /// Creates a rig with a platform and no nodes. Equal seeds give equal runs.
    pub fn open(seed: u64) -> Self {
        let origin = Instant::now();
        let stakker = Stakker::new(origin);
        let timers = Timers::open(origin);
        let model = PlatformModel::new(PlatformSettings::default(), WallMs(0));
        let around = Surroundings {
            net: FakeNet::open(&timers, PEER_TIMEOUT_MS, seed),
            timers,
            model: Rc::new(RefCell::new(model)),
            engines: Rc::default(),
            control: ControlSettings {
                config_tail_ms: CONFIG_TAIL_MS,
                ..ControlSettings::default()
            },
            members: MembersSettings::default(),
            seed,
        };
        Self {
            stakker,
            origin,
            now_ms: MonoMs(0),
            around,
            nodes: Vec::new(),
            started: 0,
        }
    }

    /// Returns the current instant.
    pub fn now_ms(&self) -> MonoMs {
        self.now_ms
    }

    /// Adds `count` nodes to the list of VMs and starts them at the same time.
    pub fn start_nodes(&mut self, count: usize) {
        let first = self.nodes.len();
        for index in first..first + count {
            let entry = entry(VmRole::Node, index, "nodes");
            self.put(entry.clone());
            self.started += 1;
            let number = self.started;
            let node = RigNode::spawn(&mut self.stakker, &self.around, entry, number);
            self.nodes.push(node);
        }
    }

    /// Kills all nodes and starts new ones on the same VMs.
    pub fn restart_all(&mut self) {
        let entries: Vec<VmEntry> = self.nodes.iter().map(|node| node.entry.clone()).collect();
        self.nodes.clear();
        let now = self.instant();
        self.stakker.run(now, false);
        for entry in entries {
            self.started += 1;
            let number = self.started;
            let node = RigNode::spawn(&mut self.stakker, &self.around, entry, number);
            self.nodes.push(node);
        }
    }

    /// Adds `count` engines to the list, spread over `deployments`. One fake engine answers for all
    /// engines of a deployment.
    pub fn list_engines(&mut self, count: usize, deployments: usize) {
        for index in 0..deployments {
            let settings = EngineSettings::default();
            let engine = FakeEngine::open(&mut self.stakker, settings, index as u64);
            self.around.engines.borrow_mut().push(engine);
        }
        for index in 0..count {
            let deployment = format!("model-{}", index % deployments);
            self.list_engine(index, &deployment);
        }
    }

    /// Adds one engine of a deployment to the list.
    pub fn list_engine(&mut self, index: usize, deployment: &str) {
        self.put(entry(VmRole::Engine, index, deployment));
    }

    /// Starts or ends an outage of the platform.
    pub fn set_platform_down(&mut self, down: bool) {
        self.around.model.borrow_mut().faults.down = down;
    }

    /// Publishes a configuration through a node and waits up to half a minute for the answer. Returns the
    /// time until it arrived.
    pub fn publish(&mut self, node: usize, base: u64, body: &Arc<str>) -> Option<SpanMs> {
        let (answer, from_ms) = (Rc::new(RefCell::new(None)), self.now_ms);
        let own = answer.clone();
        let ret = Ret::new(move |given: Option<Result<Published, Error>>| {
            *own.borrow_mut() = given;
        });
        let control = self.nodes[node].control.clone();
        call!([control], publish(ConfigVersion(base), body.clone(), ret));
        let end_ms = self.now_ms + SpanMs::from_secs(30);
        let seen = answer.clone();
        self.run_until(end_ms, move |_| seen.borrow().is_some());
        let answer = answer.borrow().clone();
        let accepted = matches!(answer, Some(Ok(Published::Accepted { .. })));
        accepted.then(|| self.now_ms.since(from_ms))
    }

    /// Runs until every node has the version in force. Returns the time until then.
    pub fn run_until_in_force(&mut self, version: u64, limit_ms: SpanMs) -> Option<SpanMs> {
        let from_ms = self.now_ms;
        let everywhere = move |rig: &Rig| {
            let has = |node: &RigNode| node.version() >= ConfigVersion(version);
            rig.nodes.iter().all(has)
        };
        let reached = self.run_until(from_ms + limit_ms, everywhere);
        reached.then(|| self.now_ms.since(from_ms))
    }

    /// Runs the fleet for this time.
    pub fn run_ms(&mut self, span_ms: SpanMs) {
        self.run_until(self.now_ms + span_ms, |_| false);
    }

    /// Runs the fleet until `done` returns true. Returns false if the time expires first.
    pub fn run_until(&mut self, end_ms: MonoMs, done: impl Fn(&Rig) -> bool) -> bool {
        loop {
            let now = self.instant();
            self.stakker.run(now, false);
            if done(self) {
                return true;
            }
            if self.now_ms >= end_ms {
                return false;
            }
            self.now_ms = self.next_ms().min(end_ms);
        }
    }

    fn put(&mut self, entry: VmEntry) {
        let now_ms = WallMs(self.now_ms.0);
        let change = VmChange::Put(entry);
        let changed = self.around.model.borrow_mut().change_vms(now_ms, change);
        debug_assert!(changed.is_ok(), "putting a VM on the list can't fail");
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms.0)
    }

    fn next_ms(&mut self) -> MonoMs {
        let next = self.stakker.next_expiry().map(|at| {
            let span = at.saturating_duration_since(self.origin);
            MonoMs(span.as_millis() as u64 + 1)
        });
        let soonest = self.now_ms + SpanMs(1);
        next.map_or(MonoMs(u64::MAX), |at_ms| at_ms.max(soonest))
    }
}

/// Returns names as long as those of a real fleet, since their bytes are counted.
fn entry(role: VmRole, index: usize, deployment: &str) -> VmEntry {
    let (kind, net, port) = match role {
        VmRole::Node => ("entry", 10, 8082),
        VmRole::Engine | VmRole::Service => ("engine", 11, 8000),
    };
    let domain = format!("region-{}-domain-{}", index % 3, index % DOMAINS);
    VmEntry {
        name: VmName::from(&*format!("{kind}-{domain}-{index}")),
        role,
        address: Address::from(&*format!("{net}.20.{}.{}:{port}", index / 250, index % 250)),
        deployment: deployment.into(),
        domain: domain.as_str().into(),
        state: VmState::Live,
    }
}
