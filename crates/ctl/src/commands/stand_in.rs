//! `stand-in`: fakes of what surrounds the nodes, as plain processes.

use crate::args::{StandInFaults, StandInKind, StandInPlatform, StandInVm};
use crate::outcome::CommandError;
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_stand_ins::platform::{Operator, PlatformServer, PlatformSettings, VmChange};
use std::sync::mpsc::channel;

/// Runs or sets up a stand-in.
pub fn run(kind: &StandInKind) -> Result<(), CommandError> {
    match kind {
        StandInKind::Platform(args) => platform(args),
        StandInKind::Vm(args) => vm(args),
        StandInKind::Faults(args) => faults(args),
    }
}

fn platform(args: &StandInPlatform) -> Result<(), CommandError> {
    let defaults = PlatformSettings::default();
    let settings = PlatformSettings {
        retention_ms: args.retention_ms.map_or(defaults.retention_ms, SpanMs),
        appends: args.appends_per_second.map_or(defaults.appends, PerSecond),
        vm_lag_ms: args.vm_lag_ms.map_or(defaults.vm_lag_ms, SpanMs),
        credential: args.credential.as_deref().map(Arc::from),
        ..defaults
    };
    let server = PlatformServer::bind(&args.listen, settings).map_err(CommandError::failed)?;
    println!("platform stand-in at {}", server.address());
    wait_for_signal()?;
    server.stop();
    Ok(())
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

/// Reads an `ip:port` given by a flag.
pub fn address(flag: &str, text: &str) -> Result<Address, CommandError> {
    match text.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(Address::from(text)),
        Err(_) => {
            let why = format!("{flag}: {text:?} is not of the form ip:port");
            Err(CommandError::usage(why))
        }
    }
}
