//! Publication of configurations through the log, under faults.

mod support;

use bluebell_base::prelude::*;
use bluebell_control::records::{ConfigRecord, Part, Splice, Update, encode};
use bluebell_control::{ControlEvent, Duty, Published};
use bluebell_members::MemberEvent;
use bluebell_stand_ins::platform::{Fault, Operation, PlatformSettings};
use support::{Fleet, config_text, large_config_text};

fn accepted(version: u64) -> Result<Published, Error> {
    let version = ConfigVersion(version);
    Ok(Published::Accepted { version })
}

fn conflict(current: u64) -> Result<Published, Error> {
    let current = ConfigVersion(current);
    Ok(Published::Conflict { current })
}

fn versions(numbers: &[u64]) -> Vec<ConfigVersion> {
    numbers
        .iter()
        .map(|number| ConfigVersion(*number))
        .collect()
}

/// An operator publishes a configuration. It is in force on every node within seconds.
#[test]
fn a_publication_is_in_force_everywhere() {
    let mut fleet = Fleet::with_nodes(1, 9);
    fleet.run_ms(3_000);
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    fleet.run_ms(2_000);
    for index in 0..9 {
        assert_eq!(fleet.versions(index), versions(&[1]));
    }
}

/// Two operators change the same version at the same time through different nodes. One wins, the
/// other receives a conflict, and the other's text is never in force on any node.
#[test]
fn racing_operators_get_one_winner() {
    for seed in 0..20 {
        let mut fleet = Fleet::with_nodes(seed, 5);
        fleet.run_ms(2_000);
        let (one, two) = (config_text(1_000), config_text(2_000));
        let first = fleet.publish(1, 0, &one);
        fleet.run_ms(seed % 5);
        let second = fleet.publish(3, 0, &two);
        fleet.run_ms(5_000);
        let answers = [first.take().unwrap(), second.take().unwrap()];
        assert!(
            answers.contains(&accepted(1)) && answers.contains(&conflict(1)),
            "{answers:?}"
        );
        let winner = if answers[0] == accepted(1) {
            &one
        } else {
            &two
        };
        for index in 0..5 {
            assert_eq!(fleet.versions(index), versions(&[1]));
            assert_eq!(&fleet.in_force(index).1, winner);
        }
    }
}

/// Checks the answer to an operator and the version in force in the end, for each fault of one
/// publication.
///
/// The operator receives one answer. The fault affects the append of the publication, and the
/// answer has to be correct for each fault.
#[test]
fn one_publication_under_each_fault() {
    type Case = (
        &'static str,
        &'static [Fault],
        // The version or verdict in the answer, and the version in force in the end.
        Result<u64, Verdict>,
        u64,
    );
    let cases: &[Case] = &[
        ("no fault", &[], Ok(1), 1),
        (
            "answer lost after taking effect",
            &[Fault::LoseAnswer],
            Ok(1),
            1,
        ),
        ("stored twice", &[Fault::Duplicate], Ok(1), 1),
        (
            "twice and answer lost",
            &[Fault::Duplicate, Fault::LoseAnswer],
            Ok(1),
            1,
        ),
        (
            "refused without effect",
            &[Fault::Down],
            Err(Verdict::NotRun),
            0,
        ),
        (
            "never answered, no effect",
            &[Fault::Freeze],
            Err(Verdict::MayHaveRun),
            0,
        ),
        (
            "effect after the client gave up",
            &[Fault::Slow(SpanMs(7_000))],
            Ok(1),
            1,
        ),
        (
            "effect after the operator was answered",
            &[Fault::Slow(SpanMs(15_000))],
            Err(Verdict::MayHaveRun),
            1,
        ),
    ];
    for (name, faults, answer, version) in cases {
        let mut fleet = Fleet::with_nodes(3, 3);
        fleet.run_ms(30_000);
        // The fault must affect only the publication's append, so no renewal may be due now.
        fleet.run_past_renewal(0);
        for fault in *faults {
            fleet.add_fault(0, Operation::Append, 1, *fault);
        }
        let found = fleet.publish_now(0, 0, &config_text(1_000));
        match (&found, answer) {
            (Ok(published), Ok(version)) => {
                assert_eq!(accepted(*version), Ok(published.clone()), "{name}");
            }
            (Err(error), Err(verdict)) => assert_eq!(error.verdict, *verdict, "{name}"),
            _ => panic!("{name}: {found:?}"),
        }
        fleet.run_ms(20_000);
        for index in 0..3 {
            assert_eq!(fleet.in_force(index).0, ConfigVersion(*version), "{name}");
        }
        assert_eq!(fleet.dump(0).unresolved, 0, "{name}");
    }
}

/// The operator's file is invalid or based on an old version. The operator receives an error or a
/// conflict at once, and nothing is appended.
#[test]
fn what_cannot_win_is_not_appended() {
    let mut fleet = Fleet::with_nodes(4, 2);
    fleet.run_ms(2_000);
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    fleet.run_ms(2_000);
    let before = fleet.config_end();
    let invalid = fleet.publish_now(1, 1, &config_text(0)).unwrap_err();
    assert_eq!(
        (invalid.verdict, invalid.kind),
        (Verdict::NotRun, ErrorKind::Invalid)
    );
    assert!(invalid.message.contains("classes[0].end_ms"));
    assert_eq!(fleet.publish_now(1, 0, &config_text(5_000)), conflict(1));
    assert_eq!(fleet.config_end(), before);
}

/// The log is down for an hour. Publications are refused at once as not run, and the configuration
/// stays in force. Afterwards publications succeed again.
#[test]
fn an_outage_of_an_hour() {
    let mut fleet = Fleet::with_nodes(5, 5);
    fleet.run_ms(5_000);
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    fleet.run_ms(2_000);
    fleet.set_log_down(true);
    fleet.run_ms(3_600_000);
    let refused = fleet.publish_now(2, 1, &config_text(2_000)).unwrap_err();
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert!(refused.retry_after_ms.is_some());
    fleet.set_log_down(false);
    fleet.run_ms(10_000);
    assert_eq!(fleet.publish_now(2, 1, &config_text(2_000)), accepted(2));
    fleet.run_ms(2_000);
    for index in 0..5 {
        assert_eq!(fleet.versions(index), versions(&[1, 2]));
    }
}

/// Retention removed the publication long ago. A node that starts then and can't reach any peer
/// finds the version in the snapshots, which are written in parts.
#[test]
fn snapshots_outlive_retention() {
    let platform = PlatformSettings {
        retention_ms: SpanMs::from_secs(120),
        ..PlatformSettings::default()
    };
    let mut fleet = Fleet::new(6, platform);
    (0..3).for_each(|_| {
        fleet.start_node();
    });
    fleet.run_ms(5_000);
    let large = large_config_text(1_000, 200_000);
    assert_eq!(fleet.publish_now(0, 0, &large), accepted(1));
    for round in 0..10 {
        fleet.run_ms(60_000 + round * 7_000);
        let fresh = fleet.start_node();
        let address = fleet.nodes[fresh].address.clone();
        fleet.net.borrow_mut().cut.insert(address);
        fleet.run_ms(5_000);
        assert_eq!(fleet.versions(fresh), versions(&[1]), "round {round}");
        assert_eq!(fleet.in_force(fresh).1, large);
        fleet.kill(fresh);
    }
    assert!(fleet.dump(0).contradictions == 0);
}

/// All VMs are replaced, one after the other and then all at once, while records expire. The
/// configuration is kept, and operators continue from its version.
#[test]
fn all_nodes_replaced() {
    let platform = PlatformSettings {
        retention_ms: SpanMs::from_secs(120),
        ..PlatformSettings::default()
    };
    let mut fleet = Fleet::new(7, platform);
    (0..3).for_each(|_| {
        fleet.start_node();
    });
    fleet.run_ms(5_000);
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    for old in 0..9 {
        fleet.run_ms(40_000);
        fleet.start_node();
        fleet.run_ms(2_000);
        fleet.kill(old);
    }
    fleet.run_ms(40_000);
    (9..12).for_each(|old| fleet.kill(old));
    fleet.run_ms(10_000);
    let fresh = fleet.start_node();
    fleet.run_ms(5_000);
    assert_eq!(fleet.versions(fresh), versions(&[1]));
    assert_eq!(
        fleet.publish_now(fresh, 1, &config_text(2_000)),
        accepted(2)
    );
    fleet.run_ms(2_000);
    assert_eq!(fleet.versions(fresh), versions(&[1, 2]));
}

/// The whole platform is down and a node restarts. It knows a peer's address from its settings.
#[test]
fn a_restart_with_the_platform_down() {
    let mut fleet = Fleet::with_nodes(11, 3);
    fleet.run_ms(5_000);
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    fleet.run_ms(3_000);
    fleet.set_platform_down(true);
    fleet.run_ms(60_000);
    fleet.members_settings.seeds = vec![fleet.nodes[1].address.clone()];
    let fresh = fleet.start_node();
    fleet.run_ms(5_000);
    assert_eq!(fleet.versions(fresh), versions(&[1]));
}

/// Returns the time at which a node first received a peer's card with that version.
fn first_card_of(fleet: &Fleet, index: usize, version: ConfigVersion) -> MonoMs {
    let events = fleet.nodes[index].member_events.borrow();
    let found = events.iter().find(|(_, event)| match event {
        MemberEvent::Nodes(cards) => cards.iter().any(|card| card.config == version),
        _ => false,
    });
    found.expect("a card").0
}

/// The log is down and a node restarts. One of its peers was cut off before the last change and
/// still has the old version. The new node gets the newest version from its peers. Once it has
/// received a card with that version, it never brings the old one into force.
#[test]
fn a_restart_with_the_log_down() {
    let mut reverted = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::with_nodes(seed, 4);
        fleet.run_ms(5_000);
        assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
        fleet.run_ms(2_000);
        let stale = fleet.nodes[3].address.clone();
        fleet.net.borrow_mut().cut.insert(stale.clone());
        fleet.add_fault(3, Operation::Read, 10_000, Fault::Down);
        fleet.run_ms(2_000);
        assert_eq!(fleet.publish_now(0, 1, &config_text(2_000)), accepted(2));
        fleet.run_ms(5_000);
        assert_eq!(fleet.versions(3), versions(&[1]));
        fleet.set_log_down(true);
        fleet.net.borrow_mut().cut.remove(&stale);
        let fresh = fleet.start_node();
        fleet.run_ms(15_000);
        let seen = fleet.versions(fresh);
        assert!(
            seen == versions(&[2]) || seen == versions(&[1, 2]),
            "{seen:?}"
        );
        // Once a peer's card has version 2, no older version may come into force.
        let received_ms = first_card_of(&fleet, fresh, ConfigVersion(2));
        let events = fleet.nodes[fresh].events.borrow();
        let late = events.iter().filter(|(at_ms, _)| *at_ms > received_ms);
        let old = late.filter(|(_, event)| match event {
            ControlEvent::Config { version, .. } => *version < ConfigVersion(2),
            _ => false,
        });
        reverted += old.count();
        drop(events);
        assert_eq!(
            fleet.versions(3),
            versions(&[1, 2]),
            "the stale node should get version 2 too"
        );
        fleet.set_log_down(false);
        fleet.run_ms(10_000);
        assert_eq!(fleet.in_force(fresh).0, ConfigVersion(2));
    }
    assert_eq!(reverted, 0);
}

/// An update is appended between the `as_of` of a snapshot and the snapshot itself. A node that can
/// read only the records after the update must not take the snapshot's version for the newest.
#[test]
fn a_snapshot_races_an_update() {
    let platform = PlatformSettings {
        retention_ms: SpanMs::from_secs(120),
        ..PlatformSettings::default()
    };
    let mut fleet = Fleet::new(8, platform);
    (0..2).for_each(|_| {
        fleet.start_node();
    });
    fleet.run_ms(10_000);
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    // The append of the holder's snapshot takes 6 s, in which the other node publishes.
    let holder = fleet.running_holders(Duty::Snapshot)[0];
    fleet.run_past_renewal(holder);
    fleet.run_until(MonoMs(39_900), |_| false);
    let slow = Fault::Slow(SpanMs(4_000));
    fleet.add_fault(holder, Operation::Append, 2, slow);
    fleet.run_ms(3_000);
    assert_eq!(
        fleet.publish_now(1 - holder, 1, &config_text(2_000)),
        accepted(2)
    );
    for _ in 0..30 {
        fleet.run_ms(10_000);
        let fresh = fleet.start_node();
        let address = fleet.nodes[fresh].address.clone();
        fleet.net.borrow_mut().cut.insert(address);
        fleet.run_ms(3_000);
        assert_eq!(fleet.versions(fresh), versions(&[2]));
        fleet.kill(fresh);
    }
}

/// One line of a configuration with thousands of accounts changes. The log carries little more than
/// that line, and a node that starts later has the whole text.
#[test]
fn a_small_change_of_a_large_text() {
    let mut fleet = Fleet::with_nodes(12, 2);
    fleet.run_ms(5_000);
    let large = large_config_text(1_000, 300_000);
    assert_eq!(fleet.publish_now(0, 0, &large), accepted(1));
    fleet.run_ms(2_000);
    let before = fleet.model.borrow().stats().appended_bytes;
    let changed: Arc<str> = large.replace("account-1500", "konto-1500").into();
    assert_eq!(fleet.publish_now(1, 1, &changed), accepted(2));
    let appended = fleet.model.borrow().stats().appended_bytes.0 - before.0;
    assert!(appended < 2_000, "{appended} bytes");
    fleet.run_ms(2_000);
    let fresh = fleet.start_node();
    fleet.run_ms(5_000);
    for index in [0, 1, fresh] {
        assert_eq!(fleet.in_force(index), (ConfigVersion(2), changed.clone()));
    }
}

/// The log is down. A new node requests the configuration from the only peer that it knows, which
/// is stale and slow. Before the answer arrives, another peer reports a newer version. The old
/// version must not come into force, not even briefly until the newer one arrives.
#[test]
fn a_late_answer_of_a_stale_peer() {
    let mut fleet = Fleet::with_nodes(13, 2);
    fleet.run_ms(5_000);
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    fleet.run_ms(2_000);
    let (newest, stale) = (
        fleet.nodes[0].address.clone(),
        fleet.nodes[1].address.clone(),
    );
    fleet.add_fault(1, Operation::Read, 10_000, Fault::Down);
    let pair = (newest.clone(), stale.clone());
    fleet.net.borrow_mut().cut_pairs.insert(pair);
    assert_eq!(fleet.publish_now(0, 1, &config_text(2_000)), accepted(2));
    fleet.set_log_down(true);
    fleet.net.borrow_mut().cut.insert(newest.clone());
    let delay = (stale.clone(), SpanMs(900));
    fleet.net.borrow_mut().config_delays.extend([delay]);
    let fresh = fleet.start_node();
    let end_ms = fleet.now_ms + SpanMs(5_000);
    let knows = |fleet: &mut Fleet, version| fleet.dump(fresh).seen_at_peers == version;
    assert!(fleet.run_until(end_ms, |fleet| knows(fleet, ConfigVersion(1))));
    fleet.net.borrow_mut().cut.remove(&newest);
    assert!(fleet.run_until(end_ms, |fleet| knows(fleet, ConfigVersion(2))));
    assert_eq!(
        fleet.versions(fresh),
        versions(&[]),
        "the stale peer's answer should still be in flight"
    );
    fleet.run_ms(10_000);
    assert_eq!(fleet.versions(fresh), versions(&[2]));
}

/// A newer node publishes a text that this one can't decode. This node keeps its version in force,
/// and the next version that it can decode comes into force.
#[test]
fn a_text_that_this_version_cannot_read() {
    let mut fleet = Fleet::with_nodes(9, 2);
    fleet.run_ms(2_000);
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    let newer = r#"{"record":"update","op":7,"base":1,"part":{"index":0,"count":1},"body":"{\"rules\":[]}"}"#;
    fleet.run_ms(2_000);
    fleet.append_config(newer);
    fleet.run_ms(2_000);
    assert_eq!(fleet.versions(0), versions(&[1]));
    let unusable = fleet.dump(0).unusable.expect("version 2");
    assert_eq!(unusable.version, ConfigVersion(2));
    assert!(unusable.fault.reason.contains("unknown field `rules`"));
    assert_eq!(fleet.publish_now(0, 2, &config_text(3_000)), accepted(3));
    fleet.run_ms(2_000);
    assert_eq!(fleet.versions(1), versions(&[1, 3]));
    assert_eq!(fleet.dump(0).unusable, None);
}

/// The program that published a configuration accepted it, but the check of a newer program
/// refuses it.
///
/// The fleet is upgraded node by node. If the check kept the version out of force, a node that
/// restarts would have no configuration and refuse all work, although its operators changed
/// nothing. So the version comes into force, with its faults in the dump. The next publication has
/// to pass the check.
#[test]
fn a_text_that_a_stricter_check_refuses() {
    let mut fleet = Fleet::with_nodes(14, 2);
    fleet.run_ms(2_000);
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    fleet.run_ms(2_000);
    let refused = config_text(0);
    fleet.append_config(&update_record(1, &refused));
    fleet.run_ms(2_000);
    let fresh = fleet.start_node();
    fleet.run_ms(5_000);
    for index in [0, 1, fresh] {
        assert_eq!(fleet.in_force(index), (ConfigVersion(2), refused.clone()));
        let dump = fleet.dump(index);
        let paths: Vec<&str> = dump.faults.iter().map(|fault| &*fault.path).collect();
        assert!(paths.contains(&"classes[0].end_ms"), "{paths:?}");
        assert_eq!(dump.unusable, None);
    }
    let again = fleet.publish_now(0, 2, &refused).unwrap_err();
    assert_eq!(again.kind, ErrorKind::Invalid);
    assert_eq!(fleet.publish_now(0, 2, &config_text(2_000)), accepted(3));
    fleet.run_ms(2_000);
    for index in [0, 1, fresh] {
        assert_eq!(fleet.in_force(index).0, ConfigVersion(3));
        assert_eq!(fleet.dump(index).faults, []);
    }
}

/// Returns an update of one part, as another program could have appended it.
fn update_record(base: u64, body: &str) -> String {
    encode(&ConfigRecord::Update(Update {
        op: OperationId(7),
        base: ConfigVersion(base),
        splice: Splice::WHOLE,
        part: Part { index: 0, count: 1 },
        body: body.into(),
    }))
    .to_string()
}

/// The stream contains malformed, oversized and unknown records. They are skipped and counted.
#[test]
fn bad_records_are_skipped() {
    let mut fleet = Fleet::with_nodes(10, 2);
    fleet.run_ms(2_000);
    // Another program wrote the position of the part, so it may be invalid.
    let invalid_part = r#"{"record":"snapshot","op":1,"version":1,"made_by":1,"as_of":0,"part":{"index":4294967295,"count":0},"body":""}"#;
    for text in [
        "",
        "{}",
        r#"{"record":"vote"}"#,
        &"x".repeat(70_000),
        invalid_part,
    ] {
        fleet.append_config(text);
    }
    assert_eq!(fleet.publish_now(0, 0, &config_text(1_000)), accepted(1));
    fleet.run_ms(2_000);
    let skipped = fleet.dump(1).skipped;
    assert_eq!(
        (skipped.malformed, skipped.unknown_kind, skipped.too_large),
        (2, 1, 1)
    );
    assert_eq!(fleet.versions(1), versions(&[1]));
}
