//! Orders to engines, under pauses and takeovers.

mod support;

use bluebell_base::prelude::*;
use bluebell_control::{Duty, Published};
use bluebell_platform::WeightInfo;
use bluebell_upstreams::{EngineOrder, Hold, HoldKind};
use support::{Engine, Fleet};

/// A configuration that wants version `version` of model `m`.
fn wants(version: u64, checks_fencing: bool) -> Arc<str> {
    format!(
        r#"{{"classes":[{{"name":"draft","first_token":[{{"within_ms":600}}],"end_ms":9000,
        "idempotent":true}}],"accounts":[],"models":[{{"name":"m","version":{version}}}],
        "deployments":[{{"name":"writers","checks_fencing":{checks_fencing}}}]}}"#
    )
    .into()
}

/// A fleet of `nodes` nodes and `engines` engines that all serve version 1.
fn fleet(seed: u64, nodes: usize, engines: u32, checks: bool) -> (Fleet, Vec<Engine>) {
    let mut fleet = Fleet::with_nodes(seed, nodes);
    for version in 1..=4 {
        fleet.model.borrow_mut().put_weights(WeightInfo {
            model: "m".into(),
            version,
            size_bytes: Bytes(4_000_000_000),
            limit_bytes: PerSecond(4_000_000_000.0),
        });
    }
    let engines = (0..engines).map(|i| fleet.start_engine(i, "writers", checks));
    let engines = engines.collect();
    fleet.run_ms(5_000);
    let published = fleet.publish_now(0, 0, &wants(1, checks));
    let version = ConfigVersion(1);
    assert_eq!(published, Ok(Published::Accepted { version }));
    fleet.run_ms(60_000);
    (fleet, engines)
}

fn stewards_of(fleet: &Fleet) -> Vec<usize> {
    let groups = (0..fleet.settings.stewards).map(Duty::Steward);
    groups
        .flat_map(|duty| fleet.running_holders(duty))
        .collect()
}

/// The node that orders the engines: the one that has sent orders or read their states.
fn steward(fleet: &mut Fleet) -> usize {
    let found = stewards_of(fleet).into_iter().find(|index| {
        let group = group_of_writers();
        fleet.believes(*index, Duty::Steward(group))
    });
    found.expect("a steward")
}

/// The group of the deployment `writers` among four.
fn group_of_writers() -> u32 {
    bluebell_control::steward::group_of(&"writers".into(), 4)
}

fn publish(fleet: &mut Fleet, base: u64, body: &Arc<str>) {
    let node = (0..fleet.nodes.len())
        .find(|index| fleet.nodes[*index].life == support::Life::Running)
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
/// store's rate, and no more than one is ever away.
#[test]
fn a_rolling_load_keeps_replicas_serving() {
    for checks in [true, false] {
        let (mut fleet, engines) = fleet(1, 3, 5, checks);
        publish(&mut fleet, 1, &wants(2, checks));
        let from_ms = fleet.now_ms;
        let done = fleet.run_until(from_ms + SpanMs(120_000), |fleet| {
            let now_ms = fleet.now_ms;
            let serving = engines
                .iter()
                .filter(|e| e.serves(now_ms).is_some())
                .count();
            assert!(serving >= 4, "only {serving} of 5 serve");
            engines
                .iter()
                .all(|engine| engine.serves(now_ms) == Some(2))
        });
        assert!(done);
        // 5 loads of 4 GB by a quarter of 4 GB/s are 4 s apart at least.
        assert!(fleet.now_ms.since(from_ms) >= SpanMs(4 * 4_000));
        for engine in &engines {
            assert_eq!(loads(engine), vec![(2, true)], "ordered once");
        }
    }
}

/// The store does not hold the version that the operator named: no replica is touched.
#[test]
fn an_unknown_version_is_not_ordered() {
    let (mut fleet, engines) = fleet(2, 3, 3, true);
    publish(&mut fleet, 1, &wants(9, true));
    fleet.run_ms(120_000);
    assert!(engines.iter().all(|engine| loads(engine).is_empty()));
}

/// A version can't be loaded. After two replicas failed, the others are left with what they
/// serve, until the configuration changes.
#[test]
fn a_broken_version_is_halted() {
    let (mut fleet, engines) = fleet(3, 3, 5, true);
    engines
        .iter()
        .for_each(|engine| engine.break_versions(&[2]));
    publish(&mut fleet, 1, &wants(2, true));
    fleet.run_ms(600_000);
    let tried = engines.iter().filter(|engine| !loads(engine).is_empty());
    assert_eq!(tried.count(), 2);
    publish(&mut fleet, 2, &wants(3, true));
    fleet.run_ms(120_000);
    let now_ms = fleet.now_ms;
    assert!(
        engines
            .iter()
            .all(|engine| engine.serves(now_ms) == Some(3))
    );
}

/// Orders take effect, but their answers are lost: the state read back tells, and nothing is
/// ordered twice.
#[test]
fn lost_answers_of_orders() {
    let (mut fleet, engines) = fleet(4, 3, 3, true);
    engines.iter().for_each(|engine| engine.lose_answers(1));
    publish(&mut fleet, 1, &wants(2, true));
    fleet.run_ms(120_000);
    let now_ms = fleet.now_ms;
    for engine in &engines {
        assert_eq!(engine.serves(now_ms), Some(2));
        assert_eq!(loads(engine).len(), 1);
    }
}

/// Where a steward is paused in the course of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PausedAt {
    /// Before it checks its lease.
    BeforeCheck,
    /// After the check, before the order leaves.
    BeforeSend,
    /// After the order has left, before its answer is read.
    AfterSend,
}

/// How the wrong orders of one case went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Wrong {
    obeyed: usize,
    in_effect_ms: u64,
}

/// A steward is paused in the middle of an order to load version 2, for a minute. Meanwhile
/// another takes over, the operator changes to version 3 and all replicas load that. Then the
/// paused one goes on.
fn paused_steward(seed: u64, at: PausedAt, checks: bool) -> Wrong {
    let (mut fleet, engines) = fleet(seed, 3, 3, checks);
    let old = steward(&mut fleet);
    if at == PausedAt::BeforeSend {
        fleet.nodes[old].send_ms.set(2_000);
    }
    publish(&mut fleet, 1, &wants(2, checks));
    let loads_sent = |fleet: &mut Fleet| fleet.steward_dump(old).counts.loads > 0;
    let arrived = |_: &mut Fleet| engines.iter().any(|e| !loads(e).is_empty());
    let end_ms = fleet.now_ms + SpanMs(60_000);
    match at {
        PausedAt::BeforeCheck => (),
        PausedAt::BeforeSend => assert!(fleet.run_until(end_ms, loads_sent)),
        PausedAt::AfterSend => assert!(fleet.run_until(end_ms, arrived)),
    }
    fleet.pause(old);
    let group = Duty::Steward(group_of_writers());
    let end_ms = fleet.now_ms + SpanMs(30_000);
    assert!(fleet.run_until(end_ms, |fleet| !fleet.running_holders(group).is_empty()));
    fleet.run_ms(1_000);
    publish(&mut fleet, 2, &wants(3, checks));
    let end_ms = fleet.now_ms + SpanMs(120_000);
    let done = fleet.run_until(end_ms, |fleet| {
        let now_ms = fleet.now_ms;
        engines
            .iter()
            .all(|engine| engine.serves(now_ms) == Some(3))
    });
    assert!(done, "the new steward brings all to version 3");
    fleet.resume(old);
    let woke_ms = fleet.now_ms;
    let mut wrong_ms = 0;
    let mut last_ms = woke_ms;
    fleet.run_until(woke_ms + SpanMs(120_000), |fleet| {
        let now_ms = fleet.now_ms;
        let serves = |e: &Engine| e.serves(now_ms);
        if engines.iter().any(|e| serves(e) != Some(3)) {
            wrong_ms += now_ms.since(last_ms).0;
        }
        last_ms = now_ms;
        false
    });
    let now_ms = fleet.now_ms;
    assert!(
        engines.iter().all(|e| e.serves(now_ms) == Some(3)),
        "repaired"
    );
    let late = engines.iter().flat_map(|e| e.events());
    let late = late.filter(|event| event.at_ms >= woke_ms && event.obeyed);
    let wrong = |order: &EngineOrder| matches!(order, EngineOrder::LoadModel { version, .. } if *version != 3);
    Wrong {
        obeyed: late.filter(|event| wrong(&event.order)).count(),
        in_effect_ms: wrong_ms,
    }
}

/// An engine serves a version that no operator wants any more, since a steward that was replaced
/// woke up and its order went out late. Engines that check the fencing number refuse it; for the
/// others the new steward reads the state back and repairs it.
#[test]
fn a_steward_paused_at_each_step() {
    let steps = [
        PausedAt::BeforeCheck,
        PausedAt::BeforeSend,
        PausedAt::AfterSend,
    ];
    for checks in [true, false] {
        for at in steps {
            for seed in 0..3 {
                let wrong = paused_steward(seed, at, checks);
                println!("checks {checks} paused {at:?} seed {seed}: {wrong:?}");
                let unfenced = !checks && at == PausedAt::BeforeSend;
                assert_eq!(wrong.obeyed, usize::from(unfenced), "{checks} {at:?}");
                // Read back each 10 s, looked at each 0.2 s, loaded in 3 s.
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

/// Memory stays held on an engine. It is freed where its owner is certainly dead, or where the
/// engine itself said long ago that it had expired; never for a paused owner that renews.
#[test]
fn memory_of_nobody_is_reclaimed() {
    let (mut fleet, engines) = fleet(5, 4, 2, true);
    let engine = &engines[0];
    let owner = (0..4).find(|i| *i != steward(&mut fleet)).unwrap();
    let incarnation = fleet.nodes[owner].incarnation;
    let unknown = Incarnation(77);
    let kept = [
        // Renewed all the time below, as the paused owner's open stream is.
        (hold(1, incarnation), 0),
        (hold(2, unknown), 600_000),
        (hold(3, unknown), 5_000),
    ];
    for (hold, for_ms) in kept {
        engine.keep(hold, fleet.now_ms + SpanMs(for_ms));
    }
    fleet.pause(owner);
    for _ in 0..20 {
        engine.keep(hold(1, incarnation), fleet.now_ms + SpanMs(30_000));
        fleet.run_ms(10_000);
    }
    // The paused owner's and the one that runs on are kept, the overdue one is gone.
    let mut ids = engine.kept();
    ids.sort();
    assert_eq!(
        ids,
        vec![request_id(unknown, 2), request_id(incarnation, 1)]
    );

    // The owner's process is replaced by another at the same address.
    fleet.kill(owner);
    fleet.restart(owner);
    let end_ms = fleet.now_ms + SpanMs(180_000);
    let freed = fleet.run_until(end_ms, |_| {
        !engine.kept().contains(&request_id(incarnation, 1))
    });
    assert!(freed);
    assert_eq!(engine.kept(), vec![request_id(unknown, 2)]);
}
