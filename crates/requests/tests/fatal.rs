//! Prompts that crash the engines that generate for them.

mod common;

use bluebell_base::prelude::*;
use common::{World, call};

/// The number of engines that a prompt may crash before it is detected.
const CRASHES_TO_DETECT: usize = 3;

/// The time after that in which it may still be sent, and the limit of crashes after that time.
const DETECTION_MS: u64 = 3_000;
const MAX_LATE_CRASHES: usize = 3;

/// The interval at which the caller's program sends the prompt.
const SEND_INTERVAL_MS: u64 = 250;

/// The time for which an engine generates for the prompt before it crashes.
const CRASH_DELAY_MS: u64 = 30;

const FATAL: &str = "a prompt that no engine survives";

/// Crashes and restarts the engines that hold the fatal prompt; returns their number.
fn crash_engines(world: &mut World) -> usize {
    let engines = world.engines.iter();
    let holding: Vec<_> = engines.filter(|e| e.generates(FATAL)).cloned().collect();
    for engine in &holding {
        engine.kill(&mut world.stakker);
        engine.restart();
    }
    holding.len()
}

/// A prompt crashes each engine that starts to generate for it, and its caller's program sends it
/// repeatedly. If crashes counted against engines only, each request would go on to up to four
/// engines and each arrival would start anew: in twelve seconds of repeats each arrival cost up to
/// four engines all of their running work.
#[test]
fn a_prompt_that_crashes_engines_is_quarantined() {
    for class in ["draft", "notice"] {
        let mut world = World::new(1, 6, 7);
        let mut crashes: Vec<u64> = Vec::new();
        for arrival in 1..48 {
            world.complete(0, call(class, FATAL, 20));
            while world.now_ms < arrival * SEND_INTERVAL_MS {
                world.run_for(CRASH_DELAY_MS);
                let crashed = crash_engines(&mut world);
                crashes.extend(std::iter::repeat_n(world.now_ms, crashed));
            }
        }
        let known_at_ms = crashes[CRASHES_TO_DETECT - 1] + DETECTION_MS;
        let late = crashes.iter().filter(|at_ms| **at_ms > known_at_ms).count();
        let all = crashes.len();
        assert!(
            late <= MAX_LATE_CRASHES,
            "{class}: {late} late crashes, {all} in total"
        );
        let (_, received) = world.complete(0, call(class, FATAL, 20));
        world.run_for(1);
        let error = received.error().expect("the prompt is refused at once");
        assert_eq!(error.verdict, Verdict::NotRun);
        assert!(error.retry_after_ms > Some(SpanMs(60_000)), "{error:?}");
        let (_, received) = world.complete(0, call(class, "another", 20));
        world.run_for(10_000);
        assert!(
            received.error().is_none(),
            "{class}: other prompts are served"
        );
        assert!(received.is_finished(), "{class}: other prompts are served");
    }
}
