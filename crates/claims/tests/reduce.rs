//! The reduction: epochs, duplicates, readers that begin late, records of other versions.

use bluebell_base::prelude::*;
use bluebell_claims::records::{BatchRecord, EpochRecord, Record, encode};
use bluebell_claims::reduce::ShardState;
use bluebell_claims::verify::verify;
use bluebell_peers::{ClaimCall, ClaimKey, SettleCall, Settlement};
use bluebell_platform::LogRecord;
use expect_test::expect;
use proptest::prelude::*;

const VALIDITY_MS: SpanMs = SpanMs(60_000);

fn request(number: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(0xa),
        sequence: number,
    }
}

fn epoch(fencing: u64) -> Arc<str> {
    encode(&Record::Epoch(EpochRecord {
        fencing: Fencing(fencing),
        round: 1,
        incarnation: Incarnation(fencing),
    }))
}

fn batch(fencing: u64, batch: u64, freed: &[(u128, u64)], claims: &[(u128, u64)]) -> Arc<str> {
    let settles = freed.iter().map(|&(key, number)| SettleCall {
        key: ClaimKey(key),
        request: request(number),
        settlement: Settlement::NotRun,
    });
    let claims = claims.iter().map(|&(key, number)| ClaimCall {
        key: ClaimKey(key),
        fingerprint: 1,
        request: request(number),
    });
    encode(&Record::Batch(BatchRecord {
        fencing: Fencing(fencing),
        round: 1,
        batch,
        settles: settles.map(|call| (&call).into()).collect(),
        claims: claims.map(|call| (&call).into()).collect(),
    }))
}

/// Reduces records that were appended a second apart, beginning at index `from`.
fn read(records: &[Arc<str>], from: usize) -> ShardState {
    let mut state = ShardState::new(VALIDITY_MS);
    state.skip_to(Offset(from as u64));
    for (offset, body) in records.iter().enumerate() {
        state.apply(&LogRecord {
            offset: Offset(offset as u64),
            appended_ms: WallMs(1000 * (offset as u64 + 1)),
            body: Arc::clone(body),
        });
        verify(&state).expect("the invariants hold");
    }
    state
}

#[test]
fn the_record_format() {
    expect![[r#"{"k":"epoch","e":7,"r":1,"i":7}"#]].assert_eq(&epoch(7));
    expect![[r#"{"k":"batch","e":7,"r":1,"n":1,"s":[["AAAAAAAAAAAAAAAAAAAABg",0,"AAAAAAAAAAo",3]],"c":[["AAAAAAAAAAAAAAAAAAAABQ","AAAAAAAAAAE","AAAAAAAAAAo",2]]}"#]]
        .assert_eq(&batch(7, 1, &[(6, 3)], &[(5, 2)]));
}

#[test]
fn batches_of_older_epochs_are_fenced_out() {
    let records = [
        epoch(5),
        batch(5, 1, &[], &[(1, 1)]),
        epoch(6),
        batch(5, 2, &[(1, 1)], &[(2, 2)]),
        epoch(5),
        batch(6, 1, &[], &[(2, 3)]),
    ];
    expect![[r#"
        next off6 at 6000ms, fence6.1 of inc6, batch 1, 2 keys
        00000000000000000000000000000001 pending req-000000000000000a-1 since 2s
        00000000000000000000000000000002 pending req-000000000000000a-3 since 6s
    "#]]
    .assert_eq(&read(&records, 0).to_string());
}

/// The log stores a batch a second time, much later. Meanwhile the first request freed the key, and
/// a second one claimed and freed it. The duplicate must not make the first request the holder
/// again, since the caller's next attempt would get "may have run".
#[test]
fn a_late_copy_of_a_batch_changes_nothing() {
    let records = [
        epoch(5),
        batch(5, 1, &[], &[(1, 1)]),
        batch(5, 2, &[(1, 1)], &[(1, 2)]),
        batch(5, 3, &[(1, 2)], &[]),
        batch(5, 1, &[], &[(1, 1)]),
    ];
    expect![[r#"
        next off5 at 5000ms, fence5.1 of inc5, batch 3, 1 keys
        00000000000000000000000000000001 freed req-000000000000000a-2 since 3s
    "#]]
    .assert_eq(&read(&records, 0).to_string());
}

/// Request 2 was granted the key in epoch 6 and may have run. A batch of epoch 5, from an owner that
/// was paused for long, was appended before it and fenced out. The epoch record that fences it has
/// expired from the log when the next owner reads. That owner must not free the key when request 1
/// of the fenced batch is settled as not run.
#[test]
fn a_reader_without_the_epoch_record_frees_nothing() {
    let records = [
        epoch(6),
        batch(5, 9, &[], &[(1, 1)]),
        batch(6, 1, &[], &[(1, 2)]),
        batch(6, 2, &[(1, 1)], &[]),
    ];
    expect![[r#"
        next off4 at 4000ms, fence6.1 of inc6, batch 2, 1 keys
        00000000000000000000000000000001 pending req-000000000000000a-2 since 3s
    "#]]
    .assert_eq(&read(&records, 0).to_string());
    expect![[r#"
        next off4 at 4000ms, fence6.1 of inc0, batch 2, 1 keys
        00000000000000000000000000000001 contested req-000000000000000a-1 since 3s
    "#]]
    .assert_eq(&read(&records, 1).to_string());
}

#[test]
fn keys_expire_by_the_time_of_the_log() {
    let mut records = vec![epoch(5), batch(5, 1, &[], &[(1, 1)])];
    records.resize(63, epoch(5));
    assert!(read(&records, 0).table().iter().next().is_some());
    records.push(batch(5, 2, &[], &[(1, 2)]));
    let state = read(&records, 0);
    let (_, entry) = state.table().iter().next().expect("claimed again");
    assert_eq!(entry.request, request(2));
    assert_eq!(state.counts().contested, 0);
}

/// A node of a newer version writes fields and kinds of records that this version does not know.
#[test]
fn records_of_a_newer_version() {
    let newer_field = batch(5, 1, &[], &[(1, 1)]).replace("{\"k\"", "{\"z\":[1],\"k\"");
    let records: [Arc<str>; 5] = [
        epoch(5),
        r#"{"k":"snapshot","e":9}"#.into(),
        newer_field.into(),
        r#"{"k":"batch","e":"#.into(),
        "".into(),
    ];
    let state = read(&records, 0);
    assert_eq!(state.table().len(), 1);
    assert_eq!(state.counts().skipped, 3);
    assert_eq!(state.epoch().map(|epoch| epoch.fencing), Some(Fencing(5)));
}

fn any_body() -> impl Strategy<Value = Arc<str>> {
    let ops = || prop::collection::vec((0..4u128, 0..6u64), 0..3);
    prop_oneof![
        (0..5u64).prop_map(epoch),
        (0..5u64, 0..6u64, ops(), ops()).prop_map(|(e, n, s, c)| batch(e, n, &s, &c)),
        ".{0,40}".prop_map(|text| text.as_str().into()),
        // A record with one character replaced or appended.
        (0..200usize, any::<char>()).prop_map(|(at, c)| {
            let text = batch(5, 1, &[(1, 1)], &[(2, 2)]);
            let kept = text.chars().take(at).chain([c]);
            kept.chain(text.chars().skip(at + 1))
                .collect::<String>()
                .into()
        }),
    ]
}

proptest! {
    #[test]
    fn no_log_breaks_the_invariants(records in prop::collection::vec(any_body(), 0..60)) {
        read(&records, 0);
    }
}
