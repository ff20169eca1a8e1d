//! The handle by which the rest of the node speaks to the requests.

use super::{EngineDescription, Requests};
use crate::call::CallerCall;
use crate::fleet::Standing;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_peers::RequestReport;
use bluebell_upstreams::{CacheEvents, EnginePort, LoadReport, ServicePort};
use stakker::{ActorOwn, Ret, call};
use std::rc::Rc;

/// The running requests of a node; cheap to clone on its thread. They stop with the last handle.
#[derive(Clone)]
pub struct RequestsHandle {
    own: Rc<ActorOwn<Requests>>,
}

impl RequestsHandle {
    pub(super) fn new(own: ActorOwn<Requests>) -> Self {
        Self { own: Rc::new(own) }
    }

    /// A caller calls.
    pub fn call(&self, call: CallerCall) {
        call!([self.own], call(call));
    }

    /// A configuration came into force; an older version than the present one is ignored.
    pub fn set_config(&self, version: ConfigVersion, config: Arc<FleetConfig>) {
        call!([self.own], set_config(version, config));
    }

    /// An engine takes work, for the first time or again.
    pub fn engine_live(&self, card: EngineDescription, port: Rc<dyn EnginePort>) {
        call!([self.own], engine_live(card, port));
    }

    /// An engine takes no new work; what it has goes on.
    pub fn engine_leaving(&self, name: UpstreamName) {
        call!([self.own], engine_leaving(name));
    }

    /// An engine is gone, or said to be.
    pub fn engine_gone(&self, name: UpstreamName) {
        call!([self.own], engine_gone(name));
    }

    /// An engine's load was polled.
    pub fn engine_load(&self, name: UpstreamName, report: LoadReport) {
        call!([self.own], engine_load(name, report));
    }

    /// An engine's cache events were polled.
    pub fn engine_cache(&self, name: UpstreamName, events: CacheEvents) {
        call!([self.own], engine_cache(name, events));
    }

    /// A replica of a plain service takes work, for the first time or again.
    pub fn service_live(
        &self,
        service: ServiceName,
        name: UpstreamName,
        port: Rc<dyn ServicePort>,
    ) {
        call!([self.own], service_live(service, name, port));
    }

    /// A replica takes no new calls; those on the way go on.
    pub fn service_leaving(&self, name: UpstreamName) {
        call!([self.own], service_standing(name, Standing::Leaving));
    }

    /// A replica is gone, or said to be.
    pub fn service_gone(&self, name: UpstreamName) {
        call!([self.own], service_standing(name, Standing::Gone));
    }

    /// Takes no new calls; `ret` is called once nothing is under way any more. Nothing is cut.
    pub fn drain(&self, ret: Ret<()>) {
        call!([self.own], drain(ret));
    }

    /// A peer asks what is known here of a request that this node admitted.
    pub fn lookup(&self, request: RequestId, ret: Ret<Option<RequestReport>>) {
        call!([self.own], answer_peer(request, ret));
    }

    /// The state as JSON text, without prompts, answers and secrets.
    pub fn dump(&self, ret: Ret<Arc<str>>) {
        call!([self.own], dump(ret));
    }

    /// Checks the invariants.
    pub fn check(&self, ret: Ret<Result<(), Arc<str>>>) {
        call!([self.own], check(ret));
    }

    /// Checks the invariants after each step from now on, and panics where one is broken; for
    /// tests.
    pub fn check_each_step(&self) {
        call!([self.own], check_each_step());
    }
}
