//! Opens every part of a node and connects the parts.

use super::{LaunchError, NodeAddresses};
use crate::hub::{Hub, HubParts};
use crate::ports::lookup::{LiveNodes, PeerLookup};
use crate::ports::observer::NodeObserver;
use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, Inbox, InboxSender};
use bluebell_claims::{ClaimSettings, Claims, ClaimsHandle, ClaimsParts};
use bluebell_config::FleetConfig;
use bluebell_control::{Control, ControlPorts, ControlSettings, NodeIdentity};
use bluebell_entry::{Admin, AdminSettings, Callers, CallersSettings};
use bluebell_members::{Members, MembersPorts, MembersSettings};
use bluebell_peers::{
    FleetSecret, JsonRpcPeers, NodeCard, PeerPort, PeerRuntime, PeerServer, PeerSettings,
};
use bluebell_platform::{CallTimeouts, HttpLog, HttpVmList, HttpWeights, LogPort, PlatformClient};
use bluebell_policy::PolicySettings;
use bluebell_requests::{Requests, RequestsHandle, RequestsPorts, RequestsSettings};
use bluebell_settings::NodeSettings;
use bluebell_telemetry::Metrics;
use bluebell_timers::Timers;
use rand::Rng;
use stakker::{ActorOwn, Core, Fwd, Stakker};
use std::cell::RefCell;
use std::rc::Rc;

/// The number of I/O threads for short calls to upstreams, peers and the platform.
const CALL_THREADS: usize = 32;

thread_local! {
    /// The hub of the node that runs on this thread. Stops requested on other threads use it.
    static HUB: RefCell<Option<Rc<ActorOwn<Hub>>>> = const { RefCell::new(None) };
}

/// Begins the planned stop of the node on this thread.
pub(super) fn drain(_core: &mut Core) {
    HUB.with_borrow(|hub| {
        if let Some(hub) = hub {
            stakker::call!([hub], drain());
        }
    });
}

/// A node whose parts are open.
pub(super) struct Running {
    inbox: Inbox,
    addresses: NodeAddresses,
    admin: Admin,
    peer_server: PeerServer,
}

/// The settings, timers, I/O threads and identity that the parts of a node share.
struct Base {
    settings: Rc<NodeSettings>,
    timers: Timers,
    streams: Bridge,
    services: Bridge,
    calls: Bridge,
    metrics: Arc<Metrics>,
    incarnation: Incarnation,
    seed: u64,
    live_nodes: LiveNodes,
}

/// The ports to the platform and to other nodes.
struct ExternalPorts {
    client: PlatformClient,
    log: Rc<dyn LogPort>,
    peers: Rc<dyn PeerPort>,
}

impl Running {
    /// Opens all parts of a node.
    pub(super) fn open(stakker: &mut Stakker, settings: NodeSettings) -> Result<Self, LaunchError> {
        let inbox = Inbox::open();
        let base = Base::open(&inbox, stakker, settings)?;
        let late = LateHub::default();

        let runtime = base.open_peer_runtime()?;
        let peer_server = base.bind_peers(&runtime, &late)?;
        let card = base.card(peer_server.address());

        let external = base.open_external(&runtime);
        let control = base.spawn_control(stakker, &card, &external, &late)?;
        let claims = base.spawn_claims(stakker, &card, &external)?;
        let members = base.spawn_members(stakker, &card, &external, &late);
        let requests = base.spawn_requests(stakker, &claims, &external, &late);
        let callers = base.bind_callers(&requests)?;
        let admin = base.bind_admin(&late)?;

        let addresses = addresses(&callers, &admin, &peer_server);
        let parts = HubParts {
            settings: base.settings,
            timers: base.timers,
            card,
            requests,
            control,
            members,
            claims,
            callers,
            metrics: base.metrics,
            peer_stats: runtime.stats(),
            live_nodes: base.live_nodes,
            streams: base.streams,
            services: base.services,
            calls: base.calls,
        };
        spawn_hub(stakker, parts, &late);
        Ok(Self {
            inbox,
            addresses,
            admin,
            peer_server,
        })
    }

    pub(super) fn addresses(&self) -> &NodeAddresses {
        &self.addresses
    }

    pub(super) fn inbox_sender(&self) -> InboxSender {
        self.inbox.link()
    }

    /// Runs the node until its planned stop has ended.
    pub(super) fn run(self, stakker: &mut Stakker) {
        self.inbox.run(stakker);
        self.admin.stop();
        self.peer_server.stop();
        HUB.set(None);
    }
}

fn addresses(callers: &Callers, admin: &Admin, peers: &PeerServer) -> NodeAddresses {
    NodeAddresses {
        callers: Address(callers.address().to_string().into()),
        admin: Address(admin.address().to_string().into()),
        peers: peers.address().clone(),
    }
}

/// Spawns the hub and registers it with the parts that call it and with [`drain`].
fn spawn_hub(core: &mut Core, parts: HubParts, late: &LateHub) {
    let hub = Rc::new(Hub::spawn(core, parts));
    late.set(Rc::clone(&hub));
    HUB.set(Some(hub));
}

/// A slot for the hub in `Fwd`s that are created before the hub, which itself needs the parts that
/// receive them.
#[derive(Clone, Default)]
struct LateHub {
    hub: Rc<RefCell<Option<Rc<ActorOwn<Hub>>>>>,
}

impl LateHub {
    fn set(&self, hub: Rc<ActorOwn<Hub>>) {
        *self.hub.borrow_mut() = Some(hub);
    }

    /// Returns a `Fwd` that calls `to` with the hub. Values that come before the hub is set are
    /// dropped; there are none, because no actor runs before all parts are open.
    fn fwd<T: 'static>(&self, to: impl Fn(&ActorOwn<Hub>, T) + 'static) -> Fwd<T> {
        let hub = Rc::clone(&self.hub);
        Fwd::new(move |value| {
            if let Some(hub) = &*hub.borrow() {
                to(hub, value);
            }
        })
    }
}

impl Base {
    fn open(
        inbox: &Inbox,
        stakker: &mut Stakker,
        settings: NodeSettings,
    ) -> Result<Self, LaunchError> {
        let metrics = Metrics::open().map_err(|e| LaunchError::part("metrics", e))?;
        let threads = settings.io_threads as usize;
        let mut random = rand::rng();
        Ok(Self {
            timers: Timers::open(stakker.now()),
            streams: Bridge::open(inbox, threads),
            services: Bridge::open(inbox, threads),
            calls: Bridge::open(inbox, CALL_THREADS),
            metrics: Arc::new(metrics),
            incarnation: Incarnation(random.random()),
            seed: random.random(),
            live_nodes: LiveNodes::default(),
            settings: Rc::new(settings),
        })
    }

    fn open_peer_runtime(&self) -> Result<PeerRuntime, LaunchError> {
        let secret = self.settings.fleet_secret.expose();
        let secret = FleetSecret::new(secret).map_err(|e| LaunchError::part("peers", e))?;
        PeerRuntime::open(PeerSettings::new(secret), &self.calls)
            .map_err(|e| LaunchError::part("peers", e))
    }

    fn bind_peers(&self, runtime: &PeerRuntime, late: &LateHub) -> Result<PeerServer, LaunchError> {
        let incoming = late.fwd(|hub, incoming| stakker::call!([hub], on_peer(incoming)));
        PeerServer::bind(runtime, &self.settings.peers_address, incoming)
            .map_err(|e| LaunchError::part("peers", e))
    }

    fn card(&self, bound: &Address) -> NodeCard {
        let advertised = self.settings.peers_advertised.clone();
        NodeCard {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            address: advertised.unwrap_or_else(|| bound.clone()),
            domain: self.settings.domain.clone(),
            config: ConfigVersion(0),
            leaving: false,
        }
    }

    fn open_external(&self, runtime: &PeerRuntime) -> ExternalPorts {
        let credential = self.settings.platform_credential.as_ref();
        let client = PlatformClient::open(
            self.calls.clone(),
            &self.settings.platform_address,
            credential.map(|secret| secret.expose().clone()),
            CallTimeouts::default(),
        );
        ExternalPorts {
            log: HttpLog::open(&client),
            peers: JsonRpcPeers::open(runtime),
            client,
        }
    }

    fn spawn_control(
        &self,
        core: &mut Core,
        card: &NodeCard,
        external: &ExternalPorts,
        late: &LateHub,
    ) -> Result<ActorOwn<Control>, LaunchError> {
        let identity = NodeIdentity {
            incarnation: card.incarnation,
            address: card.address.clone(),
        };
        let ports = ControlPorts {
            log: Rc::clone(&external.log),
            peers: Rc::clone(&external.peers),
            weights: HttpWeights::open(&external.client),
        };
        let settings = ControlSettings {
            shards: self.settings.shards,
            ttl_ms: self.settings.lease_ttl_ms,
            config_tail_ms: self.settings.config_poll_ms,
            retention_ms: self.settings.log_retention_ms,
            ..ControlSettings::default()
        };
        let faults = settings.faults();
        if !faults.is_empty() {
            return Err(LaunchError::part("control", faults.join("; ")));
        }
        let events = late.fwd(|hub, event| stakker::call!([hub], on_control(event)));
        Ok(Control::spawn(
            core,
            identity,
            ports,
            self.timers.clone(),
            settings,
            self.seed,
            events,
        ))
    }

    fn spawn_claims(
        &self,
        core: &mut Core,
        card: &NodeCard,
        external: &ExternalPorts,
    ) -> Result<ClaimsHandle, LaunchError> {
        let settings = ClaimSettings {
            shards: self.settings.shards,
            ..ClaimSettings::default()
        };
        settings
            .check(self.settings.log_retention_ms)
            .map_err(|e| LaunchError::part("claims", e))?;
        let parts = ClaimsParts {
            settings,
            timers: self.timers.clone(),
            log: Rc::clone(&external.log),
            peers: Rc::clone(&external.peers),
            incarnation: card.incarnation,
            seed: self.seed,
        };
        Ok(Claims::spawn(core, parts))
    }

    fn spawn_members(
        &self,
        core: &mut Core,
        card: &NodeCard,
        external: &ExternalPorts,
        late: &LateHub,
    ) -> ActorOwn<Members> {
        let ports = MembersPorts {
            log: Rc::clone(&external.log),
            peers: Rc::clone(&external.peers),
            list: HttpVmList::open(&external.client),
        };
        let seeds = self.settings.peer_seeds.as_ref();
        let settings = MembersSettings {
            seeds: seeds.map_or_else(Vec::new, |seeds| seeds.as_slice().to_vec()),
            writer_poll_ms: self.settings.vm_list_poll_ms,
            retention_ms: self.settings.log_retention_ms,
            ..MembersSettings::default()
        };
        let events = late.fwd(|hub, event| stakker::call!([hub], on_member(event)));
        Members::spawn(
            core,
            card.clone(),
            ports,
            self.timers.clone(),
            settings,
            self.seed,
            events,
        )
    }

    fn spawn_requests(
        &self,
        core: &mut Core,
        claims: &ClaimsHandle,
        external: &ExternalPorts,
        late: &LateHub,
    ) -> RequestsHandle {
        let refused = late.fwd(|hub, name| stakker::call!([hub], on_upstream_refused(name)));
        let settings = RequestsSettings {
            hang_up_grace_ms: self.settings.hang_up_grace_ms,
            ..RequestsSettings::default()
        };
        let policy = bluebell_policy::open(
            PolicySettings::default(),
            &FleetConfig::default(),
            self.seed,
        );
        let ports = RequestsPorts {
            timers: self.timers.clone(),
            incarnation: self.incarnation,
            fleet_secret: self.settings.fleet_secret.expose().as_bytes().to_vec(),
            claims: Rc::new(claims.clone()),
            policy,
            observer: NodeObserver::open(Arc::clone(&self.metrics), refused),
            lookup: PeerLookup::open(Rc::clone(&external.peers), Rc::clone(&self.live_nodes)),
            seed: self.seed,
        };
        Requests::spawn(core, settings, ports)
    }

    fn bind_callers(&self, requests: &RequestsHandle) -> Result<Callers, LaunchError> {
        let requests = requests.clone();
        let calls = Fwd::new(move |call| requests.call(call));
        let settings = CallersSettings {
            max_calls: self.settings.max_calls as usize,
            max_body_bytes: self.settings.body_memory_bytes,
            ..CallersSettings::at(self.settings.callers_address.clone())
        };
        Callers::bind(settings, &self.calls, calls).map_err(|e| LaunchError::part("callers", e))
    }

    fn bind_admin(&self, late: &LateHub) -> Result<Admin, LaunchError> {
        let calls = late.fwd(|hub, call| stakker::call!([hub], on_admin(call)));
        let credential = self.settings.admin_credential.expose().clone();
        let settings = AdminSettings::at(self.settings.admin_address.clone(), credential);
        Admin::bind(settings, &self.calls, calls).map_err(|e| LaunchError::part("admin", e))
    }
}
