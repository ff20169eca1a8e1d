//! Handling of the upstreams that membership reports: opens their ports and polls the engines'
//! state, load and cache events.
//!
//! Terms: an engine is *known* once it has reported its models and KV capacity; a *turn* is one poll
//! of an engine.
//!
//! Load pattern: a node has a fixed number of turns per second whatever the number of engines, so
//! its control traffic doesn't grow with the fleet. Answers carry the changes between polls.

use super::Hub;
use bluebell_base::prelude::*;
use bluebell_members::MemberEvent;
use bluebell_platform::{VmEntry, VmRole};
use bluebell_requests::EngineDescription;
use bluebell_upstreams::{CacheEvents, EnginePort, LoadReport, OrderAnswer};
use bluebell_upstreams::{HttpEngine, HttpService};
use serde::Serialize;
use stakker::{CX, call, fwd_to, ret_some_to};
use std::rc::Rc;

/// The pause between two turns, in milliseconds.
const POLL_PAUSE_MS: SpanMs = SpanMs(250);
/// The period of state polls, in turns of an engine. They are sent besides the turn's own poll.
const STATE_TURNS: u64 = 8;
/// The turn within each [`STATE_TURNS`] turns in which the state is polled, counted from 0.
const STATE_TURN: u64 = 7;
/// The period of polls of cache events, in turns of an engine. The other turns poll its load.
const CACHE_TURNS: u64 = 4;

/// The listed engines, in the order of polling.
#[derive(Default)]
pub struct EngineTable {
    engines: Vec<Engine>,
    next: usize,
}

struct Engine {
    entry: VmEntry,
    name: UpstreamName,
    port: Rc<dyn EnginePort>,
    models: Vec<ModelName>,
    kv_capacity_tokens: Tokens,
    announced: bool,
    leaving: bool,
    turn: u64,
    cache_next: u64,
}

impl EngineTable {
    fn find(&mut self, name: &UpstreamName) -> Option<&mut Engine> {
        self.engines.iter_mut().find(|engine| engine.name == *name)
    }

    fn remove(&mut self, name: &UpstreamName) {
        self.engines.retain(|engine| engine.name != *name);
    }
}

impl Engine {
    fn is_known(&self) -> bool {
        !self.models.is_empty() && self.kv_capacity_tokens > Tokens::ZERO
    }

    fn card(&self) -> EngineDescription {
        EngineDescription {
            name: self.name.clone(),
            domain: self.entry.domain.clone(),
            models: self.models.clone(),
            kv_capacity_tokens: self.kv_capacity_tokens,
        }
    }
}

/// An engine's entry in the state dump.
#[derive(Debug, Serialize)]
pub(super) struct EngineDump {
    name: UpstreamName,
    address: Address,
    models: Vec<ModelName>,
    kv_capacity_tokens: Tokens,
    leaving: bool,
}

impl Hub {
    pub(super) fn engine_dump(&self) -> Vec<EngineDump> {
        let dump = |engine: &Engine| EngineDump {
            name: engine.name.clone(),
            address: engine.entry.address.clone(),
            models: engine.models.clone(),
            kv_capacity_tokens: engine.kv_capacity_tokens,
            leaving: engine.leaving,
        };
        self.engines.engines.iter().map(dump).collect()
    }

    /// Handles a change of the upstreams or nodes.
    pub fn on_member(&mut self, cx: CX![], event: MemberEvent) {
        match event {
            MemberEvent::UpstreamLive(entry) => self.on_upstream_live(cx, entry),
            MemberEvent::UpstreamLeaving(name) => self.on_upstream_leaving(cx, name),
            MemberEvent::UpstreamGone(name) => self.on_upstream_gone(cx, name),
            MemberEvent::Nodes(nodes) => {
                *self.parts.live_nodes.borrow_mut() = nodes.clone();
                call!([self.parts.control], nodes_changed(nodes));
            }
            MemberEvent::NodeReplaced { dead } => {
                call!([self.parts.control], node_replaced(dead));
            }
        }
    }

    fn on_upstream_live(&mut self, cx: CX![], entry: VmEntry) {
        let name = UpstreamName(entry.name.0.clone());
        log::info!("upstream {name} at {} is live", entry.address);
        match entry.role {
            VmRole::Engine => self.open_engine(cx, name, entry),
            VmRole::Service => self.open_service(name, entry),
            VmRole::Node => (),
        }
    }

    fn open_service(&mut self, name: UpstreamName, entry: VmEntry) {
        let service = ServiceName(entry.deployment.0.clone());
        let port = HttpService::open(self.parts.services.clone(), entry.address);
        self.parts.requests.service_live(service, name, port);
        self.knows_upstream = true;
        self.update_ready();
    }

    fn open_engine(&mut self, cx: CX![], name: UpstreamName, entry: VmEntry) {
        if let Some(engine) = self.engines.find(&name)
            && engine.entry.address == entry.address
        {
            engine.leaving = false;
            engine.announced = false;
            let port = Rc::clone(&engine.port);
            call!([self.parts.control], engine_updated(entry, port));
            self.announce(&name);
            return;
        }
        // A VM that replaces another has the same name, so its port is opened again and its models
        // and KV capacity are polled again.
        self.engines.remove(&name);
        let port = HttpEngine::open(
            self.parts.streams.clone(),
            self.parts.calls.clone(),
            entry.address.clone(),
            None,
        );
        let (updated_entry, updated_port) = (entry.clone(), Rc::clone(&port));
        call!(
            [self.parts.control],
            engine_updated(updated_entry, updated_port)
        );
        self.engines.engines.push(Engine {
            entry,
            name: name.clone(),
            port,
            models: Vec::new(),
            kv_capacity_tokens: Tokens::ZERO,
            announced: false,
            leaving: false,
            turn: 0,
            cache_next: 0,
        });
        self.poll_state(cx, &name);
        self.poll_load(cx, &name);
    }

    fn on_upstream_leaving(&mut self, _cx: CX![], name: UpstreamName) {
        log::info!("upstream {name} is leaving");
        if let Some(engine) = self.engines.find(&name) {
            engine.leaving = true;
            call!([self.parts.control], engine_leaving(name.clone()));
            self.parts.requests.engine_leaving(name.clone());
        }
        self.parts.requests.service_leaving(name);
    }

    fn on_upstream_gone(&mut self, _cx: CX![], name: UpstreamName) {
        log::info!("upstream {name} is gone");
        self.engines.remove(&name);
        call!([self.parts.control], engine_gone(name.clone()));
        self.parts.requests.engine_gone(name.clone());
        self.parts.requests.service_gone(name);
    }

    /// Announces an engine to the requests part once the engine is known.
    fn announce(&mut self, name: &UpstreamName) {
        let Some(engine) = self.engines.find(name) else {
            return;
        };
        if engine.announced || engine.leaving || !engine.is_known() {
            return;
        }
        engine.announced = true;
        let (card, port) = (engine.card(), Rc::clone(&engine.port));
        self.knows_upstream = true;
        self.update_ready();
        self.parts.requests.engine_live(card, port);
    }

    pub(super) fn poll_next(&mut self, cx: CX![]) {
        let again = fwd_to!([cx], on_poll_due() as (MonoMs));
        self.parts.timers.subscribe_in(cx, POLL_PAUSE_MS, again);
        let count = self.engines.engines.len();
        if count == 0 {
            return;
        }
        let index = self.engines.next % count;
        self.engines.next = index + 1;
        let engine = &mut self.engines.engines[index];
        engine.turn += 1;
        let (turn, name) = (engine.turn, engine.name.clone());
        if turn % STATE_TURNS == STATE_TURN || !engine.is_known() {
            self.poll_state(cx, &name);
        }
        if turn.is_multiple_of(CACHE_TURNS) {
            self.poll_cache(cx, &name);
        } else {
            self.poll_load(cx, &name);
        }
    }

    fn on_poll_due(&mut self, cx: CX![], _now_ms: MonoMs) {
        self.poll_next(cx);
    }

    fn poll_state(&mut self, cx: CX![], name: &UpstreamName) {
        let Some(engine) = self.engines.find(name) else {
            return;
        };
        let name = name.clone();
        let ret = ret_some_to!([cx], on_state(name) as (Result<OrderAnswer, Error>));
        engine.port.state(cx, ret);
    }

    fn on_state(&mut self, _cx: CX![], name: UpstreamName, answer: Result<OrderAnswer, Error>) {
        let (Ok(state), Some(engine)) = (answer, self.engines.find(&name)) else {
            return;
        };
        let models: Vec<_> = state.models.into_iter().map(|m| m.model).collect();
        if models != engine.models {
            engine.models = models;
            engine.announced = false;
        }
        self.announce(&name);
    }

    fn poll_load(&mut self, cx: CX![], name: &UpstreamName) {
        let Some(engine) = self.engines.find(name) else {
            return;
        };
        let name = name.clone();
        let ret = ret_some_to!([cx], on_load(name) as (Result<LoadReport, Error>));
        engine.port.load(cx, ret);
    }

    fn on_load(&mut self, _cx: CX![], name: UpstreamName, answer: Result<LoadReport, Error>) {
        let (Ok(report), Some(engine)) = (answer, self.engines.find(&name)) else {
            return;
        };
        if report.kv_capacity_tokens != engine.kv_capacity_tokens {
            engine.kv_capacity_tokens = report.kv_capacity_tokens;
            engine.announced = false;
        }
        if report.leaving {
            call!([self.parts.members], upstream_refused(name.clone()));
        }
        self.parts.requests.engine_load(name.clone(), report);
        self.announce(&name);
    }

    fn poll_cache(&mut self, cx: CX![], name: &UpstreamName) {
        let Some(engine) = self.engines.find(name) else {
            return;
        };
        let (name, from) = (name.clone(), engine.cache_next);
        let ret = ret_some_to!([cx], on_cache(name) as (Result<CacheEvents, Error>));
        engine.port.cache_events(cx, from, ret);
    }

    fn on_cache(&mut self, _cx: CX![], name: UpstreamName, answer: Result<CacheEvents, Error>) {
        let (Ok(events), Some(engine)) = (answer, self.engines.find(&name)) else {
            return;
        };
        engine.cache_next = events.next;
        self.parts.requests.engine_cache(name, events);
    }

    /// Polls at once the load of an upstream that refused work, since it may be leaving.
    ///
    /// Guards against a node whose connection to the engines is broken: it would report to its peers
    /// that all engines are leaving, and the fleet would send them nothing for a minute. An engine
    /// counts as leaving only if its load report says so, not if it refuses a connection.
    pub fn on_upstream_refused(&mut self, cx: CX![], name: UpstreamName) {
        self.poll_load(cx, &name);
    }
}
