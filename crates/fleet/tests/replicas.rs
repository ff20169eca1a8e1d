//! The table of replicas.

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

fn spoil(table: &mut ReplicaTable, number: u32) -> TableEvent {
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

/// A request waits for a replica that crashed, and new ones avoid it although it is back. It started
/// again under its name; trust and work of its earlier start were taken for the new one's.
#[test]
fn a_replica_that_started_again_has_a_clean_slate() {
    let mut table = ReplicaTable::default();
    assert_eq!(list(&mut table, started(1, 100)), TableEvent::Found);
    let (before, after) = (started(1, 100).key(), started(1, 200).key());
    let doubted = table.health_mut(before).expect("it is known");
    doubted.on_symptom(Symptom::Silent, MonoMs(10));
    assert_eq!(list(&mut table, started(1, 200)), TableEvent::Restarted);
    assert!(table.has_restarted(&started(1, 100)));
    assert!(table.get(before).is_none());
    let health = table.health(after).expect("it is known");
    assert!(health.admits(MonoMs(11)));
    assert_eq!(ready(&table), 1);
}

/// Requests go to a replica as it was before it crashed. An entry of its earlier start came late,
/// from a peer or from a directory that lagged, after the new one, or after the new one had left.
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

/// Where a replica starts again: under its name at its address, under its name elsewhere, under
/// another name at its address, and both changed at once, each also while the directory is away.
#[test]
fn every_way_to_start_again_leaves_one_replica() {
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
        // Nothing ties this one to the first, whose entry lapses by itself.
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

/// All replicas of a service are gone at once. Something else wrote entries over theirs that can't be
/// read, and each was taken for a removal. An entry says nothing where it can't be read, and is told
/// of once.
#[test]
fn an_unreadable_entry_takes_no_replica_out() {
    let mut table = table(3);
    assert_eq!(spoil(&mut table, 2), TableEvent::Unusable);
    assert_eq!(spoil(&mut table, 2), TableEvent::Unchanged);
    assert_eq!(spoil(&mut table, 7), TableEvent::Unusable);
    assert_eq!(ready(&table), 3);
    list(&mut table, replica(2));
    assert_eq!(spoil(&mut table, 2), TableEvent::Unusable);
    remove(&mut table, 2, 30);
    assert_eq!(ready(&table), 2);
}

/// A sound replica gets nothing more. An entry of a service that no configuration names had its
/// address, or its name. The service may be named later, so the entry is kept, without harm.
#[test]
fn an_entry_of_an_unknown_service_takes_no_place() {
    let mut table = table(2);
    let drafts = ServiceName("drafts".into());
    table.set_services([drafts].into_iter());
    let strange = |number: u32, instance: &str| Replica {
        instance: instance.into(),
        service: ServiceName("strange".into()),
        ..started(number, 900)
    };
    list(&mut table, strange(1, "i-50"));
    assert_eq!(list(&mut table, strange(2, "i-2")), TableEvent::Unusable);
    assert_eq!(ready(&table), 2);
    assert_eq!(table.ready(&ServiceName("strange".into())).len(), 1);
}

/// A request is sent to an address that no replica of the service has. Replicas tell when they
/// started, always; an entry that doesn't stood among theirs. Where hardly any tells, none is held
/// against the others.
#[test]
fn where_replicas_tell_their_start_an_entry_without_one_names_none() {
    let mut table = table(1);
    list(&mut table, started(2, 100));
    list(&mut table, started(3, 100));
    assert_eq!(ready(&table), 2);
    let mut untold = self::table(3);
    list(&mut untold, started(4, 100));
    assert_eq!(ready(&untold), 4);
}
