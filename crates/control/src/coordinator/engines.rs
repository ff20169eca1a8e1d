//! The engines that this node knows, with the state read back from each.

use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmState};
use bluebell_upstreams::engine::LoadedModel;
use bluebell_upstreams::{EnginePort, OrderAnswer, Role};
use std::collections::BTreeMap;
use std::rc::Rc;

/// An engine's state as read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The time at which the answer arrived.
    pub read_ms: MonoMs,
    /// The role of the engine.
    pub role: Role,
    /// The models and versions that it serves.
    pub models: Vec<LoadedModel>,
}

/// An engine that this node knows.
pub struct KnownEngine {
    entry: VmEntry,
    port: Rc<dyn EnginePort>,
    group: u32,
    view: Option<View>,
    fenced: bool,
}

impl KnownEngine {
    /// Returns the engine's name as an upstream.
    pub fn name(&self) -> UpstreamName {
        UpstreamName(self.entry.name.0.clone())
    }

    /// Returns the engine's deployment.
    pub fn deployment(&self) -> &DeploymentName {
        &self.entry.deployment
    }

    /// Returns the engine's failure domain.
    pub fn domain(&self) -> &DomainName {
        &self.entry.domain
    }

    /// Returns true if the platform lists the engine as live.
    pub fn is_live(&self) -> bool {
        self.entry.state == VmState::Live
    }

    /// Returns the group whose coordinator sends orders to the engine.
    pub fn group(&self) -> u32 {
        self.group
    }

    /// Returns the state that was read back under the current duty, if any.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Returns true if the engine accepted an order under the current fencing number.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the port for calls to the engine.
    pub fn port(&self) -> Rc<dyn EnginePort> {
        self.port.clone()
    }
}

/// All engines, by name.
pub(super) struct Engines {
    groups: u32,
    by_name: BTreeMap<UpstreamName, KnownEngine>,
}

impl Engines {
    pub(super) fn new(groups: u32) -> Self {
        Self {
            groups: groups.max(1),
            by_name: BTreeMap::new(),
        }
    }

    pub(super) fn put(&mut self, entry: VmEntry, port: Rc<dyn EnginePort>) {
        let name = UpstreamName(entry.name.0.clone());
        let group = group_of(&entry.deployment, self.groups);
        let before = self.by_name.remove(&name);
        // Another address is another process, so the state that was read before does not apply.
        let same = before.filter(|engine| engine.entry.address == entry.address);
        let (view, fenced) = same.map_or((None, false), |engine| (engine.view, engine.fenced));
        let engine = KnownEngine {
            entry,
            port,
            group,
            view,
            fenced,
        };
        self.by_name.insert(name, engine);
    }

    pub(super) fn set_leaving(&mut self, name: &UpstreamName) {
        if let Some(engine) = self.by_name.get_mut(name) {
            engine.entry.state = VmState::Leaving;
        }
    }

    pub(super) fn remove(&mut self, name: &UpstreamName) {
        self.by_name.remove(name);
    }

    pub(super) fn forget_views(&mut self, group: u32) {
        for engine in self
            .by_name
            .values_mut()
            .filter(|engine| engine.group == group)
        {
            engine.view = None;
            engine.fenced = false;
        }
    }

    pub(super) fn on_state(&mut self, name: &UpstreamName, answer: OrderAnswer, now_ms: MonoMs) {
        if let Some(engine) = self.by_name.get_mut(name) {
            engine.view = Some(View {
                read_ms: now_ms,
                role: answer.role,
                models: answer.models,
            });
        }
    }

    pub(super) fn set_fenced(&mut self, name: &UpstreamName) {
        if let Some(engine) = self.by_name.get_mut(name) {
            engine.fenced = true;
        }
    }

    pub(super) fn get(&self, name: &UpstreamName) -> Option<&KnownEngine> {
        self.by_name.get(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &KnownEngine> {
        self.by_name.values()
    }

    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }
}

/// Returns the group of a deployment's engines. It uses FNV-1a, since the result must be the same
/// on every node and a standard hasher may differ between builds.
pub fn group_of(deployment: &DeploymentName, groups: u32) -> u32 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = deployment.0.bytes().fold(0xcbf2_9ce4_8422_2325, fold);
    (hash % u64::from(groups)) as u32
}
