//! The handle through which the rest of the node uses the requests.

use super::{EngineDescription, Requests};
use crate::call::CallerCall;
use crate::fleet::Availability;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_peers::RequestReport;
use bluebell_upstreams::{CacheEvents, EnginePort, LoadReport, ServicePort};
use stakker::{ActorOwn, Ret, call};
use std::rc::Rc;

/// A handle to the running requests of a node; cheap to clone within its thread. The requests stop
/// when the last handle is dropped.
#[derive(Clone)]
pub struct RequestsHandle {
    own: Rc<ActorOwn<Requests>>,
}

impl RequestsHandle {
    pub(super) fn new(own: ActorOwn<Requests>) -> Self {
        Self { own: Rc::new(own) }
    }

    /// Sends a call from the callers' interface.
    pub fn call(&self, call: CallerCall) {
        call!([self.own], call(call));
    }

    /// Sets the configuration; a version older than the current one is ignored.
    pub fn set_config(&self, version: ConfigVersion, config: Arc<FleetConfig>) {
        call!([self.own], set_config(version, config));
    }

    /// Announces an engine that accepts work, for the first time or again.
    pub fn engine_live(&self, description: EngineDescription, port: Rc<dyn EnginePort>) {
        call!([self.own], engine_live(description, port));
    }

    /// Marks an engine as accepting no new work; its running work continues.
    pub fn engine_leaving(&self, name: UpstreamName) {
        call!([self.own], engine_leaving(name));
    }

    /// Marks an engine as gone, or reported as gone.
    pub fn engine_gone(&self, name: UpstreamName) {
        call!([self.own], engine_gone(name));
    }

    /// Passes on an engine's load from a poll.
    pub fn engine_load(&self, name: UpstreamName, report: LoadReport) {
        call!([self.own], engine_load(name, report));
    }

    /// Passes on an engine's cache events from a poll.
    pub fn engine_cache(&self, name: UpstreamName, events: CacheEvents) {
        call!([self.own], engine_cache(name, events));
    }

    /// Announces a replica of a plain service that accepts work, for the first time or again.
    pub fn service_live(
        &self,
        service: ServiceName,
        name: UpstreamName,
        port: Rc<dyn ServicePort>,
    ) {
        call!([self.own], service_live(service, name, port));
    }

    /// Marks a replica as accepting no new calls; its running calls continue.
    pub fn service_leaving(&self, name: UpstreamName) {
        call!(
            [self.own],
            set_replica_availability(name, Availability::Leaving)
        );
    }

    /// Marks a replica as gone, or reported as gone.
    pub fn service_gone(&self, name: UpstreamName) {
        call!(
            [self.own],
            set_replica_availability(name, Availability::Gone)
        );
    }

    /// Refuses new calls from now on and calls `ret` once nothing is under way. Running requests
    /// are not cut off.
    pub fn drain(&self, ret: Ret<()>) {
        call!([self.own], drain(ret));
    }

    /// Returns, for a peer, the report of a request that this node admitted; `None` if it is not
    /// known.
    pub fn lookup(&self, request: RequestId, ret: Ret<Option<RequestReport>>) {
        call!([self.own], answer_peer(request, ret));
    }

    /// Returns the state as JSON text, without prompts, answers and secrets.
    pub fn dump(&self, ret: Ret<Arc<str>>) {
        call!([self.own], dump(ret));
    }

    /// Checks the invariants.
    pub fn check(&self, ret: Ret<Result<(), Arc<str>>>) {
        call!([self.own], check(ret));
    }

    /// Checks the invariants after each step from now on, and panics if one is broken; for tests.
    pub fn check_each_step(&self) {
        call!([self.own], check_each_step());
    }
}
