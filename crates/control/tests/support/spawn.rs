//! Start of nodes and engines, connected as in the node program.

use super::*;

impl Fleet {
    /// Starts a node that the platform lists. Returns its index.
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

    pub(super) fn spawn(&mut self, name: VmName, address: Address, incarnation: u64) -> usize {
        let rate = self.next_rate;
        let mut stakker = Stakker::new(self.local(rate));
        let timers = Timers::open(self.origin);
        let hub = Rc::new(Hub {
            timers: timers.clone(),
            engines: self.engines.clone(),
            ports: self.ports.clone(),
            send_ms: Rc::new(Cell::new(1)),
            events: Rc::default(),
            member_events: Rc::default(),
            held: Rc::default(),
            control: RefCell::default(),
            members: RefCell::default(),
        });
        let platform = FakePlatform::open(&self.model, &timers, &name.0, FakeSettings::default());
        let counts = Counts::default();
        let log = Rc::new(Counting {
            inner: platform.clone(),
            counts: counts.clone(),
        });
        let peers: Rc<dyn PeerPort> = Network::port(&self.net, &address);
        let incarnation = Incarnation(incarnation);
        let on_control = forward(&stakker, &hub, Hub::on_control);
        let control = Control::spawn(
            &mut stakker,
            NodeIdentity {
                incarnation,
                address: address.clone(),
            },
            ControlPorts {
                log: log.clone(),
                peers: peers.clone(),
                weights: platform,
            },
            timers.clone(),
            self.settings.clone(),
            self.seed,
            on_control,
        );
        let on_member = forward(&stakker, &hub, Hub::on_member);
        let members = Members::spawn(
            &mut stakker,
            card(&name, incarnation, &address),
            MembersPorts {
                list: log.clone(),
                log,
                peers,
            },
            timers,
            self.members_settings.clone(),
            self.seed,
            on_member,
        );
        *hub.control.borrow_mut() = Some(control.clone());
        *hub.members.borrow_mut() = Some(members.clone());
        let answering = hub.clone();
        let handler = move |call, ret| answering.on_call(call, ret);
        self.net.borrow_mut().listen(&address, Rc::new(handler));
        self.nodes.push(Node {
            stakker,
            control,
            members,
            events: hub.events.clone(),
            member_events: hub.member_events.clone(),
            held: hub.held.clone(),
            rate,
            send_ms: hub.send_ms.clone(),
            counts,
            incarnation,
            address,
            name,
            state: ProcessState::Running,
        });
        self.nodes.len() - 1
    }

    /// Starts a new process on a dead node's VM, at the same address. Returns its index.
    pub fn restart(&mut self, index: usize) -> usize {
        self.started += 1;
        let (name, address) = (
            self.nodes[index].name.clone(),
            self.nodes[index].address.clone(),
        );
        self.spawn(name, address, self.seed * 1000 + self.started)
    }

    /// Starts an engine that serves model `m` in version 1.
    pub fn start_engine(&mut self, number: u32, deployment: &str, checks_fencing: bool) -> Engine {
        let name = UpstreamName::from(&*format!("{deployment}-{number}"));
        let engine = Engine::open(self.origin, checks_fencing);
        self.engines
            .borrow_mut()
            .insert(name.clone(), engine.clone());
        self.list_engine(number, deployment);
        engine
    }

    /// Puts an engine on the platform's list.
    pub fn list_engine(&mut self, number: u32, deployment: &str) {
        self.change_vms(VmChange::Put(VmEntry {
            name: format!("{deployment}-{number}").as_str().into(),
            role: VmRole::Engine,
            address: format!("10.1.0.{number}:8000").as_str().into(),
            deployment: deployment.into(),
            domain: format!("dom-{}", number % 3).as_str().into(),
            state: VmState::Live,
        }));
    }
}

fn card(name: &VmName, incarnation: Incarnation, address: &Address) -> NodeCard {
    NodeCard {
        name: name.clone(),
        incarnation,
        address: address.clone(),
        domain: "galway-a".into(),
        config: ConfigVersion(0),
        leaving: false,
    }
}

/// The part of a node that forwards events between its actors and records them for the tests.
struct Hub {
    timers: Timers,
    engines: Rc<RefCell<BTreeMap<UpstreamName, Engine>>>,
    ports: Rc<RefCell<BTreeMap<UpstreamName, Rc<dyn EnginePort>>>>,
    send_ms: Rc<Cell<u64>>,
    events: TimedEvents<ControlEvent>,
    member_events: TimedEvents<MemberEvent>,
    held: Rc<RefCell<BTreeMap<Duty, MonoMs>>>,
    control: RefCell<Option<Actor<Control>>>,
    members: RefCell<Option<Actor<Members>>>,
}

impl Hub {
    fn control(&self) -> Actor<Control> {
        self.control.borrow().clone().expect("spawned")
    }

    fn members(&self) -> Actor<Members> {
        self.members.borrow().clone().expect("spawned")
    }

    fn on_control(&self, now_ms: MonoMs, event: ControlEvent) {
        self.events.borrow_mut().push((now_ms, event.clone()));
        let members = self.members();
        match event {
            ControlEvent::Config { version, .. } => call!([members], config_changed(version)),
            ControlEvent::Held { lease, until_ms } => {
                self.held.borrow_mut().insert(lease.duty, until_ms);
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

    fn on_member(&self, now_ms: MonoMs, event: MemberEvent) {
        self.member_events
            .borrow_mut()
            .push((now_ms, event.clone()));
        let control = self.control();
        match event {
            MemberEvent::UpstreamLive(entry) => {
                let name = UpstreamName(entry.name.0.clone());
                if let Some(port) = self.port(&name) {
                    call!([control], engine_updated(entry, port));
                }
            }
            MemberEvent::UpstreamLeaving(name) => call!([control], engine_leaving(name)),
            MemberEvent::UpstreamGone(name) => call!([control], engine_gone(name)),
            MemberEvent::Nodes(cards) => call!([control], nodes_changed(cards)),
            MemberEvent::NodeReplaced { dead } => call!([control], node_replaced(dead)),
        }
    }

    fn port(&self, name: &UpstreamName) -> Option<Rc<dyn EnginePort>> {
        let shared = self.engines.borrow().get(name).cloned();
        let shared = shared.map(|engine| engine.port(self.send_ms.clone()));
        shared.or_else(|| self.ports.borrow().get(name).cloned())
    }

    fn on_call(&self, call: PeerCall, ret: Ret<Result<PeerAnswer, Error>>) {
        let (control, members) = (self.control(), self.members());
        let ret = answer_only(ret);
        match call {
            PeerCall::Probe { card, leaving } => call!([members], on_probe(card, leaving, ret)),
            PeerCall::Config { have } => call!([control], peer_config(have, ret)),
            other => panic!("unexpected peer call: {other:?}"),
        }
    }
}

/// Returns a forwarder that hands events to the hub on the node's own `Stakker`, with the time at
/// which they arrived.
fn forward<E: Clone + 'static>(
    stakker: &Stakker,
    hub: &Rc<Hub>,
    take: fn(&Hub, MonoMs, E),
) -> Fwd<E> {
    let (deferrer, hub) = (stakker.deferrer(), hub.clone());
    Fwd::new(move |event: E| {
        let hub = hub.clone();
        deferrer.defer(move |s| take(&hub, hub.timers.now_ms(s), event));
    })
}

/// Converts a `Ret` for a result to one for a plain answer. A dropped answer leaves the call
/// unanswered.
fn answer_only(ret: Ret<Result<PeerAnswer, Error>>) -> Ret<PeerAnswer> {
    Ret::new(move |answer: Option<PeerAnswer>| {
        if let Some(answer) = answer {
            ret.ret(Ok(answer));
        }
    })
}
