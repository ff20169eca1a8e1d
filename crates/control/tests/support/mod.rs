//! Several nodes with the production actors on one platform, under virtual time.
//!
//! Each node has a `Stakker` of its own, so that a pause is what it is for a process: nothing of
//! it runs, and when it goes on, its clock has jumped.
#![allow(dead_code, unused_imports)]

mod counting;
mod engine;
mod network;

use bluebell_base::prelude::*;
use bluebell_control::{
    Control, ControlDump, ControlEvent, ControlPorts, ControlSettings, Duty, NodeIdentity,
    Published, StewardDump,
};
use bluebell_members::{MemberEvent, Members, MembersDump, MembersPorts, MembersSettings};
use bluebell_peers::{NodeCard, PeerAnswer, PeerCall, PeerPort};
use bluebell_platform::{ReadBatch, VmEntry, VmRole, VmState};
use bluebell_stand_ins::platform::{
    FakePlatform, FakeSettings, Fault, FaultRule, Operation, PlatformModel, PlatformSettings,
    VmChange,
};
use bluebell_timers::Timers;
use counting::Counting;
pub use counting::{Counts, Traffic};
pub use engine::Engine;
pub use network::Network;
use stakker::{ActorOwn, Fwd, Ret, Stakker, call};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A configuration with one class whose end target tells versions apart.
pub fn config_text(end_ms: u64) -> Arc<str> {
    format!(
        r#"{{"classes":[{{"name":"draft","first_token":[{{"within_ms":600}}],"end_ms":{end_ms},
        "idempotent":true}}],"accounts":[],"models":[]}}"#
    )
    .into()
}

/// A configuration of about `bytes` bytes.
pub fn large_config_text(end_ms: u64, bytes: usize) -> Arc<str> {
    let account = |i| format!(r#"{{"name":"account-{i}","key_sha256":"{i:064x}"}}"#);
    let accounts: Vec<String> = (0..bytes / 105).map(account).collect();
    let accounts = accounts.join(",");
    config_text(end_ms)
        .replace(r#""accounts":[]"#, &format!(r#""accounts":[{accounts}]"#))
        .into()
}

/// Whether a node's code runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Running,
    Paused,
    Dead,
}

pub type Seen<T> = Rc<RefCell<Vec<(MonoMs, T)>>>;

/// One node.
pub struct Node {
    pub stakker: Stakker,
    pub control: ActorOwn<Control>,
    pub members: ActorOwn<Members>,
    pub events: Seen<ControlEvent>,
    pub member_events: Seen<MemberEvent>,
    /// Until when the node believes to hold which duty, on its own clock.
    pub held: Rc<RefCell<BTreeMap<Duty, MonoMs>>>,
    /// How fast its clock runs.
    pub rate: f64,
    /// How long after it is handed over an order leaves the node.
    pub send_ms: Rc<Cell<u64>>,
    /// Its traffic with the platform.
    pub counts: Counts,
    pub incarnation: Incarnation,
    pub address: Address,
    pub name: VmName,
    pub life: Life,
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
    pub settings: ControlSettings,
    pub members_settings: MembersSettings,
    /// How fast the clocks of nodes started from now on run.
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

    /// A node's own time at this instant.
    fn local(&self, rate: f64) -> Instant {
        self.origin + Duration::from_millis(self.now_ms.0).mul_f64(rate)
    }

    /// Starts a node, listed by the platform; gives its index.
    pub fn start_node(&mut self) -> usize {
        self.started += 1;
        let number = self.started;
        let name = VmName::from(&*format!("node-{number}"));
        let address = Address::from(&*format!("10.0.{}.{}:9000", number / 250, number % 250));
        let entry = VmEntry {
            name: name.clone(),
            role: VmRole::Node,
            address: address.clone(),
            deployment: "nodes".into(),
            domain: "galway-a".into(),
            state: VmState::Live,
        };
        self.change_vms(VmChange::Put(entry));
        self.spawn(name, address, self.seed * 1000 + number)
    }

    fn spawn(&mut self, name: VmName, address: Address, seed: u64) -> usize {
        let incarnation = Incarnation(seed);
        let rate = self.next_rate;
        let mut stakker = Stakker::new(self.local(rate));
        let timers = Timers::open(self.origin);
        let platform = FakePlatform::open(&self.model, &timers, &name.0, FakeSettings::default());
        let counts = Counts::default();
        let counting = Rc::new(Counting {
            inner: platform.clone(),
            counts: counts.clone(),
        });
        let peers: Rc<dyn PeerPort> = Network::port(&self.net, &address);
        let events: Seen<ControlEvent> = Rc::default();
        let member_events: Seen<MemberEvent> = Rc::default();
        let card = NodeCard {
            name: name.clone(),
            incarnation,
            address: address.clone(),
            domain: "galway-a".into(),
            config: ConfigVersion(0),
            leaving: false,
        };
        let members_slot: Rc<RefCell<Option<stakker::Actor<Members>>>> = Rc::default();
        let held: Rc<RefCell<BTreeMap<Duty, MonoMs>>> = Rc::default();
        let on_control = control_events(&timers, &events, &held, &members_slot, &stakker);
        let control = Control::spawn(
            &mut stakker,
            NodeIdentity {
                incarnation,
                address: address.clone(),
            },
            ControlPorts {
                log: counting.clone(),
                peers: peers.clone(),
                weights: platform.clone(),
            },
            timers.clone(),
            self.settings.clone(),
            seed,
            on_control,
        );
        let seen = member_events.clone();
        let to_control = control.clone();
        let deferrer = stakker.deferrer();
        let clock = timers.clone();
        let engines = self.engines.clone();
        let send_ms: Rc<Cell<u64>> = Rc::new(Cell::new(1));
        let node_send_ms = send_ms.clone();
        let on_member = Fwd::new(move |event: MemberEvent| {
            let (seen, clock, to_control) = (seen.clone(), clock.clone(), to_control.clone());
            let (engines, send_ms) = (engines.clone(), send_ms.clone());
            deferrer.defer(move |s| {
                seen.borrow_mut().push((clock.now_ms(s), event.clone()));
                match event {
                    MemberEvent::UpstreamLive(entry) if entry.role == VmRole::Engine => {
                        let engines = engines.borrow();
                        let engine = &engines[&UpstreamName(entry.name.0.clone())];
                        let port = engine.port(&clock, send_ms.clone());
                        call!([to_control], engine_seen(entry, port));
                    }
                    MemberEvent::UpstreamLeaving(name) => {
                        call!([to_control], engine_leaving(name));
                    }
                    MemberEvent::UpstreamGone(name) => {
                        call!([to_control], engine_gone(name));
                    }
                    MemberEvent::Nodes(cards) => call!([to_control], nodes_changed(cards)),
                    MemberEvent::NodeReplaced { dead } => {
                        call!([to_control], node_replaced(dead));
                    }
                    _ => (),
                }
            });
        });
        let members = Members::spawn(
            &mut stakker,
            card,
            MembersPorts {
                list: counting.clone(),
                log: counting,
                peers,
            },
            timers,
            self.members_settings.clone(),
            seed + 7,
            on_member,
        );
        *members_slot.borrow_mut() = Some(members.clone());
        let (to_control, to_members) = (control.clone(), members.clone());
        let handler = move |call: PeerCall, ret: Ret<Result<PeerAnswer, Error>>| match call {
            PeerCall::Probe { card, leaving } => {
                let ret = some(ret);
                call!([to_members], probed(card, leaving, ret));
            }
            PeerCall::Config { have } => {
                let ret = some(ret);
                call!([to_control], peer_config(have, ret));
            }
            other => panic!("no such call in these tests: {other:?}"),
        };
        self.net.borrow_mut().listen(&address, Rc::new(handler));
        self.nodes.push(Node {
            stakker,
            control,
            members,
            events,
            member_events,
            held,
            rate,
            send_ms: node_send_ms,
            counts,
            incarnation,
            address,
            name,
            life: Life::Running,
        });
        self.nodes.len() - 1
    }

    /// Starts an engine that serves model `m` in version 1.
    pub fn start_engine(&mut self, number: u32, deployment: &str, checks_fencing: bool) -> Engine {
        let name = UpstreamName::from(&*format!("{deployment}-{number}"));
        let engine = Engine::open(self.origin, checks_fencing);
        self.engines
            .borrow_mut()
            .insert(name.clone(), engine.clone());
        self.change_vms(VmChange::Put(VmEntry {
            name: VmName(name.0),
            role: VmRole::Engine,
            address: format!("10.1.0.{number}:8000").as_str().into(),
            deployment: deployment.into(),
            domain: format!("dom-{}", number % 3).as_str().into(),
            state: VmState::Live,
        }));
        engine
    }

    pub fn steward_dump(&mut self, index: usize) -> StewardDump {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        call!([self.nodes[index].control], steward_dump(ret));
        let now = self.local(self.nodes[index].rate);
        self.nodes[index].stakker.run(now, false);
        cell.take().expect("an answer")
    }

    pub fn change_vms(&mut self, change: VmChange) {
        let now_ms = WallMs(self.now_ms.0);
        let mut model = self.model.borrow_mut();
        model.change_vms(now_ms, change).expect("a listed VM");
    }

    /// The log, the list and the weight store refuse all calls.
    pub fn set_platform_down(&mut self, down: bool) {
        self.model.borrow_mut().faults.down = down;
    }

    /// The log refuses all calls; the list and the weight store go on.
    pub fn set_log_down(&mut self, down: bool) {
        let rules = &mut self.model.borrow_mut().faults.rules;
        rules.retain(|rule| rule.client.is_some());
        let outage = |operation| FaultRule {
            operation: Some(operation),
            client: None,
            calls: u32::MAX,
            fault: Fault::Down,
        };
        if down {
            rules.extend([Operation::Append, Operation::Read].map(outage));
        }
    }

    /// Strikes the next calls of one node to the platform.
    pub fn add_fault(&mut self, index: usize, operation: Operation, calls: u32, fault: Fault) {
        let rule = FaultRule {
            operation: Some(operation),
            client: Some(self.nodes[index].name.0.clone()),
            calls,
            fault,
        };
        self.model.borrow_mut().faults.rules.push(rule);
    }

    /// Lets a node renew right now, so that it appends nothing for its leases for a while.
    pub fn mute_leases(&mut self, index: usize) {
        let end = self.leases_end();
        let holder = format!("\"holder\":{}", self.nodes[index].incarnation.0);
        let end_ms = self.now_ms + SpanMs::from_secs(10);
        let done = self.run_until(end_ms, |fleet| {
            let records = fleet.leases_from(end);
            records
                .iter()
                .any(|text| text.contains("renew") && text.contains(&holder))
        });
        if done {
            self.run_ms(100);
        }
    }

    fn read_all(&self, stream: &StreamName, from: Offset) -> ReadBatch {
        let now_ms = WallMs(self.now_ms.0);
        let mut model = self.model.borrow_mut();
        model.read(now_ms, stream, from, Bytes(1 << 40))
    }

    /// The end of the config stream.
    pub fn config_end(&self) -> Offset {
        self.read_all(&self.settings.config_stream, Offset(0)).end
    }

    /// The end of the leases stream.
    pub fn leases_end(&self) -> Offset {
        self.read_all(&self.settings.leases_stream, Offset(0)).end
    }

    /// The texts of the leases stream from an offset on.
    pub fn leases_from(&self, from: Offset) -> Vec<Arc<str>> {
        let batch = self.read_all(&self.settings.leases_stream, from);
        batch
            .records
            .into_iter()
            .map(|record| record.body)
            .collect()
    }

    /// Appends a text to the config stream past all nodes.
    pub fn append_config(&mut self, text: &str) {
        let now_ms = WallMs(self.now_ms.0);
        let stream = self.settings.config_stream.clone();
        let mut model = self.model.borrow_mut();
        model
            .append(now_ms, &stream, &[text.into()], false)
            .expect("the log takes it");
    }

    /// Ends a node's process without warning.
    pub fn kill(&mut self, index: usize) {
        self.set_life(index, Life::Dead);
    }

    /// Starts a new process on a dead node's VM, at the same address; gives its index.
    pub fn restart(&mut self, index: usize) -> usize {
        self.started += 1;
        let (name, address) = (
            self.nodes[index].name.clone(),
            self.nodes[index].address.clone(),
        );
        self.spawn(name, address, self.seed * 1000 + self.started)
    }

    pub fn pause(&mut self, index: usize) {
        self.set_life(index, Life::Paused);
    }

    pub fn resume(&mut self, index: usize) {
        self.set_life(index, Life::Running);
    }

    fn set_life(&mut self, index: usize, life: Life) {
        let node = &mut self.nodes[index];
        node.life = life;
        let mut net = self.net.borrow_mut();
        net.set_dead(&node.address, life == Life::Dead);
    }

    /// Lets the fleet run for a while.
    pub fn run_ms(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + SpanMs(span_ms);
        self.run_until(end_ms, |_| false);
    }

    /// Lets the fleet run until `done`; `false` where the time is over before.
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

    /// Runs all nodes twice at this instant, so that what one hands another is taken in.
    fn run_nodes(&mut self) {
        for _ in 0..2 {
            for index in 0..self.nodes.len() {
                let now = self.local(self.nodes[index].rate);
                let node = &mut self.nodes[index];
                if node.life == Life::Running {
                    node.stakker.run(now, false);
                }
            }
        }
        self.check_holders();
    }

    /// No two running nodes may believe to hold one duty.
    fn check_holders(&self) {
        let mut holders: BTreeMap<Duty, usize> = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if node.life != Life::Running {
                continue;
            }
            for duty in self.believed(index) {
                if let Some(other) = holders.insert(duty, index) {
                    panic!(
                        "{duty:?} is held by nodes {other} and {index} at {}",
                        self.now_ms
                    );
                }
            }
        }
    }

    /// The duties that a node believes to hold at this instant.
    pub fn believed(&self, index: usize) -> Vec<Duty> {
        let node = &self.nodes[index];
        let now = self.local(node.rate).duration_since(self.origin);
        let now_ms = MonoMs(now.as_millis() as u64);
        let held = node.held.borrow();
        let valid = held.iter().filter(|(_, until_ms)| now_ms < **until_ms);
        valid.map(|(duty, _)| *duty).collect()
    }

    fn next_ms(&mut self) -> MonoMs {
        let origin = self.origin;
        let running = self.nodes.iter_mut().filter(|n| n.life == Life::Running);
        let next = running.filter_map(|node| {
            let at = node.stakker.next_expiry()?;
            let span = at.saturating_duration_since(origin).div_f64(node.rate);
            Some(MonoMs(span.as_millis() as u64 + 1))
        });
        let next = next.min().unwrap_or(MonoMs(u64::MAX));
        next.max(self.now_ms + SpanMs(1))
    }

    /// Publishes through a node; the answer comes into the cell.
    pub fn publish(
        &mut self,
        index: usize,
        base: u64,
        body: &Arc<str>,
    ) -> Rc<RefCell<Option<Result<Published, Error>>>> {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        let node = &self.nodes[index];
        call!(
            [node.control],
            publish(ConfigVersion(base), body.clone(), ret)
        );
        cell
    }

    /// Publishes and waits for the answer.
    pub fn publish_now(
        &mut self,
        index: usize,
        base: u64,
        body: &Arc<str>,
    ) -> Result<Published, Error> {
        let cell = self.publish(index, base, body);
        let end_ms = self.now_ms + SpanMs::from_secs(30);
        self.run_until(end_ms, |_| cell.borrow().is_some());
        let answer = cell.borrow_mut().take();
        answer.expect("each publication is answered")
    }

    pub fn dump(&mut self, index: usize) -> ControlDump {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        call!([self.nodes[index].control], dump(ret));
        let now = self.local(self.nodes[index].rate);
        self.nodes[index].stakker.run(now, false);
        cell.take().expect("an answer")
    }

    /// The version and text in force on a node.
    pub fn in_force(&mut self, index: usize) -> (ConfigVersion, Arc<str>) {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        call!([self.nodes[index].control], in_force(ret));
        let now = self.local(self.nodes[index].rate);
        self.nodes[index].stakker.run(now, false);
        cell.take().expect("an answer")
    }

    pub fn members_dump(&mut self, index: usize) -> MembersDump {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        call!([self.nodes[index].members], dump(ret));
        let now = self.local(self.nodes[index].rate);
        self.nodes[index].stakker.run(now, false);
        cell.take().expect("an answer")
    }

    /// The versions that came into force on a node, in order.
    pub fn versions(&self, index: usize) -> Vec<ConfigVersion> {
        let events = self.nodes[index].events.borrow();
        let version = |(_, event): &(MonoMs, ControlEvent)| match event {
            ControlEvent::Config { version, .. } => Some(*version),
            _ => None,
        };
        events.iter().filter_map(version).collect()
    }

    /// Whether a node believes at this instant that it holds the duty.
    pub fn believes(&self, index: usize, duty: Duty) -> bool {
        self.believed(index).contains(&duty)
    }

    /// The running nodes that believe to hold the duty.
    pub fn running_holders(&self, duty: Duty) -> Vec<usize> {
        let running = |index: &usize| self.nodes[*index].life == Life::Running;
        let all = (0..self.nodes.len()).filter(running);
        all.filter(|index| self.believes(*index, duty)).collect()
    }
}

fn control_events(
    timers: &Timers,
    events: &Seen<ControlEvent>,
    held: &Rc<RefCell<BTreeMap<Duty, MonoMs>>>,
    members: &Rc<RefCell<Option<stakker::Actor<Members>>>>,
    stakker: &Stakker,
) -> Fwd<ControlEvent> {
    let (timers, events, members) = (timers.clone(), events.clone(), members.clone());
    let (deferrer, held) = (stakker.deferrer(), held.clone());
    Fwd::new(move |event: ControlEvent| {
        match &event {
            ControlEvent::Held { lease, until_ms } => {
                held.borrow_mut().insert(lease.duty, *until_ms);
            }
            ControlEvent::Lost(duty) => {
                held.borrow_mut().remove(duty);
            }
            ControlEvent::Config { .. } | ControlEvent::Holder(_) => (),
        }
        let (timers, events, members) = (timers.clone(), events.clone(), members.clone());
        deferrer.defer(move |s| {
            events.borrow_mut().push((timers.now_ms(s), event.clone()));
            let Some(members) = members.borrow().clone() else {
                return;
            };
            match event {
                ControlEvent::Config { version, .. } => {
                    call!([members], config_changed(version));
                }
                ControlEvent::Held { lease, until_ms } if lease.duty == Duty::Directory => {
                    call!([members], duty_held(lease.fencing, until_ms));
                }
                ControlEvent::Lost(Duty::Directory) => call!([members], duty_lost()),
                _ => (),
            }
        });
    })
}

/// Takes a plain answer to a call whose answer may be an error; a dropped one stays unanswered.
fn some(ret: Ret<Result<PeerAnswer, Error>>) -> Ret<PeerAnswer> {
    Ret::new(move |answer: Option<PeerAnswer>| {
        if let Some(answer) = answer {
            ret.ret(Ok(answer));
        }
    })
}
