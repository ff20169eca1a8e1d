//! Prompts that exceed one engine's memory, on the stand-in engines with their model of KV memory.

mod common;

use bluebell_base::prelude::*;
use bluebell_requests::RequestsSettings;
use bluebell_stand_ins::engine::{EngineSettings, FakeEngine};
use common::engine::KV_TOKENS;
use common::{ReceivedEvents, World, call, engine_description};

fn world_of(engines: usize, seed: u64) -> (World, Vec<FakeEngine>) {
    world_with(engines, seed, RequestsSettings::default())
}

fn world_with(engines: usize, seed: u64, requests: RequestsSettings) -> (World, Vec<FakeEngine>) {
    let mut world = World::with(2, 0, seed, requests);
    let settings = EngineSettings {
        kv_capacity_tokens: KV_TOKENS,
        ..EngineSettings::default()
    };
    let open = |index| FakeEngine::open(&mut world.stakker, settings.clone(), index as u64);
    let fakes: Vec<FakeEngine> = (0..engines).map(open).collect();
    for node in &world.nodes {
        for (index, fake) in fakes.iter().enumerate() {
            node.engine_live(engine_description(index), fake.port());
        }
    }
    (world, fakes)
}

fn held(fakes: &[FakeEngine]) -> Tokens {
    fakes.iter().map(|fake| fake.stats().held_tokens).sum()
}

/// Callers at two nodes send prompts that each need two engines, and there are only two. Each group
/// could reserve one engine's memory and wait for the other's forever. Both must be answered, one
/// after the other, and all memory is free afterwards.
#[test]
fn groups_that_need_the_same_engines_both_finish() {
    for seed in 0..20 {
        let (mut world, fakes) = world_of(2, seed);
        let prompts = [0, 1].map(|i| format!("word {i} ").repeat(8_500));
        let received: Vec<ReceivedEvents> = (0..2)
            .map(|node| world.complete(node, call("draft", &prompts[node], 20)).1)
            .collect();
        world.run_for(29_000);
        for (received, prompt) in received.iter().zip(&prompts) {
            assert!(
                received.is_finished(),
                "seed {seed}: {}",
                received.summary()
            );
            received.check(prompt, 20, 0);
        }
        assert_eq!(held(&fakes), Tokens(0), "seed {seed}");
        fakes.iter().for_each(|f| f.verify().expect("consistent"));
    }
}

/// The node that reserved a group's memory dies in the middle of the answer. Nobody releases the
/// memory, so it must be freed by its expiry.
#[test]
fn a_dead_nodes_group_memory_expires() {
    let (mut world, fakes) = world_of(2, 1);
    let prompt = "word 0 ".repeat(8_500);
    world.complete(0, call("draft", &prompt, 600));
    world.run_for(1_000);
    assert!(held(&fakes) > KV_TOKENS, "only one engine is in use");
    world.kill_node(0);
    for fake in &fakes {
        fake.hang_up(&mut world.stakker, Incarnation(0xb0));
    }
    world.run_for(16_000);
    assert_eq!(held(&fakes), Tokens(0));
}

/// An answer takes longer than a reservation's hold time. Without renewal the members' memory would
/// go to other requests in the middle of it.
#[test]
fn a_groups_memory_is_renewed_while_it_runs() {
    let settings = RequestsSettings {
        hold_ms: SpanMs::from_secs(2),
        ..RequestsSettings::default()
    };
    let (mut world, fakes) = world_with(2, 1, settings);
    let prompt = "word 0 ".repeat(8_500);
    let (_, received) = world.complete(0, call("draft", &prompt, 1_200));
    world.run_for(1_000);
    for _ in 0..40 {
        let both = fakes.iter().all(|f| f.stats().held_tokens > Tokens(0));
        assert!(
            both || received.is_finished(),
            "a member's memory was released"
        );
        world.run_for(100);
    }
    world.run_to(29_000);
    assert!(received.is_finished(), "{}", received.summary());
    assert_eq!(held(&fakes), Tokens(0));
}

/// A caller of a group's answer hangs up: after the grace period both engines are free at once.
#[test]
fn a_hang_up_frees_the_whole_group() {
    let (mut world, fakes) = world_of(2, 1);
    let prompt = "word 0 ".repeat(8_500);
    let (caller, _) = world.complete(0, call("draft", &prompt, 600));
    world.run_for(1_000);
    world.disconnect(0, caller);
    world.run_for(3_100);
    assert_eq!(held(&fakes), Tokens(0));
}
