//! Membership of a fleet under faults: the platform's list, the directory stream, probes and
//! refusals.

mod support;

use bluebell_base::prelude::*;
use bluebell_control::Duty;
use bluebell_members::MemberEvent;
use bluebell_platform::{VmEntry, VmState};
use bluebell_stand_ins::platform::{Fault, FaultRule, Operation, VmChange};
use stakker::call;
use support::{Fleet, ProcessState};

fn fleet(seed: u64, nodes: usize, engines: u32) -> Fleet {
    let mut fleet = Fleet::with_nodes(seed, nodes);
    for number in 0..engines {
        fleet.start_engine(number, "writers", true);
    }
    fleet.run_ms(30_000);
    fleet
}

fn name(number: u32) -> UpstreamName {
    format!("writers-{number}").as_str().into()
}

/// Returns the state of an upstream that a node last received, and the time; `None` if the upstream
/// is gone or unknown.
fn last_event(fleet: &Fleet, index: usize, name: &UpstreamName) -> Option<(MonoMs, VmState)> {
    let events = fleet.nodes[index].member_events.borrow();
    let mut last = None;
    for (at_ms, event) in events.iter() {
        match event {
            MemberEvent::UpstreamLive(entry) if entry.name.0 == name.0 => {
                last = Some((*at_ms, VmState::Live));
            }
            MemberEvent::UpstreamLeaving(other) if other == name => {
                last = Some((*at_ms, VmState::Leaving));
            }
            MemberEvent::UpstreamGone(other) if other == name => last = None,
            _ => (),
        }
    }
    last
}

fn state(fleet: &Fleet, index: usize, name: &UpstreamName) -> Option<VmState> {
    last_event(fleet, index, name).map(|(_, state)| state)
}

fn entry_of(fleet: &mut Fleet, number: u32) -> VmEntry {
    let name = VmName(name(number).0);
    let listed = fleet.members_dump(0).listed;
    let entry = listed.into_iter().find(|entry| entry.name == name);
    entry.expect("a listed engine")
}

fn remove(fleet: &mut Fleet, number: u32) {
    let name = VmName(name(number).0);
    fleet.change_vms(VmChange::Remove(name));
}

fn running(fleet: &Fleet) -> Vec<usize> {
    let all = 0..fleet.nodes.len();
    all.filter(|index| fleet.nodes[*index].state == ProcessState::Running)
        .collect()
}

/// An engine refuses a request since it is leaving, but the list still has it as live, or is down
/// with the whole platform. All nodes stop sending to the engine within seconds. If the list
/// continues to have it as live, all nodes send to it again after the refusal expires, and the
/// refusal does not circulate forever.
#[test]
fn a_refusal_reaches_all_nodes() {
    for (nodes, platform_down) in [(9, false), (9, true), (50, true), (200, true)] {
        let mut fleet = fleet(1, nodes, 10);
        fleet.set_platform_down(platform_down);
        fleet.run_ms(1_000);
        let refused_ms = fleet.now_ms;
        call!([fleet.nodes[0].members], upstream_refused(name(3)));
        let all_know = |fleet: &mut Fleet| {
            (0..nodes).all(|index| state(fleet, index, &name(3)) == Some(VmState::Leaving))
        };
        assert!(fleet.run_until(refused_ms + SpanMs(5_000), all_know));
        let took_ms = fleet.now_ms.since(refused_ms);
        println!("{nodes} nodes, platform down {platform_down}: {took_ms}");
        if nodes > 50 {
            // The rest does not depend on the number of nodes.
            continue;
        }
        // The engine is excluded until the refusal expires, and then live again at all nodes.
        fleet.run_ms(50_000);
        assert!(all_know(&mut fleet));
        fleet.run_ms(20_000);
        for index in 0..nodes {
            assert_eq!(
                state(&fleet, index, &name(3)),
                Some(VmState::Live),
                "node {index}"
            );
        }
        let back_ms = fleet.now_ms;
        fleet.run_ms(300_000);
        for index in 0..nodes {
            let (at_ms, _) = last_event(&fleet, index, &name(3)).unwrap();
            assert!(at_ms <= back_ms, "node {index} received another change");
        }
    }
}

/// The list marks an engine as leaving and later removes it. All nodes learn this soon from the
/// directory stream, although only one of them fetches the list.
#[test]
fn the_list_reaches_all_nodes() {
    let mut fleet = fleet(2, 9, 10);
    let lists = fleet.model.borrow().stats().lists;
    fleet.run_ms(60_000);
    let fetches = fleet.model.borrow().stats().lists - lists;
    assert!(
        (30..=130).contains(&fetches),
        "one node should fetch once a second: {fetches}"
    );
    let mut entry = entry_of(&mut fleet, 4);
    entry.state = VmState::Leaving;
    fleet.change_vms(VmChange::Put(entry));
    fleet.run_ms(8_000);
    for index in 0..9 {
        assert_eq!(state(&fleet, index, &name(4)), Some(VmState::Leaving));
    }
    remove(&mut fleet, 4);
    fleet.run_ms(15_000);
    for index in 0..9 {
        assert_eq!(state(&fleet, index, &name(4)), None);
        assert!(!fleet.members_dump(index).directory_stale);
    }
}

/// The list is briefly wrong: one engine is missing for a second, or nearly all for ten seconds. No
/// node removes any engine. An engine that is missing for longer is live again when it is listed
/// again.
#[test]
fn a_briefly_wrong_list_removes_no_engine() {
    let mut fleet = fleet(3, 5, 10);
    let entries: Vec<VmEntry> = (0..10).map(|number| entry_of(&mut fleet, number)).collect();
    remove(&mut fleet, 2);
    fleet.run_ms(900);
    fleet.change_vms(VmChange::Put(entries[2].clone()));
    fleet.run_ms(5_000);
    (0..10).for_each(|number| remove(&mut fleet, number));
    fleet.run_ms(10_000);
    for entry in &entries {
        fleet.change_vms(VmChange::Put(entry.clone()));
    }
    fleet.run_ms(20_000);
    for index in 0..5 {
        let events = fleet.nodes[index].member_events.borrow();
        let gone =
            |(_, event): &(MonoMs, MemberEvent)| matches!(event, MemberEvent::UpstreamGone(_));
        assert!(!events.iter().any(gone), "node {index}");
    }
    remove(&mut fleet, 2);
    fleet.run_ms(30_000);
    assert_eq!(state(&fleet, 4, &name(2)), None);
    fleet.change_vms(VmChange::Put(entries[2].clone()));
    fleet.run_ms(10_000);
    for index in 0..5 {
        assert_eq!(state(&fleet, index, &name(2)), Some(VmState::Live));
    }
}

/// The log is down, so the directory stream can't be read. Each node fetches the list itself,
/// rarely, and learns of changes later. When the log is back, one node fetches the list for all
/// again.
#[test]
fn the_directory_stream_is_down() {
    let mut fleet = fleet(4, 5, 4);
    fleet.set_log_down(true);
    fleet.run_ms(45_000);
    let mut entry = entry_of(&mut fleet, 1);
    entry.state = VmState::Leaving;
    fleet.change_vms(VmChange::Put(entry));
    let lists = fleet.model.borrow().stats().lists;
    fleet.run_ms(60_000);
    for index in 0..5 {
        assert_eq!(state(&fleet, index, &name(1)), Some(VmState::Leaving));
    }
    let fetches = fleet.model.borrow().stats().lists - lists;
    assert!(
        (8..=40).contains(&fetches),
        "{fetches} fetches by 5 nodes in 60 s"
    );
    fleet.set_log_down(false);
    fleet.run_ms(60_000);
    let lists = fleet.model.borrow().stats().lists;
    fleet.run_ms(60_000);
    let fetches = fleet.model.borrow().stats().lists - lists;
    assert!(
        (30..=130).contains(&fetches),
        "one node should fetch: {fetches}"
    );
}

/// The list is down when a node starts. The node reads the directory stream from its beginning
/// instead and reports only the engines that exist now.
#[test]
fn a_start_with_the_list_down() {
    let mut fleet = fleet(5, 3, 6);
    remove(&mut fleet, 0);
    fleet.run_ms(20_000);
    fleet.model.borrow_mut().faults.rules.push(FaultRule {
        operation: Some(Operation::ListVms),
        client: None,
        calls: u32::MAX,
        fault: Fault::Down,
    });
    let fresh = fleet.start_node();
    fleet.run_ms(10_000);
    for number in 0..6 {
        let expected = (number != 0).then_some(VmState::Live);
        assert_eq!(state(&fleet, fresh, &name(number)), expected);
    }
    let events = fleet.nodes[fresh].member_events.borrow();
    let gone = |(_, event): &(MonoMs, MemberEvent)| matches!(event, MemberEvent::UpstreamGone(_));
    assert!(!events.iter().any(gone));
}

/// A node starts and has fetched the list, but has not yet found the end of the directory stream,
/// when an engine is marked as leaving. The record of the change lies before the end that the node
/// finds, so the node never reads it. The digest of the next beat shows that its list differs.
#[test]
fn a_change_between_list_and_stream() {
    let mut fleet = fleet(7, 3, 4);
    let fresh = fleet.start_node();
    fleet.add_fault(fresh, Operation::Read, 3, Fault::Slow(SpanMs(4_500)));
    fleet.run_ms(700);
    fleet.change_vms(VmChange::SetState {
        name: VmName(name(2).0),
        state: VmState::Leaving,
    });
    fleet.run_ms(4_000);
    assert_eq!(
        state(&fleet, fresh, &name(2)),
        Some(VmState::Live),
        "missed"
    );
    fleet.run_ms(26_000);
    assert_eq!(state(&fleet, fresh, &name(2)), Some(VmState::Leaving));
}

/// The writer of the directory is paused, another node takes over, engines appear and leave, and
/// the old writer continues with its old state. In the end all nodes have the current list.
#[test]
fn a_paused_writer_changes_nothing() {
    for seed in 0..10 {
        let mut fleet = fleet(seed, 4, 8);
        let old = fleet.running_holders(Duty::Directory)[0];
        // Its next record is in flight while it is paused.
        remove(&mut fleet, 7);
        fleet.run_ms(2_000 + seed * 150);
        fleet.pause(old);
        fleet.start_engine(7, "writers", true);
        fleet.run_ms(40_000);
        let number = 20 + seed as u32;
        fleet.start_engine(number, "writers", true);
        fleet.run_ms(5_000);
        fleet.resume(old);
        fleet.run_ms(30_000);
        let listed = fleet.members_dump(old).listed;
        assert_eq!(listed.len(), 4 + 9, "seed {seed}");
        for index in running(&fleet) {
            assert_eq!(fleet.members_dump(index).listed, listed, "seed {seed}");
            assert_eq!(state(&fleet, index, &name(7)), Some(VmState::Live));
        }
    }
}

/// A node dies. Its peers remove it from the live nodes within seconds, although the list still has
/// it. A node that was only paused is live again when it resumes, and no node reports it as dead.
#[test]
fn dead_and_paused_nodes() {
    let mut fleet = fleet(6, 9, 1);
    fleet.kill(8);
    fleet.pause(7);
    // A round of 8 probes, and three failed probes of up to 1 s each, at most 1.5 s apart.
    fleet.run_ms(8 * 1_500 + 3 * 2_500);
    for index in 0..7 {
        assert_eq!(fleet.members_dump(index).nodes.len(), 6, "node {index}");
    }
    fleet.resume(7);
    fleet.run_ms(8 * 1_500);
    for index in 0..7 {
        assert_eq!(fleet.members_dump(index).nodes.len(), 7, "node {index}");
    }
    let dead = fleet.nodes[8].incarnation;
    fleet.restart(8);
    fleet.run_ms(60_000);
    for index in 0..8 {
        let events = fleet.nodes[index].member_events.borrow();
        let replaced = events.iter().filter_map(|(_, event)| match event {
            MemberEvent::NodeReplaced { dead } => Some(*dead),
            _ => None,
        });
        assert_eq!(replaced.collect::<Vec<_>>(), vec![dead], "node {index}");
    }
}

/// The list is so long that its writer fetches it once in two minutes, while a stream without a
/// record for half a minute counts as stale. Guards against all nodes fetching the list all the
/// time, that is 400 copies instead of one: the writer has to append records between two fetches.
/// If it can't reach the list any more, the other nodes fetch the list themselves.
#[test]
fn a_long_list_is_fetched_by_one() {
    let mut fleet = fleet(11, 5, 0);
    (0..1_800).for_each(|number| fleet.list_engine(number, "writers"));
    fleet.run_ms(400_000);
    let lists = |fleet: &Fleet| fleet.model.borrow().stats().lists;
    let before = lists(&fleet);
    fleet.run_ms(600_000);
    let fetches = lists(&fleet) - before;
    assert!((3..=12).contains(&fetches), "{fetches} fetches in 600 s");

    let holder = (0..5).find(|index| {
        let held = fleet.nodes[*index].held.borrow();
        held.contains_key(&Duty::Directory)
    });
    let writer = holder.expect("a writer");
    fleet.add_fault(writer, Operation::ListVms, u32::MAX, Fault::Down);
    fleet.run_ms(400_000);
    let before = lists(&fleet);
    fleet.run_ms(600_000);
    let fetches = lists(&fleet) - before;
    assert!(
        fetches >= 12,
        "{fetches} fetches in 600 s without the writer's"
    );
}
