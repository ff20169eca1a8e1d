//! What only the engine's process shows: switches over HTTP, hang-ups, registration, credentials
//! and its own pace of time.

mod common;

use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_stand_ins::engine::{EngineServer, EngineSettings, EngineStats, ServerOptions};
use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_stand_ins::platform::{PlatformServer, PlatformSettings, VmChange};
use bluebell_upstreams::{EventBody, HttpEngine};
use common::{World, collector, failure, generate, is_own_last};
use std::io::Read;
use std::time::{Duration, Instant};

/// The longest a test waits.
const LONGEST: Duration = Duration::from_secs(30);

fn serve(settings: EngineSettings, options: ServerOptions) -> (EngineServer, Address) {
    let server = EngineServer::bind("127.0.0.1:0", settings, options).expect("a free port");
    let address = Address::from(server.address().to_string().as_str());
    (server, address)
}

/// A caller hangs up in the middle. Nobody tells the engine: it must notice by itself and free
/// the memory once the hold has run out, or the memory would be lost to nobody.
#[test]
fn a_caller_that_hangs_up_frees_the_memory_after_its_hold() {
    let settings = EngineSettings {
        base_step_us: 20_000,
        ..EngineSettings::default()
    };
    let (server, address) = serve(settings, ServerOptions::default());
    let mut call = generate(1, "a prompt", 100_000);
    call.hold_ms = SpanMs(200);
    let sent = ureq::post(format!("http://{address}/v1/generate")).send_json(&call);
    let mut body = sent.expect("accepted").into_body().into_reader();
    body.read_exact(&mut [0; 16]).expect("a first event");
    assert!(server.stats().held_tokens > Tokens::ZERO);
    drop(body);
    let begun = Instant::now();
    while server.stats().held_tokens > Tokens::ZERO {
        assert!(begun.elapsed() < LONGEST, "the memory is never free");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn switches_and_counts_are_reached_over_http_whatever_is_switched() {
    let (_server, address) = serve(EngineSettings::default(), ServerOptions::default());
    let url = format!("http://{address}/faults");
    let wanted = FaultSwitches {
        down: true,
        freeze: true,
        ..FaultSwitches::default()
    };
    ureq::post(&url).send_json(&wanted).expect("taken");
    let mut read = ureq::get(&url).call().expect("an answer");
    let faults: FaultSwitches = read.body_mut().read_json().expect("switches");
    assert_eq!(faults, wanted);
    let mut read = ureq::get(format!("http://{address}/stats"))
        .call()
        .expect("an answer");
    let stats: EngineStats = read.body_mut().read_json().expect("counts");
    assert_eq!(stats, EngineStats::default());
    let unknown = ureq::post(&url).send_json(serde_json::json!({ "fire": true }));
    assert!(matches!(unknown, Err(ureq::Error::StatusCode(400))));
}

#[test]
fn a_wrong_credential_is_refused_before_anything_runs() {
    let options = ServerOptions {
        credential: Some("secret".into()),
        ..ServerOptions::default()
    };
    let (server, address) = serve(EngineSettings::default(), options);
    for (credential, runs) in [(None, 0), (Some("wrong"), 0), (Some("secret"), 1)] {
        let mut world = World::open(true);
        let (streams, calls) = (world.bridge(1), world.bridge(1));
        let port = HttpEngine::open(streams, calls, address.clone(), credential.map(Arc::from));
        let (seen, events) = collector();
        port.generate(&mut world.stakker, generate(1, "a prompt", 2), events);
        let watched = seen.clone();
        world.until("last event", move || {
            watched.borrow().iter().any(is_own_last)
        });
        if runs == 0 {
            let error = failure(&seen.borrow());
            assert_eq!(error.verdict, Verdict::NotRun);
            assert_eq!(error.kind, ErrorKind::Unauthenticated);
        }
        assert_eq!(server.stats().requests_run, runs);
    }
}

/// 100,000 tokens take over two seconds of the engine's time; at fifty times the pace they take
/// a twentieth of a second, and the deadlines of callers still count by their own clock.
#[test]
fn time_scale_makes_the_engine_fast_and_leaves_deadlines_alone() {
    let settings = EngineSettings {
        time_scale: 50.0,
        ..EngineSettings::default()
    };
    let (server, address) = serve(settings, ServerOptions::default());
    let mut world = World::open(true);
    let port = HttpEngine::open(world.bridge(1), world.bridge(1), address, None);
    let (seen, events) = collector();
    let prompt = "word".repeat(100_000);
    let mut call = generate(1, &prompt, 10);
    call.deadline_ms = SpanMs::from_secs(20);
    port.generate(&mut world.stakker, call, events);
    let watched = seen.clone();
    world.until("last event", move || {
        watched.borrow().iter().any(is_own_last)
    });
    let last = seen.borrow().last().map(|event| event.body.clone());
    assert!(matches!(last, Some(EventBody::Finished { .. })), "{last:?}");
    assert!(server.stats().computed_tokens > Tokens(100_000));
}

/// Waits until the platform lists the engine in this state.
fn until_listed(platform: &PlatformServer, wanted: &VmEntry) {
    let begun = Instant::now();
    loop {
        let listed = platform.with_model(|model, now_ms| model.list_vms(now_ms));
        if listed == [wanted.clone()] {
            return;
        }
        assert!(begun.elapsed() < LONGEST, "{wanted:?} is not listed");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The platform learns of an engine, of its leaving, and of it again where it forgot it.
#[test]
fn it_registers_with_the_platform_and_says_when_it_is_leaving() {
    let settings = PlatformSettings {
        vm_lag_ms: SpanMs::ZERO,
        ..PlatformSettings::default()
    };
    let platform = PlatformServer::bind("127.0.0.1:0", settings).expect("a free port");
    let (server, address) = serve(EngineSettings::default(), ServerOptions::default());
    let mut entry = VmEntry {
        name: "engine-1".into(),
        role: VmRole::Engine,
        address,
        deployment: "notices".into(),
        domain: "galway-a".into(),
        state: VmState::Live,
    };
    let interval = Duration::from_millis(20);
    let registration = server.register(platform.address(), entry.clone(), interval);
    until_listed(&platform, &entry);
    server.set_faults(FaultSwitches {
        leaving: true,
        ..FaultSwitches::default()
    });
    entry.state = VmState::Leaving;
    until_listed(&platform, &entry);
    let forget = VmChange::Remove(entry.name.clone());
    let forgotten = platform.with_model(|model, now_ms| model.change_vms(now_ms, forget));
    assert_eq!(forgotten, Ok(()));
    until_listed(&platform, &entry);
    drop(registration);
}
