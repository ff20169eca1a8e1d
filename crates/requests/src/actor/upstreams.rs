//! Upstreams as the node announces them, and what they say of themselves apart from streams.

use super::Requests;
use crate::fleet::Standing;
use bluebell_base::prelude::*;
use bluebell_policy::EngineFacts;
use bluebell_upstreams::{CacheEvents, EnginePort, LoadReport, ServicePort};
use stakker::CX;
use std::rc::Rc;

/// What is known of an engine when it is announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineDescription {
    /// Its name.
    pub name: UpstreamName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The models it serves.
    pub models: Vec<ModelName>,
    /// Its KV memory in tokens.
    pub kv_capacity_tokens: Tokens,
}

impl Requests {
    pub(super) fn engine_live(
        &mut self,
        cx: CX![],
        card: EngineDescription,
        port: Rc<dyn EnginePort>,
    ) {
        let now_ms = self.timers.now_ms(cx);
        let upstream = self.fleet.engine_live(&card.name, port);
        let models = card.models.iter();
        let models = models.map(|name| ModelId(self.models.intern(name)));
        let facts = EngineFacts {
            upstream,
            models: models.collect(),
            domain: DomainId(self.domains.intern(&card.domain)),
            kv_capacity_tokens: card.kv_capacity_tokens,
            rank: EngineFacts::rank_of(&card.name),
        };
        self.policy.engine_updated(facts, now_ms);
        self.settle_down(cx);
    }

    pub(super) fn engine_leaving(&mut self, cx: CX![], name: UpstreamName) {
        let now_ms = self.timers.now_ms(cx);
        let Some(upstream) = self.fleet.id(&name) else {
            return;
        };
        let Some(engine) = self.fleet.engine_mut(upstream) else {
            return;
        };
        engine.standing = Standing::Leaving;
        self.policy.engine_leaving(upstream, now_ms);
        self.settle_down(cx);
    }

    pub(super) fn engine_gone(&mut self, cx: CX![], name: UpstreamName) {
        let now_ms = self.timers.now_ms(cx);
        let Some(upstream) = self.fleet.id(&name) else {
            return;
        };
        let Some(engine) = self.fleet.engine_mut(upstream) else {
            return;
        };
        engine.standing = Standing::Gone;
        self.policy.engine_gone(upstream, now_ms);
        let live: Vec<_> = self.table.iter().map(|(id, l)| (id, l.request)).collect();
        for (id, request) in live {
            self.step(cx, id, request, |life, context| {
                life.on_engine_gone(upstream, context);
            });
        }
        self.settle_down(cx);
    }

    pub(super) fn engine_load(&mut self, cx: CX![], name: UpstreamName, report: LoadReport) {
        let now_ms = self.timers.now_ms(cx);
        if let Some(upstream) = self.fleet.id(&name) {
            self.policy.on_load(upstream, &report, now_ms);
        }
        self.settle_down(cx);
    }

    pub(super) fn engine_cache(&mut self, cx: CX![], name: UpstreamName, events: CacheEvents) {
        if let Some(upstream) = self.fleet.id(&name) {
            self.policy.on_cache(upstream, &events.events, events.gap);
        }
        self.settle_down(cx);
    }

    pub(super) fn service_live(
        &mut self,
        cx: CX![],
        service: ServiceName,
        name: UpstreamName,
        port: Rc<dyn ServicePort>,
    ) {
        self.fleet.replica_live(&service, &name, port);
        self.settle_down(cx);
    }

    pub(super) fn service_standing(&mut self, cx: CX![], name: UpstreamName, standing: Standing) {
        let upstream = self.fleet.id(&name);
        if let Some(replica) = upstream.and_then(|id| self.fleet.replica_mut(id)) {
            replica.standing = standing;
        }
        self.settle_down(cx);
    }
}
