//! `stand-in`: fakes of what surrounds the nodes, as plain processes.

use crate::args::{
    StandInEngine, StandInFaults, StandInKind, StandInPlatform, StandInService, StandInVm,
};
use crate::outcome::CommandError;
use crate::output::print_line;
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_stand_ins::engine::{EngineServer, EngineSettings, ServerOptions};
use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_stand_ins::platform::{Operator, PlatformServer, PlatformSettings, VmChange};
use bluebell_stand_ins::service::{ServiceServer, ServiceSettings};
use bluebell_upstreams::engine::LoadedModel;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::time::Duration;

/// The interval at which a stand-in reports to the platform that it is alive.
pub const REGISTER_INTERVAL: Duration = Duration::from_secs(1);

/// The line that a stand-in prints once it listens, for the program that started it.
#[derive(Serialize)]
struct Started<'a> {
    stand_in: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<&'a str>,
    address: &'a Address,
}

impl Started<'_> {
    fn print(&self, json: bool) -> Result<(), CommandError> {
        if json {
            let line = serde_json::to_string(self).map_err(CommandError::failed)?;
            return print_line(&line);
        }
        let Self {
            stand_in, address, ..
        } = self;
        match self.name {
            Some(name) => print_line(&format!("{stand_in} stand-in {name} at {address}")),
            None => print_line(&format!("{stand_in} stand-in at {address}")),
        }
    }
}

/// Runs or sets up a stand-in.
pub fn run(kind: &StandInKind, json: bool) -> Result<(), CommandError> {
    match kind {
        StandInKind::Engine(args) => engine(args, json),
        StandInKind::Service(args) => service(args, json),
        StandInKind::Platform(args) => platform(args, json),
        StandInKind::Vm(args) => vm(args),
        StandInKind::Faults(args) => faults(args),
    }
}

fn platform(args: &StandInPlatform, json: bool) -> Result<(), CommandError> {
    let defaults = PlatformSettings::default();
    let settings = PlatformSettings {
        retention_ms: args.retention_ms.map_or(defaults.retention_ms, SpanMs),
        appends: args.appends_per_second.map_or(defaults.appends, PerSecond),
        vm_lag_ms: args.vm_lag_ms.map_or(defaults.vm_lag_ms, SpanMs),
        credential: args.credential.as_deref().map(Arc::from),
        ..defaults
    };
    let server = PlatformServer::bind(&args.listen, settings).map_err(CommandError::failed)?;
    let started = Started {
        stand_in: "platform",
        name: None,
        address: &server.address(),
    };
    started.print(json)?;
    wait_for_signal()?;
    server.stop();
    Ok(())
}

fn engine(args: &StandInEngine, json: bool) -> Result<(), CommandError> {
    let defaults = EngineSettings::default();
    let model = LoadedModel {
        model: args.model.parse().map_err(CommandError::usage)?,
        version: args.model_version,
    };
    let time_scale = args.speed.unwrap_or(defaults.time_scale);
    if !time_scale.is_finite() || time_scale <= 0.0 {
        return Err(CommandError::usage("--speed must be more than 0"));
    }
    let settings = EngineSettings {
        kv_capacity_tokens: args.kv_tokens.map_or(defaults.kv_capacity_tokens, Tokens),
        checks_fencing: !args.ignores_fencing,
        models: vec![model],
        time_scale,
        ..defaults
    };
    let options = ServerOptions {
        credential: args.credential.as_deref().map(Arc::from),
        seed: args.seed,
        ..ServerOptions::default()
    };
    let server = EngineServer::bind(&args.listen, settings, options);
    let server = server.map_err(CommandError::failed)?;
    let entry = VmEntry {
        name: args.name.parse().map_err(CommandError::usage)?,
        role: VmRole::Engine,
        address: socket_address(server.address()),
        deployment: args.deployment.parse().map_err(CommandError::usage)?,
        domain: args.domain.parse().map_err(CommandError::usage)?,
        state: VmState::Live,
    };
    let register = |platform, entry| server.register(platform, entry, REGISTER_INTERVAL);
    serve("engine", entry, args.platform.as_deref(), json, register)
}

fn service(args: &StandInService, json: bool) -> Result<(), CommandError> {
    let settings = ServiceSettings {
        name: args.service.as_str().into(),
        work_ms: SpanMs(args.work_ms),
        dedupes: false,
    };
    let server = ServiceServer::bind(&args.listen, settings, FaultSwitches::default());
    let server = server.map_err(CommandError::failed)?;
    let entry = VmEntry {
        name: args.name.parse().map_err(CommandError::usage)?,
        role: VmRole::Service,
        address: socket_address(server.address()),
        deployment: args.service.parse().map_err(CommandError::usage)?,
        domain: args.domain.parse().map_err(CommandError::usage)?,
        state: VmState::Live,
    };
    let register = |platform, entry| server.register(platform, entry, REGISTER_INTERVAL);
    serve("service", entry, args.platform.as_deref(), json, register)
}

/// Prints the address of a stand-in, registers it if there is a platform, and waits for its end.
fn serve<R>(
    stand_in: &'static str,
    entry: VmEntry,
    platform: Option<&str>,
    json: bool,
    register: impl FnOnce(Address, VmEntry) -> R,
) -> Result<(), CommandError> {
    let started = Started {
        stand_in,
        name: Some(entry.name.as_str()),
        address: &entry.address,
    };
    started.print(json)?;
    let platform = platform.map(|platform| address("--platform", platform));
    let _registration = platform.transpose()?.map(|at| register(at, entry));
    wait_for_signal()
}

/// A bound address as other processes are told it.
pub fn socket_address(address: SocketAddr) -> Address {
    Address::from(address.to_string().as_str())
}

/// Waits for SIGINT or SIGTERM.
fn wait_for_signal() -> Result<(), CommandError> {
    let (sender, receiver) = channel();
    let signal = move || {
        // A second signal finds nobody waiting, which is as well.
        let _ = sender.send(());
    };
    ctrlc::set_handler(signal).map_err(CommandError::failed)?;
    receiver.recv().map_err(CommandError::failed)
}

fn vm(args: &StandInVm) -> Result<(), CommandError> {
    let platform = address("--platform", &args.platform)?;
    let change = vm_change(args)?;
    let operator = Operator::open(&platform);
    operator.change_vms(&change).map_err(CommandError::failed)
}

/// The change that the flags ask for.
fn vm_change(args: &StandInVm) -> Result<VmChange, CommandError> {
    let name: VmName = args.name.parse().map_err(CommandError::usage)?;
    let state = match args.state.as_str() {
        "live" => VmState::Live,
        "leaving" => VmState::Leaving,
        "gone" => return Ok(VmChange::Remove(name)),
        other => {
            let why = format!("--state: {other:?} is not live, leaving or gone");
            return Err(CommandError::usage(why));
        }
    };
    match (&args.role, &args.address) {
        (None, None) => Ok(VmChange::SetState { name, state }),
        (Some(role), Some(at)) => Ok(VmChange::Put(VmEntry {
            name,
            role: vm_role(role)?,
            address: address("--address", at)?,
            deployment: deployment(args, role)?,
            domain: args.domain.parse().map_err(CommandError::usage)?,
            state,
        })),
        _ => Err(CommandError::usage("--role and --address go together")),
    }
}

fn vm_role(text: &str) -> Result<VmRole, CommandError> {
    match text {
        "node" => Ok(VmRole::Node),
        "engine" => Ok(VmRole::Engine),
        "service" => Ok(VmRole::Service),
        other => {
            let why = format!("--role: {other:?} is not node, engine or service");
            Err(CommandError::usage(why))
        }
    }
}

fn deployment(args: &StandInVm, role: &str) -> Result<DeploymentName, CommandError> {
    match (&args.deployment, role) {
        (Some(name), _) => name.parse().map_err(CommandError::usage),
        (None, "service") => Err(CommandError::usage("--deployment is needed for a service")),
        (None, role) => Ok(DeploymentName::from(format!("{role}s").as_str())),
    }
}

/// Sets a stand-in's faults; each kind of stand-in has its own and checks them itself.
fn faults(args: &StandInFaults) -> Result<(), CommandError> {
    let at = address("--at", &args.at)?;
    let valid: Result<serde_json::Value, _> = serde_json::from_str(&args.faults);
    valid.map_err(|error| CommandError::usage(format!("the faults are not JSON: {error}")))?;
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .build()
        .new_agent();
    let url = format!("http://{at}/faults");
    let post = agent.post(url).header("content-type", "application/json");
    let mut answer = post.send(&args.faults).map_err(CommandError::failed)?;
    if answer.status().is_success() {
        return Ok(());
    }
    let text = answer
        .body_mut()
        .read_to_string()
        .map_err(CommandError::failed)?;
    Err(CommandError::failed(format!("{}: {text}", answer.status())))
}

/// Parses an `ip:port` of a flag.
pub fn address(flag: &str, text: &str) -> Result<Address, CommandError> {
    match text.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(Address::from(text)),
        Err(_) => {
            let why = format!("{flag}: {text:?} is not of the form ip:port");
            Err(CommandError::usage(why))
        }
    }
}
