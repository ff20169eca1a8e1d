//! The hub: the actor that passes each part's events to the parts that need them.
//!
//! Terms: the *live nodes* are the nodes' cards as membership last reported them; a *poll* requests
//! an engine's load, cache events or state.
//!
//! Load pattern: polls are sent at a fixed rate per node, whatever the number of engines.
//!
//! Invariants: the hub makes no decisions about requests and holds none of their state.

mod admin;
mod agreed;
mod drain;
mod fleet;
mod inbound;
mod seed;

use crate::ports::lookup::LiveNodes;
use bluebell_base::prelude::*;
use bluebell_bridge::Bridge;
use bluebell_claims::ClaimsHandle;
use bluebell_control::Control;
use bluebell_entry::Callers;
use bluebell_members::Members;
use bluebell_peers::{NodeCard, PeerStats};
use bluebell_requests::RequestsHandle;
use bluebell_settings::NodeSettings;
use bluebell_telemetry::Metrics;
use bluebell_timers::Timers;
use fleet::EngineTable;
use stakker::{ActorOwn, CX, Core, actor, ret_nop};
use std::rc::Rc;

/// The parts that the hub passes events between, and the values that they share.
pub struct HubParts {
    /// The node's settings.
    pub settings: Rc<NodeSettings>,
    /// The timers.
    pub timers: Timers,
    /// The description of this node that peers receive.
    pub card: NodeCard,
    /// The part that serves requests.
    pub requests: RequestsHandle,
    /// The part that holds the configuration in force and the leases.
    pub control: ActorOwn<Control>,
    /// The part that tracks nodes and upstreams.
    pub members: ActorOwn<Members>,
    /// The part that claims idempotency keys.
    pub claims: ClaimsHandle,
    /// The callers' interface.
    pub callers: Callers,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The counters of node-to-node traffic.
    pub peer_stats: Arc<PeerStats>,
    /// The live nodes.
    pub live_nodes: LiveNodes,
    /// I/O threads for streams from engines.
    pub streams: Bridge,
    /// I/O threads for calls to plain services. They are separate from those for short calls:
    /// otherwise a service that doesn't answer would delay all short calls, including cancels and
    /// polls.
    pub services: Bridge,
    /// I/O threads for short calls to upstreams, peers and the platform.
    pub calls: Bridge,
}

/// The hub actor; see [`Hub::spawn`].
pub struct Hub {
    parts: HubParts,
    engines: EngineTable,
    stopping: bool,
    knows_upstream: bool,
    flushing: bool,
    /// The bytes of node-to-node traffic that the metrics already include.
    peer_bytes: Bytes,
}

impl Hub {
    /// Spawns the hub and starts polling engines.
    pub fn spawn(core: &mut Core, parts: HubParts) -> ActorOwn<Hub> {
        actor!(core, Hub::init(parts), ret_nop!())
    }

    fn init(cx: CX![], parts: HubParts) -> Option<Self> {
        let mut hub = Self {
            parts,
            engines: EngineTable::default(),
            stopping: false,
            knows_upstream: false,
            flushing: false,
            peer_bytes: Bytes::ZERO,
        };
        hub.poll_next(cx);
        hub.seed_later(cx);
        Some(hub)
    }

    /// Updates the readiness that the callers' interface reports to the balancer.
    ///
    /// Guards against a node started while the platform is down: it receives the configuration from
    /// peers but the upstreams from nobody, so it would refuse all calls from the balancer while
    /// other nodes could serve them. A node becomes ready once it has known an upstream.
    fn update_ready(&self) {
        self.parts.callers.set_ready(self.ready().is_ok());
    }

    /// Returns this node's current description.
    pub(crate) fn card(&self) -> NodeCard {
        self.parts.card.clone()
    }
}
