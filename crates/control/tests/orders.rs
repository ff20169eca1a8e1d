//! Orders to engines, with pauses and takeovers of coordinators.

mod support;

use bluebell_base::prelude::*;
use bluebell_control::{Duty, Published};
use bluebell_stand_ins::engine::{EngineSettings, FakeEngine};
use bluebell_upstreams::engine::LoadedModel;
use bluebell_upstreams::{EngineOrder, Hold, HoldKind};
use support::{Engine, Fleet};

/// Returns a configuration that requires version `version` of model `m`.
fn config_with_model(version: u64, checks_fencing: bool) -> Arc<str> {
    format!(
        r#"{{"classes":[{{"name":"draft","first_token":[{{"within_ms":600}}],"end_ms":9000,
        "idempotent":true}}],"accounts":[],"models":[{{"name":"m","version":{version}}}],
        "deployments":[{{"name":"writers","checks_fencing":{checks_fencing}}}]}}"#
    )
    .into()
}

/// Returns a fleet of `nodes` nodes and `engines` engines that all serve version 1.
fn fleet(seed: u64, nodes: usize, engines: u32, checks: bool) -> (Fleet, Vec<Engine>) {
    let mut fleet = Fleet::with_nodes(seed, nodes);
    fleet.put_weights(&[1, 2, 3]);
    let engines = (0..engines).map(|i| fleet.start_engine(i, "writers", checks));
    let engines = engines.collect();
    fleet.run_ms(5_000);
    let published = fleet.publish_now(0, 0, &config_with_model(1, checks));
    let version = ConfigVersion(1);
    assert_eq!(published, Ok(Published::Accepted { version }));
    fleet.run_ms(60_000);
    (fleet, engines)
}

fn coordinators_of(fleet: &Fleet) -> Vec<usize> {
    let groups = (0..fleet.settings.coordinators).map(Duty::Coordinator);
    groups
        .flat_map(|duty| fleet.running_holders(duty))
        .collect()
}

/// Returns the node that coordinates the engines.
fn coordinator(fleet: &mut Fleet) -> usize {
    let found = coordinators_of(fleet).into_iter().find(|index| {
        let group = group_of_writers();
        fleet.holds_duty(*index, Duty::Coordinator(group))
    });
    found.expect("a coordinator")
}

/// Returns the group of the deployment `writers` among four groups.
fn group_of_writers() -> u32 {
    bluebell_control::coordinator::group_of(&"writers".into(), 4)
}

fn publish(fleet: &mut Fleet, base: u64, body: &Arc<str>) {
    let node = (0..fleet.nodes.len())
        .find(|index| fleet.nodes[*index].state == support::ProcessState::Running)
        .expect("a running node");
    let published = fleet.publish_now(node, base, body);
    let version = ConfigVersion(base + 1);
    assert_eq!(published, Ok(Published::Accepted { version }));
}

fn loads(engine: &Engine) -> Vec<(u64, bool)> {
    let events = engine.events().into_iter();
    let load = events.filter_map(|event| match event.order {
        EngineOrder::LoadModel { version, .. } => Some((version, event.obeyed)),
        _ => None,
    });
    load.collect()
}

/// An operator changes a model's version. The replicas load it one after the other, at the weight
/// store's rate, and at most one is unavailable at a time.
#[test]
fn a_rolling_load_keeps_replicas_serving() {
    for checks in [true, false] {
        let (mut fleet, engines) = fleet(1, 3, 5, checks);
        publish(&mut fleet, 1, &config_with_model(2, checks));
        let from_ms = fleet.now_ms;
        let done = fleet.run_until(from_ms + SpanMs(120_000), |fleet| {
            let now_ms = fleet.now_ms;
            let serving = engines
                .iter()
                .filter(|e| e.serves(now_ms).is_some())
                .count();
            assert!(serving >= 4, "only {serving} of 5 engines serve");
            engines
                .iter()
                .all(|engine| engine.serves(now_ms) == Some(2))
        });
        assert!(done);
        // 5 loads of 8 GB at a quarter of 4 GB/s are at least 8 s apart.
        assert!(fleet.now_ms.since(from_ms) >= SpanMs(4 * 8_000));
        for engine in &engines {
            assert_eq!(loads(engine), vec![(2, true)], "one order per engine");
        }
    }
}

/// An engine answers no more orders, but still answers reads of its state, so it stays on the list.
/// Guards against a coordinator that sends the fencing number to this engine again and again, so
/// that no other engine of the deployment receives it and a new version is loaded nowhere.
#[test]
fn an_engine_that_answers_no_order_blocks_no_other() {
    let mut fleet = Fleet::with_nodes(15, 2);
    fleet.put_weights(&[1, 2]);
    let engines: Vec<Engine> = (0..3)
        .map(|number| fleet.start_engine(number, "writers", true))
        .collect();
    engines[0].lose_answers(u32::MAX);
    fleet.run_ms(5_000);
    publish(&mut fleet, 0, &config_with_model(2, true));
    let end_ms = fleet.now_ms + SpanMs(120_000);
    let done = fleet.run_until(end_ms, |fleet| {
        let now_ms = fleet.now_ms;
        engines[1..].iter().all(|e| e.serves(now_ms) == Some(2))
    });
    assert!(done, "{:?}", engines[1].events());
}

/// A rolling load with the stand-in engines, which answer an order before they have loaded.
#[test]
fn stand_in_engines_are_rolled() {
    let mut fleet = Fleet::with_nodes(6, 1);
    fleet.put_weights(&[1, 2]);
    let settings = EngineSettings {
        models: vec![LoadedModel {
            model: "m".into(),
            version: 1,
        }],
        model_bytes: Bytes(8_000_000_000),
        weight_bytes_per_second: PerSecond(1_000_000_000.0),
        ..EngineSettings::default()
    };
    for number in 0..3 {
        let core = &mut fleet.nodes[0].stakker;
        let engine = FakeEngine::open(core, settings.clone(), number.into());
        let name = UpstreamName::from(&*format!("writers-{number}"));
        fleet.ports.borrow_mut().insert(name, engine.port());
        fleet.list_engine(number, "writers");
    }
    fleet.run_ms(5_000);
    publish(&mut fleet, 0, &config_with_model(1, true));
    fleet.run_ms(30_000);
    publish(&mut fleet, 1, &config_with_model(2, true));
    fleet.run_ms(120_000);
    let counts = fleet.coordinator_dump(0).counts;
    assert_eq!(
        (counts.loads, counts.loaded, counts.failed_loads),
        (3, 3, 0)
    );
    assert_eq!(
        counts.fences, 3,
        "each engine should receive the fencing number once"
    );
}

/// The weight store does not hold the version that the operator set. No replica receives an order.
#[test]
fn an_unknown_version_is_not_ordered() {
    let (mut fleet, engines) = fleet(2, 3, 3, true);
    publish(&mut fleet, 1, &config_with_model(9, true));
    fleet.run_ms(120_000);
    assert!(engines.iter().all(|engine| loads(engine).is_empty()));
}

/// A version can't be loaded. After two replicas failed to load it, the others keep the version
/// that they serve, until the configuration changes.
#[test]
fn a_broken_version_is_halted() {
    let (mut fleet, engines) = fleet(3, 3, 5, true);
    engines
        .iter()
        .for_each(|engine| engine.break_versions(&[2]));
    publish(&mut fleet, 1, &config_with_model(2, true));
    fleet.run_ms(600_000);
    let tried = engines.iter().filter(|engine| !loads(engine).is_empty());
    assert_eq!(tried.count(), 2);
    publish(&mut fleet, 2, &config_with_model(3, true));
    fleet.run_ms(120_000);
    let now_ms = fleet.now_ms;
    assert!(
        engines
            .iter()
            .all(|engine| engine.serves(now_ms) == Some(3))
    );
}

/// Orders take effect, but their answers are lost. The state that is read back shows the effect,
/// and no order is sent twice.
#[test]
fn lost_answers_of_orders() {
    let (mut fleet, engines) = fleet(4, 3, 3, true);
    engines.iter().for_each(|engine| engine.lose_answers(1));
    publish(&mut fleet, 1, &config_with_model(2, true));
    fleet.run_ms(120_000);
    let now_ms = fleet.now_ms;
    for engine in &engines {
        assert_eq!(engine.serves(now_ms), Some(2));
        assert_eq!(loads(engine).len(), 1);
    }
}

/// The step of an order at which a coordinator is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PausedAt {
    /// While it waits for the weight store, before it checks its lease.
    BeforeCheck,
    /// After the check, before the order leaves the node.
    BeforeSend,
    /// After the order has left, before its answer is read.
    AfterSend,
}

/// The wrong orders that engines obeyed, and the time for which they were in effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Wrong {
    obeyed: usize,
    in_effect_ms: u64,
}

/// Pauses a coordinator in the middle of an order to load version 2, for more than a minute.
/// Meanwhile another node takes over, the operator changes to version `next`, and all replicas load
/// that version. Then the paused coordinator resumes.
fn paused_coordinator(seed: u64, at: PausedAt, checks: bool, next: u64) -> Wrong {
    let (mut fleet, engines) = fleet(seed, 3, 3, checks);
    let old = coordinator(&mut fleet);
    pause_in_order(&mut fleet, &engines, old, at, checks);
    publish(&mut fleet, 2, &config_with_model(next, checks));
    wait_for_takeover(&mut fleet);
    let all_serve = |fleet: &mut Fleet| {
        let now_ms = fleet.now_ms;
        engines
            .iter()
            .all(|engine| engine.serves(now_ms) == Some(next))
    };
    fleet.run_ms(60_000);
    let end_ms = fleet.now_ms + SpanMs(60_000);
    assert!(
        fleet.run_until(end_ms, all_serve),
        "the new coordinator should bring all engines to version {next}"
    );
    fleet.resume(old);
    let resumed_ms = fleet.now_ms;
    let (mut wrong_ms, mut last_ms) = (0, resumed_ms);
    fleet.run_until(resumed_ms + SpanMs(120_000), |fleet| {
        if !all_serve(fleet) {
            wrong_ms += fleet.now_ms.since(last_ms).0;
        }
        last_ms = fleet.now_ms;
        false
    });
    assert!(all_serve(&mut fleet), "the wrong orders should be undone");
    let late = engines.iter().flat_map(|e| e.events());
    let late = late.filter(|event| event.at_ms >= resumed_ms && event.obeyed);
    let wrong = |order: &EngineOrder| matches!(order, EngineOrder::LoadModel { version, .. } if *version != next);
    Wrong {
        obeyed: late.filter(|event| wrong(&event.order)).count(),
        in_effect_ms: wrong_ms,
    }
}

fn wait_for_takeover(fleet: &mut Fleet) {
    let group = Duty::Coordinator(group_of_writers());
    let end_ms = fleet.now_ms + SpanMs(30_000);
    let taken = |fleet: &mut Fleet| !fleet.running_holders(group).is_empty();
    assert!(fleet.run_until(end_ms, taken));
}

/// The order of a paused coordinator reaches an engine that does not check fencing numbers, soon
/// after another node took over. The new coordinator has not sent an order to that engine before,
/// since it waits for as long as such late orders may take. So the late order undoes none of its
/// work.
#[test]
fn a_new_coordinator_waits_for_late_orders() {
    for seed in 0..3 {
        let (mut fleet, engines) = fleet(seed, 3, 3, false);
        let old = coordinator(&mut fleet);
        pause_in_order(&mut fleet, &engines, old, PausedAt::BeforeSend, false);
        publish(&mut fleet, 2, &config_with_model(3, false));
        wait_for_takeover(&mut fleet);
        fleet.run_ms(12_000);
        fleet.resume(old);
        fleet.run_ms(120_000);
        let all: Vec<u64> = engines.iter().flat_map(loads).map(|(v, _)| v).collect();
        assert!(all.contains(&2), "the late order should arrive");
        for engine in &engines {
            let versions: Vec<u64> = loads(engine).into_iter().map(|(v, _)| v).collect();
            assert!(versions.is_sorted(), "{versions:?}");
            assert_eq!(engine.serves(fleet.now_ms), Some(3));
        }
    }
}

/// Publishes version 2 and pauses the coordinator at the step `at` of its first order.
fn pause_in_order(
    fleet: &mut Fleet,
    engines: &[Engine],
    coordinator: usize,
    at: PausedAt,
    checks: bool,
) {
    if at == PausedAt::BeforeSend {
        fleet.nodes[coordinator].send_ms.set(2_000);
    }
    let lookups = fleet.model.borrow().stats().weight_lookups;
    publish(fleet, 1, &config_with_model(2, checks));
    let end_ms = fleet.now_ms + SpanMs(60_000);
    let reached = fleet.run_until(end_ms, |fleet| match at {
        // The store's answer is in flight and is processed first after the pause.
        PausedAt::BeforeCheck => fleet.model.borrow().stats().weight_lookups > lookups,
        PausedAt::BeforeSend => fleet.coordinator_dump(coordinator).counts.loads > 0,
        PausedAt::AfterSend => engines.iter().any(|engine| !loads(engine).is_empty()),
    });
    assert!(reached);
    fleet.pause(coordinator);
}

/// A coordinator that was replaced resumes and sends an order late, so an engine would serve a
/// version that is no longer configured. Engines that check the fencing number refuse the order,
/// also if the new coordinator had nothing to order. For the others the new coordinator reads the
/// state back and orders the configured version.
#[test]
fn a_coordinator_paused_at_each_step() {
    let steps = [
        PausedAt::BeforeCheck,
        PausedAt::BeforeSend,
        PausedAt::AfterSend,
    ];
    for checks in [true, false] {
        for (at, next) in steps.iter().flat_map(|at| [(*at, 3), (*at, 1)]) {
            for seed in 0..3 {
                let wrong = paused_coordinator(seed, at, checks, next);
                println!("checks {checks} paused {at:?} then {next} seed {seed}: {wrong:?}");
                let unfenced = !checks && at == PausedAt::BeforeSend;
                assert_eq!(
                    wrong.obeyed,
                    usize::from(unfenced),
                    "{checks} {at:?} {next}"
                );
                // The state is read every 10 s and checked every 0.2 s, and a load takes 3 s.
                let bound_ms = if unfenced { 20_000 } else { 0 };
                assert!(wrong.in_effect_ms <= bound_ms, "{checks} {at:?} {wrong:?}");
            }
        }
    }
}

fn hold(request: u64, owner: Incarnation) -> Hold {
    Hold {
        kind: HoldKind::Stream,
        request: request_id(owner, request),
        reservation: None,
        owner,
        kv_tokens: Tokens(1_000),
        expires_ms: SpanMs(0),
    }
}

fn request_id(incarnation: Incarnation, sequence: u64) -> RequestId {
    RequestId {
        incarnation,
        sequence,
    }
}

/// Memory stays held on an engine. It is reclaimed if its owner is certainly dead, or if the expiry
/// that the engine reported passed long ago, and never from a paused owner that renews.
#[test]
fn memory_without_a_live_owner_is_reclaimed() {
    let (mut fleet, engines) = fleet(5, 4, 2, true);
    let engine = &engines[0];
    let owner = (0..4).find(|i| *i != coordinator(&mut fleet)).unwrap();
    let incarnation = fleet.nodes[owner].incarnation;
    let unknown = Incarnation(77);
    let holds = [
        // Renewed repeatedly below, like the hold of the paused owner's open stream.
        (hold(1, incarnation), 0),
        (hold(2, unknown), 600_000),
        (hold(3, unknown), 5_000),
    ];
    for (hold, for_ms) in holds {
        engine.hold_memory(hold, fleet.now_ms + SpanMs(for_ms));
    }
    fleet.pause(owner);
    for _ in 0..20 {
        engine.hold_memory(hold(1, incarnation), fleet.now_ms + SpanMs(30_000));
        fleet.run_ms(10_000);
    }
    // The paused owner's hold and the unexpired one are kept, the overdue one is reclaimed.
    let mut ids = engine.held_requests();
    ids.sort();
    assert_eq!(
        ids,
        vec![request_id(unknown, 2), request_id(incarnation, 1)]
    );

    let reclaimed = engine.events().into_iter().map(|event| event.order);
    let of_paused = |order: &EngineOrder| match order {
        EngineOrder::Reclaim { owner, .. } => *owner == incarnation,
        _ => false,
    };
    assert!(!reclaimed.clone().any(|order| of_paused(&order)));

    // Another process replaces the owner's at the same address. The hold would expire only in an
    // hour.
    engine.hold_memory(hold(1, incarnation), fleet.now_ms + SpanMs(3_600_000));
    fleet.kill(owner);
    fleet.restart(owner);
    let end_ms = fleet.now_ms + SpanMs(90_000);
    let freed = fleet.run_until(end_ms, |_| {
        !engine.held_requests().contains(&request_id(incarnation, 1))
    });
    assert!(freed);
    assert_eq!(engine.held_requests(), vec![request_id(unknown, 2)]);
}
