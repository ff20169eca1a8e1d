//! Calls to plain services, and the planned stop.

mod common;

use bluebell_base::prelude::*;
use bluebell_requests::call::{CallerCall, CallerEvent, ServiceRequest};
use bluebell_upstreams::{ServiceAnswer, ServiceCall, ServicePort};
use common::{ReceivedEvents, World, call};
use stakker::{Core, Ret, ret_some_do};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// A replica's behaviour when called.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Answer,
    Refuse,
    Lose,
    Nothing,
}

struct Replica {
    behaviour: Behaviour,
    calls: Cell<u32>,
    kept: RefCell<Vec<Ret<Result<ServiceAnswer, Error>>>>,
}

impl ServicePort for Replica {
    fn call(&self, core: &mut Core, call: ServiceCall, ret: Ret<Result<ServiceAnswer, Error>>) {
        self.calls.set(self.calls.get() + 1);
        let answer = match self.behaviour {
            Behaviour::Answer => Ok(ServiceAnswer {
                status: 201,
                content_type: None,
                body: call.body,
            }),
            Behaviour::Refuse => Err(Error::not_run(ErrorKind::Unavailable, "refused")),
            Behaviour::Lose => Err(Error::may_have_run(ErrorKind::Upstream, "broke")),
            Behaviour::Nothing => return self.kept.borrow_mut().push(ret),
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
const EXPIRED: Option<(Verdict, ErrorKind)> =
    Some((Verdict::MayHaveRun, ErrorKind::DeadlineExceeded));
const REFUSED: Option<(Verdict, ErrorKind)> = Some((Verdict::NotRun, ErrorKind::Unavailable));

/// The method, path, behaviour of the two replicas, outcome and number of calls to each replica.
type Case = (
    &'static str,
    &'static str,
    [Behaviour; 2],
    Option<(Verdict, ErrorKind)>,
    [u32; 2],
);

const CASES: &[Case] = &[
    (
        "GET",
        "/notices",
        [Behaviour::Answer, Behaviour::Answer],
        OK,
        [1, 0],
    ),
    (
        "GET",
        "/notices",
        [Behaviour::Refuse, Behaviour::Answer],
        OK,
        [1, 1],
    ),
    (
        "GET",
        "/notices",
        [Behaviour::Lose, Behaviour::Answer],
        OK,
        [1, 1],
    ),
    (
        "GET",
        "/notices",
        [Behaviour::Lose, Behaviour::Lose],
        LOST,
        [1, 1],
    ),
    (
        "GET",
        "/notices",
        [Behaviour::Refuse, Behaviour::Refuse],
        REFUSED,
        [1, 1],
    ),
    (
        "GET",
        "/notices",
        [Behaviour::Nothing, Behaviour::Answer],
        EXPIRED,
        [1, 0],
    ),
    (
        "POST",
        "/notices",
        [Behaviour::Answer, Behaviour::Answer],
        OK,
        [1, 0],
    ),
    (
        "POST",
        "/notices",
        [Behaviour::Refuse, Behaviour::Answer],
        OK,
        [1, 1],
    ),
    (
        "POST",
        "/notices",
        [Behaviour::Lose, Behaviour::Answer],
        LOST,
        [1, 0],
    ),
    (
        "post",
        "/notices/7",
        [Behaviour::Lose, Behaviour::Answer],
        LOST,
        [1, 0],
    ),
    (
        "POST",
        "/x/../notices",
        [Behaviour::Lose, Behaviour::Answer],
        LOST,
        [1, 0],
    ),
    (
        "POST",
        "/%6eotices",
        [Behaviour::Lose, Behaviour::Answer],
        LOST,
        [1, 0],
    ),
    (
        "POST",
        "/drafts",
        [Behaviour::Lose, Behaviour::Answer],
        OK,
        [1, 1],
    ),
    (
        "POST",
        "/notices",
        [Behaviour::Nothing, Behaviour::Answer],
        EXPIRED,
        [1, 0],
    ),
];

fn send_call(world: &mut World, method: &str, path: &str) -> ReceivedEvents {
    send_keyed_call(world, method, path, None)
}

fn send_keyed_call(
    world: &mut World,
    method: &str,
    path: &str,
    key: Option<&str>,
) -> ReceivedEvents {
    let (caller, received) = (world.caller(), world.received());
    let call = ServiceRequest {
        account: "parish".into(),
        service: "board".into(),
        method: method.into(),
        path: path.into(),
        content_type: None,
        body: b"body".to_vec(),
        idempotency_key: key.map(IdempotencyKey::from),
    };
    let sink = Box::new(received.clone());
    world.nodes[0].call(CallerCall::Service { caller, call, sink });
    received
}

fn with_replicas(behaviour: [Behaviour; 2]) -> (World, [Rc<Replica>; 2]) {
    let world = World::new(1, 1, 1);
    let replicas = behaviour.map(|behaviour| {
        Rc::new(Replica {
            behaviour,
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

/// A call to a plain service reaches a second replica only if it may be repeated or the first
/// replica certainly did nothing. A path that disguises its target counts as not repeatable.
#[test]
fn a_call_is_repeated_only_if_allowed() {
    for case in CASES {
        let (method, path, behaviour, end, calls) = *case;
        let (mut world, replicas) = with_replicas(behaviour);
        let received = send_call(&mut world, method, path);
        world.run_for(5_100);
        let error = received.error().map(|error| (error.verdict, error.kind));
        assert_eq!(error, end, "{case:?}: {}", received.summary());
        assert_eq!(
            replicas.each_ref().map(|r| r.calls.get()),
            calls,
            "{case:?}"
        );
        if end == OK {
            let last = received.all().pop();
            assert!(
                matches!(last, Some(CallerEvent::Service { status: 201, .. })),
                "{case:?}"
            );
        }
    }
}

/// Every replica refuses a call, or its connection breaks. The caller receives a retry delay,
/// except for a call that may have run and may not be repeated.
#[test]
fn a_failed_call_carries_a_retry_delay() {
    for (method, behaviour, expects_retry_delay) in [
        ("GET", Behaviour::Refuse, true),
        ("GET", Behaviour::Lose, true),
        ("POST", Behaviour::Refuse, true),
        ("POST", Behaviour::Lose, false),
    ] {
        let (mut world, _) = with_replicas([behaviour, behaviour]);
        let received = send_call(&mut world, method, "/notices");
        world.run_for(100);
        let error = received.error().expect("the request failed");
        let has_retry_delay = error.retry_after_ms.is_some();
        assert_eq!(
            has_retry_delay, expects_retry_delay,
            "{method}, {behaviour:?}"
        );
    }
}

/// The answer to a call with a key is lost: the key stays held, and the caller's retry receives
/// "may have run" instead of posting a second notice. A call that no replica accepted releases its
/// key.
#[test]
fn a_keyed_call_runs_at_most_once() {
    for (behaviour, held) in [
        (Behaviour::Lose, 1),
        (Behaviour::Answer, 1),
        (Behaviour::Refuse, 0),
    ] {
        let (mut world, replicas) = with_replicas([behaviour, behaviour]);
        send_keyed_call(&mut world, "POST", "/notices", Some("k"));
        world.run_for(100);
        assert_eq!(world.claims.held.borrow().len(), held, "{behaviour:?}");
        let before = replicas[0].calls.get();
        let again = send_keyed_call(&mut world, "POST", "/notices", Some("k"));
        world.run_for(100);
        let conflict = again.error().is_some_and(|e| e.kind == ErrorKind::Conflict);
        assert_eq!(conflict, held == 1, "{behaviour:?}: {}", again.summary());
        assert_eq!(
            replicas[0].calls.get() == before,
            held == 1,
            "{behaviour:?}"
        );
    }
}

/// A call with a key is cancelled, and its answer arrives afterwards: from then on the key's holder
/// is known to have run.
#[test]
fn an_answer_after_the_end_settles_the_key() {
    let (mut world, replicas) = with_replicas([Behaviour::Nothing, Behaviour::Nothing]);
    let received = send_keyed_call(&mut world, "POST", "/notices", Some("k"));
    world.run_for(10);
    let request = received.request().expect("admitted");
    let account = AccountName::from("parish");
    let reply = Box::new(|_| ());
    world.nodes[0].call(CallerCall::Cancel {
        account,
        request,
        reply,
    });
    world.run_for(10);
    assert!(
        received
            .error()
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
    let (mut world, replicas) = with_replicas([Behaviour::Answer, Behaviour::Answer]);
    world.nodes[0].service_leaving("board-0".into());
    send_call(&mut world, "GET", "/a");
    world.nodes[0].service_leaving("board-1".into());
    let received = send_call(&mut world, "GET", "/a");
    world.run_for(100);
    assert_eq!(replicas.each_ref().map(|r| r.calls.get()), [0, 1]);
    assert!(
        received
            .error()
            .is_some_and(|e| e.verdict == Verdict::NotRun)
    );
}

/// A node is stopped while requests run. New calls are refused at once with a retry delay, those
/// under way are answered completely, and only then the node may exit.
#[test]
fn a_drain_cuts_off_no_request() {
    let mut world = World::new(1, 2, 1);
    let (_, received) = world.complete(0, call("notice", "a notice", 100));
    world.run_for(100);
    let done = Rc::new(Cell::new(false));
    let set = done.clone();
    world.nodes[0].drain(ret_some_do!(move |()| set.set(true)));
    let (_, late) = world.complete(0, call("notice", "too late", 100));
    world.run_for(10);
    let error = late.error().expect("refused at once");
    assert_eq!(
        (error.verdict, error.kind),
        (Verdict::NotRun, ErrorKind::Unavailable)
    );
    assert!(error.retry_after_ms.is_some());
    assert!(!done.get(), "the drain ended while a request was under way");
    while !done.get() {
        assert!(world.now_ms < 10_000, "the drain did not end");
        world.run_for(1);
    }
    assert!(
        received.is_finished(),
        "the drain cut off a request: {}",
        received.summary()
    );
    received.check("a notice", 100, 0);
}
