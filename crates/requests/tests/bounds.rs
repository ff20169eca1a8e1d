//! Limits on retries and on memory, and work that is not restarted without need.

mod common;

use bluebell_base::prelude::*;
use bluebell_requests::RequestsSettings;
use bluebell_upstreams::prompt::{expected_count, prompt_hash};
use common::engine::Faults;
use common::{World, call, set_faults};
use std::rc::Rc;

/// All engines refuse all work. The callers receive the refusal, and the retries stay a small share
/// of the calls, so that retries do not keep the fleet overloaded.
#[test]
fn retries_stay_within_their_budget() {
    let mut world = World::new(1, 3, 1);
    let refuse = 1.0;
    set_faults(
        &world,
        Faults {
            refuse,
            ..Faults::default()
        },
    );
    let settings = RequestsSettings::default();
    for index in 0..300 {
        world.complete(0, call("draft", &format!("prompt {index}"), 10));
        world.run_for(10);
    }
    world.run_for(1_000);
    let counts = &world.counts;
    assert_eq!(counts.admitted.get(), 300);
    let most = settings.retry_account_burst + settings.retry_share * 300.0;
    assert!(
        f64::from(counts.retries.get()) <= most,
        "{}",
        counts.retries.get()
    );
    assert!(
        counts.denied.get() > 0,
        "the retry budget was never exhausted"
    );
}

/// The claims are silent while callers continue to send large prompts. The node holds no more bytes
/// than its limit, and the callers over the limit receive a retry delay.
#[test]
fn held_prompt_bytes_are_bounded() {
    let settings = RequestsSettings {
        live_bytes: Bytes(100_000),
        ..RequestsSettings::default()
    };
    let mut world = World::with(1, 1, 1, settings);
    world.claims.silent.set(true);
    let received: Vec<_> = (0..20)
        .map(|i| {
            world.complete(
                0,
                common::keyed("notice", &"x".repeat(10_000), 10, &format!("{i}")),
            )
        })
        .collect();
    world.run_for(10);
    let refused = received.iter().filter_map(|(_, received)| received.error());
    let refused: Vec<Error> = refused.collect();
    assert_eq!(refused.len(), 10);
    assert!(
        refused
            .iter()
            .all(|e| e.verdict == Verdict::NotRun && e.retry_after_ms.is_some())
    );
    world.run_for(6_000);
    world.claims.silent.set(false);
    let (_, received) = world.complete(0, call("draft", &"x".repeat(30_000), 10));
    world.run_for(2_000);
    assert!(
        received.is_finished(),
        "the bytes were not released: {}",
        received.summary()
    );
}

/// A long prefill sends nothing for minutes, and the client's silence limit breaks its link
/// repeatedly. If each break restarted the request elsewhere, the longest prompts would never be
/// answered.
#[test]
fn a_long_prefill_is_not_restarted() {
    let mut world = World::new(1, 2, 1);
    let (_, received) = world.complete(0, call("draft", "a whole archive", 20));
    world.run_for(10);
    let engine = world
        .engines
        .iter()
        .find(|e| e.held() > 0)
        .cloned()
        .expect("sent");
    engine.freeze_steps(true);
    for _ in 0..8 {
        world.run_for(2_500);
        engine.break_all(&mut world.stakker);
    }
    engine.freeze_steps(false);
    world.run_for(5_000);
    assert!(received.is_finished(), "{}", received.summary());
    assert_eq!(world.runs(received.request().expect("admitted")), 1);
}

/// The engine crashes between the last token and the event that ends the answer. An answer with all
/// requested tokens is complete: it is neither restarted nor reported as lost.
#[test]
fn an_answer_with_all_tokens_finishes_without_the_final_event() {
    let max_tokens = 30;
    let full = |prompt: &String| expected_count(prompt_hash(prompt), Tokens(30)) == max_tokens;
    let prompt = (0..)
        .map(|i| format!("prompt {i}"))
        .find(full)
        .expect("one prompt in sixteen has a full answer");
    for class in ["draft", "notice"] {
        let mut world = World::new(1, 2, 1);
        let (_, received) = world.complete(0, call(class, &prompt, max_tokens));
        while received.texts().len() < max_tokens as usize {
            world.run_for(1);
        }
        for engine in world.engines.clone() {
            engine.kill(&mut world.stakker);
        }
        world.run_to(30_001);
        assert!(received.is_finished(), "{class}: {}", received.summary());
        received.check(&prompt, max_tokens, 0);
    }
}

/// The only engine crashes in the middle of an answer and another one starts briefly afterwards.
/// The answer continues there instead of failing because no engine was available meanwhile.
#[test]
fn a_partial_answer_waits_for_an_engine() {
    let mut world = World::new(1, 1, 1);
    let (_, received) = world.complete(0, call("draft", "a draft", 80));
    world.run_for(300);
    world.engines[0].clone().kill(&mut world.stakker);
    world.nodes[0].engine_gone(common::engine_description(0).name);
    let (_, new) = world.complete(0, call("draft", "another draft", 80));
    world.run_for(3_000);
    let error = new.error().expect("new work is refused at once");
    assert_eq!(error.verdict, Verdict::NotRun);
    world.engines[0].restart();
    world.nodes[0].engine_live(
        common::engine_description(0),
        Rc::new(world.engines[0].clone()),
    );
    world.run_for(8_000);
    assert!(received.is_finished(), "{}", received.summary());
    received.check("a draft", 80, 0);
}

/// The observer receives the events of a finished request.
#[test]
fn the_observer_receives_all_events() {
    let mut world = World::new(1, 1, 1);
    let (_, received) = world.complete(0, call("draft", "a notice", 40));
    world.run_for(2_000);
    let tokens = received.texts().len() as u32;
    let counts = &world.counts;
    let seen = [
        &counts.admitted,
        &counts.attempts,
        &counts.first_tokens,
        &counts.finished,
    ];
    assert_eq!(seen.map(|count| count.get()), [1; 4]);
    assert_eq!(counts.between_tokens.get(), tokens - 1);
    assert_eq!(counts.retries.get() + counts.failed.get(), 0);
}
