//! Tests of replicas that report in their answers that they leave.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;

const SERVICE: &str = "board";

fn listed(instance: &str, started: u64, port: u16) -> ReplicaChange {
    ReplicaChange::Listed(Replica {
        instance: instance.into(),
        started: ReplicaStart(started),
        service: ServiceName(SERVICE.into()),
        address: ([127, 0, 0, 1], port).into(),
        domain: DomainName("a".into()),
        slots: 16,
        cold_ms: SpanMs::ZERO,
        state: ReplicaState::Ready,
    })
}

fn ready(table: &ReplicaTable) -> Vec<Arc<str>> {
    let service = ServiceName(SERVICE.into());
    let ready = table.ready(&service);
    ready.iter().map(|(_, r, _)| r.instance.clone()).collect()
}

/// Guards against an earlier entry that brings back a replica that reported that it leaves.
#[test]
fn an_entry_does_not_revoke_a_report_of_leaving() {
    let mut table = ReplicaTable::default();
    table.apply(listed("i-1", 1_000, 1), MonoMs(0));
    let key = ReplicaKey::of("i-1", ReplicaStart(1_000));
    assert!(table.leaving_replicas.on_answer(key, MonoMs(100)));
    assert!(!table.leaving_replicas.on_answer(key, MonoMs(200)));
    assert!(ready(&table).is_empty());
    table.apply(listed("i-1", 1_000, 1), MonoMs(300));
    assert!(ready(&table).is_empty());
    table.apply(ReplicaChange::Removed("i-1".into()), MonoMs(400));
    table.expire(MonoMs(60_000));
    table.apply(listed("i-1", 1_000, 1), MonoMs(60_000));
    assert!(ready(&table).is_empty());
}

/// Guards against a later start of a replica that is excluded for a report of its earlier start.
#[test]
fn a_later_start_is_not_leaving() {
    let mut table = ReplicaTable::default();
    table.apply(listed("i-1", 1_000, 1), MonoMs(0));
    let key = ReplicaKey::of("i-1", ReplicaStart(1_000));
    table.leaving_replicas.on_notified(key, MonoMs(100));
    table.apply(listed("i-1", 2_000, 1), MonoMs(200));
    assert_eq!(ready(&table), [Arc::from("i-1")]);
}

/// Guards against notices that are repeated without end, or by nodes that were only notified.
#[test]
fn only_the_node_that_got_the_answer_notifies_peers_for_some_seconds() {
    let mut leaving_replicas = LeavingReplicas::default();
    leaving_replicas.on_answer(ReplicaKey(1), MonoMs(0));
    leaving_replicas.on_notified(ReplicaKey(2), MonoMs(0));
    assert_eq!(leaving_replicas.to_notify(MonoMs(5_000)), [ReplicaKey(1)]);
    assert!(leaving_replicas.to_notify(MonoMs(20_000)).is_empty());
    assert!(leaving_replicas.contains(ReplicaKey(1)));
}

/// Guards against memory that grows with every replica that ever left.
#[test]
fn replicas_that_are_long_gone_are_forgotten() {
    let mut leaving_replicas = LeavingReplicas::default();
    leaving_replicas.on_answer(ReplicaKey(1), MonoMs(0));
    leaving_replicas.on_answer(ReplicaKey(2), MonoMs(0));
    leaving_replicas.expire(|key| key == ReplicaKey(1), MonoMs(700_000));
    assert!(leaving_replicas.contains(ReplicaKey(1)));
    assert!(!leaving_replicas.contains(ReplicaKey(2)));
}
