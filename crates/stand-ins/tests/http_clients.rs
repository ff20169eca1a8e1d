//! The HTTP clients before upstreams that answer in odd ways: what each one means for the
//! verdict, and when events arrive.

mod common;

use bluebell_base::prelude::*;
use bluebell_stand_ins::serve::{EventWriter, Listening, break_off, error, json};
use bluebell_upstreams::engine::LoadReport;
use bluebell_upstreams::http::VERDICT_HEADER;
use bluebell_upstreams::{Event, EventBody, FinishReason, HttpEngine, HttpService, ServiceCall};
use common::{Seen, World, collector, failure, generate, is_own_last, request};
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;
use tiny_http::Request;

/// The longest one side of a test waits for the other.
const LONGEST: Duration = Duration::from_secs(30);

fn event(body: EventBody) -> Event {
    Event {
        request: request(1),
        attempt: AttemptNo(1),
        body,
    }
}

fn token(index: u64) -> Event {
    event(EventBody::Token {
        seq: EventSeq(index),
        text: "word ".into(),
    })
}

fn finished(count: u64) -> Event {
    event(EventBody::Finished {
        count,
        reason: FinishReason::Stop,
        load: LoadReport::default(),
    })
}

/// Calls an engine that answers by `handle`; returns the stream's events as they come.
fn call(handle: impl Fn(Request) + Send + Sync + 'static) -> (World, Listening, Seen) {
    let listening = Listening::bind("127.0.0.1:0", handle).expect("a free port");
    let mut world = World::open(true);
    let address = Address::from(listening.address().to_string().as_str());
    let port = HttpEngine::open(world.bridge(2), world.bridge(2), address, None);
    let (seen, events) = collector();
    port.generate(&mut world.stakker, generate(1, "a prompt", 4), events);
    (world, listening, seen)
}

fn outcome(handle: impl Fn(Request) + Send + Sync + 'static) -> Vec<Event> {
    let (mut world, _listening, seen) = call(handle);
    let watched = seen.clone();
    world.until("last event", move || {
        watched.borrow().iter().any(is_own_last)
    });
    // Whatever else is on its way would be a fault.
    let watched = world.stakker.now();
    world.until("quiet", move || {
        watched.elapsed() > Duration::from_millis(50)
    });
    seen.take()
}

/// The caller's first token must not wait for the second to be produced: buffers on the way
/// would hold events back until they are full.
#[test]
fn the_first_event_arrives_before_the_second_is_produced() {
    let (arrived, wait) = mpsc::channel();
    let wait = Mutex::new(wait);
    let (mut world, _listening, seen) = call(move |request| {
        let mut writer = EventWriter::begin(request).expect("a caller");
        writer.event(&token(0)).expect("a caller");
        let wait = wait.lock().expect("one caller");
        wait.recv_timeout(LONGEST).expect("the first event arrived");
        writer.event(&token(1)).expect("a caller");
        writer.event(&finished(2)).expect("a caller");
    });
    let watched = seen.clone();
    world.until("first event", move || !watched.borrow().is_empty());
    assert_eq!(*seen.borrow(), [token(0)]);
    arrived.send(()).expect("the engine waits");
    let watched = seen.clone();
    world.until("last event", move || watched.borrow().len() == 3);
}

/// One odd answer and the verdict it must give.
struct Case {
    name: &'static str,
    answer: fn(Request),
    verdict: Verdict,
}

#[test]
fn only_the_engine_itself_can_say_that_nothing_ran() {
    let cases = [
        Case {
            name: "its own refusal",
            answer: |request| {
                let refusal = Error::not_run(ErrorKind::Overloaded, "no memory");
                error(request, &refusal, &[]);
            },
            verdict: Verdict::NotRun,
        },
        Case {
            name: "a refusal by something on the way",
            answer: |request| json(request, 503, &"unavailable", &[]),
            verdict: Verdict::MayHaveRun,
        },
        Case {
            name: "a redirect",
            answer: |request| json(request, 307, &"elsewhere", &[("Location", "/v1/other")]),
            verdict: Verdict::MayHaveRun,
        },
        Case {
            name: "a closed connection",
            answer: break_off,
            verdict: Verdict::MayHaveRun,
        },
        Case {
            name: "an empty stream",
            answer: |request| drop(EventWriter::begin(request)),
            verdict: Verdict::MayHaveRun,
        },
        Case {
            name: "no JSON",
            answer: |request| {
                let mut writer = EventWriter::begin(request).expect("a caller");
                writer.event(&"no event").expect("a caller");
            },
            verdict: Verdict::MayHaveRun,
        },
        Case {
            name: "an end in the middle",
            answer: |request| {
                let mut writer = EventWriter::begin(request).expect("a caller");
                writer.event(&token(0)).expect("a caller");
                writer.break_off();
            },
            verdict: Verdict::MayHaveRun,
        },
        Case {
            name: "another stream's end",
            answer: |request| {
                let mut writer = EventWriter::begin(request).expect("a caller");
                let mut other = finished(0);
                other.attempt = AttemptNo(2);
                writer.event(&other).expect("a caller");
            },
            verdict: Verdict::MayHaveRun,
        },
    ];
    for case in cases {
        println!("{}", case.name);
        let events = outcome(case.answer);
        assert_eq!(failure(&events).verdict, case.verdict, "{}", case.name);
        let ends = events.iter().filter(|event| is_own_last(event)).count();
        assert_eq!(ends, 1, "one last event: {}", case.name);
    }
}

#[test]
fn nothing_is_read_behind_the_last_event() {
    let events = outcome(|request| {
        let mut writer = EventWriter::begin(request).expect("a caller");
        for event in [token(0), finished(1), finished(1), token(1)] {
            // The caller may be gone after the first of the two ends.
            let _ = writer.event(&event);
        }
    });
    assert_eq!(events, [token(0), finished(1)]);
}

/// A service tells in its answers what became of the call, as `X-Verdict: ran`. The header was
/// taken for a refusal whatever it said: the caller of work that was done got an error in the
/// answer's place, and the call counted as one that may have run.
#[test]
fn only_not_run_makes_a_service_answer_a_refusal() {
    let cases = [("ran", true), ("may_have_run", true), ("not_run", false)];
    for (verdict, is_answer) in cases {
        let listening = Listening::bind("127.0.0.1:0", move |request| {
            let refusal = Error::not_run(ErrorKind::Overloaded, "full");
            match is_answer {
                true => json(request, 200, &"done", &[(VERDICT_HEADER, verdict)]),
                false => error(request, &refusal, &[(VERDICT_HEADER, verdict)]),
            }
        });
        let listening = listening.expect("a free port");
        let mut world = World::open(true);
        let address = Address::from(listening.address().to_string().as_str());
        let port = HttpService::open(world.bridge(1), address);
        let answer = world.ask(|core, ret| port.call(core, service_call(), ret));
        match answer {
            Ok(answer) => assert_eq!((is_answer, answer.status), (true, 200), "{verdict}"),
            Err(error) => {
                assert_eq!(
                    (is_answer, error.verdict),
                    (false, Verdict::NotRun),
                    "{verdict}"
                );
            }
        }
    }
}

fn service_call() -> ServiceCall {
    ServiceCall {
        request: request(1),
        idempotency_key: None,
        method: "POST".into(),
        path: "/notices".into(),
        content_type: None,
        body: Vec::new(),
        timeout_ms: SpanMs(5_000),
    }
}
