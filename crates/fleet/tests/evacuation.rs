//! Evacuated failure domains, whose entries arrive in any order and may be missing from an older copy of
//! the directory.

use bluebell_base::prelude::*;
use bluebell_fleet::directory::{Cursor, Era};
use bluebell_fleet::prelude::*;

/// The time that operators have to write their entries again after a renewal of the directory.
const REWRITE_MS: u64 = 2_000;

fn at(era: u64, offset: u64) -> Cursor {
    Cursor {
        era: Era(era),
        offset,
    }
}

fn entry(domain: &str, at: Cursor, active: bool) -> EvacuationEntry {
    EvacuationEntry {
        domain: DomainName(domain.into()),
        at,
        active,
    }
}

fn is_evacuated(evacuations: &Evacuations, domain: &str) -> bool {
    evacuations.contains(&DomainName(domain.into()))
}

/// Guards against a domain that stays empty because a node learned of the end of its evacuation before the
/// evacuation itself.
#[test]
fn the_later_entry_wins_in_any_order() {
    let began = entry("a", at(1, 4), true);
    let ended = entry("a", at(1, 9), false);
    for entries in [[&began, &ended], [&ended, &began]] {
        let mut evacuations = Evacuations::default();
        for entry in entries {
            evacuations.apply(entry, MonoMs(0));
        }
        assert!(!is_evacuated(&evacuations, "a"));
        let again = entry("a", at(1, 12), true);
        assert!(evacuations.apply(&again, MonoMs(0)));
        assert!(is_evacuated(&evacuations, "a"));
    }
}

/// Guards against an evacuation that never ends at a node which missed the removal of its entry and reads
/// the directory whole.
#[test]
fn a_whole_read_without_the_entry_ends_an_evacuation() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(&entry("a", at(1, 4), true), MonoMs(0));
    evacuations.apply(&entry("b", at(1, 5), true), MonoMs(0));
    let listed = [entry("b", at(1, 8), true)];
    let changed = evacuations.apply_snapshot(&listed, at(1, 9), MonoMs(10));
    assert_eq!(changed, [entry("a", at(1, 8), false)]);
    assert!(!is_evacuated(&evacuations, "a"));
    assert!(is_evacuated(&evacuations, "b"));
}

/// Guards against requests to an evacuated domain because the directory came back from a copy that was made
/// before the evacuation. Operators have two seconds to write it again.
#[test]
fn an_evacuation_that_an_older_copy_lacks_is_kept_until_it_could_be_written_again() {
    for written_again in [true, false] {
        let mut evacuations = Evacuations::default();
        evacuations.apply(&entry("a", at(1, 40), true), MonoMs(0));
        evacuations.apply_snapshot(&[], at(2, 30), MonoMs(1_000));
        evacuations.expire(MonoMs(1_000 + REWRITE_MS - 1));
        assert!(is_evacuated(&evacuations, "a"));
        if written_again {
            evacuations.apply(&entry("a", at(2, 31), true), MonoMs(2_000));
        }
        let ended = evacuations.expire(MonoMs(1_000 + REWRITE_MS));
        assert_eq!(ended.is_empty(), written_again);
        assert_eq!(is_evacuated(&evacuations, "a"), written_again);
    }
}

/// Guards against a notice from before a renewal that undoes what was written after it.
#[test]
fn an_entry_of_an_earlier_era_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(&entry("a", at(2, 3), false), MonoMs(0));
    assert!(!evacuations.apply(&entry("a", at(1, 90), true), MonoMs(0)));
    assert!(!is_evacuated(&evacuations, "a"));
}

/// Guards against callers that are asked to return before an evacuation can have ended, or after an hour
/// because it has already lasted for one.
#[test]
fn the_retry_time_follows_the_evacuations_age() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(&entry("a", at(1, 1), true), MonoMs(0));
    let retry_ms = |now_ms| evacuations.retry_after_ms(MonoMs(now_ms));
    assert_eq!(retry_ms(100), SpanMs(1_000));
    assert_eq!(retry_ms(4_000), SpanMs(4_000));
    assert_eq!(retry_ms(3_600_000), SpanMs(10_000));
}

/// Guards against work for replicas of an evacuated domain, also where they are the only ones.
#[test]
fn replicas_of_an_evacuated_domain_are_not_ready() {
    let service = ServiceName("board".into());
    let mut table = ReplicaTable::default();
    for (number, domain) in [(1, "a"), (2, "b")] {
        let replica = Replica {
            instance: format!("i-{number}").into(),
            started: ReplicaStart::UNKNOWN,
            service: service.clone(),
            address: ([10, 0, 0, 1], number).into(),
            domain: DomainName(domain.into()),
            slots: 16,
            cold_ms: SpanMs::ZERO,
            state: ReplicaState::Ready,
        };
        table.apply(ReplicaChange::Listed(replica), MonoMs(0));
    }
    table
        .evacuations
        .apply(&entry("a", at(1, 1), true), MonoMs(0));
    let ready = table.ready(&service);
    assert_eq!(ready.len(), 1);
    assert_eq!(&*ready[0].1.domain.0, "b");
    assert!(table.has_evacuated(&service));
    table
        .evacuations
        .apply(&entry("b", at(1, 2), true), MonoMs(0));
    assert!(table.ready(&service).is_empty());
}
