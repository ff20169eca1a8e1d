//! The engine port's contract beside streams: memory for groups, orders, cache events, transfers
//! and the load report.

mod common;

use bluebell_base::prelude::*;
use bluebell_stand_ins::engine::EngineSettings;
use bluebell_upstreams::engine::LoadedModel;
use bluebell_upstreams::{EngineOrder, EnginePort, EventBody, Reserve, Role};
use common::{KINDS, MAX_TOKENS, OTHER, OWNER, PROMPT, Rig, failure, generate, request, settings};
use expect_test::expect;
use stakker::Core;

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
            move |port: &dyn EnginePort, core: &mut Core, ret| {
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
                move |port: &dyn EnginePort, core: &mut Core, ret| {
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
