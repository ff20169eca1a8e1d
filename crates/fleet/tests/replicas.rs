//! Tests of the table of replicas.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_fleet::replicas::TableEvent;

fn replica(number: u32) -> Replica {
    Replica {
        instance: format!("i-{number}").into(),
        started: ReplicaStart::UNKNOWN,
        service: ServiceName("drafts".into()),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        domain: DomainName("a".into()),
        slots: 16,
        cold_ms: SpanMs::ZERO,
        state: ReplicaState::Ready,
    }
}

fn started(number: u32, at_ms: u64) -> Replica {
    Replica {
        started: ReplicaStart(at_ms),
        ..replica(number)
    }
}

fn list(table: &mut ReplicaTable, replica: Replica) -> TableEvent {
    table.apply(ReplicaChange::Listed(replica), MonoMs(10))
}

fn corrupt(table: &mut ReplicaTable, number: u32) -> TableEvent {
    let change = ReplicaChange::Unreadable {
        instance: format!("i-{number}").into(),
        why: "not JSON".into(),
    };
    table.apply(change, MonoMs(20))
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

/// Guards against requests that reach a replica three seconds after it left. The directory had been
/// unreadable for this node only, and the replica's entry was removed right after the node could read
/// again. Every removal within two seconds of the return counted as a lapse, and the replica was kept.
#[test]
fn one_removal_after_an_outage_counts_at_once() {
    let mut table = table(16);
    table.on_directory_lost();
    table.on_directory_read(MonoMs(5_000));
    remove(&mut table, 3, 5_100);
    assert_eq!(ready(&table), 15);
}

/// Guards against refusing all requests for two seconds after an outage of the directory. All entries
/// lapsed while it was away, and it came back without them although the replicas were sound. The list
/// counts only once the replicas had time to write their entries.
#[test]
fn replicas_that_lapsed_together_are_used_until_they_could_return() {
    let mut table = table(4);
    table.on_directory_lost();
    table.on_directory_read(MonoMs(5_000));
    for number in 1..=4 {
        remove(&mut table, number, 5_010);
    }
    assert_eq!(
        ready(&table),
        4,
        "the replicas had no time to write their entries"
    );
    table.apply(ReplicaChange::Listed(replica(1)), MonoMs(6_000));
    assert!(table.expire(MonoMs(6_900)).is_empty());
    assert_eq!(table.expire(MonoMs(7_100)).len(), 3);
    assert_eq!(ready(&table), 1, "replicas that didn't return are removed");
}

/// Guards against a request that runs at a service that its route doesn't name. A replica died, its
/// address went to a replica of another service, and a node still had the old entry. The check of the
/// expected instance stops such a run; the table must not keep two replicas at one address either.
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

/// Guards against requests to a replica that reported that it drains while it was still listed.
#[test]
fn a_draining_replica_gets_no_work() {
    let mut table = table(2);
    let mut leaving = replica(1);
    leaving.state = ReplicaState::Draining;
    table.apply(ReplicaChange::Listed(leaving), MonoMs(10));
    assert_eq!(ready(&table), 1);
}

/// Guards against a node that goes on sending to a replica that left. It had missed the change, and a
/// peer reported that nothing had changed. Tables that differ in the replicas that accept
/// work have different fingerprints. A replica that lapsed at one node and is gone at the other makes
/// no difference.
#[test]
fn fingerprints_differ_if_other_replicas_accept_work() {
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

/// Guards against health and work of an earlier start that are applied to a replica that started again
/// under its name: requests wait for the crashed one, and new ones avoid it although it is back.
#[test]
fn a_replica_that_started_again_has_no_earlier_state() {
    let mut table = ReplicaTable::default();
    assert_eq!(list(&mut table, started(1, 100)), TableEvent::Found);
    let (before, after) = (started(1, 100).key(), started(1, 200).key());
    let doubted = table.health_mut(before).expect("the replica is known");
    doubted.on_symptom(Symptom::Silent, MonoMs(10));
    assert_eq!(list(&mut table, started(1, 200)), TableEvent::Restarted);
    assert!(table.has_restarted(&started(1, 100)));
    assert!(table.get(before).is_none());
    let health = table.health(after).expect("the replica is known");
    assert!(health.admits(MonoMs(11)));
    assert_eq!(ready(&table), 1);
}

/// Guards against a late entry of an earlier start, from a peer or a lagging directory, that arrives after
/// the new start was listed, or after it had left.
#[test]
fn an_entry_of_an_earlier_start_changes_nothing() {
    let mut table = ReplicaTable::default();
    list(&mut table, started(1, 200));
    let late = Replica {
        state: ReplicaState::Draining,
        ..started(1, 100)
    };
    assert_eq!(list(&mut table, late), TableEvent::Unchanged);
    assert_eq!(list(&mut table, replica(1)), TableEvent::Unchanged);
    assert_eq!(ready(&table), 1);
    remove(&mut table, 1, 30);
    assert_eq!(list(&mut table, started(1, 100)), TableEvent::Unchanged);
    assert_eq!(ready(&table), 0);
    assert_eq!(list(&mut table, started(1, 200)), TableEvent::Found);
}

/// Covers all combinations of a restart: same or other name, same or other address, each also while the
/// directory is away.
#[test]
fn every_kind_of_restart_leaves_one_replica() {
    let moved = |replica: Replica| Replica {
        address: "10.0.0.99:80".parse().expect("an address"),
        ..replica
    };
    let renamed = |replica: Replica| Replica {
        instance: "i-99".into(),
        ..replica
    };
    let later = started(1, 200);
    let ways = [
        (later.clone(), 1),
        (moved(later.clone()), 1),
        (renamed(later.clone()), 1),
        // Nothing connects this replica to the first one, whose entry lapses by itself.
        (moved(renamed(later)), 2),
    ];
    for (way, left) in ways {
        for away in [false, true] {
            let mut table = ReplicaTable::default();
            list(&mut table, started(1, 100));
            if away {
                table.on_directory_lost();
                remove(&mut table, 1, 15);
                table.on_directory_read(MonoMs(20));
            }
            list(&mut table, way.clone());
            let listed = if away && left == 2 { 1 } else { left };
            assert_eq!(ready(&table), listed, "{way:?}, away: {away}");
            assert!(table.get(way.key()).is_some());
            table.expire(MonoMs(5_000));
            assert!(table.get(way.key()).is_some(), "{way:?}, away: {away}");
        }
    }
}

/// Guards against unreadable entries that remove all replicas of a service. Another writer overwrote the
/// replicas' entries, and each one counted as a removal. An unreadable entry changes nothing, and is
/// reported once.
#[test]
fn an_unreadable_entry_removes_no_replica() {
    let mut table = table(3);
    assert_eq!(corrupt(&mut table, 2), TableEvent::Unusable);
    assert_eq!(corrupt(&mut table, 2), TableEvent::Unchanged);
    assert_eq!(corrupt(&mut table, 7), TableEvent::Unusable);
    assert_eq!(ready(&table), 3);
    list(&mut table, replica(2));
    assert_eq!(corrupt(&mut table, 2), TableEvent::Unusable);
    remove(&mut table, 2, 30);
    assert_eq!(ready(&table), 2);
}

/// Guards against a sound replica that gets no more work because an entry of an unconfigured service has
/// its address or its name. That service may be named later, so the entry is kept, without any effect.
#[test]
fn an_entry_of_an_unknown_service_displaces_no_replica() {
    let mut table = table(2);
    let drafts = ServiceName("drafts".into());
    table.set_services([drafts].into_iter());
    let unknown = |number: u32, instance: &str| Replica {
        instance: instance.into(),
        service: ServiceName("strange".into()),
        ..started(number, 900)
    };
    list(&mut table, unknown(1, "i-50"));
    assert_eq!(list(&mut table, unknown(2, "i-2")), TableEvent::Unusable);
    assert_eq!(ready(&table), 2);
    assert_eq!(table.ready(&ServiceName("strange".into())).len(), 1);
}

/// Guards against a request that is sent to an address that no replica of the service has. All replicas
/// report their starts, and an entry without one stands among theirs. If few replicas report a start,
/// entries without one are used as well.
#[test]
fn an_entry_without_a_start_is_ignored_if_most_report_one() {
    let mut table = table(1);
    list(&mut table, started(2, 100));
    list(&mut table, started(3, 100));
    assert_eq!(ready(&table), 2);
    let mut mostly_without = self::table(3);
    list(&mut mostly_without, started(4, 100));
    assert_eq!(ready(&mostly_without), 4);
}
