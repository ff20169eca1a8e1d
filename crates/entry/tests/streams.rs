//! Streams over a real socket: prompt delivery, hang-ups, and resuming.

mod support;

use bluebell_base::prelude::*;
use bluebell_requests::call::{CallerCall, CallerSink, ResumeAnswer};
use expect_test::expect;
use support::*;

const STREAMED: &str = r#"{"model":"notice-7b","prompt":"a b c","class":"draft","stream":true}"#;
const WHOLE: &str = r#"{"model":"notice-7b","prompt":"a b c","class":"draft"}"#;

/// The number of pieces of 256 KiB, whose total size exceeds the buffers of a connection.
const PIECES: u64 = 64;

fn sink_of(call: CallerCall) -> Box<dyn CallerSink> {
    match call {
        CallerCall::Complete { sink, .. } | CallerCall::ResumeAnswer { sink, .. } => sink,
        CallerCall::Service { sink, .. } => sink,
        _ => panic!("another call was expected"),
    }
}

/// The caller reads the first words while the rest is still being written. Without a flush after
/// each event the library buffers all of them, and the caller receives nothing until the end.
#[test]
fn the_first_event_arrives_before_the_second_is_produced() {
    // No keep-alive comments, since enough of them would flush a buffered event.
    let node = Node::callers(|settings| settings.keep_alive_ms = SpanMs::from_secs(600));
    let raw = request("POST", "/v1/completions", "", STREAMED);
    let mut client = Client::send(node.address, &raw);
    let sink = sink_of(node.next());
    admit(&*sink);
    token(&*sink, 0, "first");
    let first = client.read_until("first\",\"finish_reason\":null}]}\n\n");
    assert!(first.contains("id: c0"), "{first}");
    assert!(
        first.contains("X-Request-Id: req-0000000000000abc-7"),
        "{first}"
    );
    token(&*sink, 1, "second");
    client.read_until("second\",\"finish_reason\":null}]}\n\n");
    finish(&*sink, 2);
    let rest = client.read_all();
    assert!(rest.contains("\"usage\":{\"prompt_tokens\":3"), "{rest}");
    assert!(rest.contains("data: [DONE]"), "{rest}");
}

/// A caller hangs up during an answer. The library doesn't report that. Without the comments that
/// are written during silences, an engine would hold memory for an answer that nobody reads.
#[test]
fn a_hang_up_in_a_silent_stream_is_reported() {
    let node = Node::callers(|settings| settings.keep_alive_ms = SpanMs(50));
    let raw = request("POST", "/v1/completions", "", STREAMED);
    let mut client = Client::send(node.address, &raw);
    let CallerCall::Complete { caller, sink, .. } = node.next() else {
        panic!("a completion was expected");
    };
    admit(&*sink);
    client.read_until(": keep-alive\n\n");
    drop(client);
    let CallerCall::Disconnected { caller: gone } = node.next() else {
        panic!("a hang-up was expected");
    };
    assert_eq!(gone, caller);
    assert!(
        !token(&*sink, 0, "late"),
        "the sink must report that the caller has disconnected"
    );
}

/// A caller that waits for a whole answer hangs up. Writing the interim responses detects that.
#[test]
fn a_hang_up_before_a_whole_answer_is_reported() {
    let node = Node::callers(|settings| settings.interim_ms = Some(SpanMs(50)));
    let raw = request("POST", "/v1/completions", "", WHOLE);
    let client = Client::send(node.address, &raw);
    let CallerCall::Complete { caller, sink, .. } = node.next() else {
        panic!("a completion was expected");
    };
    admit(&*sink);
    drop(client);
    let CallerCall::Disconnected { caller: gone } = node.next() else {
        panic!("a hang-up was expected");
    };
    assert_eq!(gone, caller);
}

/// A caller that stops reading would hold its thread and its part of the limits forever.
#[test]
fn caller_that_does_not_read_is_disconnected_after_the_write_timeout() {
    let node = Node::callers(|settings| settings.write_timeout_ms = SpanMs(200));
    let raw = request("POST", "/v1/completions", "", STREAMED);
    let _client = Client::send(node.address, &raw);
    let sink = sink_of(node.next());
    admit(&*sink);
    let piece = "x".repeat(256 * 1024);
    for seq in 0..PIECES {
        token(&*sink, seq, &piece);
    }
    let CallerCall::Disconnected { .. } = node.next() else {
        panic!("a hang-up was expected");
    };
    assert!(!token(&*sink, PIECES, "late"));
}

/// `ureq`, like every other HTTP/1.1 client, skips interim responses.
#[test]
fn interim_responses_do_not_disturb_a_client() {
    let node = Node::callers(|settings| settings.interim_ms = Some(SpanMs(20)));
    let url = format!("http://{}/v1/completions", node.address);
    let client = std::thread::spawn(move || {
        let key = format!("Bearer {}", KEYS[0]);
        let request = ureq::post(&url).header("Authorization", &key);
        let mut answer = request.send(WHOLE).expect("a good answer");
        answer.body_mut().read_to_string().expect("a body")
    });
    let sink = sink_of(node.next());
    admit(&*sink);
    std::thread::sleep(std::time::Duration::from_millis(200));
    token(&*sink, 0, "word");
    finish(&*sink, 1);
    let body = client.join().expect("the client ends without panic");
    assert!(body.contains("\"text\":\"word\""), "{body}");
}

#[test]
fn a_stream_that_fails_has_no_done() {
    let node = Node::callers(|_| ());
    let raw = request(
        "POST",
        "/v1/chat/completions",
        "",
        &STREAMED.replace(
            r#""prompt":"a b c""#,
            r#""messages":[{"role":"user","content":"hi"}]"#,
        ),
    );
    let mut client = Client::send(node.address, &raw);
    let sink = sink_of(node.next());
    admit(&*sink);
    token(&*sink, 0, "half");
    client.read_until("\"half\"},\"finish_reason\":null}]}\n\n");
    let error = Error::may_have_run(ErrorKind::Upstream, "the engine died");
    sink.send(bluebell_requests::call::CallerEvent::Failed {
        request: Some(request_id()),
        error,
    });
    let rest = client.read_all();
    assert!(rest.contains("\"verdict\":\"may_have_run\""), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
}

#[test]
fn resuming_passes_account_and_cursor() {
    let node = Node::callers(|_| ());
    let path = "/v1/requests/req-0000000000000abc-7/events";
    let raw = keyed_request(KEYS[1], "GET", path, "Last-Event-ID: c4\r\n", "");
    let client = Client::send(node.address, &raw);
    let CallerCall::ResumeAnswer { call, sink, .. } = node.next() else {
        panic!("a call to resume an answer was expected");
    };
    let wanted = ResumeAnswer {
        account: AccountName::from("byrne"),
        request: request_id(),
        cursor: Some("c4".into()),
    };
    assert_eq!(call, wanted);
    token(&*sink, 5, "on");
    finish(&*sink, 6);
    let answer = client.read_all();
    let seen: Vec<&str> = answer.lines().filter(|l| l.starts_with("id:")).collect();
    expect![[r#"
        [
            "id: c5",
        ]
    "#]]
    .assert_debug_eq(&seen);
}
