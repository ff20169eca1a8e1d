//! When a request is run no more, and when it is again.

use bluebell_base::prelude::*;
use bluebell_quarantine::prelude::*;
use proptest::prelude::*;

fn digest(number: u32) -> RequestDigest {
    RequestDigest::of(&RequestParts {
        account: "a",
        method: "POST",
        host: "h",
        target: "/",
        body: &number.to_be_bytes(),
    })
}

fn at(ms: u64) -> MonoMs {
    MonoMs(1_000_000 + ms)
}

fn is_free(table: &Quarantine, number: u32, ms: u64) -> bool {
    table.status(&digest(number), at(ms)) == QuarantineStatus::Free
}

/// Ends of request 1: at which ms, and under what evidence; returns whether it is free after them.
fn free_after(ends: &[(u64, Evidence)]) -> bool {
    let mut table = Quarantine::default();
    for (run, (ms, evidence)) in ends.iter().enumerate() {
        table.on_crash(digest(1), ServerRun(run as u32), *evidence, at(*ms));
    }
    table.judge(at(60_000));
    is_free(&table, 1, 60_000)
}

/// How many ends it takes: three under a request that had begun to run, five where it may only have
/// waited, and never ends that all fall into one moment, as when a rack loses power under a call
/// that comes all the time.
#[test]
fn how_many_ends_it_takes() {
    use Evidence::{Present, Running};
    let running = |times: &[u64]| times.iter().map(|ms| (*ms, Running)).collect::<Vec<_>>();
    let present = |times: &[u64]| times.iter().map(|ms| (*ms, Present)).collect::<Vec<_>>();
    let cases = [
        ("two", running(&[0, 5_000]), true),
        ("three", running(&[0, 300, 900]), false),
        (
            "three, one of them perhaps waiting",
            vec![(0, Running), (400, Present), (900, Running)],
            false,
        ),
        ("three that may have waited", present(&[0, 400, 900]), true),
        (
            "four that may have waited",
            present(&[0, 400, 900, 1_300]),
            true,
        ),
        (
            "five that may have waited",
            present(&[0, 400, 900, 1_300, 1_700]),
            false,
        ),
        (
            "many in one moment",
            running(&[0, 20, 40, 60, 90, 120]),
            true,
        ),
        (
            "many in one moment and one more",
            running(&[0, 20, 40, 60, 900]),
            false,
        ),
    ];
    for (name, ends, free) in cases {
        assert_eq!(free_after(&ends), free, "{name}");
    }
}

/// A power cut ends eight replicas, three times within a minute, and some drafts were on one of them
/// each time: 36 of some 3,000 requests of a day of such waves were refused for good. Each was on one
/// or two of all that ended in that moment, so something else ended them.
#[test]
fn what_ends_with_many_others_is_not_to_blame() {
    let mut table = Quarantine::default();
    for (wave, ms) in [(0, 0), (1, 5_000), (2, 10_000)] {
        for replica in 0..8 {
            let run = ServerRun(wave * 8 + replica);
            let of_many = digest(100 + wave * 8 + replica);
            table.on_crash(
                of_many,
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

/// The same request comes from several callers' programs at once, to several nodes: it ends four
/// replicas in one moment, and four in another. It was on all of them.
#[test]
fn what_is_on_all_that_end_is_to_blame() {
    let mut table = Quarantine::default();
    for (run, ms) in [(0, 0), (1, 20), (2, 30), (3, 60), (4, 900), (5, 920)] {
        table.on_crash(digest(1), ServerRun(run), Evidence::Running, at(ms));
    }
    assert_eq!(table.judge(at(2_000)).len(), 1);
}

/// A draft shared an engine with a fatal request three times and would be refused with it. What the
/// fatal one ended, which was on more, isn't held against the draft.
#[test]
fn what_another_explains_does_not_count() {
    let mut table = Quarantine::default();
    for (run, ms) in [(0, 0), (1, 500), (2, 1_000), (3, 1_500)] {
        table.on_crash(digest(1), ServerRun(run), Evidence::Running, at(ms));
        if run > 0 {
            table.on_crash(digest(2), ServerRun(run), Evidence::Running, at(ms));
        }
    }
    let judged = table.judge(at(2_000));
    assert_eq!(judged.len(), 1);
    assert!(!is_free(&table, 1, 2_000));
    assert!(is_free(&table, 2, 2_000));
}

/// A replica that several nodes saw end under one request ended once.
#[test]
fn one_run_ends_once() {
    let mut table = Quarantine::default();
    for ms in [0, 500, 1_000, 1_500] {
        table.on_crash(digest(1), ServerRun(7), Evidence::Running, at(ms));
    }
    table.judge(at(2_000));
    assert!(is_free(&table, 1, 2_000));
}

/// A call that comes all the time was on two replicas that ended for another reason, and was served
/// by a third. Each success shows that it ends nothing: only ends that no success interrupts count.
#[test]
fn a_served_request_is_free_of_its_ends() {
    let mut table = Quarantine::default();
    for round in 0..10 {
        let ms = round * 10_000;
        for end in 0..2 {
            let run = ServerRun((round * 2 + end) as u32);
            table.on_crash(digest(1), run, Evidence::Running, at(ms + end * 400));
        }
        table.judge(at(ms + 4_000));
        table.clear(digest(1), at(ms + 5_000));
    }
    assert!(is_free(&table, 1, 200_000));
    assert_eq!(
        table.clear(digest(2), at(0)),
        QuarantineChange::None,
        "nothing is known of it"
    );
}

/// Gossip of ends that comes after that of a success was told before it.
#[test]
fn ends_from_before_a_success_count_no_more() {
    let mut table = Quarantine::default();
    let cleared = QuarantineNotice::Cleared {
        digest: digest(1),
        age_ms: 0,
    };
    table.on_notified(cleared, at(2_000));
    for run in 0..4 {
        let told = QuarantineNotice::Ended {
            digest: digest(1),
            run: ServerRun(run),
            evidence: Evidence::Running,
            age_ms: 3_000 - run * 500,
        };
        table.on_notified(told, at(3_000));
    }
    table.judge(at(4_000));
    assert!(is_free(&table, 1, 3_000));
    let told = QuarantineNotice::Quarantined {
        digest: digest(1),
        age_ms: 1_500,
        term: Term::FIRST,
    };
    assert_eq!(table.on_notified(told, at(3_000)).1, QuarantineChange::None);
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
        "what else ended isn't known yet"
    );
    let first = QuarantineChange::Quarantined {
        term: Term::FIRST,
        seen: true,
    };
    assert_eq!(table.judge(at(800 + 150)), [(digest(1), first)]);
    assert!(!is_free(&table, 1, 950));
    table
}

/// A request that was refused wrongly must not be refused for ever, and one that was refused rightly
/// must not end three more each time: at its review one arrival is run, by one node, and what comes
/// meanwhile is still refused.
#[test]
fn at_its_review_one_arrival_is_tried() {
    let review = 800 + Term::FIRST.span_ms().0;
    let mut table = in_quarantine();
    assert!(!table.begin_trial(&digest(1), at(review - 1)));
    assert!(table.begin_trial(&digest(1), at(review)));
    assert!(
        !table.begin_trial(&digest(1), at(review + 500)),
        "one is under way"
    );
    assert!(!is_free(&table, 1, review + 500));
    let ended = table.on_crash(digest(1), ServerRun(9), Evidence::Running, at(review + 600));
    let longer = QuarantineChange::Quarantined {
        term: Term::FIRST.next(),
        seen: true,
    };
    assert_eq!(ended, longer);
    let longer = Term::FIRST.next().span_ms().0;
    assert!(longer > Term::FIRST.span_ms().0);
    assert!(!table.begin_trial(&digest(1), at(review + 600 + longer - 1)));
    assert!(table.begin_trial(&digest(1), at(review + 600 + longer)));
    let served = table.clear(digest(1), at(review + 700 + longer));
    assert_eq!(served, QuarantineChange::Cleared { quarantined: true });
    assert!(is_free(&table, 1, review + 700 + longer));
}

/// Its caller left before the trial showed anything: the next arrival is tried, a minute later.
#[test]
fn a_trial_without_an_outcome_is_repeated() {
    let review = 800 + Term::FIRST.span_ms().0;
    let mut table = in_quarantine();
    assert!(table.begin_trial(&digest(1), at(review)));
    assert!(table.begin_trial(&digest(1), at(review + 60_000)));
}

/// Replicas that were busy with it when it was put into quarantine end as well. That changes nothing.
#[test]
fn ends_of_what_was_under_way_change_nothing() {
    let mut table = in_quarantine();
    let more = table.on_crash(digest(1), ServerRun(8), Evidence::Running, at(900));
    assert_eq!(more, QuarantineChange::None);
    let review_in_ms = Term::FIRST.span_ms();
    assert_eq!(
        table.status(&digest(1), at(800)),
        QuarantineStatus::Quarantined { review_in_ms }
    );
}

/// Fatal requests come by the thousand, each a little different. What is kept of them stays small,
/// and what is in quarantine isn't pushed out by suspects.
#[test]
fn a_flood_is_bounded() {
    let mut table = in_quarantine();
    for number in 2..20_000 {
        let ms = u64::from(number);
        table.on_crash(digest(number), ServerRun(number), Evidence::Running, at(ms));
    }
    assert!(table.suspects() <= 512);
    assert!(!is_free(&table, 1, 20_000));
    for number in 2..2_000 {
        let told = QuarantineNotice::Quarantined {
            digest: digest(number),
            age_ms: 0,
            term: Term::FIRST,
        };
        table.on_notified(told, at(20_000 + u64::from(number)));
    }
    assert!(table.quarantined(at(30_000)).count() <= 512);
    assert!(!is_free(&table, 1_999, 30_000));
}

/// Nothing stays for ever: ends for minutes, a quarantine for a day after a review that nobody used.
#[test]
fn what_nobody_asks_for_is_forgotten() {
    let mut table = in_quarantine();
    table.on_crash(digest(2), ServerRun(1), Evidence::Running, at(0));
    assert_eq!(table.expire(at(700_000)), []);
    assert_eq!(table.suspects(), 0);
    let day_ms = 86_400_000;
    let review = 800 + Term::FIRST.span_ms().0;
    assert_eq!(table.expire(at(review + day_ms - 1)), []);
    assert_eq!(table.expire(at(review + day_ms)), [digest(1)]);
    assert!(!table.may_contain(&1_u32.to_be_bytes()));
}

/// What this node saw itself is told again for three seconds, so that a lost datagram costs nothing;
/// what peers told isn't.
#[test]
fn what_was_seen_is_told_again_for_a_while() {
    let mut table = Quarantine::default();
    table.on_crash(digest(1), ServerRun(1), Evidence::Running, at(0));
    let told = Quarantine::crash_notice(digest(2), ServerRun(1), Evidence::Running, (at(0), at(0)));
    table.on_notified(told, at(0));
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

/// A status call is served many times a second, and was once on a replica that ended. Its later
/// successes have nothing to forget, and nothing of them is told.
#[test]
fn what_is_served_all_the_time_is_told_once() {
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

/// One piece of gossip about requests 1 to 3, told when it was `age_ms` old.
fn any_told() -> impl Strategy<Value = QuarantineNotice> {
    let number = 1_u32..4;
    let evidence = prop_oneof![Just(Evidence::Present), Just(Evidence::Running)];
    let ended = (number.clone(), 0_u32..6, evidence, 0_u32..5_000);
    let ended = ended.prop_map(|(number, run, evidence, age_ms)| QuarantineNotice::Ended {
        digest: digest(number),
        run: ServerRun(run),
        evidence,
        // Nodes see the end of one run at one moment.
        age_ms: age_ms / 1_000 * 1_000 + run * 100 + number,
    });
    let cleared = (number, 0_u32..5_000);
    let cleared = cleared.prop_map(|(number, age_ms)| QuarantineNotice::Cleared {
        digest: digest(number),
        age_ms,
    });
    prop_oneof![6 => ended, 1 => cleared]
}

/// The gossip, with one moment for each run.
fn consistent(told: Vec<QuarantineNotice>) -> Vec<QuarantineNotice> {
    let mut first: Vec<QuarantineNotice> = Vec::new();
    for told in told {
        let known = first.iter().find(|known| match (known, &told) {
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
            first.push(told);
        }
    }
    first
}

/// A success that was told late lies between the ends for which a request is in quarantine: they
/// weren't three in a row.
#[test]
fn a_success_between_its_ends_frees_a_request() {
    let mut table = in_quarantine();
    let told = QuarantineNotice::Cleared {
        digest: digest(1),
        age_ms: 600,
    };
    let freed = QuarantineChange::Cleared { quarantined: true };
    assert_eq!(table.on_notified(told, at(1_000)).1, freed);
    assert!(is_free(&table, 1, 1_000));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Lost, late and doubled datagrams: nodes that were told the same in other orders refuse the
    /// same requests.
    #[test]
    fn the_order_of_news_does_not_matter(
        told in prop::collection::vec(any_told(), 0..24),
        seed in any::<u64>(),
    ) {
        let told = consistent(told);
        let mut other = told.clone();
        other.sort_by_key(|t| {
            let text = format!("{t:?}{seed}");
            RequestDigest::of(&RequestParts {
                account: "", method: "", host: "", target: "", body: text.as_bytes(),
            }).number()
        });
        other.extend(told.iter().copied());
        let (mut one, mut two) = (Quarantine::default(), Quarantine::default());
        for told in &told {
            one.on_notified(*told, at(10_000));
        }
        for told in &other {
            two.on_notified(*told, at(10_000));
        }
        one.judge(at(11_000));
        two.judge(at(11_000));
        for number in 1..4 {
            prop_assert_eq!(is_free(&one, number, 10_000), is_free(&two, number, 10_000));
        }
    }
}
