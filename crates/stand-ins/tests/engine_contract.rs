//! The engine port's contract, run against the in-process engine under virtual time and against
//! the engine's process over HTTP.

mod common;

use bluebell_base::prelude::*;
use bluebell_stand_ins::engine::EngineSettings;
use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_upstreams::{CancelAnswer, Event, EventBody, StreamState};
use common::{
    KINDS, MAX_TOKENS, OTHER, OWNER, PROMPT, Rig, expected, failure, generate, is_own_last,
    request, resume, settings, tokens,
};

/// What a caller of the port sees of one generate call under one set of switches.
struct Case {
    name: &'static str,
    faults: FaultSwitches,
    check: fn(&[Event]),
}

fn whole(events: &[Event]) {
    assert!(matches!(events[0].body, EventBody::Accepted { .. }));
    assert_eq!(tokens(events, 1), expected());
    let count = expected().len() as u64;
    let last = &events.last().expect("events").body;
    assert!(matches!(last, EventBody::Finished { count: c, .. } if *c == count));
}

fn not_run(events: &[Event]) {
    assert_eq!(events.len(), 1);
    assert_eq!(failure(events).verdict, Verdict::NotRun);
    assert!(failure(events).retry_after_ms.is_some());
}

fn may_have_run(events: &[Event]) {
    assert_eq!(failure(events).verdict, Verdict::MayHaveRun);
}

fn cut_behind_three(events: &[Event]) {
    may_have_run(events);
    // The first of the three is `Accepted`.
    assert_eq!(tokens(events, 1), expected()[..2]);
}

fn twice(events: &[Event]) {
    let doubled: Vec<_> = expected()
        .into_iter()
        .flat_map(|token| [token.clone(), token])
        .collect();
    assert_eq!(tokens(events, 1), doubled);
}

fn out_of_order(events: &[Event]) {
    let mut sorted = tokens(events, 1);
    assert_ne!(sorted, expected());
    sorted.sort();
    assert_eq!(sorted, expected());
}

fn with_strangers(events: &[Event]) {
    assert_eq!(tokens(events, 1), expected());
    let strange = events.iter().filter(|event| event.request != request(1));
    assert_eq!(strange.count(), expected().len());
}

/// A node learns by a stream's last event whether it may try elsewhere. Whatever strikes the stream
/// on its way, there is exactly one last event, and it never says less than what may have run.
#[test]
fn every_stream_has_one_truthful_end_under_each_fault() {
    let off = FaultSwitches::default;
    let cases = [
        Case {
            name: "none",
            faults: off(),
            check: whole,
        },
        Case {
            name: "leaving",
            faults: FaultSwitches {
                leaving: true,
                ..off()
            },
            check: not_run,
        },
        Case {
            name: "down",
            faults: FaultSwitches {
                down: true,
                ..off()
            },
            check: may_have_run,
        },
        Case {
            name: "lose answer",
            faults: FaultSwitches {
                lose_answer: true,
                ..off()
            },
            check: may_have_run,
        },
        Case {
            name: "truncate",
            faults: FaultSwitches {
                truncate_after: Some(3),
                ..off()
            },
            check: cut_behind_three,
        },
        Case {
            name: "duplicate",
            faults: FaultSwitches {
                duplicate: true,
                ..off()
            },
            check: twice,
        },
        Case {
            name: "reorder",
            faults: FaultSwitches {
                reorder: true,
                ..off()
            },
            check: out_of_order,
        },
        Case {
            name: "cross",
            faults: FaultSwitches {
                cross: true,
                ..off()
            },
            check: with_strangers,
        },
        Case {
            name: "slow",
            faults: FaultSwitches {
                slow_factor: 3.0,
                delay_ms: SpanMs(5),
                ..off()
            },
            check: whole,
        },
    ];
    for (kind, real) in KINDS {
        for case in &cases {
            println!("{} {kind}", case.name);
            let mut rig = Rig::open(real, settings());
            rig.set_faults(case.faults.clone());
            let seen = rig.generate(generate(1, PROMPT, MAX_TOKENS));
            let events = rig.finish(&seen);
            (case.check)(&events);
            let ends = events.iter().filter(|event| is_own_last(event)).count();
            assert_eq!(ends, 1, "one last event: {} {kind}", case.name);
        }
    }
}

/// The node loses the answer to its call and can't know whether it ran. Looking it up and
/// resuming must bring the whole answer, and the work must have run once.
#[test]
fn a_lost_answer_is_found_again_and_runs_once() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        rig.set_faults(FaultSwitches {
            lose_answer: true,
            ..FaultSwitches::default()
        });
        let seen = rig.generate(generate(1, PROMPT, MAX_TOKENS));
        may_have_run(&rig.finish(&seen));
        rig.set_faults(FaultSwitches::default());
        let state = rig.ask(|port, core, ret| port.lookup(core, request(1), ret));
        let attempt = AttemptNo(1);
        let known = matches!(
            state,
            Ok(StreamState::Running { attempt: a, .. } | StreamState::Finished { attempt: a, .. })
                if a == attempt
        );
        assert!(known, "{state:?}");
        let seen = rig.resume(resume(1, 0));
        whole(&rig.finish(&seen));
        assert_eq!(rig.stats().requests_run, 1);
        assert_eq!(rig.stats().repeated, []);
    }
}

/// A connection breaks in the middle of an answer, which the engine goes on to compute. The node
/// reads on behind the last event that it got, and its caller gets each token once.
#[test]
fn a_cut_stream_goes_on_behind_its_last_event() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        rig.set_faults(FaultSwitches {
            truncate_after: Some(3),
            ..FaultSwitches::default()
        });
        let seen = rig.generate(generate(1, PROMPT, MAX_TOKENS));
        let mut got = tokens(&rig.finish(&seen), 1);
        rig.set_faults(FaultSwitches::default());
        let seen = rig.resume(resume(1, got.len() as u64));
        got.extend(tokens(&rig.finish(&seen), 1));
        assert_eq!(got, expected());
    }
}

#[test]
fn an_attempt_continues_behind_the_text_delivered_before() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        let mut call = generate(1, PROMPT, MAX_TOKENS);
        let before = expected().into_iter().take(4);
        call.continue_from = before.map(|token| token.1).collect();
        let seen = rig.generate(call);
        let events = rig.finish(&seen);
        assert_eq!(tokens(&events, 1), expected()[4..]);
    }
}

/// An engine dies between the last token and the end of the answer. The caller has the whole text
/// and gets an error, unless the attempt that goes on behind it ends at once, without a token.
#[test]
fn an_attempt_behind_the_whole_text_ends_at_once() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        let mut call = generate(1, PROMPT, MAX_TOKENS);
        call.continue_from = expected().into_iter().map(|token| token.1).collect();
        let count = call.continue_from.len() as u64;
        let seen = rig.generate(call);
        let events = rig.finish(&seen);
        assert_eq!(tokens(&events, 1), []);
        let last = events.last().expect("an end").body.clone();
        assert!(
            matches!(last, EventBody::Finished { count: c, .. } if c == count),
            "{last:?}"
        );
    }
}

/// An engine's process is gone while the list still names it. No connection can be made, so that its
/// calls are certain not to have run and are tried elsewhere at once.
#[test]
fn a_dead_engine_is_a_certain_not_run() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        rig.kill();
        let seen = rig.generate(generate(1, PROMPT, MAX_TOKENS));
        assert_eq!(failure(&rig.finish(&seen)).verdict, Verdict::NotRun);
        let load = rig.ask(|port, core, ret| port.load(core, ret));
        assert_eq!(load.expect_err("dead").verdict, Verdict::NotRun);
    }
}

/// A call made while the process hangs is carried out when it goes on: nobody may take the
/// silence for "not run".
#[test]
fn a_call_to_a_frozen_engine_takes_effect_when_it_goes_on() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        rig.set_faults(FaultSwitches {
            freeze: true,
            ..FaultSwitches::default()
        });
        let seen = rig.generate(generate(1, PROMPT, MAX_TOKENS));
        let load = rig.ask(|port, core, ret| port.load(core, ret));
        assert_eq!(load.expect_err("silence").verdict, Verdict::MayHaveRun);
        assert!(seen.borrow().is_empty());
        rig.set_faults(FaultSwitches::default());
        whole(&rig.finish(&seen));
    }
}

/// A frozen process keeps its connections open. The reader must not wait for ever: after a time
/// of silence the stream ends, and what became of the work is unknown.
#[test]
fn a_reader_of_a_frozen_engine_gives_up_after_the_silence() {
    let mut rig = Rig::open(false, settings());
    let seen = rig.generate(generate(1, PROMPT, 1000));
    let watched = seen.clone();
    rig.world
        .until("first token", move || watched.borrow().len() > 1);
    rig.set_faults(FaultSwitches {
        freeze: true,
        ..FaultSwitches::default()
    });
    may_have_run(&rig.finish(&seen));
    rig.set_faults(FaultSwitches::default());
    let seen = rig.resume(resume(1, 0));
    let events = rig.finish(&seen);
    assert!(matches!(
        events.last().expect("events").body,
        EventBody::Finished { .. }
    ));
}

#[test]
fn only_the_owner_cancels_and_an_early_cancel_keeps_the_call_from_running() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        let seen = rig.generate(generate(1, PROMPT, 1000));
        let watched = seen.clone();
        rig.world
            .until("first event", move || !watched.borrow().is_empty());
        let cancel = |rig: &mut Rig, sequence, owner| {
            rig.ask(move |port, core, ret| {
                port.cancel(core, request(sequence), AttemptNo(1), owner, ret);
            })
        };
        assert_eq!(cancel(&mut rig, 1, OTHER), Ok(CancelAnswer::NotOwner));
        let answer = cancel(&mut rig, 1, OWNER).expect("an answer");
        assert!(matches!(answer, CancelAnswer::Ran | CancelAnswer::NotRun));
        assert_eq!(failure(&rig.finish(&seen)).kind, ErrorKind::Cancelled);
        assert_eq!(rig.stats().held_tokens, Tokens::ZERO);
        assert_eq!(cancel(&mut rig, 2, OWNER), Ok(CancelAnswer::Unknown));
        let seen = rig.generate(generate(2, PROMPT, MAX_TOKENS));
        assert_eq!(failure(&rig.finish(&seen)).verdict, Verdict::NotRun);
    }
}

/// The longest prompts do not fit into one engine. The leader must take what the others do not
/// hold, neither refusing the whole nor taking all of its own memory.
#[test]
fn a_group_leader_holds_what_the_others_do_not() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let small = EngineSettings {
            kv_capacity_tokens: Tokens(20),
            ..settings()
        };
        let mut rig = Rig::open(real, small);
        let alone = rig.generate(generate(1, PROMPT, MAX_TOKENS));
        assert_eq!(failure(&rig.finish(&alone)).kind, ErrorKind::TooLarge);
        let mut call = generate(2, PROMPT, MAX_TOKENS);
        call.group = Some(ReservationId(1));
        call.group_kv_tokens = Tokens(16);
        let seen = rig.generate(call);
        let events = rig.finish(&seen);
        assert_eq!(tokens(&events, 2), expected());
        // Fourteen tokens of prompt and twelve of answer, less the sixteen.
        assert_eq!(rig.stats().peak_held_tokens, Tokens(10));
        assert_eq!(rig.stats().held_tokens, Tokens::ZERO);
    }
}
