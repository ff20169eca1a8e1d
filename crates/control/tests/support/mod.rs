//! Several nodes with the production actors on one platform, under virtual time.
//!
//! Each node has a `Stakker` of its own, so that a pause is what it is for a process: nothing of
//! it runs, and when it goes on, its clock has jumped.
#![allow(dead_code)]

mod network;

use bluebell_base::prelude::*;
use bluebell_control::{
    Control, ControlDump, ControlEvent, ControlPorts, ControlSettings, Duty, NodeIdentity,
    Published,
};
use bluebell_members::{MemberEvent, Members, MembersDump, MembersPorts, MembersSettings};
use bluebell_peers::{NodeCard, PeerAnswer, PeerCall, PeerPort};
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_stand_ins::platform::{
    FakePlatform, FakeSettings, PlatformModel, PlatformSettings, VmChange,
};
use bluebell_timers::Timers;
pub use network::Network;
use stakker::{ActorOwn, Fwd, Ret, Stakker, call};
use std::cell::RefCell;
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
    let key = "0".repeat(64);
    let account = |i| format!(r#"{{"name":"account-{i}","key_sha256":"{key}"}}"#);
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
    pub settings: ControlSettings,
    pub members_settings: MembersSettings,
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
            settings,
            members_settings: MembersSettings::default(),
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

    fn at(&self, ms: MonoMs) -> Instant {
        self.origin + Duration::from_millis(ms.0)
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
        let mut stakker = Stakker::new(self.at(self.now_ms));
        let timers = Timers::open(self.origin);
        let platform = FakePlatform::open(&self.model, &timers, &name.0, FakeSettings::default());
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
        let on_control = control_events(&timers, &events, &members_slot, &stakker);
        let control = Control::spawn(
            &mut stakker,
            NodeIdentity {
                incarnation,
                address: address.clone(),
            },
            ControlPorts {
                log: platform.clone(),
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
        let on_member = Fwd::new(move |event: MemberEvent| {
            let (seen, clock, to_control) = (seen.clone(), clock.clone(), to_control.clone());
            deferrer.defer(move |s| {
                seen.borrow_mut().push((clock.now_ms(s), event.clone()));
                match event {
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
                list: platform.clone(),
                log: platform,
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
            incarnation,
            address,
            name,
            life: Life::Running,
        });
        self.nodes.len() - 1
    }

    pub fn change_vms(&mut self, change: VmChange) {
        let now_ms = WallMs(self.now_ms.0);
        let mut model = self.model.borrow_mut();
        model.change_vms(now_ms, change).expect("a listed VM");
    }

    /// Ends a node's process without warning.
    pub fn kill(&mut self, index: usize) {
        self.set_life(index, Life::Dead);
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
        let now = self.at(self.now_ms);
        for _ in 0..2 {
            for node in &mut self.nodes {
                if node.life == Life::Running {
                    node.stakker.run(now, false);
                }
            }
        }
    }

    fn next_ms(&mut self) -> MonoMs {
        let origin = self.origin;
        let running = self.nodes.iter_mut().filter(|n| n.life == Life::Running);
        let next = running.filter_map(|node| node.stakker.next_expiry()).min();
        let next = next.map_or(MonoMs(u64::MAX), |at| {
            MonoMs(at.saturating_duration_since(origin).as_millis() as u64 + 1)
        });
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
        let now = self.at(self.now_ms);
        self.nodes[index].stakker.run(now, false);
        cell.take().expect("an answer")
    }

    pub fn members_dump(&mut self, index: usize) -> MembersDump {
        let cell = Rc::new(RefCell::new(None));
        let slot = cell.clone();
        let ret = Ret::new(move |answer| *slot.borrow_mut() = answer);
        call!([self.nodes[index].members], dump(ret));
        let now = self.at(self.now_ms);
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
        let events = self.nodes[index].events.borrow();
        let mut until_ms = MonoMs(0);
        for (_, event) in events.iter() {
            match event {
                ControlEvent::Held { lease, until_ms: u } if lease.duty == duty => until_ms = *u,
                ControlEvent::Lost(lost) if *lost == duty => until_ms = MonoMs(0),
                _ => (),
            }
        }
        self.now_ms < until_ms
    }

    /// The nodes that believe to hold the duty.
    pub fn holders(&self, duty: Duty) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|i| self.nodes[*i].life != Life::Dead && self.believes(*i, duty))
            .collect()
    }
}

fn control_events(
    timers: &Timers,
    events: &Seen<ControlEvent>,
    members: &Rc<RefCell<Option<stakker::Actor<Members>>>>,
    stakker: &Stakker,
) -> Fwd<ControlEvent> {
    let (timers, events, members) = (timers.clone(), events.clone(), members.clone());
    let deferrer = stakker.deferrer();
    Fwd::new(move |event: ControlEvent| {
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
