//! Tests of the table of replicas whose entries arrive in any order, from the directory's history, from
//! lists of it, and from peers.

use bluebell_base::prelude::*;
use bluebell_fleet::directory::Cursor;
use bluebell_fleet::prelude::*;
use bluebell_fleet::replicas::TableEvent;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const NOW_MS: MonoMs = MonoMs(10);
const SERVICES: [&str; 2] = ["drafts", "board"];

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

fn replica(instance: u8, address_number: u8, service: usize, started: u64) -> Replica {
    Replica {
        instance: format!("i-{instance}").into(),
        started: ReplicaStart(started),
        service: ServiceName(SERVICES[service].into()),
        address: address(address_number),
        domain: DomainName("a".into()),
        slots: 16,
        cold_ms: SpanMs::ZERO,
        state: ReplicaState::Ready,
    }
}

fn listed(instance: u8, address_number: u8, service: usize, started: u64) -> ReplicaChange {
    ReplicaChange::Listed(replica(instance, address_number, service, started))
}

fn removed(instance: u8) -> ReplicaChange {
    ReplicaChange::Removed(format!("i-{instance}").into())
}

fn apply(table: &mut ReplicaTable, offset: u64, change: ReplicaChange) -> TableEvent {
    let position = ChangePosition::in_history(Cursor::at(offset));
    table.apply_at(change, position, NOW_MS)
}

/// Applies the list of the newest entries among the first `end` of `log`, in the order of their instances.
fn apply_list(table: &mut ReplicaTable, log: &[ReplicaChange], end: usize) {
    let mut newest = BTreeMap::new();
    for (offset, change) in log[..end].iter().enumerate() {
        match change {
            ReplicaChange::Listed(replica) => {
                newest.insert(replica.instance.clone(), (offset, change.clone()));
            }
            ReplicaChange::Removed(instance) => {
                newest.remove(instance);
            }
            _ => {}
        }
    }
    let end = Cursor::at(end as u64);
    let instances: Vec<Arc<str>> = newest.keys().cloned().collect();
    table.retain_listed(&instances, end, NOW_MS);
    for (offset, change) in newest.into_values() {
        let position = ChangePosition::in_list(Cursor::at(offset as u64), end);
        table.apply_at(change, position, NOW_MS);
    }
}

fn ready(table: &ReplicaTable, service: usize) -> Vec<Arc<str>> {
    let service = ServiceName(SERVICES[service].into());
    let ready = table.ready(&service).into_iter();
    ready
        .map(|(_, replica, _)| replica.instance.clone())
        .collect()
}

/// Guards against a live replica that no node uses any more. It had the address of a dead one that was still
/// listed, a node that started applied the dead one's entry after its own, and nothing wrote its entry again.
#[test]
fn a_replica_has_its_address_back_when_the_dead_one_is_removed() {
    let mut table = ReplicaTable::default();
    table.apply(listed(11, 1, 0, 0), NOW_MS);
    table.apply(listed(91, 1, 1, 0), NOW_MS);
    table.apply(removed(91), NOW_MS);
    assert_eq!(ready(&table, 0), ["i-11".into()]);
    assert!(ready(&table, 1).is_empty());
    assert!(!table.is_address_reused(&replica(11, 1, 0, 0)));
}

/// Guards against requests to a dead replica until its entry lapses, at a node that reads its entry after that
/// of the replica which has the address now. Its clock was ahead.
#[test]
fn the_entry_that_was_written_last_has_the_address() {
    let log = [listed(91, 1, 1, 900), listed(11, 1, 0, 100)];
    for order in [[0, 1], [1, 0]] {
        let mut table = ReplicaTable::default();
        for index in order {
            apply(&mut table, index as u64, log[index].clone());
        }
        let mut started = ReplicaTable::default();
        apply_list(&mut started, &log, log.len());
        for table in [&table, &started] {
            assert_eq!(ready(table, 0), ["i-11".into()], "{order:?}");
            assert!(ready(table, 1).is_empty(), "{order:?}");
            assert_eq!(table.len(), 1);
            assert!(table.is_address_reused(&replica(91, 1, 1, 900)));
            assert!(table.get(replica(91, 1, 1, 900).key()).is_none());
        }
        assert_eq!(table.fingerprint(), started.fingerprint());
    }
}

/// Guards against a replica that running nodes never use again after its clock was set back, although nodes that
/// start use it. It had restarted under its name, and its new entry seemed older than the one before.
#[test]
fn a_restart_with_a_clock_set_back_is_known_to_all_nodes() {
    let log = [listed(1, 1, 0, 900), listed(1, 2, 0, 100)];
    let mut running = ReplicaTable::default();
    apply(&mut running, 0, log[0].clone());
    assert_eq!(
        apply(&mut running, 1, log[1].clone()),
        TableEvent::Restarted
    );
    let mut started = ReplicaTable::default();
    apply_list(&mut started, &log, log.len());
    assert_eq!(running.fingerprint(), started.fingerprint());
    assert_eq!(running.at(address(2)), started.at(address(2)));
    assert_eq!(running.at(address(1)), None);
}

/// Guards against a replica that is lost for good because a peer's notice of it arrived during the read of a list
/// that ends before its entry.
#[test]
fn a_list_does_not_remove_a_later_entry() {
    let log = [listed(1, 1, 0, 100), listed(2, 2, 0, 100)];
    let mut table = ReplicaTable::default();
    apply(&mut table, 1, log[1].clone());
    apply_list(&mut table, &log, 1);
    assert_eq!(table.len(), 2);
}

/// Guards against two replicas of configured services at one address after a configuration names the service of
/// one of them.
#[test]
fn a_service_that_is_configured_later_takes_its_addresses() {
    let mut table = ReplicaTable::default();
    let service = |number: usize| ServiceName(SERVICES[number].into());
    table.set_services([service(0)].into_iter());
    apply(&mut table, 0, listed(1, 1, 0, 100));
    apply(&mut table, 1, listed(2, 1, 1, 100));
    assert_eq!(table.at(address(1)), Some(replica(1, 1, 0, 100).key()));
    table.set_services([service(0), service(1)].into_iter());
    assert_eq!(table.at(address(1)), Some(replica(2, 1, 1, 100).key()));
    assert!(ready(&table, 0).is_empty());
    table.set_services([service(0)].into_iter());
    assert_eq!(ready(&table, 0), ["i-1".into()]);
}

fn any_change() -> impl Strategy<Value = ReplicaChange> {
    let instance = 0..4u8;
    prop_oneof![
        4 => (instance.clone(), 0..3u8, 0..2usize, 1..4u64, any::<bool>()).prop_map(
            |(instance, address, service, started, drains)| {
                let mut replica = replica(instance, address, service, started);
                if drains {
                    replica.state = ReplicaState::Draining;
                }
                ReplicaChange::Listed(replica)
            }
        ),
        1 => instance.prop_map(removed),
    ]
}

/// A log, an order of its changes in which some are repeated, and the lists that are read in between: after
/// how many changes each is applied, and how much of the log it covers.
fn any_run() -> impl Strategy<Value = (Vec<ReplicaChange>, Vec<usize>, Vec<(usize, usize)>)> {
    prop::collection::vec(any_change(), 1..14).prop_flat_map(|log| {
        let count = log.len();
        let once = Just((0..count).collect::<Vec<usize>>());
        let order = (once, prop::collection::vec(0..count, 0..4))
            .prop_map(|(once, again)| [once, again].concat())
            .prop_shuffle();
        let lists = prop::collection::vec((0..=count, 0..=count), 0..4);
        (Just(log), order, lists)
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against nodes that know different replicas for good because they learned the same changes in
    /// another order: from the history, from lists that they read at a start or after a gap, and from peers.
    #[test]
    fn any_order_of_entries_removals_and_lists_leaves_the_same_table((log, order, lists) in any_run()) {
        let mut in_order = ReplicaTable::default();
        for (offset, change) in log.iter().enumerate() {
            apply(&mut in_order, offset as u64, change.clone());
        }
        let mut table = ReplicaTable::default();
        for (step, index) in order.iter().enumerate() {
            for (_, end) in lists.iter().filter(|(at_step, _)| *at_step == step) {
                apply_list(&mut table, &log, *end);
            }
            apply(&mut table, *index as u64, log[*index].clone());
        }
        prop_assert_eq!(table.fingerprint(), in_order.fingerprint());
        for service in [0, 1] {
            prop_assert_eq!(ready(&table, service), ready(&in_order, service));
        }
        for number in 0..3 {
            prop_assert_eq!(table.at(address(number)), in_order.at(address(number)));
        }
        prop_assert_eq!(table.len(), in_order.len());
    }
}
