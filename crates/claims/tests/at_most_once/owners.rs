//! Owners that crash, pause, resume and change.

use crate::rig::Rig;
use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimState, Settlement};
use bluebell_stand_ins::platform::{Fault, FaultRule, Operation};

const KEY: u128 = 5;

/// The time from a claim at its owner until its append takes effect. The log is 2 ms away.
const UNTIL_APPENDED_MS: u64 = 3;

fn rig_owned_by_node_0(nodes: usize) -> Rig {
    let mut rig = Rig::open(nodes, 1);
    rig.assign_shard(0, 0);
    rig.run_ms(200);
    rig
}

#[test]
fn a_key_is_granted_once_and_then_held() {
    let mut rig = rig_owned_by_node_0(2);
    let first = rig.claim_and_wait(1, KEY);
    assert_eq!(first.text(), "granted");
    let second = rig.claim_and_wait(0, KEY);
    let held = ClaimAnswer::Held {
        by: first.request,
        state: ClaimState::Pending,
        same: true,
    };
    assert_eq!(second.answer(), Some(Ok(held)));
    rig.settle(1, KEY, first.request, Settlement::Ran);
    rig.run_ms(1000);
    assert_eq!(rig.claim_and_wait(1, KEY).text(), "held ran");
    rig.check().unwrap();
}

/// A client that retries too early sends its request through two nodes in the same millisecond. One
/// request is granted the key; the other gets it as held.
#[test]
fn two_nodes_claim_a_key_at_the_same_time() {
    for owner in 0..3 {
        let mut rig = Rig::open(3, 1);
        rig.assign_shard(0, owner);
        rig.run_ms(200);
        let claim = [rig.claim(0, KEY), rig.claim(1, KEY)];
        rig.run_ms(3000);
        let mut texts = claim.map(|claim| claim.text());
        texts.sort();
        assert_eq!(texts, ["granted", "held pending"], "owner {owner}");
        rig.check().unwrap();
    }
}

/// The owner's VM is paused by its host a number of milliseconds after a claim reached the owner. A
/// new owner takes over and answers a retry, then the old one resumes where it stopped. The key must
/// not be granted to both requests.
#[test]
fn a_paused_owner_resumes_after_a_takeover() {
    // The pauses fall before the append is sent, before it takes effect, before its answer, before
    // the batch is read back, and before the answer to the caller.
    for paused_after_ms in 0..12 {
        let mut rig = rig_owned_by_node_0(3);
        let first = rig.claim(0, KEY);
        if paused_after_ms > 0 {
            rig.run_ms(paused_after_ms - 1);
        }
        rig.pause(0);
        rig.run_ms(500);
        rig.assign_shard(0, 1);
        rig.run_ms(500);
        let retry = rig.claim_and_wait(2, KEY);
        rig.resume(0);
        rig.run_ms(5000);
        rig.check()
            .unwrap_or_else(|error| panic!("paused after {paused_after_ms} ms: {error}"));
        let texts = (first.text(), retry.text());
        let first_appended = paused_after_ms > 0;
        if first_appended {
            assert_eq!(texts.1, "held pending", "{paused_after_ms}");
        } else {
            assert_eq!(texts.1, "granted", "{paused_after_ms}");
            assert_eq!(texts.0, "not_run", "{paused_after_ms}");
        }
    }
}

/// The owner is replaced while its append is delayed on a slow path to the log. The append reaches
/// the log after the new owner's epoch record. The old owner must not treat the log's
/// acknowledgment as a grant.
#[test]
fn an_append_after_the_takeover_grants_nothing() {
    let mut rig = rig_owned_by_node_0(3);
    rig.model.borrow_mut().faults.rules.push(FaultRule {
        operation: Some(Operation::Append),
        client: Some("node0".into()),
        calls: 1,
        fault: Fault::Slow(SpanMs(600)),
    });
    let first = rig.claim(0, KEY);
    rig.run_ms(10);
    rig.assign_shard(0, 1);
    rig.run_ms(300);
    let retry = rig.claim(2, KEY);
    rig.run_ms(5000);
    assert_eq!(retry.text(), "granted");
    // The claim was retried at the new owner, where the key was already granted to the retry.
    assert_eq!(first.text(), "held pending");
    assert_eq!(rig.reduced(0).counts().fenced, 1);
    rig.check().unwrap();
}

/// A caller retries through another node after the owner died. If the first claim had reached the
/// log, the key is held; otherwise the retry is granted.
#[test]
fn an_owner_dies_before_or_after_its_append() {
    let cases = [(1, "granted"), (UNTIL_APPENDED_MS + 1, "held pending")];
    for (dies_after_ms, retried) in cases {
        let mut rig = rig_owned_by_node_0(3);
        let first = rig.claim(0, KEY);
        rig.pause(0);
        if dies_after_ms > UNTIL_APPENDED_MS {
            rig.resume(0);
            rig.run_ms(dies_after_ms);
        }
        rig.kill(0);
        rig.run_ms(500);
        let early = rig.claim_and_wait(2, KEY);
        assert_eq!(early.text(), "not_run", "no owner yet");
        rig.assign_shard(0, 1);
        rig.run_ms(500);
        let retry = rig.claim_and_wait(2, KEY);
        assert_eq!(retry.text(), retried, "{dies_after_ms}");
        assert_eq!(first.text(), "no answer");
        rig.check().unwrap();
    }
}

/// A claim waits for an owner that no longer answers. It is retried at the shard's new owner before
/// its time is over, so the caller only sees a delay.
#[test]
fn a_waiting_claim_goes_to_the_new_owner() {
    let mut rig = rig_owned_by_node_0(3);
    rig.pause(0);
    let claim = rig.claim(2, KEY);
    rig.run_ms(300);
    rig.assign_shard(0, 1);
    rig.run_ms(300);
    assert_eq!(claim.text(), "granted");
    rig.resume(0);
    rig.run_ms(5000);
    rig.check().unwrap();
}

/// A node hands its shard over at a planned stop. Claims during the handover are granted by the new
/// owner a little later and not refused.
#[test]
fn a_planned_handover_refuses_no_claim() {
    for handover_ms in [0, 50, 500, 900] {
        let mut rig = rig_owned_by_node_0(3);
        let waiting = [rig.claim(2, 1), rig.claim(0, 2)];
        rig.revoke_shard(0, 0);
        let late = [rig.claim(2, 3), rig.claim(0, 4), rig.claim(1, 5)];
        rig.run_ms(handover_ms);
        rig.assign_shard(0, 1);
        rig.run_ms(1000);
        for claim in waiting.iter().chain(&late) {
            assert_eq!(claim.text(), "granted", "{handover_ms} ms");
        }
        rig.check().unwrap();
    }
}

/// A shard has no owner for a long time. The first claims wait a second for one, and later claims
/// are refused at once.
#[test]
fn claims_wait_briefly_for_an_owner() {
    let mut rig = rig_owned_by_node_0(3);
    rig.revoke_shard(0, 0);
    for (node, later_ms, bound_ms) in [(2, 1500, 1010), (2, 10, 10), (2, 60_000, 10)] {
        let claim = rig.claim(node, 1);
        rig.run_ms(later_ms);
        assert_eq!(claim.text(), "not_run");
        assert!(
            claim.latency() <= Some(SpanMs(bound_ms)),
            "{:?}",
            claim.latency()
        );
    }
}

#[test]
fn an_owner_whose_lease_has_ended_refuses_claims() {
    let mut rig = rig_owned_by_node_0(2);
    rig.renew_lease_for_ms(0, 100);
    rig.run_ms(50);
    assert_eq!(rig.claim(1, 1).text(), "no answer");
    rig.run_ms(50);
    assert_eq!(rig.claim_and_wait(1, 2).text(), "not_run");
    rig.renew_lease(0);
    assert_eq!(rig.claim_and_wait(1, 3).text(), "granted");
    assert_eq!(rig.claim_and_wait(1, 1).text(), "held pending");
}

/// A lease is lost briefly, so that a shard moves to another node and back. Batches of the first
/// epoch must not take effect in the later one, and keys claimed in between stay held.
#[test]
fn a_lease_is_lost_and_regained() {
    let mut rig = rig_owned_by_node_0(3);
    assert_eq!(rig.claim_and_wait(0, 1).text(), "granted");
    rig.revoke_shard(0, 0);
    assert_eq!(rig.claim_and_wait(0, 2).text(), "not_run");
    rig.assign_shard(0, 1);
    rig.run_ms(300);
    assert_eq!(rig.claim_and_wait(0, 3).text(), "granted");
    rig.assign_shard(0, 0);
    rig.run_ms(300);
    for key in [1, 3] {
        assert_eq!(
            rig.claim_and_wait(2, key).text(),
            "held pending",
            "key {key}"
        );
    }
    assert_eq!(rig.claim_and_wait(2, 4).text(), "granted");
    rig.check().unwrap();
}

#[test]
fn settling_not_run_frees_the_key_for_others_only() {
    let mut rig = rig_owned_by_node_0(2);
    let first = rig.claim_and_wait(1, KEY);
    rig.settle(1, KEY, first.request, Settlement::NotRun);
    rig.run_ms(1000);
    let again = rig.claim_as(1, KEY, first.request);
    rig.run_ms(1000);
    assert_eq!(again.text(), "not_run");
    assert_eq!(rig.claim_and_wait(0, KEY).text(), "granted");
    rig.check().unwrap();
}

/// A node gave a claim up and settled it. The claim itself was delayed in the network and arrives
/// later. It must not hold the key for a request that never runs, since retries would get "may have
/// run" for an hour.
#[test]
fn a_claim_that_arrives_after_its_settlement_holds_nothing() {
    let mut rig = rig_owned_by_node_0(2);
    let request = rig.new_request(1);
    rig.settle(1, KEY, request, Settlement::NotRun);
    rig.run_ms(1000);
    let late = rig.claim_as(1, KEY, request);
    rig.run_ms(1000);
    assert_eq!(late.text(), "not_run");
    assert_eq!(rig.claim_and_wait(0, KEY).text(), "granted");
}

/// A request claims twice because the answer to its first claim was lost. It is granted the key
/// again, and no other request is.
#[test]
fn a_lost_grant_is_repeated_to_the_same_request_only() {
    let mut rig = rig_owned_by_node_0(2);
    let first = rig.claim_and_wait(1, KEY);
    let again = rig.claim_as(1, KEY, first.request);
    let other = rig.claim(0, KEY);
    rig.run_ms(1000);
    assert_eq!(first.text(), "granted");
    assert_eq!(again.text(), "granted");
    assert_eq!(other.text(), "held pending");
}

/// A new owner takes over a shard with many more records than the validity covers. It reads only
/// the records that may still be valid, and holds all of their keys.
#[test]
fn a_takeover_reads_only_what_is_valid() {
    let change = |settings: &mut bluebell_claims::ClaimSettings| {
        settings.validity_ms = SpanMs(60_000);
    };
    let mut rig = Rig::with(2, 1, change, |_| ());
    rig.assign_shard(0, 0);
    rig.run_ms(200);
    // One record per 100 ms, so that a minute has more records than the search's granularity.
    for key in 0..6000 {
        rig.claim(0, key);
        rig.run_ms(100);
    }
    rig.assign_shard(0, 1);
    rig.run_ms(1000);
    let read_bytes = rig.report(1).owned[0].read_bytes;
    let written_bytes = rig.model.borrow().stats().appended_bytes;
    assert!(
        read_bytes.0 * 4 < written_bytes.0,
        "{read_bytes} of {written_bytes}"
    );
    // Claimed within the last 58 s, the oldest first.
    for key in 5430..6000 {
        let claim = rig.claim(1, key);
        rig.run_ms(2);
        assert_eq!(claim.text(), "held pending", "key {key}");
    }
    assert_eq!(rig.claim_and_wait(1, 0).text(), "granted");
}

/// An outage of the log is longer than a lease. The lease expires and is renewed under the same
/// fencing number, since no other node acquired it, while a batch of the earlier epoch is still
/// delayed. A claim in the later epoch must get its own outcome, not that of the late batch.
#[test]
fn a_lease_is_regained_under_the_same_fencing_number() {
    for late_ms in [20, 200, 400, 600, 1200, 3000] {
        let mut rig = rig_owned_by_node_0(2);
        assert_eq!(rig.claim_and_wait(0, 1).text(), "granted");
        rig.model.borrow_mut().faults.rules.push(FaultRule {
            operation: Some(Operation::Append),
            client: None,
            calls: 1,
            fault: Fault::Slow(SpanMs(late_ms)),
        });
        let lost = rig.claim(0, 2);
        rig.run_ms(10);
        rig.revoke_shard(0, 0);
        rig.run_ms(100);
        rig.renew_lease(0);
        rig.run_ms(100);
        let fresh = rig.claim(0, 3);
        rig.run_ms(5000);
        assert_eq!(fresh.text(), "granted", "{late_ms} ms late");
        assert_ne!(lost.text(), "no answer", "{late_ms} ms late");
        rig.assign_shard(0, 1);
        rig.run_ms(200);
        assert_eq!(
            rig.claim_and_wait(1, 3).text(),
            "held pending",
            "{late_ms} ms late"
        );
        rig.check().unwrap();
    }
}
