//! The engine port's contract, run against the in-process engine under virtual time and against
//! the engine's process over HTTP.

mod common;

use bluebell_base::prelude::*;
use bluebell_stand_ins::engine::EngineSettings;
use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_upstreams::engine::LoadedModel;
use bluebell_upstreams::prompt::{expected_count, expected_token, prompt_hash};
use bluebell_upstreams::{CancelAnswer, EngineOrder, Event, EventBody, Reserve, Role, StreamState};
use common::{KINDS, OTHER, OWNER, Rig, failure, generate, is_own_last, request, resume, tokens};
use expect_test::expect;

const PROMPT: &str = "A notice for the local paper, in the family's own words.";
const MAX_TOKENS: u64 = 12;

/// Steps short enough for the real clock, long enough to be interrupted.
fn settings() -> EngineSettings {
    EngineSettings {
        base_step_us: 5000,
        load_lag_ms: SpanMs(20),
        cache_lag_ms: SpanMs(20),
        cache_loss_per_mille: 0,
        block_tokens: 4,
        ..EngineSettings::default()
    }
}

fn expected() -> Vec<(u64, Arc<str>)> {
    let hash = prompt_hash(PROMPT);
    let count = expected_count(hash, Tokens(MAX_TOKENS));
    (0..count)
        .map(|index| (index, expected_token(hash, index).into()))
        .collect()
}

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

#[test]
fn reservations_are_held_listed_and_released() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        let reserve = |reservation, kv_tokens| Reserve {
            reservation: ReservationId(reservation),
            request: request(1),
            owner: OWNER,
            kv_tokens: Tokens(kv_tokens),
            hold_ms: SpanMs::from_secs(30),
        };
        let answer = rig.ask(|port, core, ret| port.reserve(core, reserve(1, 300_000), ret));
        assert_eq!(answer, Ok(()));
        let answer = rig.ask(|port, core, ret| port.reserve(core, reserve(2, 300_000), ret));
        assert_eq!(answer.expect_err("full").kind, ErrorKind::Overloaded);
        let holds = rig
            .ask(|port, core, ret| port.holds(core, ret))
            .expect("holds");
        assert_eq!(holds.len(), 1);
        assert_eq!(holds[0].owner, OWNER);
        assert_eq!(holds[0].kv_tokens, Tokens(300_000));
        let release = |owner| {
            move |port: &dyn bluebell_upstreams::EnginePort, core: &mut stakker::Core, ret| {
                port.release(core, ReservationId(1), owner, ret);
            }
        };
        assert_eq!(
            rig.ask(release(OTHER)).expect_err("not the owner").kind,
            ErrorKind::Conflict
        );
        assert_eq!(rig.ask(release(OWNER)), Ok(()));
        assert_eq!(rig.ask(release(OWNER)), Ok(()));
        assert_eq!(rig.stats().held_tokens, Tokens::ZERO);
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

#[test]
fn orders_obey_the_fencing_number_only_where_it_is_checked() {
    for (kind, real) in KINDS {
        for checks_fencing in [true, false] {
            println!("{kind}, checks: {checks_fencing}");
            let mut rig = Rig::open(
                real,
                EngineSettings {
                    checks_fencing,
                    ..settings()
                },
            );
            let order = |role, fencing| {
                move |port: &dyn bluebell_upstreams::EnginePort, core: &mut stakker::Core, ret| {
                    port.order(core, EngineOrder::SetRole { role }, Fencing(fencing), ret);
                }
            };
            let newer = rig.ask(order(Role::Member, 5)).expect("an answer");
            assert!(newer.accepted);
            let older = rig.ask(order(Role::Mixed, 4)).expect("an answer");
            assert_eq!(older.accepted, !checks_fencing);
            let state = rig.ask(|port, core, ret| port.state(core, ret));
            let role = if checks_fencing {
                Role::Member
            } else {
                Role::Mixed
            };
            assert_eq!(state.expect("a state").role, role);
        }
    }
}

#[test]
fn a_model_is_served_once_its_weights_are_loaded() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let served = LoadedModel {
            model: "notice".into(),
            version: 1,
        };
        let mut rig = Rig::open(
            real,
            EngineSettings {
                models: vec![served.clone()],
                model_bytes: Bytes(100),
                weight_bytes_per_second: PerSecond(1000.0),
                ..settings()
            },
        );
        let wanted = LoadedModel {
            model: "notice".into(),
            version: 2,
        };
        let order = EngineOrder::LoadModel {
            model: wanted.model.clone(),
            version: wanted.version,
        };
        let answer = rig.ask(|port, core, ret| port.order(core, order, Fencing(1), ret));
        assert_eq!(answer.expect("an answer").models, [served]);
        loop {
            let state = rig.ask(|port, core, ret| port.state(core, ret));
            if state.expect("a state").models == [wanted.clone()] {
                break;
            }
            rig.world.pause();
        }
        let mut unknown = generate(1, PROMPT, MAX_TOKENS);
        unknown.model = "certificate".into();
        let seen = rig.generate(unknown);
        assert_eq!(failure(&rig.finish(&seen)).verdict, Verdict::NotRun);
    }
}

#[test]
fn cache_events_come_late_and_say_what_was_stored() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        let seen = rig.generate(generate(1, PROMPT, MAX_TOKENS));
        rig.finish(&seen);
        let hashes = bluebell_upstreams::prompt::prefix_hashes(PROMPT, 4);
        let mut stored = Vec::new();
        let mut from = 0;
        while stored.len() < hashes.len() {
            let read = rig.ask(|port, core, ret| port.cache_events(core, from, ret));
            let read = read.expect("events");
            assert!(!read.gap);
            rig.world.pause();
            from = read.next;
            stored.extend(read.events.iter().map(|event| event.prefix_hash));
        }
        let wanted: Vec<u64> = hashes.iter().map(|prefix| prefix.hash).collect();
        assert_eq!(stored, wanted);
    }
}

#[test]
fn transferred_kv_is_a_cached_prefix_at_the_other_engine() {
    for (kind, real) in KINDS {
        println!("{kind}");
        let mut rig = Rig::open(real, settings());
        let mut other = Rig::open(real, settings());
        let to = other.address();
        if let (Some(fake), Some(peer)) = (rig.fake(), other.fake()) {
            fake.add_peer(to.clone(), peer);
        }
        let seen = rig.generate(generate(1, PROMPT, MAX_TOKENS));
        rig.finish(&seen);
        let moved = rig.ask(|port, core, ret| port.transfer(core, request(1), &to, ret));
        assert_eq!(moved, Ok(Tokens(12)));
        let seen = other.generate(generate(2, PROMPT, MAX_TOKENS));
        let events = other.finish(&seen);
        let EventBody::Accepted { cached_tokens, .. } = events[0].body else {
            panic!("no first event");
        };
        assert_eq!(cached_tokens, Tokens(12));
        assert_eq!(rig.stats().held_tokens, Tokens::ZERO);
    }
}

#[test]
fn the_load_report_has_this_form() {
    let mut rig = Rig::open(false, settings());
    let load = rig.ask(|port, core, ret| port.load(core, ret));
    let text = serde_json::to_string(&load.expect("a report")).expect("JSON");
    expect![[r#"{"prefill_backlog_tokens":0,"decoding":0,"waiting":0,"kv_used_tokens":0,"kv_capacity_tokens":480000,"kv_reserved_tokens":0,"step_ms":0.0,"age_ms":0,"leaving":false}"#]].assert_eq(&text);
}
