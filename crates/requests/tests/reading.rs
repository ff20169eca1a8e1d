//! Hang-ups, resumed reading and cancels, on one node and across two.

mod common;

use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use bluebell_requests::call::CallerCall;
use common::engine::KV_TOKENS;
use common::{ReceivedEvents, World, call};
use std::sync::mpsc::{Receiver, channel};

const PROMPT: &str = "a long answer";
const MAX_TOKENS: u64 = 200;

/// Starts a call at node 0 and runs it for `ms`; returns its caller and the events received.
fn world_with_call(
    nodes: u64,
    ms: u64,
) -> (World, bluebell_requests::call::CallerId, ReceivedEvents) {
    let mut world = World::new(nodes, 2, 3);
    let (caller, received) = world.complete(0, call("notice", PROMPT, MAX_TOKENS));
    world.run_for(ms);
    (world, caller, received)
}

fn token_count(received: &ReceivedEvents) -> u64 {
    received.texts().len() as u64
}

/// A caller hangs up and does not return: its work is cancelled after the grace period, and the
/// engine's memory is freed at once instead of when the hold expires.
#[test]
fn a_hang_up_cancels_upstream_after_the_grace_period() {
    let (mut world, caller, _) = world_with_call(1, 500);
    world.disconnect(0, caller);
    world.run_for(2_900);
    assert_eq!(world.held(), 1, "the grace period lasts 3 s");
    world.run_for(150);
    assert_eq!(world.held(), 0);
}

/// A caller's connection breaks and the caller resumes reading through either node within the grace
/// period. It receives the rest without duplicates, and the work ran once. If it resumes through
/// the other node, the first node's grace period ends meanwhile; its cancel must not cut off the
/// stream.
#[test]
fn a_broken_stream_is_resumed_through_any_node() {
    for node in [0, 1] {
        let (mut world, caller, received) = world_with_call(2, 1_000);
        let request = received.request().expect("admitted");
        world.disconnect(0, caller);
        world.run_for(500);
        let resumed = world.resume_answer(node, "parish", request, received.last_cursor());
        world.run_for(6_000);
        resumed.check(PROMPT, MAX_TOKENS, token_count(&received));
        assert!(resumed.is_finished(), "node {node}: {}", resumed.summary());
        assert_eq!(world.runs(request), 1);
        assert_eq!(world.held(), 0);
    }
}

/// A caller's connection breaks unnoticed by its node, and the caller resumes reading through the
/// other node. The first node sees a silent stream, takes it back, learns of the hang-up, and its
/// grace period ends. The caller at the second node must still receive everything, because that
/// node takes the stream back in time, also in the middle of a long prefill.
#[test]
fn a_hang_up_noticed_late_cuts_off_no_reader() {
    for prefill in [false, true] {
        let (mut world, caller, received) = world_with_call(2, 1_000);
        let request = received.request().expect("admitted");
        let engine = world.engines[world.engine_of(request)].clone();
        let resumed = world.resume_answer(1, "parish", request, received.last_cursor());
        world.run_for(20);
        engine.freeze_steps(prefill);
        world.run_for(2_500);
        let before = token_count(&received);
        world.disconnect(0, caller);
        world.run_for(4_000);
        engine.freeze_steps(false);
        world.run_for(8_000);
        resumed.check(PROMPT, MAX_TOKENS, 47);
        assert!(resumed.is_finished(), "{before} {}", resumed.summary());
        assert_eq!(world.runs(request), 1);
    }
}

/// The node that admitted a request dies; its caller resumes reading through another node.
#[test]
fn a_dead_nodes_stream_is_resumed_through_another() {
    let (mut world, _, received) = world_with_call(2, 1_000);
    let request = received.request().expect("admitted");
    world.kill_node(0);
    world.run_for(1_000);
    let resumed = world.resume_answer(0, "parish", request, received.last_cursor());
    world.run_for(6_000);
    resumed.check(PROMPT, MAX_TOKENS, token_count(&received));
    assert!(resumed.is_finished(), "{}", resumed.summary());
    assert_eq!(world.runs(request), 1);
}

/// The engine crashes, and the admitting node continues elsewhere. The caller, whose last event
/// came from the crashed engine, resumes reading through the other node, which queries the
/// admitting node for the new engine.
#[test]
fn a_cursor_of_an_abandoned_attempt_leads_to_the_current_one() {
    let mut world = World::new(2, 2, 3);
    let (caller, received) = world.complete(0, call("draft", PROMPT, MAX_TOKENS));
    world.run_for(1_000);
    let request = received.request().expect("admitted");
    let cursor = received.last_cursor();
    let before = token_count(&received);
    world.engines[world.engine_of(request)]
        .clone()
        .kill(&mut world.stakker);
    world.run_for(1_500);
    world.disconnect(0, caller);
    let resumed = world.resume_answer(1, "parish", request, cursor);
    world.run_for(12_000);
    resumed.check(PROMPT, MAX_TOKENS, before);
    assert!(resumed.is_finished(), "{}", resumed.summary());
    assert_eq!(world.runs(request), 2);
}

/// The node that admitted a request dies and nobody resumes reading: the engine's hold expires.
#[test]
fn a_dead_nodes_stream_memory_expires() {
    let (mut world, _, _) = world_with_call(2, 1_000);
    world.kill_node(0);
    world.run_for(20_000);
    assert_eq!(world.held(), 0);
}

/// A caller that lost its connection before the first event reads from the beginning, by the
/// request's id; the other node queries the one that admitted it.
#[test]
fn without_a_cursor_the_admitting_node_is_queried() {
    let (mut world, caller, received) = world_with_call(2, 500);
    let request = received.request().expect("admitted");
    world.disconnect(0, caller);
    let whole = world.resume_answer(1, "parish", request, None);
    world.run_for(6_000);
    whole.check(PROMPT, MAX_TOKENS, 0);
    assert!(whole.is_finished(), "{}", whole.summary());
    let (mut world, _, received) = world_with_call(2, 500);
    let request = received.request().expect("admitted");
    world.peers.cut.set(true);
    let refused = world.resume_answer(1, "parish", request, None);
    world.run_for(2_100);
    let error = refused
        .error()
        .expect("a silent peer does not keep the caller waiting");
    assert_eq!(
        (error.verdict, error.kind),
        (Verdict::MayHaveRun, ErrorKind::Unavailable)
    );
}

/// An ended answer is read again from its record.
#[test]
fn an_ended_answer_is_read_again() {
    let (mut world, _, received) = world_with_call(1, 6_000);
    let request = received.request().expect("admitted");
    assert!(received.is_finished());
    let again = world.resume_answer(0, "parish", request, None);
    world.run_for(10);
    assert_eq!(again.texts(), received.texts());
    assert!(again.is_finished());
    world.run_for(200_000);
    let late = world.resume_answer(0, "parish", request, None);
    world.run_for(10);
    assert!(late.error().is_some_and(|e| e.kind == ErrorKind::NotFound) || late.is_finished());
}

/// Another account guesses or steals a request id, or forges a cursor. It learns nothing, not even
/// that the request exists, and changes nothing.
#[test]
fn another_account_cannot_read_cancel_or_detect_a_request() {
    let (mut world, _, received) = world_with_call(2, 500);
    let request = received.request().expect("admitted");
    let cursor = received.last_cursor().expect("a token");
    let forged: Arc<str> = format!("{}AAAA", &cursor[..cursor.len() - 4]).into();
    let nobodys = RequestId {
        sequence: 999,
        ..request
    };
    for node in [0, 1] {
        let tries = [
            world.resume_answer(node, "paper", request, None),
            world.resume_answer(node, "paper", request, Some(cursor.clone())),
            world.resume_answer(node, "parish", request, Some(forged.clone())),
            world.resume_answer(node, "paper", nobodys, None),
        ];
        let cancel = query(&world, node, "paper", request, true);
        let report = query(&world, node, "paper", request, false);
        world.run_for(100);
        for received in tries {
            assert!(received.texts().is_empty());
            assert_eq!(received.error().expect("refused").kind, ErrorKind::NotFound);
        }
        for answer in [cancel.try_recv(), report.try_recv()] {
            let answer = answer.expect("answered");
            assert_eq!(answer.expect_err("refused").kind, ErrorKind::NotFound);
        }
    }
    world.run_for(6_000);
    assert!(received.is_finished());
}

/// A caller cancels through either node: the engine stops, and the verdict is the engine's.
#[test]
fn a_cancel_stops_the_work_through_any_node() {
    for node in [0, 1] {
        let (mut world, _, received) = world_with_call(2, 500);
        let request = received.request().expect("admitted");
        let answer = query(&world, node, "parish", request, true);
        world.run_for(500);
        let report = answer.try_recv().expect("answered").expect("cancelled");
        assert_eq!(report.verdict, Verdict::Ran, "node {node}");
        assert_eq!(world.held(), 0, "node {node}");
        world.run_for(15_000);
        assert!(received.error().is_some_and(|e| e.verdict == Verdict::Ran));
        assert_eq!(world.runs(request), 1);
    }
}

/// An engine's events are lost, so its work continues elsewhere in a new attempt. The first engine
/// is alive and would otherwise compute and hold memory for nobody.
#[test]
fn an_abandoned_attempt_is_cancelled_on_its_engine() {
    let mut world = World::new(1, 2, 3);
    let (_, received) = world.complete(0, call("draft", PROMPT, 2_000));
    world.run_for(500);
    let engine = world.engines[world.engine_of(received.request().expect("admitted"))].clone();
    engine.state.borrow_mut().faults.lose_event = 1.0;
    world.run_for(15_000);
    assert_eq!(world.runs(received.request().expect("admitted")), 2);
    assert_eq!(
        engine.stopped_by_cancel(),
        1,
        "the silent engine received the cancel"
    );
}

/// Two engines hold a long prompt together; afterwards both are freed at once. While one of them
/// lacks memory, nothing stays reserved on the other.
#[test]
fn a_group_is_reserved_and_released_as_a_whole() {
    let mut world = World::new(1, 2, 3);
    let long = "word ".repeat(KV_TOKENS.0 as usize);
    let blocked = world.engines[1].clone();
    // Its refusals arrive well after the other engine's grants.
    blocked.state.borrow_mut().faults.delay_call_ms = 50;
    blocked
        .state
        .borrow_mut()
        .reserved
        .insert(ReservationId(1), (2_000, KV_TOKENS));
    let (_, received) = world.complete(0, call("draft", &long, 20));
    let mut kept_ms = 0;
    for _ in 0..1_900 {
        world.run_for(1);
        kept_ms += u64::from(world.engines[0].held() > 0);
    }
    assert!(
        kept_ms < 500,
        "held {kept_ms} ms of 1900 while the group was incomplete"
    );
    blocked.state.borrow_mut().reserved.clear();
    world.run_for(3_000);
    assert!(received.is_finished(), "{}", received.summary());
    assert_eq!(
        world.held(),
        0,
        "the memory was not released before its expiry"
    );
}

type Answer = Result<RequestReport, Error>;

fn query(
    world: &World,
    node: usize,
    account: &str,
    request: RequestId,
    cancel: bool,
) -> Receiver<Answer> {
    let (sender, receiver) = channel();
    let account = AccountName::from(account);
    let reply = Box::new(move |answer: Answer| sender.send(answer).expect("awaited"));
    world.nodes[node].call(match cancel {
        true => CallerCall::Cancel {
            account,
            request,
            reply,
        },
        false => CallerCall::Report {
            account,
            request,
            reply,
        },
    });
    receiver
}
