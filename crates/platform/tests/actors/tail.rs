//! Tests following a stream through outages, expired records and cut reads.

use crate::support::World;
use bluebell_base::prelude::*;
use bluebell_platform::{BackoffSettings, LogPort, LogRecord, ReadBatch, TailEvent, TailSettings};
use bluebell_stand_ins::platform::{Fault, Operation, PlatformSettings};
use proptest::prelude::*;
use stakker::{Core, Ret, call};
use std::rc::Rc;

const INTERVAL_MS: u64 = 1_000;

fn settings() -> TailSettings {
    TailSettings {
        interval_ms: SpanMs(INTERVAL_MS),
        limit_bytes: Bytes(8),
        backoff: BackoffSettings {
            first_ms: SpanMs(200),
            cap_ms: SpanMs(10_000),
        },
    }
}

fn world() -> World {
    World::open(PlatformSettings::default())
}

#[test]
fn new_records_arrive_within_the_interval() {
    let mut world = world();
    world.put(&["a"]);
    let tail = world.tail(0, settings(), 1);
    world.advance(10);
    assert_eq!(tail.forwarded(), ["a"]);
    for body in ["b", "c", "d"] {
        world.put(&[body]);
        world.advance(INTERVAL_MS * 5 / 4 + 10);
    }
    assert_eq!(tail.forwarded(), ["a", "b", "c", "d"]);
    tail.verify();
}

#[test]
fn cut_batches_are_continued_at_once() {
    let mut world = world();
    world.put(&["aaaa", "bbbb", "cccc", "dddd", "eeee"]);
    let tail = world.tail(0, settings(), 1);
    world.advance(20);
    assert_eq!(tail.forwarded(), ["aaaa", "bbbb", "cccc", "dddd", "eeee"]);
    assert_eq!(world.model.borrow().stats().reads, 3);
    tail.verify();
}

#[test]
fn poll_soon_reads_at_once_and_again_after_a_read_in_progress() {
    // A node appends while its own read is already at the log. The answer to that read can't
    // contain the append. Without a second read the append would be received a whole interval
    // later.
    let mut world = world();
    let tail = world.tail(0, settings(), 1);
    world.advance(3);
    world.put(&["a"]);
    call!([tail.actor], poll_soon());
    world.advance(1);
    assert!(tail.forwarded().is_empty());
    world.advance(5);
    assert_eq!(tail.forwarded(), ["a"]);
    world.put(&["b"]);
    call!([tail.actor], poll_soon());
    world.advance(5);
    assert_eq!(tail.forwarded(), ["a", "b"]);
    tail.verify();
}

#[test]
fn outage_gives_one_down_event_and_loses_no_record() {
    // The log is unreachable for an hour and returns with new records. Users of the tail receive
    // one `Down`, one `Up` and then every record. The log receives few calls in the meantime.
    let mut world = world();
    world.put(&["a"]);
    let tail = world.tail(0, settings(), 1);
    world.advance(10);
    world.model.borrow_mut().faults.down = true;
    world.advance(3_600_000);
    assert_eq!(tail.forwarded(), ["a", "down"]);
    world.put(&["b"]);
    world.model.borrow_mut().faults.down = false;
    world.advance(10_010);
    assert_eq!(tail.forwarded(), ["a", "down", "up", "b"]);
    tail.verify();
}

/// The log answers no read, and a node's appends fail one after the other. Each failure requests a
/// read at once from the tail. If each of them sent a read, the reads of all nodes would keep the
/// log from recovering.
#[test]
fn poll_soon_does_not_break_the_backoff() {
    let mut world = world();
    let tail = world.tail(0, settings(), 1);
    world.model.borrow_mut().faults.down = true;
    world.advance(60_000);
    // From now on reads reach the log, which counts them, and their answers are lost.
    world.model.borrow_mut().faults.down = false;
    world.model.borrow_mut().faults.lose_answer = true;
    let before = world.model.borrow().stats().reads;
    for _ in 0..1_000 {
        call!([tail.actor], poll_soon());
        world.advance(10);
    }
    let reads = world.model.borrow().stats().reads - before;
    assert!((1..=2).contains(&reads), "{reads} reads in one cap's time");
}

#[test]
fn reads_of_many_nodes_are_spread_after_an_outage() {
    // All nodes lose the log at the same time and reach it again after two minutes. Their first
    // reads must not coincide: jitter spreads them over the capped backoff.
    const NODES: u64 = 200;
    const SLOT_MS: u64 = 500;
    let mut world = world();
    let tails: Vec<_> = (0..NODES).map(|i| world.tail(0, settings(), i)).collect();
    world.advance(10);
    world.model.borrow_mut().faults.down = true;
    world.advance(120_000);
    world.model.borrow_mut().faults.down = false;
    let mut most = 0;
    for _ in 0..20 {
        let before = world.model.borrow().stats().reads;
        world.advance(SLOT_MS);
        most = most.max(world.model.borrow().stats().reads - before);
    }
    assert!(tails.iter().all(|t| t.forwarded() == ["down", "up"]));
    // Spread evenly over 10 s, each slot would receive 10 first reads. In addition there are the
    // reads per interval of the nodes that have recovered: 100 in the end.
    assert!(most <= 150, "{most} of {NODES} nodes within {SLOT_MS} ms");
}

#[test]
fn records_that_expired_unread_are_a_gap() {
    // A node is paused, or the log is unreachable, for longer than records are kept. The user of
    // the tail must learn which records are lost, as it may have built its state on all records
    // before them.
    let mut world = World::open(PlatformSettings {
        retention_records: 2,
        ..PlatformSettings::default()
    });
    world.put(&["a"]);
    let tail = world.tail(0, settings(), 1);
    world.advance(10);
    world.put(&["b", "c", "d", "e"]);
    world.advance(2_000);
    assert_eq!(tail.forwarded(), ["a", "gap 1..3", "d", "e"]);
    tail.verify();
    let stats = tail.stats(&mut world);
    assert_eq!((stats.records, stats.lost, stats.bytes), (3, 2, Bytes(3)));
    assert_eq!(
        (stats.next, stats.end, stats.down),
        (Offset(5), Offset(5), false)
    );
}

/// A node starts to read after all records have expired and before a new one is written. Although
/// there is no record to read, it must learn that there were some, so that it doesn't consider its
/// state complete.
#[test]
fn expired_stream_reports_its_gap() {
    let mut world = World::open(PlatformSettings {
        retention_ms: SpanMs(5_000),
        ..PlatformSettings::default()
    });
    world.put(&["a", "b"]);
    world.advance(6_000);
    let tail = world.tail(0, settings(), 1);
    world.advance(10);
    assert_eq!(tail.forwarded(), ["gap 0..2"]);
    assert_eq!(tail.verify(), 2);
}

#[test]
fn log_whose_end_moved_back_is_an_outage() {
    // The platform restores a log that lost records, or another log answers at its address. Its
    // offsets belong to other records, and a tail that continued would mix the two.
    let mut world = world();
    world.put(&["a", "b"]);
    let tail = world.tail(5, settings(), 1);
    world.advance(10);
    assert_eq!(tail.forwarded(), ["down"]);
    world.put(&["c", "d", "e", "f"]);
    world.advance(1_000);
    assert_eq!(tail.forwarded(), ["down", "up", "f"]);
    tail.verify();
}

#[test]
fn read_to_the_end_reports_its_time() {
    let mut world = world();
    let tail = world.tail(0, settings(), 1);
    world.advance(10);
    let events = tail.events();
    let TailEvent::Records { end, asked_ms, .. } = &events[0] else {
        panic!("{events:?}");
    };
    assert_eq!((*end, *asked_ms), (Offset(0), MonoMs(0)));
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Down),
        Just(Fault::Freeze),
        Just(Fault::LoseAnswer),
        (1u64..8_000).prop_map(|ms| Fault::Slow(SpanMs(ms))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Under any faults of the reads, each record is forwarded once and in order, or reported lost.
    #[test]
    fn no_record_is_missed_silently_under_any_faults(
        steps in prop::collection::vec((0u64..5_000, 0usize..6, any_fault(), 0u32..3), 1..40),
        seed in any::<u64>(),
    ) {
        let mut world = World::open(PlatformSettings {
            retention_records: 12,
            ..PlatformSettings::default()
        });
        let tail = world.tail(0, settings(), seed);
        let mut put = 0;
        for (span_ms, records, fault, calls) in steps {
            world.advance(span_ms);
            world.inject_fault(Operation::Read, calls, fault);
            if records > 0 {
                world.put(&vec!["body"; records]);
            }
            put += records as u64;
            tail.verify();
        }
        world.model.borrow_mut().faults = Default::default();
        world.advance(60_000);
        prop_assert_eq!(tail.verify(), put);
    }
}

/// A log whose answers contain repeated and misplaced records.
struct MisplacingLog;

impl LogPort for MisplacingLog {
    fn append(
        &self,
        _core: &mut Core,
        _stream: &StreamName,
        _records: Vec<Arc<str>>,
        ret: Ret<Result<Offset, Error>>,
    ) {
        ret.ret(Err(Error::not_run(ErrorKind::Invalid, "it only reads")));
    }

    fn read(
        &self,
        _core: &mut Core,
        _stream: &StreamName,
        from: Offset,
        _limit_bytes: Bytes,
        ret: Ret<Result<ReadBatch, Error>>,
    ) {
        let offsets = [from.0, from.0.saturating_sub(1), from.0 + 2, from.0 + 1];
        let record = |offset| LogRecord {
            offset: Offset(offset),
            appended_ms: WallMs(0),
            body: format!("r{offset}").into(),
        };
        ret.ret(Ok(ReadBatch {
            first_retained: Offset(0),
            end: Offset(6),
            records: offsets.into_iter().map(record).collect(),
        }));
    }
}

#[test]
fn repeated_and_misplaced_records_are_not_forwarded() {
    // The answer of a log under repair contains records twice and out of order. The user of the
    // tail must still receive each record once and in order, because claims and configurations are
    // reduced in log order.
    let mut world = world();
    world.log = Rc::new(MisplacingLog);
    let tail = world.tail(0, settings(), 1);
    world.advance(10);
    assert_eq!(tail.forwarded(), ["r0", "r1", "r2", "r3", "r4", "r5"]);
}
