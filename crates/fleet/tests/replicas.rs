//! The table of replicas.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;

fn replica(number: u32) -> Replica {
    Replica {
        instance: format!("i-{number}").into(),
        service: ServiceName("drafts".into()),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        domain: DomainName("a".into()),
        slots: 16,
        state: ReplicaState::Ready,
    }
}

fn table(count: u32) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for number in 1..=count {
        table.apply(ReplicaChange::Listed(replica(number)), MonoMs(0));
    }
    table
}

fn ready(table: &ReplicaTable) -> usize {
    table.ready(&ServiceName("drafts".into())).len()
}

fn remove(table: &mut ReplicaTable, number: u32, now_ms: u64) {
    let gone = ReplicaChange::Removed(format!("i-{number}").into());
    table.apply(gone, MonoMs(now_ms));
}

/// Requests reach a replica three seconds after it left. The directory had turned only this node
/// away; the replica's entry was removed right after the node could read again. The cause was that
/// every removal within two seconds of the return was taken for a lapse, and the replica kept.
#[test]
fn one_removal_after_an_outage_counts_at_once() {
    let mut table = table(16);
    table.on_directory_lost();
    table.on_directory_read(MonoMs(5_000));
    remove(&mut table, 3, 5_100);
    assert_eq!(ready(&table), 15);
}

/// All requests are refused for two seconds after an outage of the directory. All entries lapsed
/// while it was away, it came back without them, and the replicas were sound. The cause would be to
/// believe a list that the replicas had no time to fill.
#[test]
fn replicas_that_lapsed_together_are_used_until_they_could_return() {
    let mut table = table(4);
    table.on_directory_lost();
    table.on_directory_read(MonoMs(5_000));
    for number in 1..=4 {
        remove(&mut table, number, 5_010);
    }
    assert_eq!(ready(&table), 4, "the list had no time to fill");
    table.apply(ReplicaChange::Listed(replica(1)), MonoMs(6_000));
    assert!(table.expire(MonoMs(6_900)).is_empty());
    assert_eq!(table.expire(MonoMs(7_100)).len(), 3);
    assert_eq!(ready(&table), 1, "those that didn't return are gone");
}

/// A caller's request runs at a service that its route doesn't name. A replica died, its address
/// went to a replica of another service, and a node still held the old entry. The expected instance
/// stops the run; the table must not keep two replicas at one address either.
#[test]
fn a_new_replica_takes_its_address_from_the_old_one() {
    let mut table = table(2);
    let mut other = replica(1);
    other.instance = "i-9".into();
    other.service = ServiceName("board".into());
    table.apply(ReplicaChange::Listed(other), MonoMs(10));
    assert_eq!(ready(&table), 1);
    assert_eq!(table.ready(&ServiceName("board".into())).len(), 1);
}

/// Requests go to a replica that is leaving. It reported that it drains while it was still listed.
#[test]
fn a_draining_replica_takes_nothing() {
    let mut table = table(2);
    let mut leaving = replica(1);
    leaving.state = ReplicaState::Draining;
    table.apply(ReplicaChange::Listed(leaving), MonoMs(10));
    assert_eq!(ready(&table), 1);
}

/// A node goes on sending to a replica that left. It had missed the change, and believed a peer that
/// said all was as before. Tables that differ in who takes work have different fingerprints; what
/// lapsed for one node and is gone for the other makes no difference.
#[test]
fn fingerprints_tell_tables_apart_by_who_takes_work() {
    let (mut one, mut other) = (table(4), table(4));
    assert_eq!(one.fingerprint(), other.fingerprint());
    let mut leaving = replica(2);
    leaving.state = ReplicaState::Draining;
    one.apply(ReplicaChange::Listed(leaving), MonoMs(10));
    assert_ne!(one.fingerprint(), other.fingerprint());
    let (mut one, mut away) = (table(4), table(4));
    away.on_directory_lost();
    remove(&mut one, 3, 20);
    remove(&mut away, 3, 20);
    assert_eq!(one.fingerprint(), away.fingerprint());
    remove(&mut other, 4, 20);
    assert_ne!(one.fingerprint(), other.fingerprint());
}
