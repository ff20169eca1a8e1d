//! Properties of the engine model: memory, order, identity of answers and at most one run.

use bluebell_base::prelude::*;
use bluebell_stand_ins::engine::{
    EngineModel, EngineSettings, ModelCall, ModelEvent, ModelEventKind,
};
use bluebell_upstreams::prompt::{PrefixHash, expected_count, mix};
use bluebell_upstreams::{CancelAnswer, Priority, Reserve, Resume, StreamState};
use proptest::prelude::*;

const OWNER: Incarnation = Incarnation(7);
const OTHER: Incarnation = Incarnation(8);
const BLOCK_TOKENS: u64 = 1024;

fn request(sequence: u64) -> RequestId {
    let incarnation = Incarnation(1);
    RequestId {
        incarnation,
        sequence,
    }
}

fn call(sequence: u64, prompt_tokens: u64, max_tokens: u64) -> ModelCall {
    shared_call(sequence, sequence, prompt_tokens, max_tokens)
}

/// A call whose prompt begins like those of the same `family`.
fn shared_call(sequence: u64, family: u64, prompt_tokens: u64, max_tokens: u64) -> ModelCall {
    let blocks = 1..=prompt_tokens / BLOCK_TOKENS;
    let prefix = |block| PrefixHash {
        hash: mix(family, block),
        tokens: Tokens(block * BLOCK_TOKENS),
    };
    ModelCall {
        request: request(sequence),
        attempt: AttemptNo(1),
        owner: OWNER,
        model: "notice".into(),
        prompt_tokens: Tokens(prompt_tokens),
        prompt_hash: mix(family, prompt_tokens),
        prefixes: blocks.map(prefix).collect(),
        max_tokens: Tokens(max_tokens),
        priority: Priority(0),
        hold_ms: SpanMs::from_secs(30),
        deadline_ms: SpanMs::from_secs(3600),
        skip_events: 0,
        group: None,
        lent_tokens: Tokens::ZERO,
    }
}

/// Runs the model, verifying it after each step, until nothing happens by `until_us`.
fn run(model: &mut EngineModel, until_us: u64) -> Vec<ModelEvent> {
    let mut events = Vec::new();
    while let Some(at_us) = model.next_step_us().filter(|at_us| *at_us <= until_us) {
        model.advance(at_us, &mut events);
        model.verify().expect("invariants hold after each step");
    }
    events
}

fn first_token_us(events: &[ModelEvent], sequence: u64) -> u64 {
    let mine = |event: &&ModelEvent| event.request == request(sequence);
    let token = |event: &&ModelEvent| matches!(event.kind, ModelEventKind::Token(_));
    let first = events.iter().filter(mine).find(token);
    first.expect("a first token").at_us
}

const HOUR_US: u64 = 3_600_000_000;

#[test]
fn a_short_prompt_of_higher_priority_overtakes_a_long_prefill() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    model.generate(0, call(1, 400_000, 10)).expect("admitted");
    let mut short = call(2, 1000, 10);
    short.priority = Priority(5);
    model.generate(1, short).expect("admitted");
    let events = run(&mut model, HOUR_US);
    assert!(first_token_us(&events, 2) < 1_000_000);
    assert!(first_token_us(&events, 1) > 8_000_000);
}

#[test]
fn equal_priority_is_served_by_arrival() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    model.generate(0, call(1, 200_000, 10)).expect("admitted");
    model.generate(1, call(2, 1000, 10)).expect("admitted");
    let events = run(&mut model, HOUR_US);
    assert!(first_token_us(&events, 2) >= first_token_us(&events, 1));
}

#[test]
fn a_stream_waits_for_memory_that_is_held_and_is_not_given_it_by_force() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    model.generate(0, call(1, 400_000, 10)).expect("admitted");
    let mut urgent = call(2, 200_000, 10);
    urgent.priority = Priority(9);
    model.generate(1, urgent).expect("admitted");
    let events = run(&mut model, HOUR_US);
    let is_end = |event: &&ModelEvent| matches!(event.kind, ModelEventKind::Finished { .. });
    let first_end = events.iter().find(is_end).expect("an end");
    assert_eq!(first_end.request, request(1));
    assert_eq!(model.stats().finished, 2);
}

#[test]
fn a_prompt_beyond_the_memory_is_refused_as_not_run() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    let refused = model.generate(0, call(1, 1_000_000, 10));
    let error = refused.expect_err("too long");
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.kind, ErrorKind::TooLarge);
}

#[test]
fn a_cached_prefix_shortens_the_first_token() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    model
        .generate(0, shared_call(1, 5, 100_000, 4))
        .expect("admitted");
    let cold = first_token_us(&run(&mut model, HOUR_US), 1);
    model
        .generate(HOUR_US, shared_call(2, 5, 100_000, 4))
        .expect("admitted");
    let warm = first_token_us(&run(&mut model, 2 * HOUR_US), 2) - HOUR_US;
    assert!(warm * 10 < cold, "{warm} us after {cold} us");
}

/// A caller retries while its first call still runs: both copies carry the same attempt, and the
/// second one must only read along.
#[test]
fn a_second_generate_of_one_attempt_runs_nothing_again() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    model.generate(0, call(1, 1000, 10)).expect("admitted");
    model.generate(5, call(1, 1000, 10)).expect("attached");
    run(&mut model, HOUR_US / 60);
    model
        .generate(HOUR_US / 60, call(1, 1000, 10))
        .expect("attached");
    run(&mut model, HOUR_US / 30);
    assert_eq!(model.runs(request(1)), 1);
    assert_eq!(model.stats().finished, 1);
}

/// A cancel overtakes its call on the way: the caller was told "not run", so the late call must
/// not begin.
#[test]
fn a_cancel_that_overtakes_its_call_keeps_it_from_running() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    let answer = model.cancel(0, request(1), AttemptNo(1), OWNER);
    assert_eq!(answer, CancelAnswer::Unknown);
    let error = model.generate(1, call(1, 1000, 10)).expect_err("refused");
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(model.runs(request(1)), 0);
}

#[test]
fn only_the_owner_cancels_and_a_resume_hands_ownership_on() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    model.generate(0, call(1, 1000, 10)).expect("admitted");
    let answer = model.cancel(1, request(1), AttemptNo(1), OTHER);
    assert_eq!(answer, CancelAnswer::NotOwner);
    let resume = Resume {
        request: request(1),
        attempt: AttemptNo(1),
        owner: OTHER,
        from: EventSeq(0),
    };
    model.resume(2, &resume).expect("resumed");
    let answer = model.cancel(3, request(1), AttemptNo(1), OWNER);
    assert_eq!(answer, CancelAnswer::NotOwner);
    let answer = model.cancel(4, request(1), AttemptNo(1), OTHER);
    assert_eq!(answer, CancelAnswer::Ran);
    assert_eq!(model.lookup(request(1)), StreamState::Ended);
    assert_eq!(model.stats().held_tokens, Tokens::ZERO);
}

/// A node dies and its connection breaks: nobody reads the stream any more, and its memory must
/// come back once the hold has run out.
#[test]
fn memory_of_an_unread_stream_is_free_after_its_hold() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    let mut held = call(1, 300_000, 100_000);
    held.hold_ms = SpanMs(2000);
    let reader = model.generate(0, held).expect("admitted").reader();
    model.detach(1000, request(1), reader);
    run(&mut model, 1_990_000);
    assert!(model.stats().held_tokens > Tokens::ZERO);
    run(&mut model, 2_100_000);
    assert_eq!(model.stats().held_tokens, Tokens::ZERO);
}

/// Two groups want more than the engine has, and a plain request waits between them: the group
/// that holds its reservation must get through although the plain request is first in line.
#[test]
fn a_reserved_stream_passes_one_that_waits_for_its_memory() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    let reserve = Reserve {
        reservation: ReservationId(1),
        request: request(2),
        owner: OWNER,
        kv_tokens: Tokens(400_000),
        hold_ms: SpanMs::from_secs(60),
    };
    model.reserve(0, reserve).expect("reserved");
    model.generate(1, call(1, 100_000, 10)).expect("admitted");
    let mut group = call(2, 900_000, 10);
    group.group = Some(ReservationId(1));
    model.generate(2, group).expect("admitted");
    // Before the reservation expires, which would end the wait in any case.
    run(&mut model, 55 * 1_000_000);
    assert_eq!(model.stats().finished, 2);
    assert_eq!(model.stats().held_tokens, Tokens::ZERO);
}

#[test]
fn a_reservation_is_whole_or_refused_and_expires() {
    let mut model = EngineModel::new(EngineSettings::default(), 1);
    let reserve = |reservation, kv_tokens| Reserve {
        reservation: ReservationId(reservation),
        request: request(reservation),
        owner: OWNER,
        kv_tokens: Tokens(kv_tokens),
        hold_ms: SpanMs(1000),
    };
    model.reserve(0, reserve(1, 300_000)).expect("reserved");
    model.reserve(0, reserve(2, 300_000)).expect_err("no room");
    model
        .release(0, ReservationId(1), OTHER)
        .expect_err("not the owner");
    assert_eq!(model.holds(0).len(), 1);
    run(&mut model, 2_000_000);
    model
        .reserve(2_000_000, reserve(2, 300_000))
        .expect("reserved");
    model
        .release(2_000_000, ReservationId(2), OWNER)
        .expect("released");
    assert_eq!(model.stats().held_tokens, Tokens::ZERO);
}

#[derive(Clone, Debug)]
enum Action {
    Generate {
        sequence: u64,
        family: u64,
        prompt: u64,
        max: u64,
        priority: i32,
    },
    Cancel(u64),
    Reserve(u64, u64),
    Release(u64),
    Export(u64),
    Wait(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (1..30u64, 1..5u64, 1..450_000u64, 1..40u64, -3..3i32).prop_map(
            |(sequence, family, prompt, max, priority)| Action::Generate {
                sequence, family, prompt, max, priority,
            }),
        1 => (1..30u64).prop_map(Action::Cancel),
        1 => (1..5u64, 1..300_000u64).prop_map(|(id, tokens)| Action::Reserve(id, tokens)),
        1 => (1..5u64).prop_map(Action::Release),
        1 => (1..30u64).prop_map(Action::Export),
        3 => (1..4_000_000u64).prop_map(Action::Wait),
    ]
}

fn apply(model: &mut EngineModel, action: &Action, now_us: &mut u64, events: &mut Vec<ModelEvent>) {
    match *action {
        Action::Generate {
            sequence,
            family,
            prompt,
            max,
            priority,
        } => {
            let mut call = shared_call(sequence, family, prompt, max);
            call.priority = Priority(priority);
            call.group = (sequence % 7 == 0).then_some(ReservationId(sequence % 5));
            let _ = model.generate(*now_us, call);
        }
        Action::Cancel(sequence) => {
            model.cancel(*now_us, request(sequence), AttemptNo(1), OWNER);
        }
        Action::Reserve(id, tokens) => {
            let _ = model.reserve(
                *now_us,
                Reserve {
                    reservation: ReservationId(id),
                    request: request(id * 7),
                    owner: OWNER,
                    kv_tokens: Tokens(tokens),
                    hold_ms: SpanMs(3000),
                },
            );
        }
        Action::Release(id) => {
            let _ = model.release(*now_us, ReservationId(id), OWNER);
        }
        Action::Export(sequence) => {
            if let Ok(export) = model.export(*now_us, request(sequence)) {
                model.import(*now_us, &export);
            }
        }
        Action::Wait(span_us) => {
            *now_us += span_us;
            events.extend(run(model, *now_us));
        }
    }
}

/// An engine says that it holds more memory than it has. A stream's KV was exported a second time
/// while a long prompt waited: dropping the first export let the long prompt take its memory, and
/// the second export then took it once more.
#[test]
fn a_second_export_finds_its_memory_still_there() {
    let generate = |sequence, prompt, max| Action::Generate {
        sequence,
        family: 1,
        prompt,
        max,
        priority: 0,
    };
    let actions = [
        generate(12, 51_200, 1),
        generate(1, 166_773, 1),
        generate(2, 118_171, 24),
        generate(3, 428_774, 27),
        Action::Wait(1_528_671),
        Action::Export(12),
        Action::Reserve(1, 4_930),
        Action::Wait(8_846_414),
        Action::Export(12),
    ];
    let mut model = EngineModel::new(EngineSettings::default(), 3);
    let (mut now_us, mut events) = (0, Vec::new());
    for action in &actions {
        apply(&mut model, action, &mut now_us, &mut events);
        assert_eq!(model.verify(), Ok(()), "{action:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Whatever is asked in whatever order, memory stays within its limit, comes back whole, and
    /// every whole answer has each of its tokens once and in order.
    #[test]
    fn memory_comes_back_and_answers_are_whole(actions in prop::collection::vec(action(), 1..60)) {
        let mut model = EngineModel::new(EngineSettings::default(), 3);
        let mut now_us = 0;
        let mut events = Vec::new();
        for action in &actions {
            apply(&mut model, action, &mut now_us, &mut events);
            prop_assert_eq!(model.verify(), Ok(()));
        }
        events.extend(run(&mut model, now_us + 2 * HOUR_US));
        prop_assert_eq!(model.stats().held_tokens, Tokens::ZERO);
        prop_assert_eq!(model.stats().open_streams, 0);
        let mut expected = std::collections::HashMap::new();
        for event in &events {
            let next = expected.entry(event.request).or_insert(0u64);
            match &event.kind {
                ModelEventKind::Started { .. } => *next = 0,
                ModelEventKind::Token(seq) => {
                    prop_assert_eq!(seq.0, *next);
                    *next += 1;
                }
                ModelEventKind::Finished { count } => prop_assert_eq!(*count, *next),
                ModelEventKind::Failed(_) => (),
            }
        }
    }

    /// The answer's length keeps to its limits.
    #[test]
    fn answers_have_half_to_all_of_the_tokens(hash in any::<u64>(), max in 1..10_000u64) {
        let count = expected_count(hash, Tokens(max));
        prop_assert!(count >= max.div_ceil(2) && count <= max);
    }
}
