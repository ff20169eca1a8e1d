//! The platform's list of VMs: which live, which are about to leave. It lags behind the truth.
//!
//! Invariants: an entry is evidence, not proof; whoever acts on it says in a comment why a late
//! or wrong entry does no harm.

mod http;

pub use http::HttpVmList;

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};

/// What the list says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It serves.
    Live,
    /// It will be stopped; no new work for it.
    Leaving,
}

/// What runs on the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A node of this system; its address is that of its peer interface.
    Node,
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM's name, the same as the upstream's name for upstream VMs.
    pub name: VmName,
    /// What runs on it.
    pub role: VmRole,
    /// Where it is reached.
    pub address: Address,
    /// The deployment it is part of; for replicas of a plain service, the service's name.
    pub deployment: DeploymentName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its state as the platform last saw it.
    pub state: VmState,
}

/// The platform's list of VMs.
pub trait VmListPort {
    /// Fetches the whole list.
    fn list(&self, core: &mut Core, ret: Ret<Result<Vec<VmEntry>, Error>>);
}
