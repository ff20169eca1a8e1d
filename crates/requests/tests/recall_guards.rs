//! The requests' own guards around recalls, with a policy that recalls everything.

mod common;

use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_policy::{Decision, EngineFacts, Job, Outcome, Policy, Refusal, Violation};
use bluebell_requests::RequestsSettings;
use bluebell_upstreams::engine::CacheEvent;
use bluebell_upstreams::{LoadReport, Priority};
use common::engine::Faults;
use common::{ReceivedEvents, World, call, set_faults};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

const PROMPT: &str = "an answer of some length";
const MAX_TOKENS: u64 = 80;
/// The limit of recalls of one request.
const MAX_RECALLS: u32 = 16;

/// The event after which the policy recalls work.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RecallWhen {
    /// An engine accepted the work.
    Accepted,
    /// Its first token arrived.
    FirstToken,
}

/// Sends all work to the first engine that did not fail it, and recalls it.
struct RecallingPolicy {
    recall_when: RecallWhen,
    engines: Vec<UpstreamId>,
    queued: Vec<RequestId>,
    recalls: Vec<RequestId>,
    jobs: BTreeMap<RequestId, (Job, bool)>,
    accepted: Rc<Cell<u32>>,
}

impl Policy for RecallingPolicy {
    fn engine_updated(&mut self, facts: EngineFacts, _: MonoMs) {
        self.engines.push(facts.upstream);
    }
    fn engine_leaving(&mut self, _: UpstreamId, _: MonoMs) {}
    fn engine_gone(&mut self, _: UpstreamId, _: MonoMs) {}
    fn on_load(&mut self, _: UpstreamId, _: &LoadReport, _: MonoMs) {}
    fn on_cache(&mut self, _: UpstreamId, _: &[CacheEvent], _: bool) {}
    fn admit(&mut self, job: Job, _: MonoMs) -> Result<(), Refusal> {
        self.queued.push(job.request);
        self.jobs.insert(job.request, (job, false));
        Ok(())
    }
    fn decide(&mut self, _: MonoMs, out: &mut Vec<Decision>) {
        for request in self.recalls.drain(..) {
            if let Some((_, recalled)) = self.jobs.get_mut(&request) {
                *recalled = true;
                out.push(Decision::Recall { request });
            }
        }
        for request in self.queued.drain(..) {
            let job = &self.jobs[&request].0;
            let mut engines = self.engines.iter();
            let upstream = engines.find(|engine| !job.avoid.contains(engine));
            out.push(Decision::Send {
                request,
                upstream: *upstream.unwrap_or(&self.engines[0]),
                priority: Priority(0),
            });
        }
    }
    fn next_wake_ms(&self) -> Option<MonoMs> {
        None
    }
    fn withdraw(&mut self, request: RequestId, _: MonoMs) {
        self.queued.retain(|queued| *queued != request);
        self.jobs.remove(&request);
    }
    fn on_accepted(&mut self, request: RequestId, _: Tokens, _: &LoadReport, _: MonoMs) {
        self.accepted.set(self.accepted.get() + 1);
        if self.recall_when == RecallWhen::Accepted {
            self.recalls.push(request);
        }
    }
    fn on_first_token(&mut self, request: RequestId, _: MonoMs) {
        if self.recall_when == RecallWhen::FirstToken {
            self.recalls.push(request);
        }
    }
    fn on_end(&mut self, request: RequestId, outcome: Outcome, _: MonoMs) {
        let Some((_, recalled)) = self.jobs.get_mut(&request) else {
            return;
        };
        if std::mem::take(recalled) && matches!(outcome, Outcome::NotRun | Outcome::Cancelled) {
            self.queued.push(request);
        } else {
            self.jobs.remove(&request);
        }
    }
    fn set_config(&mut self, _: &FleetConfig, _: MonoMs) {}
    fn verify(&self) -> Vec<Violation> {
        Vec::new()
    }
    fn dump(&self) -> String {
        format!("jobs {},", self.jobs.len())
    }
}

/// Returns a world with two engines, and the count of acceptances reported to its policy.
fn world(recall_when: RecallWhen) -> (World, Rc<Cell<u32>>) {
    let accepted = Rc::new(Cell::new(0));
    let settings = RequestsSettings::default();
    let world = World::with_policies((1, 2), 7, settings, &|_, _| {
        Box::new(RecallingPolicy {
            recall_when,
            engines: Vec::new(),
            queued: Vec::new(),
            recalls: Vec::new(),
            jobs: BTreeMap::new(),
            accepted: accepted.clone(),
        })
    });
    (world, accepted)
}

fn check(world: &mut World, received: &ReceivedEvents) {
    received.check(PROMPT, MAX_TOKENS, 0);
    assert!(received.is_finished(), "{}", received.summary());
    assert_eq!(world.held(), 0);
    assert!(world.policies_are_empty());
}

/// The policy recalls the request from each engine that accepts it. After a bounded number of
/// recalls it stays. Then its engine crashes: the recalls did not count as failed attempts, so it
/// still continues elsewhere.
#[test]
fn recalls_are_bounded_and_do_not_count_as_failed_attempts() {
    let (mut world, accepted) = world(RecallWhen::Accepted);
    let (_, received) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.run_for(500);
    assert_eq!(world.counts.recalls.get(), MAX_RECALLS);
    assert_eq!(accepted.get(), MAX_RECALLS + 1);
    assert_eq!(world.counts.retries.get(), 0);
    assert!(!received.texts().is_empty(), "{}", received.summary());
    let engine = world.engines[0].clone();
    engine.kill(&mut world.stakker);
    world.run_for(10_000);
    assert_eq!(world.counts.retries.get(), 1);
    check(&mut world, &received);
}

/// The policy recalls a request that has begun to answer. The caller already has its first token,
/// so the attempt continues.
#[test]
fn the_guards_keep_a_started_answer() {
    let (mut world, _) = world(RecallWhen::FirstToken);
    let (_, received) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.run_for(10_000);
    assert_eq!(world.counts.recalls.get(), 0);
    assert_eq!(world.counts.attempts.get(), 1);
    check(&mut world, &received);
}

/// Work that may not be repeated stays on its engine, whatever the policy decides.
#[test]
fn the_guards_keep_work_that_may_not_be_repeated() {
    let (mut world, _) = world(RecallWhen::Accepted);
    let (_, received) = world.complete(0, call("notice", PROMPT, MAX_TOKENS));
    world.run_for(10_000);
    assert_eq!(world.counts.recalls.get(), 0);
    assert_eq!(world.counts.attempts.get(), 1);
    check(&mut world, &received);
}

/// The caller hung up and may have resumed reading through another node: its stream is left alone.
#[test]
fn the_guards_keep_work_without_a_reader() {
    let (mut world, accepted) = world(RecallWhen::Accepted);
    let (caller, _) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.disconnect(0, caller);
    world.run_for(500);
    assert_eq!(accepted.get(), 1);
    assert_eq!(world.counts.recalls.get(), 0);
    world.run_for(10_000);
    assert_eq!(world.held(), 0);
    assert!(world.policies_are_empty());
}

/// The cancel of a recalled attempt is lost, and the policy sends the work to the same engine,
/// which still has the first attempt. The engine would reject a second one, and a retry would be
/// spent on that.
#[test]
fn no_second_attempt_is_sent_to_the_engine_of_a_recalled_one() {
    let (mut world, _) = world(RecallWhen::Accepted);
    let (_, received) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.run_for(1);
    let first = world.engines[0].clone();
    first.state.borrow_mut().faults.lose_call = 1.0;
    world.run_for(1_000);
    set_faults(&world, Faults::default());
    world.run_for(20_000);
    assert_eq!(world.counts.retries.get(), 0);
    assert_eq!(first.state.borrow().generated.len(), 1);
    check(&mut world, &received);
}

/// An engine's acceptance arrives twice, and again with each resume of a broken stream. Its load is
/// out of date then, and a recall based on it would discard work that has begun.
#[test]
fn an_acceptance_is_reported_once_per_attempt() {
    let (mut world, accepted) = world(RecallWhen::FirstToken);
    let double_event = 1.0;
    set_faults(
        &world,
        Faults {
            double_event,
            ..Faults::default()
        },
    );
    let (_, received) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.run_for(200);
    world.engines[0].clone().break_all(&mut world.stakker);
    world.run_for(10_000);
    assert_eq!(accepted.get(), 1);
    check(&mut world, &received);
}

/// The cancel of a first attempt is answered only while a second one is being recalled from another
/// engine. The answer says nothing about the second attempt, which is still there; work sent to
/// that engine again would be rejected.
#[test]
fn a_late_cancel_answer_ends_no_other_recall() {
    let (mut world, _) = world(RecallWhen::Accepted);
    let (_, received) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    let (first, second) = (world.engines[0].clone(), world.engines[1].clone());
    while first.state.borrow().generated.is_empty() {
        world.run_for(1);
    }
    first.state.borrow_mut().queued = true;
    first.freeze(true, &mut world.stakker);
    while second.state.borrow().generated.is_empty() {
        assert!(
            world.now_ms < 2_000,
            "the request did not continue on the second engine"
        );
        world.run_for(1);
    }
    second.state.borrow_mut().faults.lose_call = 1.0;
    world.run_for(5);
    assert_eq!(world.counts.recalls.get(), 2);
    first.freeze(false, &mut world.stakker);
    world.run_for(20);
    assert_eq!(world.counts.attempts.get(), 2);
    first.state.borrow_mut().queued = false;
    set_faults(&world, Faults::default());
    world.run_for(20_000);
    assert_eq!(world.counts.retries.get(), 0);
    check(&mut world, &received);
}
