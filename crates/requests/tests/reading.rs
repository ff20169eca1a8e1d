//! Hang-ups, reading on and cancelling, on one node and across two.

mod common;

use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use bluebell_requests::call::CallerCall;
use common::engine::KV_TOKENS;
use common::{Told, World, call};
use std::sync::mpsc::{Receiver, channel};

const PROMPT: &str = "a long answer";
const MAX: u64 = 200;

/// A call under way at node 0 for `ms`, with its caller's view.
fn under_way(nodes: u64, ms: u64) -> (World, bluebell_requests::call::CallerId, Told) {
    let mut world = World::new(nodes, 2, 3);
    let (caller, told) = world.complete(0, call("notice", PROMPT, MAX));
    world.run_for(ms);
    (world, caller, told)
}

fn seen(told: &Told) -> u64 {
    told.texts().len() as u64
}

/// A caller hangs up and does not come back: its work is cancelled after the grace, and the
/// engine's memory is free at once, not only when the hold expires.
#[test]
fn a_hang_up_cancels_upstream_after_the_grace() {
    let (mut world, caller, _) = under_way(1, 500);
    world.gone(0, caller);
    world.run_for(2_900);
    assert_eq!(world.held(), 1, "the grace lasts 3 s");
    world.run_for(150);
    assert_eq!(world.held(), 0);
}

/// A caller's connection breaks and it reads on within the grace, through either node: it gets
/// the rest, nothing twice, and the work ran once. Through another node the first one's grace
/// ends meanwhile; its cancel must not cut the stream.
#[test]
fn a_broken_stream_is_read_on_through_any_node() {
    for node in [0, 1] {
        let (mut world, caller, told) = under_way(2, 1_000);
        let request = told.request().expect("admitted");
        world.gone(0, caller);
        world.run_for(500);
        let resumed = world.resume_answer(node, "parish", request, told.last_cursor());
        world.run_for(6_000);
        resumed.check(PROMPT, MAX, seen(&told));
        assert!(resumed.is_finished(), "node {node}: {}", resumed.brief());
        assert_eq!(world.runs(request), 1);
        assert_eq!(world.held(), 0);
    }
}

/// A caller's connection breaks unseen by its node, and it reads on through the other one. The
/// first node takes the stream for silent and takes it back, learns of the hang-up, and its grace
/// ends: the caller at the second node must still get all, as that node takes the stream back in
/// time, in the middle of a long prefill too.
#[test]
fn a_hang_up_seen_late_cuts_nobody() {
    for prefill in [false, true] {
        let (mut world, caller, told) = under_way(2, 1_000);
        let request = told.request().expect("admitted");
        let engine = world.engines[world.engine_of(request)].clone();
        let resumed = world.resume_answer(1, "parish", request, told.last_cursor());
        world.run_for(20);
        engine.freeze_steps(prefill);
        world.run_for(2_500);
        let before = seen(&told);
        world.gone(0, caller);
        world.run_for(4_000);
        engine.freeze_steps(false);
        world.run_for(8_000);
        resumed.check(PROMPT, MAX, 47);
        assert!(resumed.is_finished(), "{before} {}", resumed.brief());
        assert_eq!(world.runs(request), 1);
    }
}

/// The node that admitted a request dies; its caller reads on through another one.
#[test]
fn a_dead_nodes_streams_are_read_on_through_another() {
    let (mut world, _, told) = under_way(2, 1_000);
    let request = told.request().expect("admitted");
    world.kill_node(0);
    world.run_for(1_000);
    let resumed = world.resume_answer(0, "parish", request, told.last_cursor());
    world.run_for(6_000);
    resumed.check(PROMPT, MAX, seen(&told));
    assert!(resumed.is_finished(), "{}", resumed.brief());
    assert_eq!(world.runs(request), 1);
}

/// The engine dies, the admitting node goes on elsewhere, and the caller, whose last event came
/// from the dead engine, reads on through the other node: that one asks where the work went.
#[test]
fn a_cursor_of_a_given_up_attempt_leads_to_the_present_one() {
    let mut world = World::new(2, 2, 3);
    let (caller, told) = world.complete(0, call("draft", PROMPT, MAX));
    world.run_for(1_000);
    let request = told.request().expect("admitted");
    let cursor = told.last_cursor();
    let before = seen(&told);
    world.engines[world.engine_of(request)]
        .clone()
        .kill(&mut world.stakker);
    world.run_for(1_500);
    world.gone(0, caller);
    let resumed = world.resume_answer(1, "parish", request, cursor);
    world.run_for(12_000);
    resumed.check(PROMPT, MAX, before);
    assert!(resumed.is_finished(), "{}", resumed.brief());
    assert_eq!(world.runs(request), 2);
}

/// The node that admitted a request dies and nobody reads on: the engine's hold expires.
#[test]
fn a_dead_nodes_streams_hold_no_memory_for_good() {
    let (mut world, _, _) = under_way(2, 1_000);
    world.kill_node(0);
    world.run_for(20_000);
    assert_eq!(world.held(), 0);
}

/// A caller that lost its connection before the first event asks from the beginning, by the
/// request's identity; the other node asks the one that admitted it.
#[test]
fn without_a_cursor_the_admitting_node_is_asked() {
    let (mut world, caller, told) = under_way(2, 500);
    let request = told.request().expect("admitted");
    world.gone(0, caller);
    let whole = world.resume_answer(1, "parish", request, None);
    world.run_for(6_000);
    whole.check(PROMPT, MAX, 0);
    assert!(whole.is_finished(), "{}", whole.brief());
    let (mut world, _, told) = under_way(2, 500);
    let request = told.request().expect("admitted");
    world.peers.cut.set(true);
    let refused = world.resume_answer(1, "parish", request, None);
    world.run_for(2_100);
    let error = refused
        .error()
        .expect("a silent peer does not hold the caller");
    assert_eq!(
        (error.verdict, error.kind),
        (Verdict::MayHaveRun, ErrorKind::Unavailable)
    );
}

/// An ended answer is read again from its record.
#[test]
fn an_ended_answer_is_read_again() {
    let (mut world, _, told) = under_way(1, 6_000);
    let request = told.request().expect("admitted");
    assert!(told.is_finished());
    let again = world.resume_answer(0, "parish", request, None);
    world.run_for(10);
    assert_eq!(again.texts(), told.texts());
    assert!(again.is_finished());
    world.run_for(200_000);
    let late = world.resume_answer(0, "parish", request, None);
    world.run_for(10);
    assert!(late.error().is_some_and(|e| e.kind == ErrorKind::NotFound) || late.is_finished());
}

/// Another account guesses or steals an identity, or forges a cursor: it learns nothing, not even
/// that the request exists, and changes nothing.
#[test]
fn another_account_reads_cancels_and_learns_nothing() {
    let (mut world, _, told) = under_way(2, 500);
    let request = told.request().expect("admitted");
    let cursor = told.last_cursor().expect("a token");
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
        let cancel = ask(&world, node, "paper", request, true);
        let report = ask(&world, node, "paper", request, false);
        world.run_for(100);
        for told in tries {
            assert!(told.texts().is_empty());
            assert_eq!(told.error().expect("refused").kind, ErrorKind::NotFound);
        }
        for answer in [cancel.try_recv(), report.try_recv()] {
            let answer = answer.expect("answered");
            assert_eq!(answer.expect_err("refused").kind, ErrorKind::NotFound);
        }
    }
    world.run_for(6_000);
    assert!(told.is_finished());
}

/// A caller cancels, through either node: the engine stops, and the verdict is the engine's.
#[test]
fn a_cancel_stops_the_work_through_any_node() {
    for node in [0, 1] {
        let (mut world, _, told) = under_way(2, 500);
        let request = told.request().expect("admitted");
        let answer = ask(&world, node, "parish", request, true);
        world.run_for(500);
        let report = answer.try_recv().expect("answered").expect("cancelled");
        assert_eq!(report.verdict, Verdict::Ran, "node {node}");
        assert_eq!(world.held(), 0, "node {node}");
        world.run_for(15_000);
        assert!(told.error().is_some_and(|e| e.verdict == Verdict::Ran));
        assert_eq!(world.runs(request), 1);
    }
}

/// An engine's events get lost, so its work goes on elsewhere by a new attempt; the first engine
/// is alive and would compute, and hold memory, for nobody.
#[test]
fn an_attempt_that_is_given_up_is_cancelled_where_it_still_runs() {
    let mut world = World::new(1, 2, 3);
    let (_, told) = world.complete(0, call("draft", PROMPT, 2_000));
    world.run_for(500);
    let engine = world.engines[world.engine_of(told.request().expect("admitted"))].clone();
    engine.state.borrow_mut().faults.lose_event = 1.0;
    world.run_for(15_000);
    assert_eq!(world.runs(told.request().expect("admitted")), 2);
    assert_eq!(
        engine.stopped_by_cancel(),
        1,
        "the mute engine was told to stop"
    );
}

/// Two engines hold a long prompt together; afterwards both are free at once. While one of them
/// has no room, nothing is kept on the other.
#[test]
fn a_group_is_reserved_whole_and_released_whole() {
    let mut world = World::new(1, 2, 3);
    let long = "word ".repeat(KV_TOKENS.0 as usize);
    let blocked = world.engines[1].clone();
    // Its refusals come well after the other one's grants.
    blocked.state.borrow_mut().faults.delay_call_ms = 50;
    blocked
        .state
        .borrow_mut()
        .reserved
        .insert(ReservationId(1), (2_000, KV_TOKENS));
    let (_, told) = world.complete(0, call("draft", &long, 20));
    let mut kept_ms = 0;
    for _ in 0..1_900 {
        world.run_for(1);
        kept_ms += u64::from(world.engines[0].held() > 0);
    }
    assert!(
        kept_ms < 500,
        "held {kept_ms} ms of 1900 while the group was not whole"
    );
    blocked.state.borrow_mut().reserved.clear();
    world.run_for(3_000);
    assert!(told.is_finished(), "{}", told.brief());
    assert_eq!(world.held(), 0, "released at once, not by expiry");
}

type Answer = Result<RequestReport, Error>;

fn ask(
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
