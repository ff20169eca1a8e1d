//! Work that waits for an engine: it goes on waiting only while a try may still succeed.

mod common;

use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_policy::{
    Decision, EngineFacts, Job, Outcome, Policy, Refusal, RefusalReason, Violation,
};
use bluebell_requests::RequestsSettings;
use bluebell_upstreams::engine::CacheEvent;
use bluebell_upstreams::{LoadReport, Priority};
use common::{World, call};
use std::cell::Cell;
use std::rc::Rc;

/// When the class's answers must have ended.
const END_MS: u64 = 30_000;
/// How long the class's callers may wait for a first token.
const FIRST_TOKEN_MS: u64 = 20_000;
/// When the engine dies.
const DEATH_MS: u64 = 300;
/// The longest pause between two tries, with its jitter.
const LONGEST_PAUSE_MS: u64 = 4_500;
/// Within which time a broken stream is given up and goes back to the policy.
const GIVEN_UP_MS: u64 = 10_000;

/// How often, and when last, work was handed to the policy.
#[derive(Default)]
struct Seen {
    admits: Cell<u32>,
    last_ms: Cell<u64>,
}

/// Sends all work to one engine; refuses it from the second time on, where it has a reason.
struct Refusing {
    reason: Option<RefusalReason>,
    queued: Vec<RequestId>,
    seen: Rc<Seen>,
}

impl Policy for Refusing {
    fn engine_updated(&mut self, _: EngineFacts, _: MonoMs) {}
    fn engine_leaving(&mut self, _: UpstreamId, _: MonoMs) {}
    fn engine_gone(&mut self, _: UpstreamId, _: MonoMs) {}
    fn on_load(&mut self, _: UpstreamId, _: &LoadReport, _: MonoMs) {}
    fn on_cache(&mut self, _: UpstreamId, _: &[CacheEvent], _: bool) {}
    fn admit(&mut self, job: Job, now_ms: MonoMs) -> Result<(), Refusal> {
        self.seen.admits.set(self.seen.admits.get() + 1);
        self.seen.last_ms.set(now_ms.0);
        if let Some(reason) = self.reason.filter(|_| self.seen.admits.get() > 1) {
            let retry_after_ms = SpanMs(700);
            return Err(Refusal {
                reason,
                retry_after_ms,
            });
        }
        self.queued.push(job.request);
        Ok(())
    }
    fn decide(&mut self, _: MonoMs, out: &mut Vec<Decision>) {
        out.extend(self.queued.drain(..).map(|request| Decision::Send {
            request,
            upstream: UpstreamId(0),
            priority: Priority(0),
        }));
    }
    fn next_wake_ms(&self) -> Option<MonoMs> {
        None
    }
    fn withdraw(&mut self, request: RequestId, _: MonoMs) {
        self.queued.retain(|queued| *queued != request);
    }
    fn on_accepted(&mut self, _: RequestId, _: Tokens, _: &LoadReport, _: MonoMs) {}
    fn on_first_token(&mut self, _: RequestId, _: MonoMs) {}
    fn on_end(&mut self, _: RequestId, _: Outcome, _: MonoMs) {}
    fn set_config(&mut self, _: &FleetConfig, _: MonoMs) {}
    fn verify(&self) -> Vec<Violation> {
        Vec::new()
    }
    fn dump(&self) -> String {
        format!("jobs {},", self.queued.len())
    }
}

fn world(reason: Option<RefusalReason>) -> (World, Rc<Seen>) {
    let seen = Rc::new(Seen::default());
    let settings = RequestsSettings::default();
    let world = World::with_policies((1, 1), 7, settings, &|_, _| {
        Box::new(Refusing {
            reason,
            queued: Vec::new(),
            seen: seen.clone(),
        })
    });
    (world, seen)
}

/// One refusal after the engine's death, and what becomes of the work.
struct Case {
    reason: RefusalReason,
    /// Whether the caller has a part of its answer.
    begun: bool,
    verdict: Verdict,
    /// Between these instants its caller hears that it failed.
    ends_ms: std::ops::Range<u64>,
}

fn cases() -> Vec<Case> {
    let at_once = DEATH_MS..GIVEN_UP_MS;
    let by_end = END_MS - LONGEST_PAUSE_MS..END_MS;
    // The new attempt has as long for a first token as the first one had, from the break on.
    let by_target = FIRST_TOKEN_MS - LONGEST_PAUSE_MS..FIRST_TOKEN_MS + GIVEN_UP_MS / 2;
    let mut cases = Vec::new();
    for (begun, verdict, in_time) in [
        (true, Verdict::Ran, by_end),
        (false, Verdict::MayHaveRun, by_target),
    ] {
        for (reason, ends_ms) in [
            (RefusalReason::NoEngine, in_time.clone()),
            (RefusalReason::Overloaded, in_time.clone()),
            (RefusalReason::OverShare, in_time.clone()),
            (RefusalReason::TooLate, at_once.clone()),
            (RefusalReason::TooLong, at_once.clone()),
        ] {
            cases.push(Case {
                reason,
                begun,
                verdict,
                ends_ms,
            });
        }
    }
    cases
}

/// The engine dies and the policy refuses the work from then on. The caller hears so with the last
/// try that can come in time, whether it ran and when to come back; it isn't kept waiting for the
/// deadline behind a try that never comes.
#[test]
fn refused_work_waits_only_for_a_try_in_time() {
    for case in cases() {
        let name = format!("{:?}, begun {}", case.reason, case.begun);
        let (mut world, seen) = world(Some(case.reason));
        world.engines[0].freeze_steps(!case.begun);
        let (_, told) = world.complete(0, call("draft", "a draft", 80));
        world.run_to(DEATH_MS);
        assert_eq!(!told.texts().is_empty(), case.begun, "{name}");
        world.engines[0].clone().kill(&mut world.stakker);
        world.run_to(END_MS + 1);
        let error = told.error().expect("it failed");
        let ended_ms = told.ended_ms().expect("it ended");
        assert!(case.ends_ms.contains(&ended_ms), "{name}: {}", told.brief());
        assert_eq!(ended_ms, seen.last_ms.get(), "{name}: it was held back");
        assert_eq!(error.verdict, case.verdict, "{name}");
        assert_eq!(error.retry_after_ms, Some(SpanMs(700)), "{name}");
        assert!(world.policies_are_empty(), "{name}");
    }
}

/// The policy sends new work to an engine that is gone, again and again. Its caller hears with the
/// last try before the deadline that nothing ran, and when to come back.
#[test]
fn unsent_work_waits_only_for_a_try_in_time() {
    let (mut world, seen) = world(None);
    world.nodes[0].engine_gone(common::engine_description(0).name);
    let (_, told) = world.complete(0, call("draft", "a draft", 80));
    world.run_to(END_MS + 1);
    let error = told.error().expect("it failed");
    let ended_ms = told.ended_ms().expect("it ended");
    assert!(
        (END_MS - LONGEST_PAUSE_MS..END_MS).contains(&ended_ms),
        "{}",
        told.brief()
    );
    assert_eq!(ended_ms, seen.last_ms.get(), "it was held back");
    assert_eq!(error.verdict, Verdict::NotRun);
    assert!(error.retry_after_ms.is_some());
    assert!(world.policies_are_empty());
}
