//! Tests of when a silent engine is given up.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_fleet::silence::{
    first_event_timeout, memory_extension, pause_timeout, timeout_extension,
};

fn id(sequence: u32) -> WorkId {
    WorkId {
        owner: OwnerId(1),
        sequence,
    }
}

fn work(helpers: &[u32], part_ms: f64, placed_ms: MonoMs) -> Work {
    Work {
        first: ReplicaKey(1),
        helpers: helpers.iter().map(|key| ReplicaKey(*key)).collect(),
        memory: Vec::new(),
        stage: Stage::Reading,
        placed_ms,
        prompt_tokens: Tokens(260_000),
        part_ms,
        gap_ms: SpanMs(1_000),
        due_ms: placed_ms + SpanMs(4_000),
    }
}

/// Long prompts arrive every 200 ms, and each is read before those that came earlier. Guards
/// against breaking the first one off after 3.7 s although all its engines are working, and reading
/// its prompt again elsewhere.
#[test]
fn an_attempt_whose_prompt_is_overtaken_is_not_given_up() {
    let mut ledger = Ledger::default();
    let start_ms = MonoMs(100_000);
    ledger.put(id(0), work(&[2, 3], 1_000.0, start_ms), start_ms);
    for n in 1..12 {
        let placed_ms = start_ms + SpanMs(u64::from(n) * 200);
        ledger.put(id(n), work(&[2, 3], 400.0, placed_ms), placed_ms);
    }
    let limit_ms = first_event_timeout(1_000.0);
    let given_up_ms = start_ms + limit_ms;
    assert_eq!(limit_ms, SpanMs(3_700));
    let reading_ms = ledger.reading_left_ms(id(0), given_up_ms);
    assert_eq!(reading_ms, Some(1_700.0));
    let waits_ms =
        timeout_extension(reading_ms, SpanMs(8_000), 1_000.0).expect("there is time to wait");
    assert_eq!(waits_ms, SpanMs(2_200));
    // Everything is read by then, so a silence that lasts is a real one.
    let reading_ms = ledger.reading_left_ms(id(0), given_up_ms + waits_ms);
    assert_eq!(timeout_extension(reading_ms, SpanMs(8_000), 1_000.0), None);
}

/// Guards against waiting for an engine until the caller leaves without an answer. A new attempt
/// must begin while there is time for it.
#[test]
fn enough_time_is_left_for_a_new_attempt() {
    assert_eq!(
        timeout_extension(Some(1_000.0), SpanMs(2_400), 1_000.0),
        None
    );
    assert_eq!(timeout_extension(Some(1_000.0), SpanMs(1_400), 100.0), None);
    assert_eq!(
        timeout_extension(Some(1_000.0), SpanMs(2_600), 1_000.0),
        Some(SpanMs(1_500))
    );
}

/// Callers leave after two seconds of silence at the earliest, so a short pause is no reason to
/// give an engine up.
#[test]
fn pauses_of_several_times_the_limit_are_accepted() {
    assert_eq!(pause_timeout(SpanMs(250)), SpanMs(1_700));
    assert_eq!(pause_timeout(SpanMs(1_000)), SpanMs(5_000));
}

/// Guards against memory that stays reserved but unused for fourteen seconds because an engine
/// stopped answering. It must be kept for eight seconds, and longer only while the prompt is still
/// being read.
#[test]
fn memory_stays_reserved_while_the_prompt_is_read() {
    for (reading_ms, waited_ms, left_ms) in [
        (None, 0, Some(8_000)),
        (None, 7_999, Some(1)),
        (None, 8_000, None),
        (Some(0.0), 9_000, None),
        (Some(300.0), 2_000, Some(6_000)),
        (Some(300.0), 9_000, Some(800)),
    ] {
        let left = memory_extension(reading_ms, SpanMs(waited_ms));
        assert_eq!(left, left_ms.map(SpanMs), "{reading_ms:?} {waited_ms}");
    }
}
