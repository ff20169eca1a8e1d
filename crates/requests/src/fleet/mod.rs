//! The upstreams as announced to this node: engines, and the replicas of plain services.
//!
//! Terms: an upstream is *live*, *leaving* (finishes what it has) or *gone*; a name keeps its id
//! through all of them and through a return.

use crate::names::Names;
use bluebell_base::prelude::*;
use bluebell_upstreams::{EnginePort, ServicePort};
use std::rc::Rc;

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It takes new work.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It is gone with what it had.
    Gone,
}

/// One engine.
pub struct Engine {
    /// Its name.
    pub name: UpstreamName,
    /// The way to it.
    pub port: Rc<dyn EnginePort>,
    /// Whether it takes work.
    pub standing: Standing,
}

/// One replica of a plain service.
pub struct Replica {
    /// Its name.
    pub name: UpstreamName,
    /// The service.
    pub service: ServiceName,
    /// The way to it.
    pub port: Rc<dyn ServicePort>,
    /// Whether it takes work.
    pub standing: Standing,
    /// Calls on the way.
    pub in_flight: u32,
}

/// All upstreams known to this node.
#[derive(Default)]
pub struct Fleet {
    names: Names<UpstreamName>,
    engines: Vec<Option<Engine>>,
    replicas: Vec<Option<Replica>>,
}

impl Fleet {
    /// An engine is live (again).
    pub fn engine_live(&mut self, name: &UpstreamName, port: Rc<dyn EnginePort>) -> UpstreamId {
        let id = UpstreamId(self.names.intern(name));
        grow(&mut self.engines, id);
        self.engines[id.index()] = Some(Engine {
            name: name.clone(),
            port,
            standing: Standing::Live,
        });
        id
    }

    /// A replica is live (again).
    pub fn replica_live(
        &mut self,
        service: &ServiceName,
        name: &UpstreamName,
        port: Rc<dyn ServicePort>,
    ) -> UpstreamId {
        let id = UpstreamId(self.names.intern(name));
        grow(&mut self.replicas, id);
        let before = self.replicas[id.index()].as_ref();
        let in_flight = before.map_or(0, |replica| replica.in_flight);
        self.replicas[id.index()] = Some(Replica {
            name: name.clone(),
            service: service.clone(),
            port,
            standing: Standing::Live,
            in_flight,
        });
        id
    }

    /// The upstream's id, where it was announced.
    pub fn id(&self, name: &UpstreamName) -> Option<UpstreamId> {
        self.names.get(name).map(UpstreamId)
    }

    /// The upstream's name.
    pub fn name(&self, id: UpstreamId) -> Option<&UpstreamName> {
        self.names.name(id.0)
    }

    /// Whether an engine takes new work.
    pub fn takes_work(&self, id: UpstreamId) -> bool {
        self.engine(id)
            .is_some_and(|engine| engine.standing == Standing::Live)
    }

    /// Whether an engine is there, taking new work or not.
    pub fn is_there(&self, id: UpstreamId) -> bool {
        self.engine(id)
            .is_some_and(|engine| engine.standing != Standing::Gone)
    }

    /// An engine that was announced, also when it is gone.
    pub fn engine(&self, id: UpstreamId) -> Option<&Engine> {
        self.engines.get(id.index())?.as_ref()
    }

    /// An engine that was announced, to change its standing.
    pub fn engine_mut(&mut self, id: UpstreamId) -> Option<&mut Engine> {
        self.engines.get_mut(id.index())?.as_mut()
    }

    /// A replica that was announced, also when it is gone.
    pub fn replica(&self, id: UpstreamId) -> Option<&Replica> {
        self.replicas.get(id.index())?.as_ref()
    }

    /// A replica that was announced, to change its standing or calls.
    pub fn replica_mut(&mut self, id: UpstreamId) -> Option<&mut Replica> {
        self.replicas.get_mut(id.index())?.as_mut()
    }

    /// The live replica of a service with the fewest calls on the way, but for those to avoid.
    pub fn route(&self, service: &ServiceName, avoid: &[UpstreamId]) -> Option<UpstreamId> {
        let mut best: Option<(u32, UpstreamId)> = None;
        for (index, replica) in self.replicas.iter().enumerate() {
            let id = UpstreamId(index as u32);
            let Some(replica) = replica else { continue };
            let fits = replica.standing == Standing::Live && replica.service == *service;
            if !fits || avoid.contains(&id) {
                continue;
            }
            if best.is_none_or(|(calls, _)| replica.in_flight < calls) {
                best = Some((replica.in_flight, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// All engines announced, with their ids.
    pub fn engines(&self) -> impl Iterator<Item = (UpstreamId, &Engine)> {
        let indexed = self.engines.iter().enumerate();
        indexed.filter_map(|(i, engine)| Some((UpstreamId(i as u32), engine.as_ref()?)))
    }

    /// All replicas announced, with their ids.
    pub fn replicas(&self) -> impl Iterator<Item = (UpstreamId, &Replica)> {
        let indexed = self.replicas.iter().enumerate();
        indexed.filter_map(|(i, replica)| Some((UpstreamId(i as u32), replica.as_ref()?)))
    }
}

fn grow<T>(table: &mut Vec<Option<T>>, id: UpstreamId) {
    while table.len() <= id.index() {
        table.push(None);
    }
}
