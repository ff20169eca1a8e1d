//! The system as separate processes under failure: nodes, engines, the service and the platform
//! are killed, stopped and frozen by signals while load whose every answer is checked runs.
//!
//! One fleet at a time: fleets side by side would only slow one another down.

mod support;

use bluebell_base::prelude::*;
use bluebell_load::{KeyedPlan, LoadPlan};
use bluebell_stand_ins::platform::Faults;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use support::fleet::{Answer, Fleet, FleetPlan};
use support::loads::{Runs, assert_true, mixed, repeatable, spawn, wait_ended};
use support::wait_for;

/// The pause between the replacements of two nodes: more than a node needs to take its share of
/// duties.
const ROLLOUT_PAUSE: Duration = Duration::from_secs(2);

/// Makes a load so light that one engine can carry it: what is refused for want of room proves
/// nothing about failures.
fn light(plan: LoadPlan) -> LoadPlan {
    LoadPlan {
        max_prompt_tokens: Some(Tokens(4_000)),
        ..plan
    }
}

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    let guard = ONE_AT_A_TIME.lock();
    guard.unwrap_or_else(PoisonError::into_inner)
}

/// A VM dies under a node in the middle of the load. Callers see their connections break and read
/// on, or ask again, through the other nodes. None may get another's text or a text twice, and
/// what must run at most once doesn't run again because its first answer was lost.
#[test]
fn a_killed_node_leaves_only_true_words() {
    let _alone = alone();
    let mut fleet = Fleet::start(FleetPlan::default());
    let runs = Runs::of(&fleet);
    let run = spawn(mixed(&fleet, &runs, 150, 10.0));
    wait_ended(&run, 40);
    fleet.nodes[1].process.kill();
    let report = run.join();
    assert_true(&report);
    assert!(report.resumes + report.retries > 0, "{report}");
    assert!(report.whole >= 120, "{report}");
}

/// Every node is replaced by a planned stop, one after the other, while callers go on. None of
/// them may see a stream cut, a failure, or a call without an answer.
#[test]
fn rolling_replacement_cuts_no_request() {
    let _alone = alone();
    let mut fleet = Fleet::start(FleetPlan::default());
    let runs = Runs::of(&fleet);
    // More than can end before the rollout does, on however busy a machine: it is stopped after.
    let run = spawn(light(mixed(&fleet, &runs, 10_000, 6.0)));
    wait_ended(&run, 10);
    for index in 0..3 {
        fleet.stop_node(index);
        fleet.restart_node(index);
        fleet.wait_ready(index);
        // A rollout gives each node time to take its share before the next is stopped.
        std::thread::sleep(ROLLOUT_PAUSE);
    }
    // The load goes on after the rollout, which so was under load from its begin to its end.
    wait_ended(&run, (run.ended() + 10).max(100));
    run.stop();
    let report = run.join();
    assert_true(&report);
    assert_eq!(report.resumes, 0, "{report}");
    // A refusal is no cut: it says that nothing ran and when to come back.
    let refused = report.not_run;
    assert_eq!(report.whole + refused, report.offered, "{report}");
    assert!(refused <= report.offered / 20, "{report}");
}

/// An engine's VM dies in the middle of the load. Work that may be repeated goes on at the other
/// engine, behind the text already delivered; of work that must run at most once nobody is told
/// that it didn't run where it did.
#[test]
fn a_killed_engine_takes_no_repeatable_work_along() {
    let _alone = alone();
    let mut fleet = Fleet::start(FleetPlan::default());
    let runs = Runs::of(&fleet);
    let free = spawn(light(repeatable(&fleet, &runs, 60, 4.0)));
    let once = spawn(light(mixed(&fleet, &runs, 30, 2.0)));
    wait_ended(&free, 20);
    runs.keep(&fleet.engines[0].address);
    fleet.engines[0].process.kill();
    let (free, once) = (free.join(), once.join());
    assert_true(&free);
    assert_eq!(free.whole, free.offered, "{free}");
    assert_true(&once);
    assert!(once.whole >= 20, "{once}");
}

/// A VM is paused for 6 s longer than its leases last, while callers give up on it and bring
/// their keys to the other nodes. When it goes on it still believes itself the owner of its shards
/// of keys. No key may run at both.
#[test]
fn a_node_paused_beyond_its_lease_runs_no_key_twice() {
    let _alone = alone();
    let plan = FleetPlan::default();
    let fleet = Fleet::start(plan);
    let runs = Runs::of(&fleet);
    let lease = Duration::from_millis(plan.lease_ttl_ms);
    let run = spawn(LoadPlan {
        // Callers that wait less than the pause bring their keys to another node.
        patience_ms: SpanMs::from_secs(5),
        keyed: Some(KeyedPlan {
            class: "notice".into(),
            answer_tokens: Tokens(64),
            share: 0.8,
        }),
        ..light(mixed(&fleet, &runs, 150, 8.0))
    });
    wait_ended(&run, 30);
    let paused = &fleet.nodes[0].process;
    paused.signal(Signal::SIGSTOP);
    std::thread::sleep(lease + Duration::from_secs(6));
    paused.signal(Signal::SIGCONT);
    let report = run.join();
    assert_true(&report);
    assert!(report.retries > 0, "{report}");
    assert!(report.whole >= 75, "{report}");
}

/// The platform is down, its log with it; when it is back, its process dies and comes back with
/// nothing on its log and no VM on its list but those that register themselves. Work that may be
/// repeated must not notice; work that must run at most once can't be claimed and is refused at
/// once, with when to come back; the configuration in force never goes back.
#[test]
fn a_lost_platform_stops_only_work_that_needs_the_log() {
    let _alone = alone();
    let mut fleet = Fleet::start(FleetPlan::default());
    let runs = Runs::of(&fleet);
    let version = fleet.config_version(0);
    let run = spawn(light(repeatable(&fleet, &runs, 100, 6.0)));
    wait_ended(&run, 5);
    fleet.set_platform_faults(&Faults {
        down: true,
        ..Faults::default()
    });
    for index in 0..3 {
        assert_refused_with_a_time(&fleet, index, &format!("outage-{index}"));
    }
    fleet.set_platform_faults(&Faults::default());
    for index in 0..3 {
        wait_for("keys to be claimed again", || {
            notice(&fleet, index, &format!("back-{index}")).status == 200
        });
    }
    fleet.platform.process.kill();
    for index in 0..3 {
        assert_refused_with_a_time(&fleet, index, &format!("killed-{index}"));
    }
    fleet.restart_platform();
    fleet.list_nodes();
    let report = run.join();
    assert_true(&report);
    assert_eq!(report.whole, report.offered, "{report}");
    for index in 0..3 {
        assert_eq!(fleet.config_version(index), version);
    }
}

/// An engine freezes with requests on it. Whatever becomes of them, each caller has its word by
/// the deadline that the request named.
#[test]
fn requests_at_a_frozen_engine_end_by_their_deadline() {
    let _alone = alone();
    let fleet = Fleet::start(FleetPlan::default());
    let callers = 12;
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let call = |i: usize| {
            let fleet = &fleet;
            scope.spawn(move || fleet.post(i % 3, "/v1/completions", None, &with_deadline(i)))
        };
        let calls: Vec<_> = (0..callers).map(call).collect();
        std::thread::sleep(Duration::from_millis(500));
        fleet.engines[0].process.signal(Signal::SIGSTOP);
        let joined = calls
            .into_iter()
            .map(|call| call.join().expect("an answer"));
        joined.collect()
    });
    fleet.engines[0].process.signal(Signal::SIGCONT);
    for answer in &answers {
        assert!(answer.took < DEADLINE + SLACK, "{answer:?}");
        let has_word = answer.status == 200 || answer.json["error"]["verdict"].is_string();
        assert!(has_word, "{answer:?}");
    }
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        eprintln!("{} after {:?}: {}", answer.status, answer.took, answer.json);
    }
}

/// The deadline of the requests at a frozen engine.
const DEADLINE: Duration = Duration::from_secs(6);

/// How much later an answer may reach a caller on a busy machine.
const SLACK: Duration = Duration::from_secs(2);

fn with_deadline(number: usize) -> Value {
    json!({
        "model": "pond-1", "class": "condensed-text", "prompt": format!("the archive, page {number}"),
        "max_tokens": 512, "deadline_ms": DEADLINE.as_millis() as u64
    })
}

fn notice(fleet: &Fleet, index: usize, key: &str) -> Answer {
    let body = json!({
        "model": "pond-1", "class": "notice", "prompt": format!("notice {key}"), "max_tokens": 8
    });
    fleet.post(index, "/v1/completions", Some(key), &body)
}

/// Work that must run at most once is refused for certain, soon, and with when to come back.
fn assert_refused_with_a_time(fleet: &Fleet, index: usize, key: &str) {
    let answer = notice(fleet, index, key);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.json["error"]["verdict"], "not_run", "{answer:?}");
    assert!(answer.retry_after, "{answer:?}");
    assert!(answer.took < Duration::from_secs(10), "{answer:?}");
}
