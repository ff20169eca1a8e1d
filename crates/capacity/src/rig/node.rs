//! One node: control and membership connected as in the node program, on counting ports.

use crate::ledger::{CountingPeers, CountingPlatform, Kind, Ledger, SharedLedger};
use bluebell_base::prelude::*;
use bluebell_control::{Control, ControlEvent, ControlPorts, ControlSettings, Duty, NodeIdentity};
use bluebell_members::{MemberEvent, Members, MembersPorts, MembersSettings};
use bluebell_peers::fakes::FakeNet;
use bluebell_peers::{Incoming, NodeCard, PeerAnswer, PeerCall};
use bluebell_platform::VmEntry;
use bluebell_stand_ins::engine::FakeEngine;
use bluebell_stand_ins::platform::{FakePlatform, FakeSettings, PlatformModel};
use bluebell_timers::Timers;
use stakker::{Actor, ActorOwn, Fwd, Ret, Stakker, call};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The state shared by all nodes of a rig.
pub(super) struct Surroundings {
    pub timers: Timers,
    pub model: Rc<RefCell<PlatformModel>>,
    pub net: FakeNet,
    pub engines: Rc<RefCell<Vec<FakeEngine>>>,
    pub control: ControlSettings,
    pub members: MembersSettings,
    pub seed: u64,
}

/// A running node.
pub struct RigNode {
    /// The node's entry on the list of VMs.
    pub entry: VmEntry,
    pub(super) control: ActorOwn<Control>,
    /// Owns the actor, which ends when this is dropped.
    _members: ActorOwn<Members>,
    hub: Rc<Hub>,
}

/// Forwards events between the actors of one node.
struct Hub {
    control: RefCell<Option<Actor<Control>>>,
    members: RefCell<Option<Actor<Members>>>,
    engines: Rc<RefCell<Vec<FakeEngine>>>,
    ledger: SharedLedger,
    version: Cell<ConfigVersion>,
    held: RefCell<BTreeSet<Duty>>,
    peers: Cell<usize>,
    upstreams: Cell<usize>,
}

impl RigNode {
    pub(super) fn spawn(
        stakker: &mut Stakker,
        around: &Surroundings,
        entry: VmEntry,
        number: usize,
    ) -> Self {
        let hub = Rc::new(Hub {
            control: RefCell::default(),
            members: RefCell::default(),
            engines: around.engines.clone(),
            ledger: Rc::default(),
            version: Cell::new(ConfigVersion(0)),
            held: RefCell::default(),
            peers: Cell::default(),
            upstreams: Cell::default(),
        });
        let seed = around.seed * 100_000 + number as u64;
        let card = card(&entry, seed);
        let platform = FakePlatform::open(
            &around.model,
            &around.timers,
            entry.name.as_str(),
            FakeSettings::default(),
        );
        let log = CountingPlatform::open(platform.clone(), hub.ledger.clone());
        let port = around.net.port(&entry.address);
        let peers = CountingPeers::open(port, hub.ledger.clone());
        let ports = ControlPorts {
            log: log.clone(),
            peers: peers.clone(),
            weights: platform,
        };
        let control = spawn_control(stakker, around, &card, ports, seed, &hub);
        let ports = MembersPorts {
            list: log.clone(),
            log,
            peers,
        };
        let members = spawn_members(stakker, around, card, ports, seed, &hub);
        *hub.control.borrow_mut() = Some(control.clone());
        *hub.members.borrow_mut() = Some(members.clone());
        let answering = hub.clone();
        let incoming = Fwd::new(move |incoming| answering.on_call(incoming));
        around.net.register(&entry.address, incoming);
        Self {
            entry,
            control,
            _members: members,
            hub,
        }
    }

    /// Returns the traffic of the node so far.
    pub fn ledger(&self) -> Ledger {
        *self.hub.ledger.borrow()
    }

    /// Returns the configuration in force at this node.
    pub fn version(&self) -> ConfigVersion {
        self.hub.version.get()
    }

    /// Returns the number of duties that the node holds.
    pub fn duties(&self) -> usize {
        self.hub.held.borrow().len()
    }

    /// Returns true if the node writes the directory.
    pub fn writes_directory(&self) -> bool {
        self.hub.held.borrow().contains(&Duty::Directory)
    }

    /// Returns the number of live peers that the node knows.
    pub fn peers(&self) -> usize {
        self.hub.peers.get()
    }

    /// Returns the number of upstreams that the node knows.
    pub fn upstreams(&self) -> usize {
        self.hub.upstreams.get()
    }
}

fn card(entry: &VmEntry, seed: u64) -> NodeCard {
    NodeCard {
        name: entry.name.clone(),
        // Its JSON has the length of a random one.
        incarnation: Incarnation(u64::MAX / 2 + seed),
        address: entry.address.clone(),
        domain: entry.domain.clone(),
        config: ConfigVersion(0),
        leaving: false,
    }
}

fn spawn_control(
    stakker: &mut Stakker,
    around: &Surroundings,
    card: &NodeCard,
    ports: ControlPorts,
    seed: u64,
    hub: &Rc<Hub>,
) -> ActorOwn<Control> {
    let identity = NodeIdentity {
        incarnation: card.incarnation,
        address: card.address.clone(),
    };
    let (own, timers) = (hub.clone(), around.timers.clone());
    let events = Fwd::new(move |event| own.on_control(event));
    let settings = around.control.clone();
    Control::spawn(stakker, identity, ports, timers, settings, seed, events)
}

fn spawn_members(
    stakker: &mut Stakker,
    around: &Surroundings,
    card: NodeCard,
    ports: MembersPorts,
    seed: u64,
    hub: &Rc<Hub>,
) -> ActorOwn<Members> {
    let (own, timers) = (hub.clone(), around.timers.clone());
    let events = Fwd::new(move |event| own.on_member(event));
    let settings = around.members.clone();
    Members::spawn(stakker, card, ports, timers, settings, seed + 7, events)
}

impl Hub {
    fn on_control(&self, event: ControlEvent) {
        let Some(members) = self.members.borrow().clone() else {
            return;
        };
        match event {
            ControlEvent::Config { version, .. } => {
                self.version.set(version);
                call!([members], config_changed(version));
            }
            ControlEvent::Held { lease, until_ms } => {
                self.held.borrow_mut().insert(lease.duty);
                if lease.duty == Duty::Directory {
                    call!([members], duty_held(lease.fencing, until_ms));
                }
            }
            ControlEvent::Lost(duty) => {
                self.held.borrow_mut().remove(&duty);
                if duty == Duty::Directory {
                    call!([members], duty_lost());
                }
            }
            ControlEvent::Holder(_) => (),
        }
    }

    fn on_member(&self, event: MemberEvent) {
        let Some(control) = self.control.borrow().clone() else {
            return;
        };
        match event {
            MemberEvent::UpstreamLive(entry) => {
                self.upstreams.set(self.upstreams.get() + 1);
                if let Some(engine) = self.engine_of(&entry) {
                    call!([control], engine_updated(entry, engine.port()));
                }
            }
            MemberEvent::UpstreamLeaving(name) => call!([control], engine_leaving(name)),
            MemberEvent::UpstreamGone(name) => call!([control], engine_gone(name)),
            MemberEvent::Nodes(cards) => {
                self.peers.set(cards.len());
                call!([control], nodes_changed(cards));
            }
            MemberEvent::NodeReplaced { dead } => call!([control], node_replaced(dead)),
        }
    }

    /// Returns the fake engine of an entry's deployment, `model-<index>`.
    fn engine_of(&self, entry: &VmEntry) -> Option<FakeEngine> {
        let index = entry.deployment.as_str().strip_prefix("model-")?;
        let index: usize = index.parse().ok()?;
        self.engines.borrow().get(index).cloned()
    }

    fn on_call(&self, incoming: Incoming) {
        let (Some(control), Some(members)) =
            (self.control.borrow().clone(), self.members.borrow().clone())
        else {
            return;
        };
        let bytes = crate::ledger::json_bytes(&incoming.call);
        self.ledger.borrow_mut().add(Kind::PeerIn, 1, bytes);
        let ret = self.counted(incoming.ret);
        match incoming.call {
            PeerCall::Probe { card, leaving } => call!([members], on_probe(card, leaving, ret)),
            PeerCall::Config { have } => call!([control], peer_config(have, ret)),
            // The other calls belong to requests, which don't occur in a rig.
            _ => (),
        }
    }

    fn counted(&self, ret: Ret<Result<PeerAnswer, Error>>) -> Ret<PeerAnswer> {
        let ledger = self.ledger.clone();
        Ret::new(move |answer: Option<PeerAnswer>| {
            if let Some(answer) = answer {
                let bytes = crate::ledger::json_bytes(&answer);
                ledger.borrow_mut().add(Kind::PeerIn, 0, bytes);
                ret.ret(Ok(answer));
            }
        })
    }
}
