//! Tests of when prompts with a part are refused, and when they are run again.

mod subjects;

use bluebell_quarantine::prelude::*;
use proptest::prelude::*;
use subjects::{at, digest, late_sighting, sighting};

/// The part that most prompts share.
const SHARED: &str = "5c1e";

/// The part that crashes replicas.
const FATAL: &str = "fa7a1";

/// A part that requests with the fatal part have as well.
const BESIDE: &str = "be51de";

/// A part of other prompts.
const OTHER: &str = "0de2";

/// The time at which all crashes of a test have been judged.
const END_MS: u64 = 60_000;

fn part(id: &str) -> PartId {
    PartId::from_hex(id).expect("an id")
}

/// The parts and the requests that one node knows.
#[derive(Default)]
struct Tables {
    parts: PartQuarantine,
    requests: Quarantine,
}

impl Tables {
    /// Records that a replica crashed under a request with these parts, and what was served of them.
    fn crash(&mut self, run: u32, request: u32, ids: &[&str], ms: u64) {
        let digest = digest(request);
        let run = ServerRun(run);
        self.requests
            .on_crash(digest, run, Evidence::Running, at(ms));
        for id in ids {
            self.parts.on_crash(part(id), run, digest.number(), at(ms));
            self.parts.apply_success(part(id));
        }
    }

    /// Records that an answer to a prompt with these parts began.
    fn serve(&mut self, ids: &[&str], ms: u64) {
        let parts: Vec<PartId> = ids.iter().map(|id| part(id)).collect();
        self.parts.on_served(&parts, at(ms));
    }

    fn judge(&mut self, ms: u64) {
        self.requests.judge_beside(&self.parts, at(ms));
        self.parts.judge(&self.requests, at(ms));
    }

    /// Judges all crashes and returns true if prompts with the part are refused.
    fn refuses(&mut self, id: &str) -> bool {
        self.judge(END_MS);
        self.parts.term(&part(id)).is_some()
    }
}

/// Guards against a fatal part that stays free because no two requests with it are alike, and against refusing
/// the parts that sound prompts share with it.
#[test]
fn a_part_on_the_crashes_of_different_requests_is_refused() {
    let mut tables = Tables::default();
    for (run, ms) in [(0, 0), (1, 400), (2, 900)] {
        tables.crash(run, run, &[SHARED, FATAL], ms);
        tables.serve(&[SHARED, OTHER], ms + 100);
    }
    assert!(tables.refuses(FATAL));
    assert!(!tables.refuses(SHARED));
    assert!(!tables.refuses(OTHER));
}

/// Guards against refusing all prompts of a caller because one or two whole requests of it are fatal: their parts
/// are on all their crashes, and nothing with them is served meanwhile.
#[test]
fn the_parts_of_fatal_requests_are_not_refused() {
    let mut tables = Tables::default();
    for run in 0..6 {
        let ms = u64::from(run) * 400;
        tables.crash(run, run % 2, &[SHARED, BESIDE], ms);
        // Other requests on the same replicas.
        tables.crash(run, 100 + run, &[SHARED, BESIDE], ms);
        tables.crash(run, 200 + run, &[OTHER], ms);
    }
    tables.serve(&["1"], 3_000);
    assert!(!tables.refuses(BESIDE));
    assert!(!tables.refuses(OTHER));
}

/// Guards against refusing every prompt at a time when nothing is served: no request without the part shows that
/// replicas would serve others.
#[test]
fn a_part_that_all_requests_have_is_not_refused() {
    let mut tables = Tables::default();
    tables.serve(&[SHARED], 0);
    for run in 0..12 {
        tables.crash(run, run, &[SHARED], 500 + u64::from(run) * 400);
    }
    assert!(!tables.refuses(SHARED));
}

/// Guards against blaming a part for a power failure that takes down many replicas at one time.
#[test]
fn a_part_on_replicas_that_lose_power_together_is_not_refused() {
    let mut tables = Tables::default();
    for run in 0..12 {
        tables.crash(run, run, &[BESIDE], u64::from(run) * 8);
    }
    tables.serve(&[OTHER], 1_000);
    assert!(!tables.refuses(BESIDE));
}

/// Guards against a part that is refused because it always came with the fatal one lately. It was served before, and
/// the crashes are explained by the other part.
#[test]
fn a_part_that_comes_with_the_fatal_one_is_not_refused() {
    let mut tables = Tables::default();
    tables.serve(&[SHARED, BESIDE], 0);
    for run in 0..8 {
        let ms = 1_000 + u64::from(run) * 400;
        tables.crash(run, run, &[SHARED, BESIDE, FATAL], ms);
        tables.serve(&[SHARED, OTHER], ms + 100);
    }
    assert!(tables.refuses(FATAL));
    assert!(!tables.refuses(BESIDE));
}

/// A part that was served before is refused after five crashes since then, for a short term at first.
#[test]
fn a_part_that_was_served_before_needs_more_crashes() {
    let mut tables = Tables::default();
    tables.serve(&[FATAL], 0);
    for run in 0..4 {
        tables.crash(run, run, &[FATAL], 1_000 + u64::from(run) * 400);
    }
    tables.serve(&[OTHER], 3_000);
    assert!(!tables.refuses(FATAL));
    tables.crash(4, 4, &[FATAL], 4_000);
    assert!(tables.refuses(FATAL));
    assert_eq!(tables.parts.term(&part(FATAL)), Some(Term::SHORT));
}

/// Guards against a part that stays refused although an answer began on it between its crashes, of which this node
/// heard late.
#[test]
fn a_late_success_lifts_the_quarantine_of_a_part() {
    let mut tables = Tables::default();
    for run in 0..3 {
        tables.crash(run, run, &[FATAL], u64::from(run) * 400);
    }
    tables.serve(&[OTHER], 2_000);
    assert!(tables.refuses(FATAL));
    let success = PartNotice::Cleared {
        part: part(FATAL),
        age_ms: 1_500,
    };
    tables.parts.on_notified(success, at(2_000));
    assert_eq!(tables.parts.term(&part(FATAL)), None);
}

/// Guards against two parts that crash replicas at the same time: each has crashes of its own.
#[test]
fn two_fatal_parts_are_both_refused() {
    let mut tables = Tables::default();
    for run in 0..8 {
        let ms = u64::from(run) * 300;
        let id = if run % 2 == 0 { FATAL } else { BESIDE };
        tables.crash(run, run, &[SHARED, id], ms);
        tables.serve(&[SHARED], ms + 50);
    }
    assert!(tables.refuses(FATAL));
    assert!(tables.refuses(BESIDE));
    assert!(!tables.refuses(SHARED));
}

/// Guards against a request that is quarantined because it was on three replicas that a fatal part crashed.
#[test]
fn crashes_that_a_part_explains_do_not_count_against_requests() {
    let mut tables = Tables::default();
    for run in 0..5 {
        let ms = u64::from(run) * 400;
        tables.crash(run, run, &[FATAL], ms);
        tables.serve(&[OTHER], ms + 50);
    }
    tables.judge(4_000);
    for (run, ms) in [(0, 0), (1, 400), (2, 800), (3, 1_200), (4, 1_600)] {
        let run = ServerRun(run);
        tables
            .requests
            .on_crash(digest(77), run, Evidence::Running, at(ms));
    }
    tables.judge(4_000);
    assert_eq!(tables.requests.term(&digest(77)), None);
}

/// The parts and requests of three replicas that crash under different requests with the fatal part, the last of them
/// in a trial of request 77, which was on all of them.
fn crashes_beside_a_fatal_part() -> Tables {
    let mut tables = Tables::default();
    for (run, ms) in [(0, 0), (1, 400), (2, 900)] {
        tables.crash(run, run, &[FATAL], ms);
        let sighting = sighting(ms, run == 2);
        let requests = &mut tables.requests;
        requests.on_crash(digest(77), ServerRun(run), Evidence::Running, sighting);
        let (shared, number) = (part(SHARED), digest(77).number());
        tables
            .parts
            .on_crash(shared, ServerRun(run), number, sighting);
    }
    tables
}

/// Guards against refusing a sound request that was tried beside a fatal part, since requests are judged before parts
/// are.
#[test]
fn a_request_beside_a_part_that_is_to_be_judged_is_not_refused() {
    let mut tables = crashes_beside_a_fatal_part();
    let judged_ms = 900 + DETECTION_DELAY_MS.0;
    tables.judge(judged_ms);
    assert_eq!(tables.requests.term(&digest(77)), None);
    let Tables { parts, requests } = &tables;
    assert!(requests.has_held_suspects(parts, at(judged_ms)));
    assert!(requests.awaits_judgement(&digest(77), parts, at(judged_ms + JUDGEMENT_MS.0)));
    tables.serve(&[OTHER], 1_000);
    tables.judge(900 + PART_DETECTION_DELAY_MS.0);
    assert!(tables.parts.term(&part(FATAL)).is_some());
    tables.judge(900 + PART_HOLD_MS.0);
    assert_eq!(tables.requests.term(&digest(77)), None);
}

/// Guards against a fatal request that stays free because sound requests with a part of their own were on all the
/// replicas that it crashed.
#[test]
fn a_request_beside_a_part_that_is_not_refused_in_time_is() {
    let mut tables = crashes_beside_a_fatal_part();
    tables.judge(900 + PART_HOLD_MS.0 - 1);
    assert_eq!(tables.requests.term(&digest(77)), None);
    tables.judge(900 + PART_HOLD_MS.0);
    assert_eq!(tables.requests.term(&digest(77)), Some(Term::FIRST));
}

/// Guards against refusing a sound request whose earlier crashes a part explains, because of one more in its trial: a
/// request that was sent to the replica's last start at the same address crashed it.
#[test]
fn a_request_whose_other_crashes_a_part_explains_is_not_refused_after_one_trial() {
    let mut tables = crashes_beside_a_fatal_part();
    tables.serve(&[OTHER], 1_000);
    tables.judge(900 + PART_DETECTION_DELAY_MS.0);
    assert!(tables.parts.term(&part(FATAL)).is_some());
    for (run, ms) in [(3, 4_000), (4, 8_000), (5, 12_000)] {
        assert_eq!(tables.requests.term(&digest(77)), None);
        let sighting = sighting(ms, true);
        let requests = &mut tables.requests;
        requests.on_crash(digest(77), ServerRun(run), Evidence::Running, sighting);
        tables.judge(ms + DETECTION_DELAY_MS.0);
    }
    assert_eq!(tables.requests.term(&digest(77)), Some(Term::FIRST));
}

/// Guards against a fatal request that is judged late without need: an answer on the part clears it.
#[test]
fn a_request_beside_a_part_that_is_served_is_refused_at_once() {
    let mut tables = crashes_beside_a_fatal_part();
    tables.serve(&[FATAL], 950);
    tables.judge(900 + DETECTION_DELAY_MS.0);
    assert_eq!(tables.requests.term(&digest(77)), Some(Term::FIRST));
}

/// Guards against blaming sound requests for a part that is in quarantine already: what else it crashed is told to
/// peers as well.
#[test]
fn crashes_of_a_part_in_quarantine_are_told_to_peers() {
    let mut tables = Tables::default();
    for run in 0..3 {
        tables.crash(run, run, &[FATAL], u64::from(run) * 400);
    }
    tables.serve(&[OTHER], 2_000);
    assert!(tables.refuses(FATAL));
    let (fatal, run) = (part(FATAL), ServerRun(9));
    let change = tables.parts.on_crash(fatal, run, 9, at(2_100));
    assert_eq!(change, QuarantineChange::Ended { judged: false });
    let again = tables.parts.on_crash(fatal, run, 9, at(2_100));
    assert_eq!(again, QuarantineChange::None);
}

/// Guards against refusing a part because of crashes that are known late: reports of what was served follow them.
#[test]
fn a_part_is_judged_once_the_answers_after_late_crashes_are_reported() {
    let mut tables = Tables::default();
    let known_ms = 5_000;
    for (run, ms) in [(0, 0), (1, 400), (2, 900)] {
        let sighting = late_sighting(ms, known_ms, false);
        let request = digest(run).number();
        tables
            .parts
            .on_crash(part(SHARED), ServerRun(run), request, sighting);
    }
    tables.serve(&[OTHER], 4_000);
    let early_ms = known_ms + PART_DETECTION_DELAY_MS.0 - 1;
    assert_eq!(tables.parts.judge(&tables.requests, at(early_ms)), []);
    let due_ms = known_ms + PART_DETECTION_DELAY_MS.0;
    assert_eq!(tables.parts.judge(&tables.requests, at(due_ms)).len(), 1);
}

/// Guards against a caller that lists ever new parts until a quarantine is forgotten.
#[test]
fn a_flood_of_parts_removes_no_quarantine() {
    let mut tables = Tables::default();
    for run in 0..3 {
        tables.crash(run, run, &[FATAL], u64::from(run) * 400);
    }
    tables.serve(&[OTHER], 2_000);
    assert!(tables.refuses(FATAL));
    for number in 0..5_000_u32 {
        let id = format!("f{number:x}");
        let run = ServerRun(number);
        tables
            .parts
            .on_crash(part(&id), run, u64::from(number), at(3_000));
        tables
            .parts
            .on_served(&[part(&format!("e{number:x}"))], at(3_000));
    }
    assert!(tables.parts.suspect_count() <= 512);
    assert!(tables.parts.term(&part(FATAL)).is_some());
}

/// At the end of a term one arrival is tried. A crash begins a longer term, a success ends the quarantine.
#[test]
fn a_quarantined_part_is_tried_once_a_term() {
    let mut tables = Tables::default();
    for run in 0..3 {
        tables.crash(run, run, &[FATAL], u64::from(run) * 400);
    }
    tables.serve(&[OTHER], 2_000);
    assert!(tables.refuses(FATAL));
    let fatal = part(FATAL);
    let due_ms = 800 + Term::FIRST.span_ms().0;
    assert!(!tables.parts.begin_trial(&fatal, at(due_ms - 1)));
    assert!(tables.parts.begin_trial(&fatal, at(due_ms)));
    assert!(!tables.parts.begin_trial(&fatal, at(due_ms + 1)));
    tables.crash(9, 9, &[FATAL], due_ms + 100);
    assert_eq!(tables.parts.term(&fatal), Some(Term::FIRST.next()));
    let due_ms = due_ms + 100 + Term::FIRST.next().span_ms().0;
    assert!(tables.parts.begin_trial(&fatal, at(due_ms)));
    tables.serve(&[FATAL], due_ms + 100);
    assert_eq!(tables.parts.term(&fatal), None);
}

/// Guards against requests of a part that are forgotten or read as another: ids read back from their text, and bad
/// ones are none.
#[test]
fn a_part_reads_back_from_text_and_bytes() {
    for id in ["0", "5c1e07a2", "ffffffffffffffffffffffffffffffff"] {
        let part = part(id);
        assert_eq!(part.to_string(), format!("part-{id}"));
        assert_eq!(part.to_string().parse(), Ok(part));
        let subject: QuarantineSubject = part.to_string().parse().expect("a subject");
        assert_eq!(subject, part.into());
        let bytes = postcard::to_allocvec(&part).expect("bytes");
        assert_eq!(postcard::from_bytes::<PartId>(&bytes), Ok(part));
    }
    for bad in ["", "g1", "+1", "-", "fffffffffffffffffffffffffffffffff"] {
        assert_eq!(PartId::from_hex(bad), None, "{bad}");
    }
    for bad in ["", "part-", "part-x", "request"] {
        assert!(bad.parse::<QuarantineSubject>().is_err(), "{bad}");
    }
}

proptest! {
    /// Nodes that hear the same crashes and successes in another order, and some twice, refuse the same parts.
    #[test]
    fn the_order_of_part_notices_does_not_matter(
        events in prop::collection::vec((0..4_u32, 0..8_u32, 0..6_u64, 0..5_u64), 1..40),
        order in any::<prop::sample::Index>(),
    ) {
        let ids = [SHARED, FATAL, BESIDE, OTHER];
        let mut notices: Vec<PartNotice> = events
            .iter()
            .map(|(id, run, request, tenths)| {
                let part = part(ids[*id as usize]);
                // Runs crash at one time each.
                let age_ms = 10_000 - run * 300;
                match *tenths {
                    0 => PartNotice::Cleared { part, age_ms: age_ms - 100 },
                    _ => PartNotice::Ended { part, run: ServerRun(*run), request: *request, age_ms },
                }
            })
            .collect();
        // One part has crashes of different requests, and prompts without it are served.
        notices.extend((0..4).map(|run| PartNotice::Ended {
            part: part(FATAL),
            run: ServerRun(100 + run),
            request: 100 + u64::from(run),
            age_ms: 9_000 - run * 300,
        }));
        let mut one = Tables::default();
        let mut two = Tables::default();
        for tables in [&mut one, &mut two] {
            tables.serve(&["c0"], 19_500);
        }
        let turn = order.index(notices.len());
        for notice in &notices {
            one.parts.on_notified(*notice, at(20_000));
        }
        for notice in notices[turn..].iter().chain(&notices[..turn]).chain(&notices[..turn]) {
            two.parts.on_notified(*notice, at(20_000));
        }
        let never_served = !notices.iter().any(|notice| {
            matches!(notice, PartNotice::Cleared { part: served, .. } if *served == part(FATAL))
        });
        prop_assert!(one.refuses(FATAL) || !never_served, "the test sees refusals");
        for id in ids {
            prop_assert_eq!(one.refuses(id), two.refuses(id));
        }
    }
}
