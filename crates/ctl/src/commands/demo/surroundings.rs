//! The demo's stand-ins: platform, engines and one plain service.

use super::fleet::DOMAINS;
use crate::args::Demo;
use crate::commands::stand_in::{REGISTER_INTERVAL, socket_address};
use crate::outcome::CommandError;
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmRole, VmState, WeightInfo};
use bluebell_stand_ins::engine::{EngineServer, EngineSettings, ServerOptions};
use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_stand_ins::platform::{PlatformServer, PlatformSettings, VmChange};
use bluebell_stand_ins::serve::Registration;
use bluebell_stand_ins::service::{ServiceServer, ServiceSettings};
use bluebell_upstreams::engine::LoadedModel;

/// The model of the demo configuration, and its version.
pub const MODEL: &str = "pond-1";
const MODEL_VERSION: u64 = 1;

/// The service of the demo configuration, and a call to it that may not be repeated.
const SERVICE: &str = "board";
pub const SERVICE_PATH: &str = "/services/board/notices";

/// The address at which each stand-in listens: a free port of the loopback interface.
const FREE_PORT: &str = "127.0.0.1:0";

/// The delay of changes in the platform's list.
const VM_LAG_MS: SpanMs = SpanMs(500);

/// The duration of a call to the service.
const SERVICE_WORK_MS: SpanMs = SpanMs(5);

/// The rate at which the weight store may be read, in bytes per second.
const WEIGHT_RATE: PerSecond = PerSecond(2e9);

/// Running stand-ins; dropping them ends them.
pub struct Surroundings {
    platform: PlatformServer,
    engines: Vec<EngineServer>,
    service: ServiceServer,
    _registrations: Vec<Registration>,
}

impl Surroundings {
    /// Starts them and puts them on the platform's list of VMs.
    pub fn open(args: &Demo) -> Result<Self, CommandError> {
        let settings = PlatformSettings {
            vm_lag_ms: VM_LAG_MS,
            ..PlatformSettings::default()
        };
        let platform = PlatformServer::bind(FREE_PORT, settings).map_err(CommandError::failed)?;
        platform.with_model(|model, _| model.put_weights(weights()));
        let engines = (0..args.engines).map(|i| open_engine(i, args.speed));
        let engines: Vec<EngineServer> = engines.collect::<Result<_, _>>()?;
        let service = open_service()?;
        let mut registrations = Vec::new();
        for (i, engine) in engines.iter().enumerate() {
            let entry = engine_entry(i, engine);
            registrations.push(engine.register(platform.address(), entry, REGISTER_INTERVAL));
        }
        let entry = service_entry(&service);
        registrations.push(service.register(platform.address(), entry, REGISTER_INTERVAL));
        Ok(Self {
            platform,
            engines,
            service,
            _registrations: registrations,
        })
    }

    /// Returns the address of the platform.
    pub fn platform(&self) -> Address {
        self.platform.address()
    }

    /// Returns the addresses of the upstreams.
    pub fn upstreams(&self) -> Vec<Address> {
        let address = |engine: &EngineServer| socket_address(engine.address());
        let mut upstreams: Vec<Address> = self.engines.iter().map(address).collect();
        upstreams.push(socket_address(self.service.address()));
        upstreams
    }

    /// Adds nodes to the platform's list of VMs.
    pub fn list_nodes(
        &self,
        nodes: impl Iterator<Item = (VmName, Address)>,
    ) -> Result<(), CommandError> {
        for (i, (name, address)) in nodes.enumerate() {
            let entry = VmEntry {
                name,
                role: VmRole::Node,
                address,
                deployment: DeploymentName::from("nodes"),
                domain: domain(i),
                state: VmState::Live,
            };
            let change = VmChange::Put(entry);
            let changed = self
                .platform
                .with_model(|model, now_ms| model.change_vms(now_ms, change));
            changed.map_err(CommandError::failed)?;
        }
        Ok(())
    }
}

fn domain(index: usize) -> DomainName {
    DomainName::from(DOMAINS[index % DOMAINS.len()])
}

fn weights() -> WeightInfo {
    WeightInfo {
        model: ModelName::from(MODEL),
        version: MODEL_VERSION,
        size_bytes: EngineSettings::default().model_bytes,
        limit_bytes: WEIGHT_RATE,
    }
}

fn open_engine(index: usize, speed: f64) -> Result<EngineServer, CommandError> {
    let settings = EngineSettings {
        models: vec![LoadedModel {
            model: ModelName::from(MODEL),
            version: MODEL_VERSION,
        }],
        time_scale: speed,
        ..EngineSettings::default()
    };
    let options = ServerOptions {
        seed: index as u64,
        ..ServerOptions::default()
    };
    EngineServer::bind(FREE_PORT, settings, options).map_err(CommandError::failed)
}

fn engine_entry(index: usize, engine: &EngineServer) -> VmEntry {
    VmEntry {
        name: VmName::from(format!("engine-{index}").as_str()),
        role: VmRole::Engine,
        address: socket_address(engine.address()),
        deployment: DeploymentName::from("engines"),
        domain: domain(index),
        state: VmState::Live,
    }
}

fn open_service() -> Result<ServiceServer, CommandError> {
    let settings = ServiceSettings {
        name: SERVICE.into(),
        work_ms: SERVICE_WORK_MS,
        dedupes: false,
    };
    let faults = FaultSwitches::default();
    ServiceServer::bind(FREE_PORT, settings, faults).map_err(CommandError::failed)
}

fn service_entry(service: &ServiceServer) -> VmEntry {
    VmEntry {
        name: VmName::from("board-0"),
        role: VmRole::Service,
        address: socket_address(service.address()),
        deployment: DeploymentName::from(SERVICE),
        domain: domain(0),
        state: VmState::Live,
    }
}
