//! The platform's list of VMs, which states for each VM whether it is live or about to leave. The
//! list lags behind the actual state.
//!
//! Invariants: an entry is evidence, not proof; code that acts on an entry explains in a comment
//! why a late or wrong entry does no harm.

mod http;

pub use http::HttpVmList;

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};

/// The state of a VM according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM serves.
    Live,
    /// The VM will be stopped and must receive no new work.
    Leaving,
}

/// The role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A node of this system. Its address is that of its peer interface.
    Node,
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The name of the VM, which for the VM of an upstream is also the upstream's name.
    pub name: VmName,
    /// The role of the VM.
    pub role: VmRole,
    /// The address that the VM is reached at.
    pub address: Address,
    /// The deployment that the VM belongs to. For replicas of a plain service it is the service's
    /// name.
    pub deployment: DeploymentName,
    /// The failure domain of the VM.
    pub domain: DomainName,
    /// The state of the VM as the platform last observed it.
    pub state: VmState,
}

/// The port to the platform's list of VMs.
pub trait VmListPort {
    /// Fetches the whole list.
    fn list(&self, core: &mut Core, ret: Ret<Result<Vec<VmEntry>, Error>>);
}
