//! Tests of when a request is refused, and when it is run again.

mod subjects;

use bluebell_quarantine::prelude::*;
use proptest::prelude::*;
use subjects::{at, digest, late_sighting};

fn is_free(table: &Quarantine, number: u32, ms: u64) -> bool {
    table.status(&digest(number), at(ms)) == QuarantineStatus::Free
}

fn is_quarantined(table: &Quarantine, number: u32, ms: u64) -> bool {
    let status = table.status(&digest(number), at(ms));
    matches!(status, QuarantineStatus::Quarantined { .. })
}

/// Records crashes under request 1, each at a time in ms and with its evidence. Returns true if the
/// request isn't in quarantine after them.
fn free_after(crashes: &[(u64, Evidence)]) -> bool {
    let mut table = Quarantine::default();
    for (run, (ms, evidence)) in crashes.iter().enumerate() {
        table.on_crash(digest(1), ServerRun(run as u32), *evidence, at(*ms));
    }
    table.judge(at(60_000));
    !is_quarantined(&table, 1, 60_000)
}

/// Covers the number of crashes that lead to quarantine: three if the request had begun to run, five if it
/// may only have been waiting. Crashes that are all at about one time never do, as when a rack loses power
/// while it has a request that comes all the time.
#[test]
fn the_number_of_crashes_that_lead_to_quarantine() {
    use Evidence::{Present, Running};
    let running = |times: &[u64]| times.iter().map(|ms| (*ms, Running)).collect::<Vec<_>>();
    let present = |times: &[u64]| times.iter().map(|ms| (*ms, Present)).collect::<Vec<_>>();
    let cases = [
        ("two", running(&[0, 5_000]), true),
        ("three", running(&[0, 300, 900]), false),
        (
            "three, one of which may have been waiting",
            vec![(0, Running), (400, Present), (900, Running)],
            false,
        ),
        (
            "three that may have been waiting",
            present(&[0, 400, 900]),
            true,
        ),
        (
            "four that may have been waiting",
            present(&[0, 400, 900, 1_300]),
            true,
        ),
        (
            "five that may have been waiting",
            present(&[0, 400, 900, 1_300, 1_700]),
            false,
        ),
        ("many at one time", running(&[0, 20, 40, 60, 90, 120]), true),
        (
            "many at one time and a later one",
            running(&[0, 20, 40, 60, 900]),
            false,
        ),
    ];
    for (name, crashes, free) in cases {
        assert_eq!(free_after(&crashes), free, "{name}");
    }
}

/// Guards against blaming a request for a power failure. A failure took down eight replicas, three times
/// within a minute, and some requests were on one of them each time: 36 of some 3,000 requests of a day
/// with such waves were refused for good. Each was on one or two of the replicas that crashed together.
#[test]
fn a_request_on_few_of_the_replicas_that_crash_together_is_not_blamed() {
    let mut table = Quarantine::default();
    for (wave, ms) in [(0, 0), (1, 5_000), (2, 10_000)] {
        for replica in 0..8 {
            let run = ServerRun(wave * 8 + replica);
            let beside = digest(100 + wave * 8 + replica);
            table.on_crash(
                beside,
                run,
                Evidence::Running,
                at(ms + u64::from(replica) * 6),
            );
        }
        let run = ServerRun(wave * 8 + 3);
        table.on_crash(digest(1), run, Evidence::Running, at(ms + 18));
    }
    assert_eq!(table.judge(at(20_000)), []);
}

/// Guards against a request that stays free because several callers send it at once, to several nodes: it
/// crashes four replicas at one time and two at another. It was on all of them.
#[test]
fn a_request_on_all_replicas_that_crash_together_is_blamed() {
    let mut table = Quarantine::default();
    for (run, ms) in [(0, 0), (1, 20), (2, 30), (3, 60), (4, 900), (5, 920)] {
        table.on_crash(digest(1), ServerRun(run), Evidence::Running, at(ms));
    }
    assert_eq!(table.judge(at(2_000)).len(), 1);
}

/// Guards against a request that is refused because it shared an engine with a fatal request three
/// times. Crashes under the fatal request, which was on more servers, don't count against the other.
#[test]
fn crashes_explained_by_another_request_do_not_count() {
    let mut table = Quarantine::default();
    for (run, ms) in [(0, 0), (1, 500), (2, 1_000), (3, 1_500)] {
        table.on_crash(digest(1), ServerRun(run), Evidence::Running, at(ms));
        if run > 0 {
            table.on_crash(digest(2), ServerRun(run), Evidence::Running, at(ms));
        }
    }
    let judged = table.judge(at(2_000));
    assert_eq!(judged.len(), 1);
    assert!(is_quarantined(&table, 1, 2_000));
    assert!(!is_quarantined(&table, 2, 2_000));
}

/// Guards against counting a replica's crash once for each node that saw it.
#[test]
fn one_run_crashes_once() {
    let mut table = Quarantine::default();
    for ms in [0, 500, 1_000, 1_500] {
        table.on_crash(digest(1), ServerRun(7), Evidence::Running, at(ms));
    }
    table.judge(at(2_000));
    assert!(is_free(&table, 1, 2_000));
}

/// Guards against a frequent request that is refused because it was on two replicas that crashed for
/// another reason. A success clears its earlier crashes: only crashes without a success between them
/// count.
#[test]
fn a_success_clears_earlier_crashes() {
    let mut table = Quarantine::default();
    for round in 0..10 {
        let ms = round * 10_000;
        for crash in 0..2 {
            let run = ServerRun((round * 2 + crash) as u32);
            table.on_crash(digest(1), run, Evidence::Running, at(ms + crash * 400));
        }
        table.judge(at(ms + 4_000));
        table.clear(digest(1), at(ms + 5_000));
    }
    assert!(is_free(&table, 1, 200_000));
    assert_eq!(
        table.clear(digest(2), at(0)),
        QuarantineChange::None,
        "nothing is known of request 2"
    );
}

/// Guards against gossip of crashes that arrives after the gossip of a later success.
#[test]
fn crashes_from_before_a_success_do_not_count() {
    let mut table = Quarantine::default();
    let cleared = QuarantineNotice::Cleared {
        digest: digest(1),
        age_ms: 0,
    };
    table.on_notified(cleared, at(2_000));
    for run in 0..4 {
        let notice = QuarantineNotice::Ended {
            digest: digest(1),
            run: ServerRun(run),
            evidence: Evidence::Running,
            age_ms: 3_000 - run * 500,
        };
        table.on_notified(notice, at(3_000));
    }
    table.judge(at(4_000));
    assert!(is_free(&table, 1, 3_000));
    let notice = QuarantineNotice::Quarantined {
        digest: digest(1),
        age_ms: 1_500,
        term: Term::FIRST,
    };
    assert_eq!(
        table.on_notified(notice, at(3_000)).1,
        QuarantineChange::None
    );
    assert!(is_free(&table, 1, 3_000));
}

fn in_quarantine() -> Quarantine {
    let mut table = Quarantine::default();
    for (run, ms) in [(0, 0), (1, 400), (2, 800)] {
        table.on_crash(digest(1), ServerRun(run), Evidence::Running, at(ms));
    }
    assert_eq!(
        table.judge(at(800 + 149)),
        [],
        "other servers that crashed may not be known yet"
    );
    let first = QuarantineChange::Quarantined {
        term: Term::FIRST,
        seen: true,
    };
    assert_eq!(table.judge(at(800 + 150)), [(digest(1), first)]);
    assert!(!is_free(&table, 1, 950));
    table
}

/// Guards against a request that is refused for ever although it is harmless, and against one that crashes
/// three replicas at each review. One arrival is run, by one node; other arrivals are still refused.
#[test]
fn at_its_review_one_arrival_is_tried() {
    let review = 800 + Term::FIRST.span_ms().0;
    let mut table = in_quarantine();
    assert!(!table.begin_trial(&digest(1), at(review - 1)));
    assert!(table.begin_trial(&digest(1), at(review)));
    assert!(
        !table.begin_trial(&digest(1), at(review + 500)),
        "a trial is under way"
    );
    assert!(!is_free(&table, 1, review + 500));
    let crashed = table.on_crash(digest(1), ServerRun(9), Evidence::Running, at(review + 600));
    let longer = QuarantineChange::Quarantined {
        term: Term::FIRST.next(),
        seen: true,
    };
    assert_eq!(crashed, longer);
    let longer = Term::FIRST.next().span_ms().0;
    assert!(longer > Term::FIRST.span_ms().0);
    assert!(!table.begin_trial(&digest(1), at(review + 600 + longer - 1)));
    assert!(table.begin_trial(&digest(1), at(review + 600 + longer)));
    let served = table.clear(digest(1), at(review + 700 + longer));
    assert_eq!(served, QuarantineChange::Cleared { quarantined: true });
    assert!(is_free(&table, 1, review + 700 + longer));
}

/// Guards against a trial without a result because its caller left: another arrival is tried a minute
/// later.
#[test]
fn a_trial_without_an_outcome_is_repeated() {
    let review = 800 + Term::FIRST.span_ms().0;
    let mut table = in_quarantine();
    assert!(table.begin_trial(&digest(1), at(review)));
    assert!(table.begin_trial(&digest(1), at(review + 60_000)));
}

/// Guards against crashes of replicas that had the request already when it was put into quarantine. They are told
/// to peers and don't change its term.
#[test]
fn crashes_before_the_review_do_not_change_the_term() {
    let mut table = in_quarantine();
    let more = table.on_crash(digest(1), ServerRun(8), Evidence::Running, at(900));
    assert_eq!(more, QuarantineChange::Ended { judged: false });
    let review_in_ms = Term::FIRST.span_ms();
    assert_eq!(
        table.status(&digest(1), at(800)),
        QuarantineStatus::Quarantined { review_in_ms }
    );
}

/// Guards against unbounded memory if thousands of slightly different fatal requests come. Suspects
/// displace no request in quarantine.
#[test]
fn the_number_of_records_is_bounded() {
    let mut table = in_quarantine();
    for number in 2..20_000 {
        let ms = u64::from(number);
        table.on_crash(digest(number), ServerRun(number), Evidence::Running, at(ms));
    }
    assert!(table.suspect_count() <= 512);
    assert!(!is_free(&table, 1, 20_000));
    for number in 2..2_000 {
        let notice = QuarantineNotice::Quarantined {
            digest: digest(number),
            age_ms: 0,
            term: Term::FIRST,
        };
        table.on_notified(notice, at(20_000 + u64::from(number)));
    }
    assert!(table.quarantined(at(30_000)).count() <= 512);
    assert!(!is_free(&table, 1_999, 30_000));
}

/// Guards against records that stay for ever. Crashes stay for minutes, and a quarantine for a day after a
/// review without an arrival.
#[test]
fn a_request_that_does_not_arrive_is_forgotten() {
    let mut table = in_quarantine();
    table.on_crash(digest(2), ServerRun(1), Evidence::Running, at(0));
    assert_eq!(table.expire(at(700_000)), []);
    assert_eq!(table.suspect_count(), 0);
    let day_ms = 86_400_000;
    let review = 800 + Term::FIRST.span_ms().0;
    assert_eq!(table.expire(at(review + day_ms - 1)), []);
    assert_eq!(table.expire(at(review + day_ms)), [digest(1)]);
    assert!(!table.may_contain(&1_u32.to_be_bytes()));
}

/// Guards against lost datagrams. A node repeats what it observed itself for three seconds, and doesn't
/// repeat what peers reported.
#[test]
fn a_node_repeats_its_own_observations_for_some_seconds() {
    let mut table = Quarantine::default();
    table.on_crash(digest(1), ServerRun(1), Evidence::Running, at(0));
    let notice = Quarantine::crash_notice(digest(2), ServerRun(1), Evidence::Running, at(0).into());
    table.on_notified(notice, at(0));
    assert_eq!(table.repeated_notices(at(2_999)).len(), 1);
    assert_eq!(table.repeated_notices(at(3_000)), []);
    table.clear(digest(1), at(3_500));
    assert_eq!(
        table.repeated_notices(at(4_000)),
        [QuarantineNotice::Cleared {
            digest: digest(1),
            age_ms: 500
        }]
    );
}

/// Guards against a crash that is proved seconds later and whose only notice is lost.
#[test]
fn a_crash_that_is_known_late_is_repeated() {
    let mut table = Quarantine::default();
    let sighting = late_sighting(0, 3_500, false);
    table.on_crash(digest(1), ServerRun(1), Evidence::Running, sighting);
    let repeated = [QuarantineNotice::Ended {
        digest: digest(1),
        run: ServerRun(1),
        evidence: Evidence::Running,
        age_ms: 4_000,
    }];
    assert_eq!(table.repeated_notices(at(4_000)), repeated);
    assert_eq!(table.repeated_notices(at(7_000)), []);
}

/// Guards against notices of each success of a frequent request that was once on a replica that crashed.
/// Only the first success has something to clear.
#[test]
fn a_frequent_request_is_cleared_once() {
    let mut table = Quarantine::default();
    table.on_crash(digest(1), ServerRun(1), Evidence::Running, at(0));
    let first = table.clear(digest(1), at(100));
    assert_eq!(first, QuarantineChange::Cleared { quarantined: false });
    for ms in 200..10_000 {
        assert_eq!(table.clear(digest(1), at(ms)), QuarantineChange::None);
    }
    assert_eq!(table.repeated_notices(at(10_000)), []);
    table.expire(at(700_000));
    assert!(!table.may_contain(&1_u32.to_be_bytes()));
}

/// Generates one notice about requests 1 to 3, at most some seconds old.
fn any_notice() -> impl Strategy<Value = QuarantineNotice> {
    let number = 1_u32..4;
    let evidence = prop_oneof![Just(Evidence::Present), Just(Evidence::Running)];
    let crashed = (number.clone(), 0_u32..6, evidence, 0_u32..5_000);
    let crashed = crashed.prop_map(|(number, run, evidence, age_ms)| QuarantineNotice::Ended {
        digest: digest(number),
        run: ServerRun(run),
        evidence,
        // All nodes see the crash of one run at the same time.
        age_ms: age_ms / 1_000 * 1_000 + run * 100 + number,
    });
    let undecided = (number.clone(), 0_u32..6, 0_u32..5_000);
    let undecided = undecided.prop_map(|(number, run, age_ms)| QuarantineNotice::Undecided {
        digest: digest(number),
        run: ServerRun(run),
        age_ms,
    });
    let cleared = (number, 0_u32..5_000);
    let cleared = cleared.prop_map(|(number, age_ms)| QuarantineNotice::Cleared {
        digest: digest(number),
        age_ms,
    });
    prop_oneof![6 => crashed, 2 => undecided, 1 => cleared]
}

/// Returns the notices with one time for each crash.
fn consistent(notices: Vec<QuarantineNotice>) -> Vec<QuarantineNotice> {
    let mut first: Vec<QuarantineNotice> = Vec::new();
    for notice in notices {
        let known = first.iter().find(|known| match (known, &notice) {
            (
                QuarantineNotice::Ended {
                    digest: a, run: b, ..
                },
                QuarantineNotice::Ended {
                    digest: c, run: d, ..
                },
            ) => (a, b) == (c, d),
            _ => false,
        });
        if known.is_none() {
            first.push(notice);
        }
    }
    first
}

/// Guards against a quarantine that stays after a late notice of a success between the crashes that led to
/// it: they weren't three in a row.
#[test]
fn a_late_success_between_crashes_lifts_the_quarantine() {
    let mut table = in_quarantine();
    let notice = QuarantineNotice::Cleared {
        digest: digest(1),
        age_ms: 600,
    };
    let freed = QuarantineChange::Cleared { quarantined: true };
    assert_eq!(table.on_notified(notice, at(1_000)).1, freed);
    assert!(is_free(&table, 1, 1_000));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against lost, late and repeated datagrams. Nodes that received the same notices in
    /// different orders refuse the same requests.
    #[test]
    fn the_order_of_notices_does_not_matter(
        notices in prop::collection::vec(any_notice(), 0..24),
        seed in any::<u64>(),
    ) {
        let notices = consistent(notices);
        let mut other = notices.clone();
        other.sort_by_key(|t| {
            let text = format!("{t:?}{seed}");
            RequestDigest::of(&RequestParts {
                account: "", method: "", host: "", target: "", body: text.as_bytes(),
            }).number()
        });
        other.extend(notices.iter().copied());
        let (mut one, mut two) = (Quarantine::default(), Quarantine::default());
        for notice in &notices {
            one.on_notified(*notice, at(10_000));
        }
        for notice in &other {
            two.on_notified(*notice, at(10_000));
        }
        one.judge(at(11_000));
        two.judge(at(11_000));
        for number in 1..4 {
            let status = |table: &Quarantine| table.status(&digest(number), at(10_000));
            let is_refused = |table: &Quarantine| is_quarantined(table, number, 10_000);
            prop_assert_eq!(is_refused(&one), is_refused(&two));
            let suspected = QuarantineStatus::Suspected;
            prop_assert_eq!(status(&one) == suspected, status(&two) == suspected);
        }
    }
}
