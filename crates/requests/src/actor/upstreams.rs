//! The upstreams as the node announces them, and their reports apart from streams.

use super::Requests;
use crate::fleet::Availability;
use bluebell_base::prelude::*;
use bluebell_policy::EngineFacts;
use bluebell_upstreams::{CacheEvents, EnginePort, LoadReport, ServicePort};
use stakker::CX;
use std::rc::Rc;

/// The description of an engine when it is announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineDescription {
    /// The engine's name.
    pub name: UpstreamName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The models that it serves.
    pub models: Vec<ModelName>,
    /// Its KV memory, in tokens.
    pub kv_capacity_tokens: Tokens,
}

impl Requests {
    pub(super) fn engine_live(
        &mut self,
        cx: CX![],
        description: EngineDescription,
        port: Rc<dyn EnginePort>,
    ) {
        let now_ms = self.timers.now_ms(cx);
        let upstream = self.fleet.engine_live(&description.name, port);
        let models = description.models.iter();
        let models = models.map(|name| ModelId(self.models.intern(name)));
        let facts = EngineFacts {
            upstream,
            models: models.collect(),
            domain: DomainId(self.domains.intern(&description.domain)),
            kv_capacity_tokens: description.kv_capacity_tokens,
            rank: EngineFacts::rank_of(&description.name),
        };
        self.policy.engine_updated(facts, now_ms);
        self.finish_message(cx);
    }

    pub(super) fn engine_leaving(&mut self, cx: CX![], name: UpstreamName) {
        let now_ms = self.timers.now_ms(cx);
        let Some(upstream) = self.fleet.id(&name) else {
            return;
        };
        let Some(engine) = self.fleet.engine_mut(upstream) else {
            return;
        };
        engine.availability = Availability::Leaving;
        self.policy.engine_leaving(upstream, now_ms);
        self.finish_message(cx);
    }

    pub(super) fn engine_gone(&mut self, cx: CX![], name: UpstreamName) {
        let now_ms = self.timers.now_ms(cx);
        let Some(upstream) = self.fleet.id(&name) else {
            return;
        };
        let Some(engine) = self.fleet.engine_mut(upstream) else {
            return;
        };
        engine.availability = Availability::Gone;
        self.policy.engine_gone(upstream, now_ms);
        let live: Vec<_> = self.table.iter().map(|(id, l)| (id, l.request)).collect();
        for (id, request) in live {
            self.step(cx, id, request, |live, context| {
                live.on_engine_gone(upstream, context);
            });
        }
        self.finish_message(cx);
    }

    pub(super) fn engine_load(&mut self, cx: CX![], name: UpstreamName, report: LoadReport) {
        let now_ms = self.timers.now_ms(cx);
        if let Some(upstream) = self.fleet.id(&name) {
            self.policy.on_load(upstream, &report, now_ms);
        }
        self.finish_message(cx);
    }

    pub(super) fn engine_cache(&mut self, cx: CX![], name: UpstreamName, events: CacheEvents) {
        if let Some(upstream) = self.fleet.id(&name) {
            self.policy.on_cache(upstream, &events.events, events.gap);
        }
        self.finish_message(cx);
    }

    pub(super) fn service_live(
        &mut self,
        cx: CX![],
        service: ServiceName,
        name: UpstreamName,
        port: Rc<dyn ServicePort>,
    ) {
        self.fleet.replica_live(&service, &name, port);
        self.finish_message(cx);
    }

    pub(super) fn set_replica_availability(
        &mut self,
        cx: CX![],
        name: UpstreamName,
        availability: Availability,
    ) {
        let upstream = self.fleet.id(&name);
        if let Some(replica) = upstream.and_then(|id| self.fleet.replica_mut(id)) {
            replica.availability = availability;
        }
        self.finish_message(cx);
    }
}
