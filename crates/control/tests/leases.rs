//! Leases of duties under faults. After each step the test fleet checks that no two running nodes
//! hold the same duty according to their own clocks.

mod support;

use bluebell_base::prelude::*;
use bluebell_control::leases::{Change, Holder};
use bluebell_control::reduce::Grant;
use bluebell_control::{ControlSettings, Duty};
use bluebell_stand_ins::platform::{Fault, Operation, PlatformSettings};
use expect_test::expect;
use stakker::{Ret, call};
use std::cell::Cell;
use std::rc::Rc;
use support::Fleet;

/// Waits until a running node holds the duty. Returns the time in milliseconds that it took.
fn wait_for_holder(fleet: &mut Fleet, duty: Duty, limit_ms: u64) -> u64 {
    let from_ms = fleet.now_ms;
    let end_ms = from_ms + SpanMs(limit_ms);
    let found = fleet.run_until(end_ms, |fleet| !fleet.running_holders(duty).is_empty());
    assert!(found, "no node held {duty:?} within {limit_ms} ms");
    fleet.now_ms.since(from_ms).0
}

/// A fleet starts. Each duty gets one holder, and the duties are spread evenly over the nodes.
#[test]
fn each_duty_gets_one_holder() {
    let mut fleet = Fleet::with_nodes(2, 9);
    fleet.run_ms(90_000);
    for duty in fleet.settings.duties() {
        assert_eq!(fleet.running_holders(duty).len(), 1, "{duty:?}");
    }
    for index in 0..9 {
        assert_eq!(fleet.members_dump(index).nodes.len(), 8);
        let held = fleet.dump(index).held.len();
        assert!((2..=3).contains(&held), "{index} holds {held}");
    }
}

/// A holder dies without a release. Its duties are taken after its lease has certainly ended, and
/// not before.
#[test]
fn a_dead_holder_is_replaced() {
    for seed in 0..10 {
        let mut fleet = Fleet::with_nodes(seed, 5);
        fleet.run_ms(40_000 + seed * 317);
        let duty = Duty::Coordinator(0);
        let holder = fleet.running_holders(duty)[0];
        fleet.kill(holder);
        let took_ms = wait_for_holder(&mut fleet, duty, 20_000);
        assert!((7_000..=18_000).contains(&took_ms), "{took_ms}");
    }
}

/// A node stops as planned and releases its duties. Other nodes hold all of them within seconds.
#[test]
fn a_drained_holder_is_replaced_at_once() {
    for seed in 0..10 {
        let mut fleet = Fleet::with_nodes(seed, 5);
        fleet.run_ms(40_000);
        let duties = fleet.held_duties(0);
        assert!(!duties.is_empty());
        let drained = Rc::new(Cell::new(false));
        let done = drained.clone();
        let ret = Ret::new(move |_| done.set(true));
        call!([fleet.nodes[0].control], drain(ret));
        fleet.run_ms(1_000);
        assert!(drained.get(), "the release should be read back");
        assert!(fleet.held_duties(0).is_empty());
        fleet.run_ms(5_000);
        for duty in duties {
            assert_eq!(
                fleet.running_holders(duty).len(),
                1,
                "seed {seed}: {duty:?}"
            );
        }
        fleet.run_ms(60_000);
        assert!(
            fleet.held_duties(0).is_empty(),
            "a drained node should take nothing"
        );
    }
}

/// A holder releases a duty, but the append of the release is slow. A renewal that it sent before
/// is read meanwhile and counts in the log. The holder must ignore it: when the release is in the
/// log, another node takes the duty at once, and both would hold it.
#[test]
fn a_renewal_after_giving_up() {
    let (me, duty) = (Incarnation(1), Duty::Snapshot);
    let mut holder = Holder::new(me, SpanMs(9_000));
    let grant = |fencing| Grant {
        holder: Some(me),
        address: "10.0.0.1:9000".into(),
        fencing: Fencing(fencing),
        touched: Offset(9),
    };
    let (take, renewal, again) = (OperationId(1), OperationId(2), OperationId(3));
    for op in [take, renewal, again] {
        holder.on_send(op, MonoMs(0));
    }
    assert!(
        holder
            .on_touched(take, duty, &grant(5), MonoMs(1))
            .is_some()
    );
    assert_eq!(holder.give_up(duty), Some(Change::Lost(duty)));
    assert_eq!(holder.on_touched(renewal, duty, &grant(5), MonoMs(2)), None);
    assert!(holder.renewable().is_empty());
    assert_eq!(holder.valid(duty, MonoMs(3)), None);
    assert!(
        holder
            .on_touched(again, duty, &grant(7), MonoMs(4))
            .is_some(),
        "the duty should be held under a new fencing number"
    );
}

/// A record of this incarnation counts that the process does not remember sending, for example
/// because it waited in the log service for a long time. The process may not act on the lease
/// before it has renewed it.
#[test]
fn a_forgotten_record_gives_no_validity() {
    let (me, duty) = (Incarnation(1), Duty::Snapshot);
    let mut holder = Holder::new(me, SpanMs(9_000));
    let grant = Grant {
        holder: Some(me),
        address: "10.0.0.1:9000".into(),
        fencing: Fencing(5),
        touched: Offset(5),
    };
    let now_ms = MonoMs(100_000);
    assert_eq!(
        holder.on_touched(OperationId(1), duty, &grant, now_ms),
        None
    );
    assert_eq!(holder.valid(duty, now_ms), None);
    holder.on_send(OperationId(2), now_ms);
    assert!(
        holder
            .on_touched(OperationId(2), duty, &grant, now_ms)
            .is_some()
    );
}

/// A node stops while the append of its own take is slow, and the take counts later. The duty is
/// released at once, and the stopping node never acts on it.
#[test]
fn a_take_that_lands_after_a_drain() {
    let mut fleet = Fleet::with_nodes(3, 1);
    fleet.add_fault(0, Operation::Append, 1, Fault::Slow(SpanMs(4_000)));
    let sent = |fleet: &mut Fleet| fleet.dump(0).taking > 0;
    assert!(fleet.run_until(MonoMs(10_000), sent));
    call!([fleet.nodes[0].control], drain(Ret::new(|_| ())));
    let end = fleet.leases_end();
    let acts = |fleet: &mut Fleet| !fleet.held_duties(0).is_empty();
    let end_ms = fleet.now_ms + SpanMs(5_500);
    assert!(!fleet.run_until(end_ms, acts));
    let landed = fleet.leases_from(end);
    let count = |kind: &str| landed.iter().filter(|text| text.contains(kind)).count();
    assert!(
        count("\"take\"") > 0 && count("\"release\"") > 1,
        "{landed:?}"
    );
    fleet.start_node();
    let end_ms = fleet.now_ms + SpanMs(10_000);
    assert!(!fleet.run_until(end_ms, acts));
    for duty in fleet.settings.duties() {
        assert_eq!(fleet.running_holders(duty), vec![1], "{duty:?}");
    }
}

/// A node stops while the log is down. The drain takes no longer than the lease.
#[test]
fn a_drain_with_the_log_down_ends() {
    let mut fleet = Fleet::with_nodes(1, 3);
    fleet.run_ms(30_000);
    fleet.set_platform_down(true);
    let drained = Rc::new(Cell::new(false));
    let done = drained.clone();
    let ret = Ret::new(move |_| done.set(true));
    call!([fleet.nodes[0].control], drain(ret));
    fleet.run_ms(200);
    assert!(
        fleet.held_duties(0).is_empty(),
        "the node should stop acting on its duties at once"
    );
    fleet.run_ms(11_000);
    assert!(drained.get());
}

/// A holder is paused for about the duration of a lease, resumes, still has the current fencing
/// number and renews, at the time at which another node takes the duty. At most one of them may
/// hold the duty.
#[test]
fn a_holder_resumes_as_its_duty_is_taken() {
    let duty = Duty::Coordinator(1);
    let mut taken = 0;
    for step in 0..60 {
        let mut fleet = Fleet::with_nodes(step, 3);
        fleet.run_ms(30_000);
        let holder = fleet.running_holders(duty)[0];
        // Slow appends widen the window between a decision and its record in the log.
        for index in 0..3 {
            let slow = Fault::Slow(SpanMs(300));
            fleet.add_fault(index, Operation::Append, 1_000, slow);
        }
        fleet.run_ms(3_000);
        fleet.pause(holder);
        fleet.run_ms(8_000 + step * 100);
        fleet.resume(holder);
        fleet.run_ms(40_000);
        // The duty may be moving from one node to another for balance.
        wait_for_holder(&mut fleet, duty, 10_000);
        let now = fleet.running_holders(duty);
        taken += usize::from(now[0] != holder);
    }
    assert!(
        (5..60).contains(&taken),
        "some pauses should lose the duty and some not: {taken}"
    );
}

/// The nodes' clocks run up to 4 % faster or slower than virtual time.
#[test]
fn clocks_of_different_rates() {
    let mut fleet = Fleet::with_nodes(3, 0);
    for rate in [0.96, 1.0, 1.04, 0.98] {
        fleet.next_rate = rate;
        fleet.start_node();
    }
    for round in 0..40 {
        fleet.run_ms(20_000);
        let index = round % 4;
        fleet.pause(index);
        fleet.run_ms(7_000 + round as u64 * 200);
        fleet.resume(index);
    }
}

/// Returns the holder of each duty.
fn holders_of(fleet: &Fleet, duties: &[Duty]) -> Vec<usize> {
    let holder = |duty: &Duty| fleet.running_holders(*duty)[0];
    duties.iter().map(holder).collect()
}

/// The log is down for ten minutes. Every lease ends at its holder, and no node takes any. When the
/// log is back, the duties are held again without a burst of appends.
#[test]
fn an_outage_of_the_log() {
    (0..8).for_each(outage_of_the_log);
}

fn outage_of_the_log(seed: u64) {
    let mut fleet = Fleet::with_nodes(seed, 9);
    fleet.run_ms(90_000);
    let duties = fleet.settings.duties();
    let before: Vec<usize> = holders_of(&fleet, &duties);
    fleet.set_platform_down(true);
    fleet.run_ms(10_500);
    for duty in fleet.settings.duties() {
        assert!(
            fleet.running_holders(duty).is_empty(),
            "{duty:?} outlived its lease"
        );
    }
    fleet.run_ms(600_000);
    let end = fleet.leases_end();
    fleet.set_platform_down(false);
    let from_ms = fleet.now_ms;
    let all_held = |fleet: &mut Fleet| {
        let held = |duty: &Duty| !fleet.running_holders(*duty).is_empty();
        duties.iter().all(held)
    };
    assert!(fleet.run_until(from_ms + SpanMs(30_000), all_held));
    let took_ms = fleet.now_ms.since(from_ms).0;
    let appended = fleet.leases_end().0 - end.0;
    assert!(took_ms <= 15_000, "{took_ms}");
    assert!(appended <= 60, "{appended} records in {took_ms} ms");
    assert_eq!(
        holders_of(&fleet, &duties),
        before,
        "the old holders should renew"
    );
}

/// All nodes are replaced, and the log no longer has any record of the leases, so no reader can
/// know the holders. The new nodes reset all leases and take the duties.
#[test]
fn unknown_leases_are_reset() {
    let platform = PlatformSettings {
        retention_ms: SpanMs::from_secs(60),
        ..PlatformSettings::default()
    };
    let mut fleet = Fleet::new(5, platform);
    (0..3).for_each(|_| {
        fleet.start_node();
    });
    fleet.run_ms(60_000);
    (0..3).for_each(|index| fleet.kill(index));
    fleet.run_ms(300_000);
    (0..3).for_each(|_| {
        fleet.start_node();
    });
    fleet.run_ms(5_000);
    assert!(!fleet.dump(3).leases_known);
    wait_for_holder(&mut fleet, Duty::Snapshot, 180_000);
    fleet.run_ms(30_000);
    for duty in fleet.settings.duties() {
        assert_eq!(fleet.running_holders(duty).len(), 1, "{duty:?}");
    }
}

/// Single appends of all nodes have faults: lost answers, duplicates, slowness and refusals. The
/// duties are still held afterwards.
#[test]
fn faults_of_appends() {
    let faults = [
        Fault::LoseAnswer,
        Fault::Duplicate,
        Fault::Slow(SpanMs(2_000)),
        Fault::Down,
        Fault::Freeze,
    ];
    for (seed, fault) in (0..).zip(faults) {
        let mut fleet = Fleet::with_nodes(seed, 4);
        fleet.run_ms(30_000);
        for _ in 0..10 {
            for index in 0..4 {
                fleet.add_fault(index, Operation::Append, 1, fault);
            }
            fleet.run_ms(15_000);
        }
        fleet.run_ms(15_000);
        for duty in fleet.settings.duties() {
            assert_eq!(fleet.running_holders(duty).len(), 1, "{fault:?} {duty:?}");
        }
    }
}

/// Settings with which leases can't work are reported.
#[test]
fn settings_that_cannot_work() {
    assert!(ControlSettings::default().faults().is_empty());
    let settings = ControlSettings {
        shards: 1_000,
        coordinators: 0,
        ttl_ms: SpanMs(2_000),
        ..ControlSettings::default()
    };
    let faults = settings.faults().join("\n");
    expect![[r#"
        1002 duties do not fit a record of 65536B
        a lease of 2000ms is too short for a margin of 1000ms
        a lease of 2000ms is too short for reading each 1000ms
        at least one coordinator is needed"#]]
    .assert_eq(&faults);
}

/// The state dump of a single node that holds all duties.
#[test]
fn the_dump_of_a_node() {
    let mut fleet = Fleet::with_nodes(1, 0);
    (fleet.settings.shards, fleet.settings.coordinators) = (1, 1);
    fleet.start_node();
    fleet.run_ms(5_000);
    let mut dump = fleet.dump(0);
    dump.leases.truncate(1);
    dump.held.truncate(1);
    expect![[r#"
        {
          "in_force": 0,
          "faults": [],
          "unusable": null,
          "seen_at_peers": 0,
          "log_version": 0,
          "pending_updates": 0,
          "unresolved": 0,
          "contradictions": 0,
          "skipped": {
            "too_large": 0,
            "unknown_kind": 0,
            "malformed": 0
          },
          "leases_known": true,
          "leases": [
            {
              "duty": {
                "duty": "shard",
                "index": 0
              },
              "holder": 1001,
              "address": "10.0.0.1:9000",
              "fencing": 2
            }
          ],
          "held": [
            {
              "lease": {
                "duty": {
                  "duty": "shard",
                  "index": 0
                },
                "holder": 1001,
                "address": "10.0.0.1:9000",
                "fencing": 2
              },
              "until_ms": 11121
            }
          ],
          "taking": 0,
          "vacant": [],
          "log_down": false
        }"#]]
    .assert_eq(&dump.to_json());
}
