//! The hub: the actor that passes each part's events to the parts that need them.
//!
//! Terms: the *roll* is the list of live nodes' cards; a *poll* asks one engine for its load or
//! cache events, at a fixed rate for the node, whatever the number of engines.
//!
//! Invariants: the hub decides nothing about requests; it holds no state of theirs.

mod admin;
mod agreed;
mod drain;
mod fleet;
mod inbound;
mod meter;
mod seed;

use crate::ports::lookup::Roll;
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
use meter::Meter;
use stakker::{ActorOwn, CX, Core, actor, ret_nop};
use std::rc::Rc;

/// What the hub passes events between.
pub struct HubParts {
    /// The settings.
    pub settings: Rc<NodeSettings>,
    /// The time.
    pub timers: Timers,
    /// What this node says of itself.
    pub card: NodeCard,
    /// The requests.
    pub requests: RequestsHandle,
    /// What is agreed.
    pub control: ActorOwn<Control>,
    /// Who is there.
    pub members: ActorOwn<Members>,
    /// The idempotency keys.
    pub claims: ClaimsHandle,
    /// The callers' interface.
    pub callers: Callers,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The counts of node-to-node traffic.
    pub peer_stats: Arc<PeerStats>,
    /// The live nodes.
    pub roll: Roll,
    /// I/O threads for streams from engines.
    pub streams: Bridge,
    /// I/O threads for calls to plain services, apart from the short calls, which a service that
    /// answers nobody would hold up with cancels and polls among them.
    pub services: Bridge,
    /// I/O threads for short calls.
    pub calls: Bridge,
}

/// The hub actor; see [`Hub::spawn`].
pub struct Hub {
    parts: HubParts,
    engines: EngineTable,
    meter: Meter,
    stopping: bool,
    flushing: bool,
    /// The bytes of node-to-node traffic that the metrics have already.
    peer_bytes: Bytes,
}

impl Hub {
    /// Spawns the hub and begins to poll engines.
    pub fn spawn(core: &mut Core, parts: HubParts) -> ActorOwn<Hub> {
        actor!(core, Hub::init(parts), ret_nop!())
    }

    fn init(cx: CX![], parts: HubParts) -> Option<Self> {
        let mut hub = Self {
            parts,
            engines: EngineTable::default(),
            meter: Meter::default(),
            stopping: false,
            flushing: false,
            peer_bytes: Bytes::ZERO,
        };
        hub.poll_next(cx);
        hub.seed_later(cx);
        hub.read_meters(cx);
        Some(hub)
    }

    /// What this node says of itself now.
    pub(crate) fn card(&self) -> NodeCard {
        self.parts.card.clone()
    }
}
