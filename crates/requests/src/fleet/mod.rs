//! The upstreams announced to this node: engines and the replicas of plain services.
//!
//! Terms: an upstream is *live*, *leaving* (it finishes its running work) or *gone*. A name keeps
//! its id through all three states and when it returns.

use crate::names::Names;
use bluebell_base::prelude::*;
use bluebell_upstreams::{EnginePort, ServicePort};
use std::rc::Rc;

/// An upstream's availability for work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Availability {
    /// It accepts new work.
    Live,
    /// It finishes its running work and accepts nothing new.
    Leaving,
    /// It is gone, with all its work.
    Gone,
}

/// One engine.
pub struct Engine {
    /// Its name.
    pub name: UpstreamName,
    /// The port to it.
    pub port: Rc<dyn EnginePort>,
    /// Its availability for work.
    pub availability: Availability,
}

/// One replica of a plain service.
pub struct Replica {
    /// Its name.
    pub name: UpstreamName,
    /// The service.
    pub service: ServiceName,
    /// The port to it.
    pub port: Rc<dyn ServicePort>,
    /// Its availability for work.
    pub availability: Availability,
    /// The number of calls in flight.
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
    /// Adds an engine or marks it as live again.
    pub fn engine_live(&mut self, name: &UpstreamName, port: Rc<dyn EnginePort>) -> UpstreamId {
        let id = UpstreamId(self.names.intern(name));
        grow(&mut self.engines, id);
        self.engines[id.index()] = Some(Engine {
            name: name.clone(),
            port,
            availability: Availability::Live,
        });
        id
    }

    /// Adds a replica or marks it as live again.
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
            availability: Availability::Live,
            in_flight,
        });
        id
    }

    /// Returns the upstream's id; `None` if it was never announced.
    pub fn id(&self, name: &UpstreamName) -> Option<UpstreamId> {
        self.names.get(name).map(UpstreamId)
    }

    /// Returns the upstream's name.
    pub fn name(&self, id: UpstreamId) -> Option<&UpstreamName> {
        self.names.name(id.0)
    }

    /// Returns true if an engine accepts new work.
    pub fn accepts_work(&self, id: UpstreamId) -> bool {
        self.engine(id)
            .is_some_and(|engine| engine.availability == Availability::Live)
    }

    /// Returns true if an engine is live or leaving.
    pub fn is_present(&self, id: UpstreamId) -> bool {
        self.engine(id)
            .is_some_and(|engine| engine.availability != Availability::Gone)
    }

    /// Returns an announced engine, even if it is gone.
    pub fn engine(&self, id: UpstreamId) -> Option<&Engine> {
        self.engines.get(id.index())?.as_ref()
    }

    /// Returns an announced engine for changes of its availability.
    pub fn engine_mut(&mut self, id: UpstreamId) -> Option<&mut Engine> {
        self.engines.get_mut(id.index())?.as_mut()
    }

    /// Returns an announced replica, even if it is gone.
    pub fn replica(&self, id: UpstreamId) -> Option<&Replica> {
        self.replicas.get(id.index())?.as_ref()
    }

    /// Returns an announced replica for changes of its availability or calls.
    pub fn replica_mut(&mut self, id: UpstreamId) -> Option<&mut Replica> {
        self.replicas.get_mut(id.index())?.as_mut()
    }

    /// Returns the live replica of a service with the fewest calls in flight that is not in
    /// `avoid`.
    pub fn route(&self, service: &ServiceName, avoid: &[UpstreamId]) -> Option<UpstreamId> {
        let mut best: Option<(u32, UpstreamId)> = None;
        for (index, replica) in self.replicas.iter().enumerate() {
            let id = UpstreamId(index as u32);
            let Some(replica) = replica else { continue };
            let fits = replica.availability == Availability::Live && replica.service == *service;
            if !fits || avoid.contains(&id) {
                continue;
            }
            if best.is_none_or(|(calls, _)| replica.in_flight < calls) {
                best = Some((replica.in_flight, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Iterates over all announced engines with their ids.
    pub fn engines(&self) -> impl Iterator<Item = (UpstreamId, &Engine)> {
        let indexed = self.engines.iter().enumerate();
        indexed.filter_map(|(i, engine)| Some((UpstreamId(i as u32), engine.as_ref()?)))
    }

    /// Iterates over all announced replicas with their ids.
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
