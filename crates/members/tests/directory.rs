//! The list, its changes, and the records of the directory stream.

use bluebell_base::prelude::*;
use bluebell_members::directory::{
    DirectoryOutcome, DirectoryRecord, DirectoryReducer, decode, encode, full_records,
};
use bluebell_members::listing::{ListChange, Listing};
use bluebell_platform::{VmEntry, VmRole, VmState};
use proptest::prelude::*;

fn entry(number: u8, state: VmState) -> VmEntry {
    VmEntry {
        name: format!("vm-{number}").as_str().into(),
        role: VmRole::Engine,
        address: format!("10.0.0.{number}:80").as_str().into(),
        deployment: "writers".into(),
        domain: "galway-a".into(),
        state,
    }
}

fn entries(numbers: &[u8]) -> Vec<VmEntry> {
    numbers.iter().map(|n| entry(*n, VmState::Live)).collect()
}

fn listed(listing: &Listing) -> Vec<VmEntry> {
    listing.entries().cloned().collect()
}

fn apply_fetched(listing: &mut Listing, fetched: &[VmEntry]) -> usize {
    let changes = listing.compare(fetched, 3);
    changes
        .iter()
        .filter(|change| listing.apply(change))
        .count()
}

/// An entry that is missing from one or two listings in a row is kept. After three it is removed.
#[test]
fn an_absence_needs_confirmation() {
    let mut listing = Listing::default();
    let all = entries(&[1, 2, 3, 4, 5]);
    assert_eq!(apply_fetched(&mut listing, &all), 5);
    for _ in 0..10 {
        assert_eq!(apply_fetched(&mut listing, &all[1..]), 0);
        assert_eq!(apply_fetched(&mut listing, &all[1..]), 0);
        assert_eq!(apply_fetched(&mut listing, &all), 0);
    }
    (0..2).for_each(|_| assert_eq!(apply_fetched(&mut listing, &all[1..]), 0));
    assert_eq!(apply_fetched(&mut listing, &all[1..]), 1);
    assert_eq!(listed(&listing), &all[1..]);
}

/// The platform lost the store of its list and returns no entries. The entries are kept for 59
/// listings and removed by the 60th.
#[test]
fn an_empty_list_needs_more_confirmations() {
    let mut listing = Listing::default();
    apply_fetched(&mut listing, &entries(&[1, 2, 3, 4, 5]));
    for _ in 0..59 {
        assert_eq!(apply_fetched(&mut listing, &[]), 0);
    }
    assert_eq!(
        apply_fetched(&mut listing, &[]),
        5,
        "the absence is confirmed"
    );
}

/// A list has two entries for a VM. The first is used, and the two don't alternate.
#[test]
fn a_duplicate_name_uses_the_first_entry() {
    let mut listing = Listing::default();
    let twice = [entry(1, VmState::Live), entry(1, VmState::Leaving)];
    assert_eq!(apply_fetched(&mut listing, &twice), 1);
    assert_eq!(apply_fetched(&mut listing, &twice), 0);
}

/// A late record of a superseded writer is ignored, also within a full record set.
#[test]
fn old_writers_are_ignored() {
    let all = entries(&[1, 2, 3]);
    let mut reducer = DirectoryReducer::default();
    let parts = full_records(OperationId(1), Fencing(5), all.iter(), Bytes(300));
    assert!(parts.len() > 1);
    let old = full_records(OperationId(2), Fencing(4), [].iter(), Bytes(300));
    let mut last = DirectoryOutcome::Nothing;
    for part in parts {
        last = reducer.apply(part);
        assert_eq!(reducer.apply(old[0].clone()), DirectoryOutcome::Nothing);
    }
    let (op, entries) = (OperationId(1), all);
    assert_eq!(last, DirectoryOutcome::Full { op, entries });
}

fn any_entries() -> impl Strategy<Value = Vec<VmEntry>> {
    let state = prop_oneof![Just(VmState::Live), Just(VmState::Leaving)];
    let entries = proptest::collection::btree_map(0..12u8, state, 0..12);
    entries.prop_map(|map| map.into_iter().map(|(n, s)| entry(n, s)).collect())
}

proptest! {
    /// A list of any size is restored from its full records of any size.
    #[test]
    fn full_lists_survive(entries in any_entries(), record_bytes in 1..2_000u64) {
        let mut reducer = DirectoryReducer::default();
        let limit = Bytes(record_bytes);
        let mut last = DirectoryOutcome::Nothing;
        for record in full_records(OperationId(1), Fencing(1), entries.iter(), limit) {
            let text = encode(&record);
            last = reducer.apply(decode(&text, Bytes(10_000)).unwrap());
        }
        let mut listing = Listing::default();
        let DirectoryOutcome::Full { entries: read, .. } = last else {
            panic!("no full list");
        };
        let changes = listing.replace(read);
        changes.iter().for_each(|change| { listing.apply(change); });
        let mut sorted = entries.clone();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        prop_assert_eq!(listed(&listing), sorted);
    }

    /// Changes lead to the same list if some or all of them are applied twice.
    #[test]
    fn changes_are_idempotent(before in any_entries(), after in any_entries(), some in 0..24usize) {
        let mut listing = Listing::default();
        let changes = listing.replace(before);
        changes.iter().for_each(|change| { listing.apply(change); });
        let changes: Vec<ListChange> = listing.replace(after.clone());
        changes.iter().take(some).for_each(|change| { listing.apply(change); });
        changes.iter().for_each(|change| { listing.apply(change); });
        prop_assert!(!changes.iter().any(|change| listing.apply(change)));
        prop_assert_eq!(listing.len(), after.len());
    }

    /// Decoding does not panic for any text.
    #[test]
    fn any_text_is_read_or_skipped(text in "\\PC{0,200}") {
        let _: Option<DirectoryRecord> = decode(&text, Bytes(100));
    }
}
