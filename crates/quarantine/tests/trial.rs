//! Tests of suspected requests: when they are run once at a time, and what their trials show.

mod subjects;

use bluebell_quarantine::prelude::*;
use bluebell_quarantine::trial::trial_node;
use subjects::{at, digest, late_sighting, sighting};

fn status(table: &Quarantine, number: u32) -> QuarantineStatus {
    table.status(&digest(number), at(0))
}

fn is_quarantined(table: &Quarantine, number: u32) -> bool {
    matches!(status(table, number), QuarantineStatus::Quarantined { .. })
}

/// Records that a server crashed under some requests.
fn crash(table: &mut Quarantine, run: u32, ms: u64, numbers: &[u32]) {
    for number in numbers {
        table.on_crash(digest(*number), ServerRun(run), Evidence::Running, at(ms));
    }
}

/// Records that a server crashed in the trial of a request, with `evidence`.
fn trial_crash(table: &mut Quarantine, run: u32, ms: u64, number: u32, evidence: Evidence) {
    let sighting = sighting(ms, true);
    table.on_crash(digest(number), ServerRun(run), evidence, sighting);
}

/// Guards against a request that several nodes send at once when one more crash makes it fatal.
#[test]
fn a_request_is_suspected_after_two_crashes_until_it_is_served() {
    let mut table = Quarantine::default();
    crash(&mut table, 1, 0, &[1]);
    assert_eq!(status(&table, 1), QuarantineStatus::Free);
    crash(&mut table, 2, 20, &[1]);
    assert_eq!(status(&table, 1), QuarantineStatus::Suspected);
    table.clear(digest(1), at(500));
    assert_eq!(status(&table, 1), QuarantineStatus::Free);
}

/// Guards against requests that are sent on while all replicas are down and nothing proves their crashes yet, and
/// against a quarantine without proof.
#[test]
fn undecided_crashes_make_a_request_suspected_and_nothing_more() {
    let mut table = Quarantine::default();
    for run in 1..=4 {
        assert!(table.on_undecided(digest(1), ServerRun(run), at(u64::from(run) * 300)));
        assert!(!table.on_undecided(digest(1), ServerRun(run), at(u64::from(run) * 300)));
    }
    assert_eq!(table.judge(at(5_000)), []);
    assert_eq!(status(&table, 1), QuarantineStatus::Suspected);
    for run in 2..=4 {
        table.on_alive(&digest(1), ServerRun(run));
    }
    assert_eq!(status(&table, 1), QuarantineStatus::Free);
    table.on_undecided(digest(1), ServerRun(5), at(2_000));
    table.expire(at(20_000));
    assert_eq!(status(&table, 1), QuarantineStatus::Free, "they expire");
}

/// Guards against peers that send a request on because they don't know of its undecided crashes.
#[test]
fn undecided_crashes_are_told_to_peers() {
    let mut table = Quarantine::default();
    table.on_undecided(digest(1), ServerRun(1), at(0));
    table.on_undecided(digest(1), ServerRun(2), at(100));
    let mut peer = Quarantine::default();
    for notice in table.repeated_notices(at(600)) {
        peer.on_notified(notice, at(700));
    }
    assert_eq!(status(&peer, 1), QuarantineStatus::Suspected);
    crash(&mut peer, 1, 0, &[1]);
    crash(&mut peer, 3, 900, &[1]);
    assert_eq!(peer.judge(at(5_000)), [], "two crashes are proved");
}

/// Guards against two fatal requests that share the servers they crash: the first that is refused explains
/// crashes of the other, which goes on crashing servers.
#[test]
fn a_fatal_request_that_another_one_hides_is_refused_after_one_trial() {
    let mut table = Quarantine::default();
    crash(&mut table, 1, 0, &[1]);
    crash(&mut table, 2, 80, &[1, 2]);
    crash(&mut table, 3, 124, &[2]);
    crash(&mut table, 4, 4_000, &[1]);
    assert_eq!(table.judge(at(4_500)).len(), 1);
    assert!(is_quarantined(&table, 1));
    trial_crash(&mut table, 5, 4_600, 2, Evidence::Running);
    table.judge(at(5_000));
    assert!(is_quarantined(&table, 2));
}

/// Guards against a request that is never refused because it crashes all servers of a small service within a
/// few ms, each time.
#[test]
fn crashes_at_one_time_and_one_in_a_trial_suffice() {
    let mut table = Quarantine::default();
    for (run, ms) in [(1, 0), (2, 60), (3, 120)] {
        crash(&mut table, run, ms, &[1]);
    }
    assert_eq!(table.judge(at(3_000)), []);
    trial_crash(&mut table, 4, 3_500, 1, Evidence::Running);
    assert_eq!(table.judge(at(4_000)).len(), 1);
}

/// Guards against refusing a sound request that was on the same servers as two fatal ones.
#[test]
fn a_request_beside_two_fatal_ones_is_not_refused() {
    let mut table = Quarantine::default();
    crash(&mut table, 1, 0, &[1, 3]);
    crash(&mut table, 2, 80, &[1, 2, 3]);
    crash(&mut table, 3, 900, &[1]);
    crash(&mut table, 4, 1_300, &[2]);
    trial_crash(&mut table, 5, 5_000, 2, Evidence::Running);
    crash(&mut table, 5, 5_000, &[3]);
    table.judge(at(6_000));
    table.judge(at(6_000));
    assert!(is_quarantined(&table, 1));
    assert!(is_quarantined(&table, 2));
    assert_eq!(status(&table, 3), QuarantineStatus::Suspected);
}

/// Guards against refusing one of two requests that were on the same crashed servers, by chance the sound one.
#[test]
fn requests_that_share_all_their_crashes_are_told_apart_by_trials() {
    let mut table = Quarantine::default();
    for (run, ms) in [(1, 0), (2, 400), (3, 800)] {
        crash(&mut table, run, ms, &[1, 2]);
    }
    assert_eq!(table.judge(at(2_000)), []);
    assert_eq!(status(&table, 1), QuarantineStatus::Suspected);
    table.clear(digest(2), at(4_000));
    table.judge(at(4_000));
    assert!(is_quarantined(&table, 1));
    assert_eq!(status(&table, 2), QuarantineStatus::Free);
}

/// Guards against refusing a sound request first because it was on the crashed servers of two fatal ones, and
/// against its crashes hiding theirs.
#[test]
fn a_request_on_all_servers_that_two_fatal_ones_crash_is_not_refused_first() {
    let mut table = Quarantine::default();
    for (run, ms, number) in [
        (1, 0, 1),
        (2, 400, 1),
        (3, 800, 1),
        (4, 1_200, 2),
        (5, 1_600, 2),
    ] {
        crash(&mut table, run, ms, &[number, 3]);
    }
    crash(&mut table, 6, 2_000, &[2, 3]);
    assert_eq!(table.judge(at(3_000)), []);
    trial_crash(&mut table, 7, 5_000, 1, Evidence::Running);
    trial_crash(&mut table, 8, 6_000, 2, Evidence::Running);
    assert_eq!(table.judge(at(7_000)).len(), 2);
    assert!(is_quarantined(&table, 1) && is_quarantined(&table, 2));
    assert_eq!(status(&table, 3), QuarantineStatus::Suspected);
}

/// Guards against a request that is refused because its trial ran on a server that lost power together with
/// others.
#[test]
fn a_power_failure_during_a_trial_proves_nothing() {
    let mut table = Quarantine::default();
    crash(&mut table, 1, 0, &[1]);
    crash(&mut table, 2, 20, &[1]);
    trial_crash(&mut table, 3, 5_000, 1, Evidence::Running);
    for run in 4..8 {
        crash(&mut table, run, 5_000 + u64::from(run), &[100 + run]);
    }
    assert_eq!(table.judge(at(6_000)), []);
}

/// Guards against refusing a sound request because of what it was tried beside: peers don't know of the crashes
/// of a request that is in quarantine already.
#[test]
fn crashes_of_a_request_in_quarantine_explain_those_of_a_suspect_at_peers() {
    let mut table = Quarantine::default();
    for (run, ms) in [(1, 0), (2, 400), (3, 800)] {
        crash(&mut table, run, ms, &[1]);
    }
    assert_eq!(table.judge(at(2_000)).len(), 1);
    let sighting = CrashSighting::from(at(2_100));
    let (fatal, run) = (digest(1), ServerRun(4));
    let change = table.on_crash(fatal, run, Evidence::Running, sighting);
    assert_eq!(change, QuarantineChange::Ended { judged: false });
    let mut peer = Quarantine::default();
    crash(&mut peer, 1, 0, &[2]);
    crash(&mut peer, 2, 400, &[2]);
    trial_crash(&mut peer, 4, 2_100, 2, Evidence::Running);
    peer.on_notified(
        table.notice(&fatal, at(2_200)).expect("it is known"),
        at(2_200),
    );
    let ended = Quarantine::crash_notice(fatal, run, Evidence::Running, sighting);
    let (_, change) = peer.on_notified(ended, at(2_200));
    assert_eq!(change, QuarantineChange::Ended { judged: false });
    assert_eq!(peer.judge(at(3_000)), []);
}

/// Guards against judging a crash that is known late before peers have told what else was on its server.
#[test]
fn a_crash_that_is_known_late_is_judged_once_peers_have_told_theirs() {
    let mut table = Quarantine::default();
    crash(&mut table, 1, 0, &[1]);
    crash(&mut table, 2, 400, &[1]);
    let sighting = late_sighting(800, 3_000, true);
    table.on_crash(digest(1), ServerRun(3), Evidence::Running, sighting);
    assert_eq!(table.judge(at(3_000 + DETECTION_DELAY_MS.0 - 1)), []);
    assert_eq!(table.judge(at(3_000 + DETECTION_DELAY_MS.0)).len(), 1);
}

/// Guards against a trial that counts for more than it shows: a request that may only have waited needs five
/// crashes.
#[test]
fn a_trial_without_an_answer_needs_five_crashes() {
    let mut table = Quarantine::default();
    for (run, ms) in [(1, 0), (2, 400), (3, 800)] {
        trial_crash(&mut table, run, ms, 1, Evidence::Present);
    }
    assert_eq!(table.judge(at(2_000)), []);
    for (run, ms) in [(4, 3_000), (5, 4_000)] {
        trial_crash(&mut table, run, ms, 1, Evidence::Present);
    }
    assert_eq!(table.judge(at(5_000)).len(), 1);
}

/// Guards against a trial that begins before the crash of the last one is judged.
#[test]
fn a_crash_that_is_to_be_judged_holds_the_next_trial_back() {
    let mut table = Quarantine::default();
    for (run, ms) in [(1, 0), (2, 400), (3, 800)] {
        crash(&mut table, run, ms, &[1]);
    }
    let parts = PartQuarantine::default();
    let awaits = |ms| table.awaits_judgement(&digest(1), &parts, at(ms));
    assert!(awaits(800 + JUDGEMENT_MS.0 - 1));
    assert!(!awaits(800 + JUDGEMENT_MS.0));
}

/// Guards against two trials of one request, and against trials of two requests on one server.
#[test]
fn a_request_has_one_trial_and_a_server_one_suspect() {
    let mut trials = SuspectTrials::default();
    assert!(trials.begin(digest(1)));
    assert!(!trials.begin(digest(1)));
    trials.on_sent(&digest(1), ServerRun(7));
    assert!(trials.begin(digest(2)));
    let others = |number| {
        trials
            .servers_of_others(&digest(number))
            .collect::<Vec<_>>()
    };
    assert_eq!(others(2), [ServerRun(7)]);
    assert_eq!(others(1), []);
    trials.end(&digest(1));
    assert!(trials.begin(digest(1)));
}

/// Guards against nodes that each try a request: those with the same live peers agree, and services differ.
#[test]
fn nodes_agree_on_the_node_that_tries_the_suspects_of_a_service() {
    let services = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let choose = |service, nodes: &[u64]| trial_node(service, nodes.iter().copied());
    for service in services {
        let chosen = choose(service, &[1, 2, 3, 4]);
        assert_eq!(chosen, choose(service, &[4, 3, 2, 1]));
        assert_eq!(choose(service, &[9]), Some(9));
    }
    let chosen: Vec<_> = services.map(|s| choose(s, &[1, 2, 3, 4])).into();
    assert!(chosen.iter().any(|node| *node != chosen[0]));
}
