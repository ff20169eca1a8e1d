//! A log that is down, is slow, loses answers, stores records twice, or drops them.

use crate::rig::Rig;
use bluebell_base::prelude::*;
use bluebell_stand_ins::platform::{Fault, FaultRule, Faults, Operation};

const KEY: u128 = 9;
const HOUR_MS: u64 = 3_600_000;

fn rig_owned_by_node_0(nodes: usize) -> Rig {
    let mut rig = Rig::open(nodes, 2);
    rig.assign_shard(0, 0);
    rig.run_ms(200);
    rig
}

fn inject(rig: &Rig, operation: Operation, calls: u32, fault: Fault) {
    let rule = FaultRule {
        operation: Some(operation),
        client: None,
        calls,
        fault,
    };
    rig.model.borrow_mut().faults.rules.push(rule);
}

/// One fault of the log during a claim. Each case has the answer to the claim, the answer to a retry
/// through the other node ten seconds later, and the maximum latency of the first answer in ms.
#[test]
fn single_faults() {
    use Operation::{Append, Read};
    let cases: [(&str, Operation, u32, Fault, &str, &str, u64); 11] = [
        (
            "append refused",
            Append,
            1,
            Fault::Down,
            "not_run",
            "granted",
            50,
        ),
        (
            "append answer lost",
            Append,
            1,
            Fault::LoseAnswer,
            "granted",
            "held pending",
            200,
        ),
        (
            "3 append answers lost",
            Append,
            3,
            Fault::LoseAnswer,
            "granted",
            "held pending",
            900,
        ),
        (
            "append twice",
            Append,
            1,
            Fault::Duplicate,
            "granted",
            "held pending",
            50,
        ),
        (
            "append frozen",
            Append,
            1,
            Fault::Freeze,
            "not_run",
            "granted",
            1100,
        ),
        (
            "append 500 ms late",
            Append,
            1,
            Fault::Slow(SpanMs(500)),
            "granted",
            "held pending",
            600,
        ),
        // It is appended after the caller was refused. The background settlement frees the key.
        (
            "append 3 s late",
            Append,
            1,
            Fault::Slow(SpanMs(3000)),
            "not_run",
            "granted",
            1100,
        ),
        // It is appended after the owner has assumed it lost and appended it again.
        (
            "append 7 s late",
            Append,
            1,
            Fault::Slow(SpanMs(7000)),
            "not_run",
            "granted",
            1100,
        ),
        (
            "read refused",
            Read,
            1,
            Fault::Down,
            "granted",
            "held pending",
            200,
        ),
        (
            "read frozen",
            Read,
            1,
            Fault::Freeze,
            "not_run",
            "granted",
            1100,
        ),
        (
            "read 500 ms late",
            Read,
            1,
            Fault::Slow(SpanMs(500)),
            "granted",
            "held pending",
            600,
        ),
    ];
    for (name, operation, calls, fault, first_text, retry_text, bound_ms) in cases {
        let mut rig = rig_owned_by_node_0(2);
        inject(&rig, operation, calls, fault);
        let first = rig.claim(0, KEY);
        rig.run_ms(10_000);
        assert_eq!(first.text(), first_text, "{name}");
        let latency_ms = first.latency().expect("answered");
        assert!(latency_ms <= SpanMs(bound_ms), "{name}: took {latency_ms}");
        assert_eq!(rig.claim_and_wait(1, KEY).text(), retry_text, "{name}");
        rig.check()
            .unwrap_or_else(|error| panic!("{name}: {error}"));
    }
}

/// The log is down for an hour. Claims are refused at once as not run, with a time to retry after.
/// When the log works again, claims are granted, and keys that were granted before are still held.
/// During the outage the owner tries the log at most 60 times.
#[test]
fn an_outage_of_an_hour() {
    let validity_ms = SpanMs(3 * HOUR_MS);
    let mut rig = Rig::with(3, 2, |settings| settings.validity_ms = validity_ms, |_| ());
    rig.assign_shard(0, 0);
    rig.run_ms(200);
    assert_eq!(rig.claim_and_wait(1, 1).text(), "granted");
    let before = rig.report(0).owned[0].appends;
    rig.model.borrow_mut().faults.down = true;
    for minute in 0..60 {
        let claim = rig.claim(1, 100 + minute);
        rig.run_ms(HOUR_MS / 60);
        let Some(Err(error)) = claim.answer() else {
            panic!("minute {minute}: {}", claim.text());
        };
        assert_eq!(error.verdict, Verdict::NotRun);
        assert!(error.retry_after_ms.is_some());
        assert!(claim.latency() <= Some(SpanMs(50)), "{:?}", claim.latency());
        assert_eq!(rig.claim_and_wait(2, 1).text(), "held pending");
    }
    let appends = rig.report(0).owned[0].appends - before;
    assert!(appends <= 60, "{appends} appends tried in the outage");
    rig.model.borrow_mut().faults.down = false;
    rig.run_ms(5000);
    assert_eq!(rig.claim_and_wait(2, 1).text(), "held pending");
    assert_eq!(rig.claim_and_wait(2, 100).text(), "granted");
    assert_eq!(rig.report(1).settlements_waiting, 0);
    rig.check().unwrap();
}

/// The owner dies while the log is down. The new owner can't open its epoch, so it refuses every
/// claim of the shard within the bound and grants none from memory. After the outage the old key is
/// still held and a new one is granted.
#[test]
fn a_takeover_during_an_outage() {
    let mut rig = rig_owned_by_node_0(3);
    assert_eq!(rig.claim_and_wait(1, 1).text(), "granted");
    rig.model.borrow_mut().faults.down = true;
    rig.kill(0);
    rig.assign_shard(0, 1);
    rig.run_ms(10_000);
    for key in [1, 2] {
        let claim = rig.claim_and_wait(2, key);
        assert_eq!(claim.text(), "not_run", "key {key}");
        assert!(
            claim.latency() <= Some(SpanMs(1100)),
            "{:?}",
            claim.latency()
        );
    }
    rig.model.borrow_mut().faults.down = false;
    rig.run_ms(5000);
    assert_eq!(rig.claim_and_wait(2, 1).text(), "held pending");
    assert_eq!(rig.claim_and_wait(2, 2).text(), "granted");
    rig.check().unwrap();
}

/// The log is slow. Answers arrive within the bound. A claim that is appended after its caller was
/// refused is not granted to any request, and its key becomes free again.
#[test]
fn a_late_grant_is_discarded() {
    let mut rig = rig_owned_by_node_0(2);
    rig.model.borrow_mut().faults.slow_ms = SpanMs(1500);
    let claim = [rig.claim(0, KEY), rig.claim(1, KEY + 1)];
    rig.run_ms(10_000);
    for claim in &claim {
        assert_eq!(claim.text(), "not_run");
        assert!(
            claim.latency() <= Some(SpanMs(1100)),
            "{:?}",
            claim.latency()
        );
    }
    assert!(rig.grants.borrow().is_empty());
    rig.model.borrow_mut().faults = Faults::default();
    rig.run_ms(20_000);
    assert_eq!(rig.claim_and_wait(1, KEY).text(), "granted");
    assert_eq!(rig.claim_and_wait(0, KEY + 1).text(), "granted");
    rig.check().unwrap();
}

/// A key survives takeovers until its validity has passed by the log's clock, and no longer, also if
/// its record has expired from the log.
#[test]
fn a_key_is_kept_for_its_validity() {
    let cases = [
        (8_000, "held pending"),
        (13_000, "granted"),
        (40_000, "granted"),
    ];
    for (later_ms, text) in cases {
        let mut rig = Rig::with(
            2,
            3,
            |settings| settings.validity_ms = SpanMs(10_000),
            |platform| platform.retention_ms = SpanMs(15_000),
        );
        rig.assign_shard(0, 0);
        rig.run_ms(200);
        assert_eq!(rig.claim_and_wait(0, KEY).text(), "granted");
        rig.run_ms(later_ms - 3000);
        rig.assign_shard(0, 1);
        rig.run_ms(100);
        assert_eq!(rig.claim_and_wait(0, KEY).text(), text, "{later_ms} ms");
        rig.assign_shard(0, 0);
        rig.run_ms(100);
        if text == "granted" {
            assert_eq!(rig.claim_and_wait(1, KEY).text(), "held pending");
        }
        rig.check().unwrap();
    }
}
