//! The engines this node knows, with what was read back from each.

use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmState};
use bluebell_upstreams::engine::LoadedModel;
use bluebell_upstreams::{EnginePort, OrderAnswer, Role};
use std::collections::BTreeMap;
use std::rc::Rc;

/// An engine's state as read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// When the answer came.
    pub read_ms: MonoMs,
    /// Its role.
    pub role: Role,
    /// What it serves.
    pub models: Vec<LoadedModel>,
}

/// One engine.
pub struct EngineSeat {
    entry: VmEntry,
    port: Rc<dyn EnginePort>,
    group: u32,
    view: Option<View>,
    fenced: bool,
}

impl EngineSeat {
    /// Its name as an upstream.
    pub fn name(&self) -> UpstreamName {
        UpstreamName(self.entry.name.0.clone())
    }

    /// Its deployment.
    pub fn deployment(&self) -> &DeploymentName {
        &self.entry.deployment
    }

    /// Its failure domain.
    pub fn domain(&self) -> &DomainName {
        &self.entry.domain
    }

    /// Whether it is expected to stay.
    pub fn is_live(&self) -> bool {
        self.entry.state == VmState::Live
    }

    /// The group whose coordinator orders it.
    pub fn group(&self) -> u32 {
        self.group
    }

    /// What was read back under the current duty.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Whether it was given an order under the current fencing number.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// The way to it.
    pub fn port(&self) -> Rc<dyn EnginePort> {
        self.port.clone()
    }
}

/// All engines, by name.
pub(super) struct Engines {
    groups: u32,
    seats: BTreeMap<UpstreamName, EngineSeat>,
}

impl Engines {
    pub(super) fn new(groups: u32) -> Self {
        Self {
            groups: groups.max(1),
            seats: BTreeMap::new(),
        }
    }

    pub(super) fn put(&mut self, entry: VmEntry, port: Rc<dyn EnginePort>) {
        let name = UpstreamName(entry.name.0.clone());
        let group = group_of(&entry.deployment, self.groups);
        let before = self.seats.remove(&name);
        // Another address is another process: nothing read before is known of it.
        let same = before.filter(|seat| seat.entry.address == entry.address);
        let (view, fenced) = same.map_or((None, false), |seat| (seat.view, seat.fenced));
        let seat = EngineSeat {
            entry,
            port,
            group,
            view,
            fenced,
        };
        self.seats.insert(name, seat);
    }

    pub(super) fn set_leaving(&mut self, name: &UpstreamName) {
        if let Some(seat) = self.seats.get_mut(name) {
            seat.entry.state = VmState::Leaving;
        }
    }

    pub(super) fn remove(&mut self, name: &UpstreamName) {
        self.seats.remove(name);
    }

    pub(super) fn forget_views(&mut self, group: u32) {
        for seat in self.seats.values_mut().filter(|seat| seat.group == group) {
            seat.view = None;
            seat.fenced = false;
        }
    }

    pub(super) fn on_state(&mut self, name: &UpstreamName, answer: OrderAnswer, now_ms: MonoMs) {
        if let Some(seat) = self.seats.get_mut(name) {
            seat.view = Some(View {
                read_ms: now_ms,
                role: answer.role,
                models: answer.models,
            });
        }
    }

    pub(super) fn set_fenced(&mut self, name: &UpstreamName) {
        if let Some(seat) = self.seats.get_mut(name) {
            seat.fenced = true;
        }
    }

    pub(super) fn get(&self, name: &UpstreamName) -> Option<&EngineSeat> {
        self.seats.get(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &EngineSeat> {
        self.seats.values()
    }

    pub(super) fn len(&self) -> usize {
        self.seats.len()
    }
}

/// The group of a deployment's engines; the same on every node, so by FNV-1a and not by a hasher
/// that may differ between builds.
pub fn group_of(deployment: &DeploymentName, groups: u32) -> u32 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = deployment.0.bytes().fold(0xcbf2_9ce4_8422_2325, fold);
    (hash % u64::from(groups)) as u32
}
