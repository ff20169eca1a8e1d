//! Plain services and the planned stop.

mod common;

use bluebell_base::prelude::*;
use bluebell_requests::call::{CallerCall, CallerEvent, ServiceRequest};
use bluebell_upstreams::{ServiceAnswer, ServiceCall, ServicePort};
use common::{Told, World, call};
use stakker::{Core, Ret, ret_some_do};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// How a replica answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    Answer,
    Refuse,
    Lose,
    Nothing,
}

struct Replica {
    does: Does,
    calls: Cell<u32>,
    kept: RefCell<Vec<Ret<Result<ServiceAnswer, Error>>>>,
}

impl ServicePort for Replica {
    fn call(&self, core: &mut Core, call: ServiceCall, ret: Ret<Result<ServiceAnswer, Error>>) {
        self.calls.set(self.calls.get() + 1);
        let answer = match self.does {
            Does::Answer => Ok(ServiceAnswer {
                status: 201,
                content_type: None,
                body: call.body,
            }),
            Does::Refuse => Err(Error::not_run(ErrorKind::Unavailable, "refused")),
            Does::Lose => Err(Error::may_have_run(ErrorKind::Upstream, "broke")),
            Does::Nothing => return self.kept.borrow_mut().push(ret),
        };
        let at = core.now() + Duration::from_millis(5);
        core.timer_add(at, move |_| ret.ret(answer));
    }

    fn health(&self, _: &mut Core, ret: Ret<Result<(), Error>>) {
        ret.ret(Ok(()));
    }
}

const OK: Option<(Verdict, ErrorKind)> = None;
const LOST: Option<(Verdict, ErrorKind)> = Some((Verdict::MayHaveRun, ErrorKind::Upstream));
const LATE: Option<(Verdict, ErrorKind)> = Some((Verdict::MayHaveRun, ErrorKind::DeadlineExceeded));
const NONE: Option<(Verdict, ErrorKind)> = Some((Verdict::NotRun, ErrorKind::Unavailable));

/// Method, path, what the two replicas do, the end, and the calls that the replicas got.
type Case = (
    &'static str,
    &'static str,
    [Does; 2],
    Option<(Verdict, ErrorKind)>,
    [u32; 2],
);

const CASES: &[Case] = &[
    ("GET", "/notices", [Does::Answer, Does::Answer], OK, [1, 0]),
    ("GET", "/notices", [Does::Refuse, Does::Answer], OK, [1, 1]),
    ("GET", "/notices", [Does::Lose, Does::Answer], OK, [1, 1]),
    ("GET", "/notices", [Does::Lose, Does::Lose], LOST, [1, 1]),
    (
        "GET",
        "/notices",
        [Does::Refuse, Does::Refuse],
        NONE,
        [1, 1],
    ),
    (
        "GET",
        "/notices",
        [Does::Nothing, Does::Answer],
        LATE,
        [1, 0],
    ),
    ("POST", "/notices", [Does::Answer, Does::Answer], OK, [1, 0]),
    ("POST", "/notices", [Does::Refuse, Does::Answer], OK, [1, 1]),
    ("POST", "/notices", [Does::Lose, Does::Answer], LOST, [1, 0]),
    (
        "post",
        "/notices/7",
        [Does::Lose, Does::Answer],
        LOST,
        [1, 0],
    ),
    (
        "POST",
        "/x/../notices",
        [Does::Lose, Does::Answer],
        LOST,
        [1, 0],
    ),
    (
        "POST",
        "/%6eotices",
        [Does::Lose, Does::Answer],
        LOST,
        [1, 0],
    ),
    ("POST", "/drafts", [Does::Lose, Does::Answer], OK, [1, 1]),
    (
        "POST",
        "/notices",
        [Does::Nothing, Does::Answer],
        LATE,
        [1, 0],
    ),
];

fn ask(world: &mut World, method: &str, path: &str) -> Told {
    ask_keyed(world, method, path, None)
}

fn ask_keyed(world: &mut World, method: &str, path: &str, key: Option<&str>) -> Told {
    let (caller, told) = (world.caller(), world.told());
    let call = ServiceRequest {
        account: "parish".into(),
        service: "board".into(),
        method: method.into(),
        path: path.into(),
        content_type: None,
        body: b"body".to_vec(),
        idempotency_key: key.map(IdempotencyKey::from),
    };
    let sink = Box::new(told.clone());
    world.nodes[0].call(CallerCall::Service { caller, call, sink });
    told
}

fn with_replicas(does: [Does; 2]) -> (World, [Rc<Replica>; 2]) {
    let world = World::new(1, 1, 1);
    let replicas = does.map(|does| {
        Rc::new(Replica {
            does,
            calls: Cell::new(0),
            kept: RefCell::default(),
        })
    });
    for (index, replica) in replicas.iter().enumerate() {
        let name = UpstreamName::from(&*format!("board-{index}"));
        world.nodes[0].service_live("board".into(), name, replica.clone());
    }
    (world, replicas)
}

/// A call to a plain service reaches a second replica only where it may be repeated or the first
/// one certainly did nothing; a path that hides what it calls counts as not repeatable.
#[test]
fn a_call_is_repeated_only_where_it_may_be() {
    for case in CASES {
        let (method, path, does, end, calls) = *case;
        let (mut world, replicas) = with_replicas(does);
        let told = ask(&mut world, method, path);
        world.run_for(5_100);
        let error = told.error().map(|error| (error.verdict, error.kind));
        assert_eq!(error, end, "{case:?}: {}", told.brief());
        assert_eq!(
            replicas.each_ref().map(|r| r.calls.get()),
            calls,
            "{case:?}"
        );
        if end == OK {
            let last = told.all().pop();
            assert!(
                matches!(last, Some(CallerEvent::Service { status: 201, .. })),
                "{case:?}"
            );
        }
    }
}

/// No replica takes a call, or each breaks: its caller hears when to come back, but not of a call
/// that may have run and may not be repeated.
#[test]
fn a_failed_call_says_when_to_come_back() {
    for (method, does, comes_back) in [
        ("GET", Does::Refuse, true),
        ("GET", Does::Lose, true),
        ("POST", Does::Refuse, true),
        ("POST", Does::Lose, false),
    ] {
        let (mut world, _) = with_replicas([does, does]);
        let told = ask(&mut world, method, "/notices");
        world.run_for(100);
        let error = told.error().expect("it failed");
        let told_when = error.retry_after_ms.is_some();
        assert_eq!(told_when, comes_back, "{method}, {does:?}");
    }
}

/// A keyed call's answer is lost: its key stays held, and the caller's retry hears "may have run"
/// instead of posting a second notice. A call that no replica took frees its key.
#[test]
fn a_keyed_call_runs_at_most_once() {
    for (does, held) in [(Does::Lose, 1), (Does::Answer, 1), (Does::Refuse, 0)] {
        let (mut world, replicas) = with_replicas([does, does]);
        ask_keyed(&mut world, "POST", "/notices", Some("k"));
        world.run_for(100);
        assert_eq!(world.claims.held.borrow().len(), held, "{does:?}");
        let before = replicas[0].calls.get();
        let again = ask_keyed(&mut world, "POST", "/notices", Some("k"));
        world.run_for(100);
        let conflict = again.error().is_some_and(|e| e.kind == ErrorKind::Conflict);
        assert_eq!(conflict, held == 1, "{does:?}: {}", again.brief());
        assert_eq!(replicas[0].calls.get() == before, held == 1, "{does:?}");
    }
}

/// A keyed call is cancelled, and its answer comes afterwards: the key's holder is known to have
/// run from then on.
#[test]
fn an_answer_after_the_end_settles_the_key() {
    let (mut world, replicas) = with_replicas([Does::Nothing, Does::Nothing]);
    let told = ask_keyed(&mut world, "POST", "/notices", Some("k"));
    world.run_for(10);
    let request = told.request().expect("admitted");
    let account = AccountName::from("parish");
    let reply = Box::new(|_| ());
    world.nodes[0].call(CallerCall::Cancel {
        account,
        request,
        reply,
    });
    world.run_for(10);
    assert!(
        told.error()
            .is_some_and(|e| e.verdict == Verdict::MayHaveRun)
    );
    let ret = replicas[0].kept.borrow_mut().pop().expect("called");
    ret.ret(Ok(ServiceAnswer {
        status: 200,
        content_type: None,
        body: Vec::new(),
    }));
    world.run_for(10);
    let states: Vec<_> = world.claims.held.borrow().values().map(|c| c.1).collect();
    assert_eq!(states, [bluebell_peers::ClaimState::Ran]);
}

/// A leaving replica gets no new calls.
#[test]
fn a_leaving_replica_gets_no_new_calls() {
    let (mut world, replicas) = with_replicas([Does::Answer, Does::Answer]);
    world.nodes[0].service_leaving("board-0".into());
    ask(&mut world, "GET", "/a");
    world.nodes[0].service_leaving("board-1".into());
    let told = ask(&mut world, "GET", "/a");
    world.run_for(100);
    assert_eq!(replicas.each_ref().map(|r| r.calls.get()), [0, 1]);
    assert!(told.error().is_some_and(|e| e.verdict == Verdict::NotRun));
}

/// A node is stopped while requests run: new calls are sent away at once with a time to come
/// back, those under way are answered whole, and only then the node may exit.
#[test]
fn a_planned_stop_cuts_nothing() {
    let mut world = World::new(1, 2, 1);
    let (_, told) = world.complete(0, call("notice", "a notice", 100));
    world.run_for(100);
    let done = Rc::new(Cell::new(false));
    let set = done.clone();
    world.nodes[0].drain(ret_some_do!(move |()| set.set(true)));
    let (_, late) = world.complete(0, call("notice", "too late", 100));
    world.run_for(10);
    let error = late.error().expect("sent away at once");
    assert_eq!(
        (error.verdict, error.kind),
        (Verdict::NotRun, ErrorKind::Unavailable)
    );
    assert!(error.retry_after_ms.is_some());
    assert!(!done.get(), "a request is under way");
    while !done.get() {
        assert!(world.now_ms < 10_000, "the drain never ends");
        world.run_for(1);
    }
    assert!(
        told.is_finished(),
        "the stop cut a request: {}",
        told.brief()
    );
    told.check("a notice", 100, 0);
}
