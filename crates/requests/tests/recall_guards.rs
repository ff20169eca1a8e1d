//! The requests' own guards around recalls, before a policy that wants everything back.

mod common;

use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_policy::{Decision, EngineFacts, Job, Outcome, Policy, Refusal, Violation};
use bluebell_requests::RequestsSettings;
use bluebell_upstreams::engine::CacheEvent;
use bluebell_upstreams::{LoadReport, Priority};
use common::engine::Faults;
use common::{Told, World, call, set_faults};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

const PROMPT: &str = "an answer of some length";
const MAX_TOKENS: u64 = 80;
/// The most recalls of one request.
const MAX_RECALLS: u32 = 16;

/// When the policy wants work back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wants {
    /// As soon as an engine took it.
    Accepted,
    /// Once its first token came.
    Begun,
}

/// Sends everything to the first engine that did not fail it, and wants it back.
struct Eager {
    wants: Wants,
    engines: Vec<UpstreamId>,
    queued: Vec<RequestId>,
    recalls: Vec<RequestId>,
    jobs: BTreeMap<RequestId, (Job, bool)>,
    accepted: Rc<Cell<u32>>,
}

impl Policy for Eager {
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
        if self.wants == Wants::Accepted {
            self.recalls.push(request);
        }
    }
    fn on_first_token(&mut self, request: RequestId, _: MonoMs) {
        if self.wants == Wants::Begun {
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

/// A world with two engines, and how often an acceptance was told to its policy.
fn world(wants: Wants) -> (World, Rc<Cell<u32>>) {
    let accepted = Rc::new(Cell::new(0));
    let settings = RequestsSettings::default();
    let world = World::with_policies((1, 2), 7, settings, &|_, _| {
        Box::new(Eager {
            wants,
            engines: Vec::new(),
            queued: Vec::new(),
            recalls: Vec::new(),
            jobs: BTreeMap::new(),
            accepted: accepted.clone(),
        })
    });
    (world, accepted)
}

fn check(world: &mut World, told: &Told) {
    told.check(PROMPT, MAX_TOKENS, 0);
    assert!(told.is_finished(), "{}", told.brief());
    assert_eq!(world.held(), 0);
    assert!(world.policies_are_empty());
}

/// The policy wants it back from each engine that takes it: after a bounded number of recalls it
/// stays where it is. Then its engine dies: the recalls were no failed attempts, so that it still
/// goes elsewhere.
#[test]
fn recalls_are_bounded_and_are_no_failed_attempts() {
    let (mut world, accepted) = world(Wants::Accepted);
    let (_, told) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.run_for(500);
    assert_eq!(world.counts.recalls.get(), MAX_RECALLS);
    assert_eq!(accepted.get(), MAX_RECALLS + 1);
    assert_eq!(world.counts.retries.get(), 0);
    assert!(!told.texts().is_empty(), "{}", told.brief());
    let engine = world.engines[0].clone();
    engine.kill(&mut world.stakker);
    world.run_for(10_000);
    assert_eq!(world.counts.retries.get(), 1);
    check(&mut world, &told);
}

/// The policy wants back what has begun to answer: the caller has its first token, and the attempt
/// goes on.
#[test]
fn what_has_begun_to_answer_stays() {
    let (mut world, _) = world(Wants::Begun);
    let (_, told) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.run_for(10_000);
    assert_eq!(world.counts.recalls.get(), 0);
    assert_eq!(world.counts.attempts.get(), 1);
    check(&mut world, &told);
}

/// Work that may not be repeated stays, whatever the policy wants.
#[test]
fn what_may_not_be_repeated_stays() {
    let (mut world, _) = world(Wants::Accepted);
    let (_, told) = world.complete(0, call("notice", PROMPT, MAX_TOKENS));
    world.run_for(10_000);
    assert_eq!(world.counts.recalls.get(), 0);
    assert_eq!(world.counts.attempts.get(), 1);
    check(&mut world, &told);
}

/// The caller hung up and reads on through another node, perhaps: its stream is left alone.
#[test]
fn what_nobody_reads_stays() {
    let (mut world, accepted) = world(Wants::Accepted);
    let (caller, _) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.gone(0, caller);
    world.run_for(500);
    assert_eq!(accepted.get(), 1);
    assert_eq!(world.counts.recalls.get(), 0);
    world.run_for(10_000);
    assert_eq!(world.held(), 0);
    assert!(world.policies_are_empty());
}

/// The cancel of a recalled attempt is lost, and the policy sends the work to the same engine
/// again, where the first attempt still is: the engine would refuse a second one beside it, and a
/// retry would be spent on that.
#[test]
fn no_second_attempt_goes_beside_a_recalled_one() {
    let (mut world, _) = world(Wants::Accepted);
    let (_, told) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.run_for(1);
    let first = world.engines[0].clone();
    first.state.borrow_mut().faults.lose_call = 1.0;
    world.run_for(1_000);
    set_faults(&world, Faults::default());
    world.run_for(20_000);
    assert_eq!(world.counts.retries.get(), 0);
    assert_eq!(first.state.borrow().generated.len(), 1);
    check(&mut world, &told);
}

/// An engine's word of acceptance comes twice, and again with each resume of a broken stream: its
/// load is old then, and work that has begun would be thrown away by it.
#[test]
fn an_acceptance_is_told_once_an_attempt() {
    let (mut world, accepted) = world(Wants::Begun);
    let double_event = 1.0;
    set_faults(
        &world,
        Faults {
            double_event,
            ..Faults::default()
        },
    );
    let (_, told) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.run_for(200);
    world.engines[0].clone().break_all(&mut world.stakker);
    world.run_for(10_000);
    assert_eq!(accepted.get(), 1);
    check(&mut world, &told);
}

/// The cancel of a first attempt is answered only while a second one is being taken back from
/// another engine: the answer says nothing of the second one, which is still there, and work sent
/// there again would be refused.
#[test]
fn a_late_answer_ends_no_other_recall() {
    let (mut world, _) = world(Wants::Accepted);
    let (_, told) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    let (first, second) = (world.engines[0].clone(), world.engines[1].clone());
    while first.state.borrow().generated.is_empty() {
        world.run_for(1);
    }
    first.state.borrow_mut().queued = true;
    first.freeze(true, &mut world.stakker);
    while second.state.borrow().generated.is_empty() {
        assert!(world.now_ms < 2_000, "it did not go on");
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
    check(&mut world, &told);
}
