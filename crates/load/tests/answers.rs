//! Tests the check of answers and the report's counts against a server with scripted answers, both
//! correct and faulty.

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

/// The server's delay before each answer.
const ANSWER_DELAY: Duration = Duration::from_millis(20);

/// An oracle whose answer to every prompt is `t0 t1 t2`.
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

/// A source that reports this number of runs for the request with the id [`REQUEST`].
struct ReportedRuns(u64);

impl RunSource for ReportedRuns {
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

/// One call as the server received it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReceivedCall {
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

/// A server that sends its scripted replies in turn.
struct ScriptedServer {
    address: Address,
    server: Arc<Server>,
    received: Arc<Mutex<Vec<ReceivedCall>>>,
    thread: JoinHandle<()>,
}

impl ScriptedServer {
    fn bind(replies: Vec<Reply>) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
        let address = server.server_addr().to_ip().expect("an IP address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let thread = std::thread::spawn({
            let (server, received) = (server.clone(), received.clone());
            move || serve(&server, replies.into(), &received)
        });
        Self {
            address: Address::from(address.to_string().as_str()),
            server,
            received,
            thread,
        }
    }

    fn stop(self) -> Vec<ReceivedCall> {
        self.server.unblock();
        self.thread.join().expect("the server ends");
        self.received.lock().expect("no panic").clone()
    }
}

fn serve(server: &Server, mut replies: VecDeque<Reply>, received: &Mutex<Vec<ReceivedCall>>) {
    for mut request in server.incoming_requests() {
        if request.url() == "/readyz" {
            let _ = request.respond(Response::empty(200));
            continue;
        }
        std::io::copy(request.as_reader(), &mut std::io::sink()).expect("a body");
        received.lock().expect("no panic").push(ReceivedCall {
            call: format!("{} {}", request.method(), request.url()),
            key: header(&request, "idempotency-key"),
            cursor: header(&request, "last-event-id"),
        });
        std::thread::sleep(ANSWER_DELAY);
        let reply = replies.pop_front().unwrap_or(Reply {
            status: 500,
            body: "no scripted reply is left".into(),
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

/// Returns a stream of the numbered tokens, followed by `end`.
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
const TRUNCATED: &str = "data: {\"id\":";

fn error(status: u16, kind: &str, verdict: &str) -> Reply {
    let body = format!(r#"{{"error":{{"kind":"{kind}","verdict":"{verdict}","message":"no"}}}}"#);
    Reply { status, body }
}

/// Sends one request to a server with these replies and returns the report and the calls received.
fn load(replies: Vec<Reply>, keyed: bool, runs: u64) -> (Report, Vec<ReceivedCall>) {
    let server = ScriptedServer::bind(replies);
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
    plan.run_source = Some(Arc::new(ReportedRuns(runs)));
    let report = bluebell_load::spawn(plan).expect("a valid plan").join();
    (report, server.stop())
}

/// Returns the nonzero counts of a report as text.
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
    let nonzero: Vec<String> = counts
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    nonzero.join(", ")
}

#[test]
fn each_kind_of_answer_is_counted() {
    let usage = "data: {\"usage\":{\"completion_tokens\":3}}\n\n";
    let failed = "event: error\ndata: {\"error\":{\"verdict\":\"ran\",\"message\":\"x\"}}\n\n";
    let whole = || stream(&[0, 1, 2], DONE);
    let cases = [
        ("correct", vec![whole()], false, 1, "whole 1"),
        (
            "correct count",
            vec![stream(&[0, 1, 2], &format!("{usage}{DONE}"))],
            false,
            1,
            "whole 1",
        ),
        (
            "foreign token",
            vec![stream(&[0, 7, 2], DONE)],
            false,
            1,
            "whole 1, crossed 1",
        ),
        (
            "repeated token",
            vec![stream(&[0, 1, 1, 2], DONE)],
            false,
            1,
            "whole 1, doubled 1",
        ),
        (
            "skipped token",
            vec![stream(&[0, 2], DONE)],
            false,
            1,
            "whole 1, crossed 1",
        ),
        (
            "missing last token",
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
            "failed during the stream",
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
            "refused but ran",
            vec![error(429, "overloaded", "not_run")],
            false,
            1,
            "not_run 1, untrue_not_run 1",
        ),
        (
            "may have run",
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
            "retried",
            vec![error(503, "unavailable", "not_run"), whole()],
            true,
            1,
            "whole 1, retries 1",
        ),
        ("ran twice", vec![whole()], true, 2, "whole 1, ran_twice 1"),
        (
            "repeatable request ran twice",
            vec![whole()],
            false,
            2,
            "whole 1",
        ),
        (
            "resumed",
            vec![stream(&[0], TRUNCATED), stream(&[1, 2], DONE)],
            true,
            1,
            "whole 1, resumes 1",
        ),
        (
            "first resumption refused",
            vec![
                stream(&[0], TRUNCATED),
                error(503, "unavailable", "not_run"),
                stream(&[1, 2], DONE),
            ],
            true,
            1,
            "whole 1, resumes 2",
        ),
        (
            "no stream to resume",
            vec![
                stream(&[0], TRUNCATED),
                error(404, "not_found", "may_have_run"),
            ],
            true,
            1,
            "may_have_run 1, resumes 1",
        ),
        (
            "resumed with a repeated token",
            vec![stream(&[0], TRUNCATED), stream(&[0, 1, 2], DONE)],
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
fn latencies_lie_between_the_delay_and_the_duration() {
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
fn every_attempt_carries_the_same_key_and_resumption_the_last_cursor() {
    let replies = vec![
        error(503, "unavailable", "not_run"),
        stream(&[0, 1], TRUNCATED),
        stream(&[2], DONE),
    ];
    let (_, received) = load(replies, true, 1);
    let key = received[0].key.clone();
    assert!(key.is_some());
    let calls: Vec<&str> = received
        .iter()
        .map(|received| received.call.as_str())
        .collect();
    let events = format!("GET /v1/requests/{REQUEST}/events");
    assert_eq!(
        calls,
        ["POST /v1/completions", "POST /v1/completions", &events]
    );
    assert_eq!(received[1].key, key);
    assert_eq!(received[2].cursor.as_deref(), Some("cursor-1"));
}

#[test]
fn a_node_that_refuses_connections_is_skipped() {
    let server = ScriptedServer::bind(vec![stream(&[0, 1, 2], DONE); 4]);
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = free.local_addr().expect("an address").to_string();
    drop(free);
    let targets = vec![Address::from(closed.as_str()), server.address.clone()];
    let mut plan = LoadPlan::new(targets, AccountKey::new("key"), ClassName::from("draft"));
    plan.requests = 4;
    plan.rate = PerSecond(1_000.0);
    plan.mix = Mix::Fixed(Tokens(1_000));
    plan.oracle = Some(Arc::new(ThreeTokens));
    let report = bluebell_load::spawn(plan).expect("a valid plan").join();
    server.stop();
    assert_eq!(counts(&report), "whole 4", "{report}");
}

#[test]
fn a_request_ends_when_the_whole_fleet_is_down() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = free.local_addr().expect("an address").to_string();
    drop(free);
    let targets = vec![Address::from(closed.as_str())];
    let mut plan = LoadPlan::new(targets, AccountKey::new("key"), ClassName::from("draft"));
    plan.requests = 1;
    plan.mix = Mix::Fixed(Tokens(1_000));
    let report = bluebell_load::spawn(plan).expect("a valid plan").join();
    assert_eq!(counts(&report), "lost 1", "{report}");
}

/// Guards against histograms that keep their initial range of 2 µs and clamp every latency to it. The
/// report of a run that took a minute would then show 0.0 ms for every latency.
#[test]
fn latencies_are_not_clamped() {
    let replies = vec![
        error(503, "unavailable", "not_run"),
        stream(&[0, 1], TRUNCATED),
        stream(&[2], DONE),
    ];
    let begin = std::time::Instant::now();
    let (report, _) = load(replies, true, 1);
    let whole_ms = begin.elapsed().as_secs_f64() * 1_000.0;
    let ended = report.bands.iter().find(|band| band.ended == 1);
    let end_ms = ended.expect("one band has the request").end.max_ms;
    // The server's delays and the wait before the resumption make the answer take well over 5 ms.
    assert!(
        (5.0..=whole_ms).contains(&end_ms),
        "{end_ms} of {whole_ms} ms"
    );
}

/// Guards against a report that counts all requests of the schedule as offered after the run was
/// stopped early. Requests that were never started would then look lost.
#[test]
fn a_stopped_run_offers_only_the_started_requests() {
    let server = ScriptedServer::bind(vec![stream(&[0, 1, 2], DONE); 50]);
    let mut plan = LoadPlan::new(
        vec![server.address.clone()],
        AccountKey::new("key"),
        ClassName::from("draft"),
    );
    plan.requests = 1_000_000;
    plan.rate = PerSecond(20.0);
    let run = bluebell_load::spawn(plan).expect("a valid plan");
    while run.ended() == 0 {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    run.stop();
    let report = run.join();
    server.stop();
    assert!((1..=50).contains(&report.offered), "{report}");
    assert_eq!(report.ended, report.offered, "{report}");
}
