//! The check of answers, against a scripted server that gives right and wrong ones.

use bluebell_base::prelude::*;
use bluebell_load::{
    AccountKey, Expected, KeyedPlan, LoadPlan, Mix, Oracle, Report, RunCount, RunCounts, RunSource,
};
use std::collections::VecDeque;
use std::io::Cursor;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;
use tiny_http::{Header, Response, Server};

const REQUEST: &str = "req-0000000000000007-1";

/// How long the server takes for each answer.
const ANSWER_DELAY: Duration = Duration::from_millis(20);

/// Every prompt's answer is `t0 t1 t2`.
struct ThreeTokens;

impl Oracle for ThreeTokens {
    fn answer(&self, _prompt: &str, _max_tokens: Tokens) -> Box<dyn Expected> {
        Box::new(ThreeTokens)
    }
}

impl Expected for ThreeTokens {
    fn token(&self, index: u64) -> Arc<str> {
        format!("t{index} ").into()
    }

    fn count(&self) -> u64 {
        3
    }
}

/// Upstreams that ran the one request so often.
struct Ran(u64);

impl RunSource for Ran {
    fn counts(&self) -> RunCounts {
        let count = RunCount {
            key: REQUEST.into(),
            runs: self.0,
        };
        RunCounts {
            counts: vec![count],
            asked: 1,
            unreachable: 0,
        }
    }
}

/// What the server saw of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    call: String,
    key: Option<String>,
    cursor: Option<String>,
}

/// One scripted answer.
#[derive(Clone)]
struct Reply {
    status: u16,
    body: String,
}

/// A server that gives its replies in turn.
struct Scripted {
    address: Address,
    server: Arc<Server>,
    seen: Arc<Mutex<Vec<Seen>>>,
    thread: JoinHandle<()>,
}

impl Scripted {
    fn bind(replies: Vec<Reply>) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
        let address = server.server_addr().to_ip().expect("an IP address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let thread = std::thread::spawn({
            let (server, seen) = (server.clone(), seen.clone());
            move || serve(&server, replies.into(), &seen)
        });
        Self {
            address: Address::from(address.to_string().as_str()),
            server,
            seen,
            thread,
        }
    }

    fn stop(self) -> Vec<Seen> {
        self.server.unblock();
        self.thread.join().expect("the server ends");
        self.seen.lock().expect("no panic").clone()
    }
}

fn serve(server: &Server, mut replies: VecDeque<Reply>, seen: &Mutex<Vec<Seen>>) {
    for mut request in server.incoming_requests() {
        if request.url() == "/readyz" {
            let _ = request.respond(Response::empty(200));
            continue;
        }
        std::io::copy(request.as_reader(), &mut std::io::sink()).expect("a body");
        seen.lock().expect("no panic").push(Seen {
            call: format!("{} {}", request.method(), request.url()),
            key: header(&request, "idempotency-key"),
            cursor: header(&request, "last-event-id"),
        });
        std::thread::sleep(ANSWER_DELAY);
        let reply = replies.pop_front().unwrap_or(Reply {
            status: 500,
            body: "the script is at its end".into(),
        });
        let id = Header::from_bytes("x-request-id", REQUEST).expect("a header");
        let response = Response::new(
            reply.status.into(),
            vec![id],
            Cursor::new(reply.body.clone().into_bytes()),
            Some(reply.body.len()),
            None,
        );
        let _ = request.respond(response);
    }
}

fn header(request: &tiny_http::Request, name: &'static str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name));
    found.map(|header| header.value.to_string())
}

/// A stream of tokens by number, with its end.
fn stream(tokens: &[u64], end: &str) -> Reply {
    let mut body = String::from(": keep-alive\n\n");
    for token in tokens {
        let chunk = format!(r#"{{"id":"{REQUEST}","choices":[{{"text":"t{token} "}}]}}"#);
        body.push_str(&format!("id: cursor-{token}\ndata: {chunk}\n\n"));
    }
    body.push_str(end);
    Reply { status: 200, body }
}

const DONE: &str = "data: [DONE]\n\n";
const CUT: &str = "data: {\"id\":";

fn error(status: u16, kind: &str, verdict: &str) -> Reply {
    let body = format!(r#"{{"error":{{"kind":"{kind}","verdict":"{verdict}","message":"no"}}}}"#);
    Reply { status, body }
}

/// Sends one request to the script.
fn load(replies: Vec<Reply>, keyed: bool, runs: u64) -> (Report, Vec<Seen>) {
    let server = Scripted::bind(replies);
    let mut plan = LoadPlan::new(
        vec![server.address.clone(), server.address.clone()],
        AccountKey::new("key"),
        ClassName::from("draft"),
    );
    plan.requests = 1;
    plan.rate = PerSecond(1_000.0);
    plan.mix = Mix::Fixed(Tokens(1_000));
    plan.keyed = keyed.then(|| KeyedPlan {
        class: ClassName::from("notice"),
        answer_tokens: Tokens(3),
        share: 1.0,
    });
    plan.oracle = Some(Arc::new(ThreeTokens));
    plan.run_source = Some(Arc::new(Ran(runs)));
    let report = bluebell_load::spawn(plan).expect("a right plan").join();
    (report, server.stop())
}

/// The counts of a report that are not zero.
fn counts(report: &Report) -> String {
    let faults = &report.faults;
    let counts = [
        ("whole", report.whole),
        ("not_run", report.not_run),
        ("may_have_run", report.may_have_run),
        ("ran", report.ran),
        ("lost", report.lost),
        ("retries", report.retries),
        ("resumes", report.resumes),
        ("crossed", faults.crossed),
        ("doubled", faults.doubled),
        ("short", faults.short),
        ("malformed", faults.malformed),
        ("no_verdict", faults.no_verdict),
        ("untrue_not_run", faults.untrue_not_run),
        ("ran_twice", faults.ran_twice),
    ];
    let set: Vec<String> = counts
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    set.join(", ")
}

#[test]
fn each_answer_is_counted_for_what_it_is() {
    let usage = "data: {\"usage\":{\"completion_tokens\":3}}\n\n";
    let failed = "event: error\ndata: {\"error\":{\"verdict\":\"ran\",\"message\":\"x\"}}\n\n";
    let whole = || stream(&[0, 1, 2], DONE);
    let cases = [
        ("right", vec![whole()], false, 1, "whole 1"),
        (
            "right count",
            vec![stream(&[0, 1, 2], &format!("{usage}{DONE}"))],
            false,
            1,
            "whole 1",
        ),
        (
            "another's token",
            vec![stream(&[0, 7, 2], DONE)],
            false,
            1,
            "whole 1, crossed 1",
        ),
        (
            "a token twice",
            vec![stream(&[0, 1, 1, 2], DONE)],
            false,
            1,
            "whole 1, doubled 1",
        ),
        (
            "a token skipped",
            vec![stream(&[0, 2], DONE)],
            false,
            1,
            "whole 1, crossed 1",
        ),
        (
            "the end missing",
            vec![stream(&[0, 1], DONE)],
            false,
            1,
            "whole 1, short 1",
        ),
        (
            "wrong count",
            vec![stream(&[0, 1], &format!("{usage}{DONE}"))],
            false,
            1,
            "whole 1, short 1",
        ),
        (
            "not JSON",
            vec![stream(&[0, 1, 2], &format!("data: x\n\n{DONE}"))],
            false,
            1,
            "whole 1, malformed 1",
        ),
        (
            "failed inside",
            vec![stream(&[0], failed)],
            false,
            1,
            "ran 1",
        ),
        (
            "refused",
            vec![error(429, "overloaded", "not_run")],
            false,
            0,
            "not_run 1",
        ),
        (
            "refused untruly",
            vec![error(429, "overloaded", "not_run")],
            false,
            1,
            "not_run 1, untrue_not_run 1",
        ),
        (
            "unsure",
            vec![error(502, "upstream", "may_have_run")],
            false,
            1,
            "may_have_run 1",
        ),
        (
            "no verdict",
            vec![Reply {
                status: 500,
                body: "{}".into(),
            }],
            false,
            0,
            "no_verdict 1",
        ),
        (
            "sent again",
            vec![error(503, "unavailable", "not_run"), whole()],
            true,
            1,
            "whole 1, retries 1",
        ),
        ("ran twice", vec![whole()], true, 2, "whole 1, ran_twice 1"),
        ("may run twice", vec![whole()], false, 2, "whole 1"),
        (
            "read on",
            vec![stream(&[0], CUT), stream(&[1, 2], DONE)],
            true,
            1,
            "whole 1, resumes 1",
        ),
        (
            "read on refused",
            vec![
                stream(&[0], CUT),
                error(503, "unavailable", "not_run"),
                stream(&[1, 2], DONE),
            ],
            true,
            1,
            "whole 1, resumes 2",
        ),
        (
            "nothing to read on",
            vec![stream(&[0], CUT), error(404, "not_found", "may_have_run")],
            true,
            1,
            "may_have_run 1, resumes 1",
        ),
        (
            "read on doubled",
            vec![stream(&[0], CUT), stream(&[0, 1, 2], DONE)],
            true,
            1,
            "whole 1, resumes 1, doubled 1",
        ),
    ];
    for (name, replies, keyed, runs, wanted) in cases {
        let (report, _) = load(replies, keyed, runs);
        assert_eq!(counts(&report), wanted, "{name}: {report}");
    }
}

#[test]
fn latencies_are_those_that_passed() {
    let (report, _) = load(vec![stream(&[0, 1, 2], DONE)], false, 1);
    let band = report.bands.first().expect("one band");
    let delay_ms = ANSWER_DELAY.as_millis() as f64;
    let took_ms = report.took_ms.0 as f64 + 1.0;
    let possible = delay_ms..=took_ms;
    assert!(possible.contains(&band.first_token.p50_ms), "{report}");
    assert!(possible.contains(&band.end.max_ms), "{report}");
    assert_eq!((band.first_token.count, band.between_tokens.count), (1, 2));
}

#[test]
fn every_try_carries_the_same_key_and_reading_on_the_last_cursor() {
    let replies = vec![
        error(503, "unavailable", "not_run"),
        stream(&[0, 1], CUT),
        stream(&[2], DONE),
    ];
    let (_, seen) = load(replies, true, 1);
    let key = seen[0].key.clone();
    assert!(key.is_some());
    let calls: Vec<&str> = seen.iter().map(|seen| seen.call.as_str()).collect();
    let events = format!("GET /v1/requests/{REQUEST}/events");
    assert_eq!(
        calls,
        ["POST /v1/completions", "POST /v1/completions", &events]
    );
    assert_eq!(seen[1].key, key);
    assert_eq!(seen[2].cursor.as_deref(), Some("cursor-1"));
}

#[test]
fn a_node_that_refuses_connections_is_passed_over() {
    let server = Scripted::bind(vec![stream(&[0, 1, 2], DONE); 4]);
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = free.local_addr().expect("an address").to_string();
    drop(free);
    let targets = vec![Address::from(closed.as_str()), server.address.clone()];
    let mut plan = LoadPlan::new(targets, AccountKey::new("key"), ClassName::from("draft"));
    plan.requests = 4;
    plan.rate = PerSecond(1_000.0);
    plan.mix = Mix::Fixed(Tokens(1_000));
    plan.oracle = Some(Arc::new(ThreeTokens));
    let report = bluebell_load::spawn(plan).expect("a right plan").join();
    server.stop();
    assert_eq!(counts(&report), "whole 4", "{report}");
}

#[test]
fn a_fleet_that_is_down_ends_the_request() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = free.local_addr().expect("an address").to_string();
    drop(free);
    let targets = vec![Address::from(closed.as_str())];
    let mut plan = LoadPlan::new(targets, AccountKey::new("key"), ClassName::from("draft"));
    plan.requests = 1;
    plan.mix = Mix::Fixed(Tokens(1_000));
    let report = bluebell_load::spawn(plan).expect("a right plan").join();
    assert_eq!(counts(&report), "lost 1", "{report}");
}

/// An operator reads 0.0 ms for every latency of a run that took a minute: the histograms kept
/// their first range of 2 µs and clamped whatever was recorded to it.
#[test]
fn latencies_are_counted_in_full() {
    let replies = vec![
        error(503, "unavailable", "not_run"),
        stream(&[0, 1], CUT),
        stream(&[2], DONE),
    ];
    let begin = std::time::Instant::now();
    let (report, _) = load(replies, true, 1);
    let whole_ms = begin.elapsed().as_secs_f64() * 1_000.0;
    let ended = report.bands.iter().find(|band| band.ended == 1);
    let end_ms = ended.expect("one band has the request").end.max_ms;
    // The tries and the reading on wait in between, so that the whole answer takes a while.
    assert!(
        (5.0..=whole_ms).contains(&end_ms),
        "{end_ms} of {whole_ms} ms"
    );
}

/// A run is ended early, as an operator does by hand. Its report named all requests of the schedule
/// as offered, so those that never began looked lost.
#[test]
fn a_run_that_is_stopped_offers_what_it_began() {
    let server = Scripted::bind(vec![stream(&[0, 1, 2], DONE); 50]);
    let mut plan = LoadPlan::new(
        vec![server.address.clone()],
        AccountKey::new("key"),
        ClassName::from("draft"),
    );
    plan.requests = 1_000_000;
    plan.rate = PerSecond(20.0);
    let run = bluebell_load::spawn(plan).expect("a right plan");
    while run.ended() == 0 {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    run.stop();
    let report = run.join();
    server.stop();
    assert!((1..=50).contains(&report.offered), "{report}");
    assert_eq!(report.ended, report.offered, "{report}");
}
