//! Prompts that end the engines that generate for them.

mod common;

use bluebell_base::prelude::*;
use common::{World, call};

/// How many engines a prompt ends before it is known for that.
const ENDS: usize = 3;

/// How long after that it may still be sent without blame, and how often after that.
const KNOWN_AFTER_MS: u64 = 3_000;
const LATE_ENDS: usize = 3;

/// How often its caller's program sends it.
const EVERY_MS: u64 = 250;

/// How long an engine generates for it before it ends.
const RUNS_MS: u64 = 30;

const FATAL: &str = "a prompt that no engine survives";

/// The engines that hold the fatal prompt end, and start again, empty; returns how many.
fn end_engines(world: &mut World) -> usize {
    let engines = world.engines.iter();
    let holding: Vec<_> = engines.filter(|e| e.generates(FATAL)).cloned().collect();
    for engine in &holding {
        engine.kill(&mut world.stakker);
        engine.restart();
    }
    holding.len()
}

/// A draft ends each engine that begins to write it, and its caller's program sends it again and
/// again. A request of our own went on to up to four engines, and each arrival began anew, since
/// ends were held against engines only: of twelve seconds of repeats each cost up to four engines
/// all that they had in hand.
#[test]
fn a_prompt_that_ends_its_engines_is_generated_no_more() {
    for class in ["draft", "notice"] {
        let mut world = World::new(1, 6, 7);
        let mut ends: Vec<u64> = Vec::new();
        for arrival in 1..48 {
            world.complete(0, call(class, FATAL, 20));
            while world.now_ms < arrival * EVERY_MS {
                world.run_for(RUNS_MS);
                let ended = end_engines(&mut world);
                ends.extend(std::iter::repeat_n(world.now_ms, ended));
            }
        }
        let known_at_ms = ends[ENDS - 1] + KNOWN_AFTER_MS;
        let late = ends.iter().filter(|at_ms| **at_ms > known_at_ms).count();
        let all = ends.len();
        assert!(
            late <= LATE_ENDS,
            "{class}: {late} engines later, {all} in all"
        );
        let (_, told) = world.complete(0, call(class, FATAL, 20));
        world.run_for(1);
        let error = told.error().expect("it is refused at once");
        assert_eq!(error.verdict, Verdict::NotRun);
        assert!(error.retry_after_ms > Some(SpanMs(60_000)), "{error:?}");
        let (_, told) = world.complete(0, call(class, "another", 20));
        world.run_for(10_000);
        assert!(told.error().is_none(), "{class}: others are served");
        assert!(told.is_finished(), "{class}: others are served");
    }
}
