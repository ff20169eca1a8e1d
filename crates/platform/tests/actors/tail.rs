//! Following a stream through outages, expired records and cut reads.

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
fn new_records_come_within_the_interval() {
    let mut world = world();
    world.put(&["a"]);
    let tail = world.tail(0, settings(), 1);
    world.pass(10);
    assert_eq!(tail.seen(), ["a"]);
    for body in ["b", "c", "d"] {
        world.put(&[body]);
        world.pass(INTERVAL_MS * 5 / 4 + 10);
    }
    assert_eq!(tail.seen(), ["a", "b", "c", "d"]);
    tail.verify();
}

#[test]
fn cut_batches_are_read_on_at_once() {
    let mut world = world();
    world.put(&["aaaa", "bbbb", "cccc", "dddd", "eeee"]);
    let tail = world.tail(0, settings(), 1);
    world.pass(20);
    assert_eq!(tail.seen(), ["aaaa", "bbbb", "cccc", "dddd", "eeee"]);
    assert_eq!(world.model.borrow().stats().reads, 3);
    tail.verify();
}

#[test]
fn poll_soon_reads_at_once_and_again_behind_a_read_under_way() {
    // A node appends while its own read is already at the log. The answer of that read cannot
    // hold the append; without a second read it would be seen a whole interval later.
    let mut world = world();
    let tail = world.tail(0, settings(), 1);
    world.pass(3);
    world.put(&["a"]);
    call!([tail.actor], poll_soon());
    world.pass(1);
    assert!(tail.seen().is_empty());
    world.pass(5);
    assert_eq!(tail.seen(), ["a"]);
    world.put(&["b"]);
    call!([tail.actor], poll_soon());
    world.pass(5);
    assert_eq!(tail.seen(), ["a", "b"]);
    tail.verify();
}

#[test]
fn outage_shows_as_one_edge_and_nothing_is_missed() {
    // The log goes away for an hour and comes back with new records: users of the tail see one
    // `Down`, one `Up` and then every record; the log sees few calls meanwhile.
    let mut world = world();
    world.put(&["a"]);
    let tail = world.tail(0, settings(), 1);
    world.pass(10);
    world.model.borrow_mut().faults.down = true;
    world.pass(3_600_000);
    assert_eq!(tail.seen(), ["a", "down"]);
    world.put(&["b"]);
    world.model.borrow_mut().faults.down = false;
    world.pass(10_010);
    assert_eq!(tail.seen(), ["a", "down", "up", "b"]);
    tail.verify();
}

/// The log answers no read, and a node's appends fail one after the other; each asks the tail to
/// read at once. A read for each of them, from all nodes, would keep the log from coming back.
#[test]
fn poll_soon_does_not_break_the_backoff() {
    let mut world = world();
    let tail = world.tail(0, settings(), 1);
    world.model.borrow_mut().faults.down = true;
    world.pass(60_000);
    // From now on each read is counted: they reach the log and are lost on the way back.
    world.model.borrow_mut().faults.down = false;
    world.model.borrow_mut().faults.lose_answer = true;
    let before = world.model.borrow().stats().reads;
    for _ in 0..1_000 {
        call!([tail.actor], poll_soon());
        world.pass(10);
    }
    let reads = world.model.borrow().stats().reads - before;
    assert!((1..=2).contains(&reads), "{reads} reads in one cap's time");
}

#[test]
fn many_nodes_come_back_spread_over_time() {
    // All nodes lose the log in the same moment and meet it again after two minutes. Their first
    // reads must not fall together: jitter spreads them over the capped backoff.
    const NODES: u64 = 200;
    const SLOT_MS: u64 = 500;
    let mut world = world();
    let tails: Vec<_> = (0..NODES).map(|i| world.tail(0, settings(), i)).collect();
    world.pass(10);
    world.model.borrow_mut().faults.down = true;
    world.pass(120_000);
    world.model.borrow_mut().faults.down = false;
    let mut most = 0;
    for _ in 0..20 {
        let before = world.model.borrow().stats().reads;
        world.pass(SLOT_MS);
        most = most.max(world.model.borrow().stats().reads - before);
    }
    assert!(tails.iter().all(|t| t.seen() == ["down", "up"]));
    // Evenly spread over 10 s, each slot would get 10 first reads, and on top of those the reads
    // each interval of the nodes that are back: 100 in the end.
    assert!(most <= 150, "{most} of {NODES} nodes within {SLOT_MS} ms");
}

#[test]
fn retention_that_overtook_shows_as_a_gap() {
    // A node is paused, or the log away, for longer than records are kept. Its user must learn
    // which records it will never see, as it may have built its state on all before them.
    let mut world = World::open(PlatformSettings {
        retention_records: 2,
        ..PlatformSettings::default()
    });
    world.put(&["a"]);
    let tail = world.tail(0, settings(), 1);
    world.pass(10);
    world.put(&["b", "c", "d", "e"]);
    world.pass(2_000);
    assert_eq!(tail.seen(), ["a", "gap 1..3", "d", "e"]);
    tail.verify();
    let stats = tail.stats(&mut world);
    assert_eq!((stats.records, stats.lost, stats.bytes), (3, 2, Bytes(3)));
    assert_eq!(
        (stats.next, stats.end, stats.down),
        (Offset(5), Offset(5), false)
    );
}

/// A node starts to read when retention has taken every record and nothing new was written. With no
/// record to read it must learn all the same that there were some, and not take itself for complete.
#[test]
fn expired_stream_still_names_its_gap() {
    let mut world = World::open(PlatformSettings {
        retention_ms: SpanMs(5_000),
        ..PlatformSettings::default()
    });
    world.put(&["a", "b"]);
    world.pass(6_000);
    let tail = world.tail(0, settings(), 1);
    world.pass(10);
    assert_eq!(tail.seen(), ["gap 0..2"]);
    assert_eq!(tail.verify(), 2);
}

#[test]
fn log_that_went_back_is_an_outage() {
    // The platform brings back a log that lost records, or another log answers at its address.
    // Its offsets mean other records; a tail that went on would mix the two.
    let mut world = world();
    world.put(&["a", "b"]);
    let tail = world.tail(5, settings(), 1);
    world.pass(10);
    assert_eq!(tail.seen(), ["down"]);
    world.put(&["c", "d", "e", "f"]);
    world.pass(1_000);
    assert_eq!(tail.seen(), ["down", "up", "f"]);
    tail.verify();
}

#[test]
fn read_to_the_end_says_as_of_when() {
    let mut world = world();
    let tail = world.tail(0, settings(), 1);
    world.pass(10);
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

    /// Whatever strikes the reads, each record is forwarded once and in order, or named lost.
    #[test]
    fn any_faults_leave_no_unnamed_hole(
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
            world.pass(span_ms);
            world.strike(Operation::Read, calls, fault);
            if records > 0 {
                world.put(&vec!["body"; records]);
            }
            put += records as u64;
            tail.verify();
        }
        world.model.borrow_mut().faults = Default::default();
        world.pass(60_000);
        prop_assert_eq!(tail.verify(), put);
    }
}

/// A log that answers each read with records of which only some are those asked for.
struct CrossedLog;

impl LogPort for CrossedLog {
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
fn repeated_and_crossed_records_are_not_forwarded() {
    // The answer of a log under repair holds records twice and out of order. Its user must still
    // get each once and in order, as claims and configurations are reduced in log order.
    let mut world = world();
    world.log = Rc::new(CrossedLog);
    let tail = world.tail(0, settings(), 1);
    world.pass(10);
    assert_eq!(tail.seen(), ["r0", "r1", "r2", "r3", "r4", "r5"]);
}
