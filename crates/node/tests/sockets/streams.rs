//! Tests of streams over real sockets: resumed through another node, and finished by a node that
//! stops.

use crate::support::{Fleet, KEY};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};

/// The requested number of tokens. The answer must still be running when the test acts on it.
const ANSWER_TOKENS: u64 = 400;

/// The reading side of a stream.
struct Stream {
    request: String,
    lines: std::io::Lines<BufReader<ureq::BodyReader<'static>>>,
}

/// The text of one event, and the cursor after it.
struct Piece {
    cursor: String,
    text: String,
}

impl Stream {
    fn open(fleet: &Fleet, index: usize, class: &str) -> Self {
        let body = json!({
            "model": "pond-1", "class": class, "prompt": "a long eulogy",
            "max_tokens": ANSWER_TOKENS, "stream": true
        });
        let call = fleet.agent.post(fleet.url(index, "/v1/completions"));
        let call = call.header("authorization", format!("Bearer {KEY}"));
        Self::of(call.send_json(&body).expect("an answer"))
    }

    fn resume_answer(fleet: &Fleet, index: usize, request: &str, cursor: &str) -> Self {
        let url = fleet.url(index, &format!("/v1/requests/{request}/events"));
        let call = fleet.agent.get(url);
        let call = call.header("authorization", format!("Bearer {KEY}"));
        let call = call.header("last-event-id", cursor);
        Self::of(call.call().expect("an answer"))
    }

    fn of(answer: ureq::http::Response<ureq::Body>) -> Self {
        assert_eq!(answer.status(), 200);
        let header = answer.headers().get("x-request-id");
        let request = header.and_then(|value| value.to_str().ok());
        let request = request.expect("every answer names its request").to_owned();
        let reader = BufReader::new(answer.into_body().into_reader());
        Self {
            request,
            lines: reader.lines(),
        }
    }

    /// Returns the next piece of text, or `None` after the last one.
    fn next(&mut self) -> Option<Piece> {
        let mut cursor = String::new();
        loop {
            let line = self.lines.next()?.expect("the stream stays whole");
            if let Some(id) = line.strip_prefix("id: ") {
                cursor = id.to_owned();
            }
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return None;
            }
            let value: Value = serde_json::from_str(data).expect("JSON");
            assert!(value["error"].is_null(), "{data}");
            let text = value["choices"][0]["text"].as_str().unwrap_or_default();
            if !text.is_empty() {
                let text = text.to_owned();
                return Some(Piece { cursor, text });
            }
        }
    }

    fn rest(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.next().map(|piece| piece.text)).collect()
    }
}

/// A caller's connection breaks in the middle of a stream, and the balancer sends its next call to
/// another node. The text received before and the resumed text must form the whole answer.
#[test]
fn a_broken_stream_is_resumed_through_another_node() {
    let fleet = Fleet::start(2, 2);
    let whole = Stream::open(&fleet, 0, "short-draft").rest();
    let mut first = Stream::open(&fleet, 0, "short-draft");
    let mut seen = Vec::new();
    let mut cursor = String::new();
    for _ in 0..5 {
        let piece = first.next().expect("more to come");
        seen.push(piece.text);
        cursor = piece.cursor;
    }
    let request = first.request.clone();
    drop(first);
    let mut second = Stream::resume_answer(&fleet, 1, &request, &cursor);
    seen.extend(second.rest());
    assert_eq!(seen, whole);
    assert_eq!(fleet.runs(), 2, "the second stream was not run again");
    fleet.stop();
}

/// A node is replaced while it streams an answer. Its process must not end before the stream, and
/// new calls must be refused at once as not run, so that callers can use another node.
#[test]
fn a_planned_stop_finishes_running_requests_and_accepts_no_new_ones() {
    let fleet = Fleet::start(1, 1);
    let mut stream = Stream::open(&fleet, 0, "notice");
    let first = stream.next().expect("more to come");
    fleet.nodes[0].stopper().drain();
    crate::support::wait_for("the node not to be ready", || {
        let ready = fleet.agent.get(fleet.url(0, "/readyz")).call();
        ready.is_ok_and(|answer| answer.status() == 503)
    });
    let body = json!({ "model": "pond-1", "class": "notice", "prompt": "x", "max_tokens": 4 });
    crate::support::wait_for("the drain notice to elapse", || {
        let answer = fleet.post(0, "/v1/completions", None, &body);
        let refused = answer.status == 503 && answer.json["error"]["verdict"] == "not_run";
        assert!(refused || answer.status == 200, "{}", answer.text);
        refused
    });
    let mut seen = vec![first.text];
    seen.extend(stream.rest());
    assert!(
        seen.len() as u64 >= ANSWER_TOKENS / 2,
        "{} pieces",
        seen.len()
    );
    fleet.stop();
}
