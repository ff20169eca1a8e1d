//! The decisions on bytes of answers: which answer is cut, and which reader is closed.

use bluebell_base::prelude::*;
use bluebell_front::http::bounds::{
    AnswerMeter, AnswerPart, HeldBounds, HeldBytes, HoldingId, Room, check_event,
};

const MB: usize = 1024 * 1024;
const START: MonoMs = MonoMs(1_000);

fn at(ms: u64) -> MonoMs {
    START + SpanMs(ms)
}

/// An account of a node with 8 MB, which may hold 1 MB.
fn small() -> HeldBytes {
    HeldBytes::new(HeldBounds::of_memory(Bytes(8 * MB as u64)))
}

/// Adds a stream that holds `bytes`.
fn stream(held: &mut HeldBytes, bytes: usize, now_ms: MonoMs) -> HoldingId {
    let id = held.open_stream(now_ms);
    assert_eq!(held.add(id, bytes, now_ms), Room::Added);
    id
}

/// Guards against interim answers, or framing, that are read without end, and against a body that is cut for its length.
#[test]
fn bytes_without_progress_are_bounded() {
    let mut meter = AnswerMeter::default();
    meter.begin();
    let read = (0..1_000).find_map(|_| meter.on_read(1_024).err());
    assert_eq!(read.map(|cut| cut.part), Some(AnswerPart::Interim));
    meter.begin();
    assert_eq!(meter.reason(), None);
    meter.on_head();
    for _ in 0..10_000 {
        assert_eq!(meter.on_read(16 * 1_024), Ok(()));
        meter.on_piece();
    }
    let read = (0..1_000).find_map(|_| meter.on_read(1_024).err());
    assert_eq!(read.map(|cut| cut.part), Some(AnswerPart::Body));
    assert_eq!(meter.cut(AnswerPart::Event).part, AnswerPart::Body);
}

/// Guards against an event that is kept without end, and against a large one that is cut.
#[test]
fn an_incomplete_event_is_bounded() {
    assert_eq!(check_event(MB), Ok(()));
    assert_eq!(check_event(MB + 1), Err(AnswerPart::Event));
}

/// Guards against one stream that holds more than its bound, and one large event that never fits.
#[test]
fn a_stream_waits_for_its_reader() {
    let mut held = small();
    let id = stream(&mut held, 200 * 1_024, START);
    assert_eq!(held.add(id, 100 * 1_024, START), Room::AwaitReader);
    held.take(id, 200 * 1_024, START);
    assert_eq!(held.add(id, 900 * 1_024, START), Room::Added);
    held.close(id, START);
    assert_eq!(held.total(), Bytes(0));
}

/// Guards against a reader that is held up by others that don't read.
#[test]
fn a_fast_reader_has_room_while_the_total_is_at_its_bound() {
    let mut held = small();
    while {
        let id = held.open_stream(START);
        held.add(id, 64 * 1_024, START) == Room::Added
    } {}
    let fast = held.open_stream(START);
    for _ in 0..100 {
        assert_eq!(held.add(fast, 16 * 1_024, START), Room::Added);
        held.take(fast, 16 * 1_024, START);
    }
    assert_eq!(held.add(fast, 17 * 1_024, START), Room::AwaitTotal);
}

/// Guards against readers that are closed in a burst, that read, or that aren't the slowest.
#[test]
fn the_slowest_readers_are_closed_if_the_total_stays_at_its_bound() {
    let mut held = small();
    let ids: Vec<HoldingId> = (0..5)
        .map(|number| stream(&mut held, 200 * 1_024, at(number * 10)))
        .collect();
    assert!(held.is_full());
    assert_eq!(held.close_slowest(at(400)), Vec::new());
    held.on_progress(ids[0], at(500));
    let closed = held.close_slowest(at(600));
    let closed: Vec<HoldingId> = closed.iter().map(|reader| reader.id).collect();
    assert_eq!(closed, [ids[1]]);
    assert!(held.is_closed(ids[1]) && !held.is_closed(ids[0]));
    assert_eq!(held.add(ids[1], 1, at(600)), Room::Closed);
    // What it holds is freed soon; until then no other one is closed for it.
    assert_eq!(held.close_slowest(at(700)), Vec::new());
    held.close(ids[1], at(700));
    assert!(!held.is_full());
}

/// Guards against answers that wait for each other's memory, and against closing one of them while a reader is slow.
#[test]
fn answers_without_a_reader_are_closed_only_if_nobody_reads() {
    let mut held = small();
    let waiting: Vec<HoldingId> = (0..3).map(|_| held.open_whole(START)).collect();
    for id in &waiting {
        assert_eq!(held.add(*id, 290 * 1_024, START), Room::Added);
    }
    let slow = stream(&mut held, 100 * 1_024, at(100));
    let closed = held.close_slowest(at(700));
    assert_eq!(closed.iter().map(|r| r.id).collect::<Vec<_>>(), [slow]);
    held.close(slow, at(700));
    let more = held.open_whole(at(700));
    assert_eq!(held.add(more, 100 * 1_024, at(700)), Room::Added);
    assert!(held.close_slowest(at(900)).is_empty());
    let closed = held.close_slowest(at(1_300));
    assert_eq!(closed.len(), 1);
    assert!(waiting.contains(&closed[0].id));
}
