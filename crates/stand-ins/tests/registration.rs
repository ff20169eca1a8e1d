//! Stand-in upstreams put themselves on the platform stand-in's list of VMs.
//!
//! Story: a fleet of stand-ins is started, every node is ready, and all work is refused for want
//! of an engine. Engines and platform each pass their own tests; the body that one posts is not
//! the one that the other takes.

use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_stand_ins::engine::{EngineServer, EngineSettings, ServerOptions};
use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_stand_ins::platform::{PlatformServer, PlatformSettings};
use std::thread::sleep;
use std::time::{Duration, Instant};

const FREE_PORT: &str = "127.0.0.1:0";
const LIMIT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(20);

fn wait_for_list(platform: &PlatformServer, wanted: &[VmEntry]) {
    let limit = Instant::now() + LIMIT;
    loop {
        let list = platform.with_model(|model, now_ms| model.list_vms(now_ms));
        if list == wanted {
            return;
        }
        assert!(Instant::now() < limit, "{list:?} is not {wanted:?}");
        sleep(PAUSE);
    }
}

#[test]
fn an_engine_is_listed_and_then_leaves() {
    let settings = PlatformSettings {
        vm_lag_ms: SpanMs::ZERO,
        ..PlatformSettings::default()
    };
    let platform = PlatformServer::bind(FREE_PORT, settings).expect("a free port");
    let options = ServerOptions::default();
    let engine = EngineServer::bind(FREE_PORT, EngineSettings::default(), options);
    let engine = engine.expect("a free port");
    let mut entry = VmEntry {
        name: VmName::from("engine-0"),
        role: VmRole::Engine,
        address: Address(engine.address().to_string().into()),
        deployment: DeploymentName::from("engines"),
        domain: DomainName::from("domain-a"),
        state: VmState::Live,
    };
    let registration = engine.register(platform.address(), entry.clone(), PAUSE);
    wait_for_list(&platform, std::slice::from_ref(&entry));
    engine.set_faults(FaultSwitches {
        leaving: true,
        ..FaultSwitches::default()
    });
    entry.state = VmState::Leaving;
    wait_for_list(&platform, &[entry]);
    drop(registration);
    platform.stop();
}
