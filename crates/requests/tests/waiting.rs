//! Work that waits for an engine: it waits only as long as a try may still succeed.

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

/// The time by which the class's answers must have ended.
const END_MS: u64 = 30_000;
/// The time within which the class's first token is due.
const FIRST_TOKEN_MS: u64 = 20_000;
/// The time at which the engine crashes.
const CRASH_MS: u64 = 300;
/// The longest pause between two tries, with its jitter.
const MAX_PAUSE_MS: u64 = 4_500;
/// The time within which a broken stream is given up and goes back to the policy.
const RECOVERY_MS: u64 = 10_000;

/// The number of jobs submitted to the policy, and the time of the last one.
#[derive(Default)]
struct Admissions {
    admits: Cell<u32>,
    last_ms: Cell<u64>,
}

/// Sends all work to one engine; with a reason, refuses it from the second time on.
struct Refusing {
    reason: Option<RefusalReason>,
    queued: Vec<RequestId>,
    admissions: Rc<Admissions>,
}

impl Policy for Refusing {
    fn engine_updated(&mut self, _: EngineFacts, _: MonoMs) {}
    fn engine_leaving(&mut self, _: UpstreamId, _: MonoMs) {}
    fn engine_gone(&mut self, _: UpstreamId, _: MonoMs) {}
    fn on_load(&mut self, _: UpstreamId, _: &LoadReport, _: MonoMs) {}
    fn on_cache(&mut self, _: UpstreamId, _: &[CacheEvent], _: bool) {}
    fn admit(&mut self, job: Job, now_ms: MonoMs) -> Result<(), Refusal> {
        self.admissions.admits.set(self.admissions.admits.get() + 1);
        self.admissions.last_ms.set(now_ms.0);
        if let Some(reason) = self.reason.filter(|_| self.admissions.admits.get() > 1) {
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

fn world(reason: Option<RefusalReason>) -> (World, Rc<Admissions>) {
    let admissions = Rc::new(Admissions::default());
    let settings = RequestsSettings::default();
    let world = World::with_policies((1, 1), 7, settings, &|_, _| {
        Box::new(Refusing {
            reason,
            queued: Vec::new(),
            admissions: admissions.clone(),
        })
    });
    (world, admissions)
}

/// One refusal after the engine's crash, and the expected outcome.
struct Case {
    reason: RefusalReason,
    /// True if the caller has a part of its answer.
    started: bool,
    verdict: Verdict,
    /// The range of times in which its caller receives the failure.
    ends_ms: std::ops::Range<u64>,
}

fn cases() -> Vec<Case> {
    let at_once = CRASH_MS..RECOVERY_MS;
    let by_end = END_MS - MAX_PAUSE_MS..END_MS;
    // From the break on, the new attempt has the same time for its first token as the first
    // attempt.
    let by_target = FIRST_TOKEN_MS - MAX_PAUSE_MS..FIRST_TOKEN_MS + RECOVERY_MS / 2;
    let mut cases = Vec::new();
    for (started, verdict, in_time) in [
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
                started,
                verdict,
                ends_ms,
            });
        }
    }
    cases
}

/// The engine crashes and the policy refuses the work from then on. The caller receives the failure
/// with the last try that can succeed in time, with the verdict and a retry delay; it does not wait
/// until the deadline for a try that never happens.
#[test]
fn refused_work_waits_only_for_a_try_in_time() {
    for case in cases() {
        let name = format!("{:?}, started {}", case.reason, case.started);
        let (mut world, admissions) = world(Some(case.reason));
        world.engines[0].freeze_steps(!case.started);
        let (_, received) = world.complete(0, call("draft", "a draft", 80));
        world.run_to(CRASH_MS);
        assert_eq!(!received.texts().is_empty(), case.started, "{name}");
        world.engines[0].clone().kill(&mut world.stakker);
        world.run_to(END_MS + 1);
        let error = received.error().expect("the request failed");
        let ended_ms = received.ended_ms().expect("the request ended");
        assert!(
            case.ends_ms.contains(&ended_ms),
            "{name}: {}",
            received.summary()
        );
        assert_eq!(
            ended_ms,
            admissions.last_ms.get(),
            "{name}: the failure was delayed"
        );
        assert_eq!(error.verdict, case.verdict, "{name}");
        assert_eq!(error.retry_after_ms, Some(SpanMs(700)), "{name}");
        assert!(world.policies_are_empty(), "{name}");
    }
}

/// The policy repeatedly sends new work to an engine that is gone. With the last try before the
/// deadline its caller receives "not run" and a retry delay.
#[test]
fn unsent_work_waits_only_for_a_try_in_time() {
    let (mut world, admissions) = world(None);
    world.nodes[0].engine_gone(common::engine_description(0).name);
    let (_, received) = world.complete(0, call("draft", "a draft", 80));
    world.run_to(END_MS + 1);
    let error = received.error().expect("the request failed");
    let ended_ms = received.ended_ms().expect("the request ended");
    assert!(
        (END_MS - MAX_PAUSE_MS..END_MS).contains(&ended_ms),
        "{}",
        received.summary()
    );
    assert_eq!(
        ended_ms,
        admissions.last_ms.get(),
        "the failure was delayed"
    );
    assert_eq!(error.verdict, Verdict::NotRun);
    assert!(error.retry_after_ms.is_some());
    assert!(world.policies_are_empty());
}
