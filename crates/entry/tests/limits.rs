//! Limits of the callers' interface: body size, memory for bodies, calls in progress, and hostile
//! request heads.

mod support;

use bluebell_base::prelude::*;
use bluebell_requests::call::CallerCall;
use expect_test::expect;
use proptest::prelude::*;
use std::io::Write;
use std::time::{Duration, Instant};
use support::*;

fn completion(prompt: &str) -> String {
    format!(r#"{{"model":"notice-7b","class":"draft","prompt":"{prompt}"}}"#)
}

fn head(headers: &str) -> Vec<u8> {
    let key = KEYS[0];
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n{headers}\r\n"
    );
    text.into_bytes()
}

/// Waits until the calls have released their permits.
fn await_released(node: &Node<CallerCall>) {
    let callers = node.callers.as_ref().expect("it is open");
    let end = Instant::now() + WAIT_TIMEOUT;
    while callers.calls_in_progress() > 0 || callers.body_bytes_held() > Bytes::ZERO {
        assert!(Instant::now() < end, "the permits were not released");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A body whose declared length is over the limit is refused before any of the body is sent.
#[test]
fn a_declared_body_over_the_limit_is_refused_unread() {
    let node = Node::callers(|_| ());
    let mut client = Client::send(node.address, &head("Content-Length: 200001\r\n"));
    let answer = client.read_until("}}");
    expect![[r#"413 [X-Request-Id: caller1] {"error":{"kind":"too_large","message":"the body is over the limit of 200000B","verdict":"not_run","request":"caller1"}}"#]].assert_eq(&essence(&answer));
    await_released(&node);
}

/// A body without a declared length is refused once it exceeds the limit.
#[test]
fn a_chunked_body_over_the_limit_is_refused() {
    let node = Node::callers(|_| ());
    let mut raw = head("Transfer-Encoding: chunked\r\n");
    for _ in 0..4 {
        raw.extend_from_slice(b"10000\r\n");
        raw.extend_from_slice(&vec![b'a'; 0x10000]);
        raw.extend_from_slice(b"\r\n");
    }
    let mut client = Client::send(node.address, &raw);
    let answer = client.read_until("}}");
    assert!(essence(&answer).starts_with("413 "), "{answer}");
    await_released(&node);
}

#[test]
fn a_chunked_body_within_the_limit_is_read() {
    let node = Node::callers(|_| ());
    let body = completion("hi");
    let mut raw = head("Transfer-Encoding: chunked\r\n");
    let (first, second) = body.split_at(10);
    for piece in [first, second, ""] {
        raw.extend_from_slice(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes());
    }
    let _client = Client::send(node.address, &raw);
    let CallerCall::Complete { completion, .. } = node.next() else {
        panic!("a completion was expected");
    };
    assert_eq!(&*completion.prompt, "hi");
}

/// A head that declares a larger body than the machine's memory must not end the process. The
/// library would allocate the whole length when it discards the undelivered rest.
#[test]
fn declared_body_of_exabytes_does_not_end_the_node() {
    let node = Node::callers(|_| ());
    for length in [1u64 << 40, i64::MAX as u64, u64::MAX] {
        let raw = head(&format!("Content-Length: {length}\r\n"));
        let mut client = Client::send(node.address, &raw);
        let answer = client.read_until("}}");
        assert!(answer.contains("HTTP/1.1 413"), "{answer}");
        assert!(answer.contains("\"verdict\":\"not_run\""), "{answer}");
    }
    let health = b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n";
    assert!(exchange(node.address, health).contains("200"));
}

/// The memory for all bodies is used up. The next caller is refused at once with a retry time, and
/// is served once the first call is done.
#[test]
fn bodies_over_the_shared_budget_are_refused() {
    let node = Node::callers(|settings| settings.max_body_bytes = Bytes(150_000));
    let large = request(
        "POST",
        "/v1/completions",
        "",
        &completion(&"a".repeat(100_000)),
    );
    let first = Client::send(node.address, &large);
    let CallerCall::Complete { sink, .. } = node.next() else {
        panic!("a completion was expected");
    };
    let answer = essence(&exchange(node.address, &large));
    expect![[r#"503 [X-Request-Id: caller2] [Retry-After: 1] {"error":{"kind":"unavailable","message":"the memory for request bodies is used up","verdict":"not_run","request":"caller2","retry_after_ms":1000}}"#]].assert_eq(&answer);
    finish(&*sink, 0);
    assert!(first.read_all().contains("200"));
    await_released(&node);
    let _third = Client::send(node.address, &large);
    assert!(matches!(node.next(), CallerCall::Complete { .. }));
}

/// The maximum number of calls is in progress. The next one is refused at once as not run.
#[test]
fn calls_over_the_limit_are_refused_at_once() {
    let node = Node::callers(|settings| settings.max_calls = 1);
    let raw = request("POST", "/v1/completions", "", &completion("hi"));
    let first = Client::send(node.address, &raw);
    let CallerCall::Complete { sink, .. } = node.next() else {
        panic!("a completion was expected");
    };
    let answer = essence(&exchange(node.address, &raw));
    expect![[r#"503 [X-Request-Id: caller2] [Retry-After: 1] {"error":{"kind":"unavailable","message":"too many calls are in progress at this node","verdict":"not_run","request":"caller2","retry_after_ms":1000}}"#]].assert_eq(&answer);
    let report = "/v1/requests/req-0000000000000abc-7/events";
    let answer = essence(&exchange(node.address, &request("GET", report, "", "")));
    assert!(
        answer.contains("may_have_run"),
        "the state of the earlier request is unknown here: {answer}"
    );
    finish(&*sink, 0);
    assert!(first.read_all().contains("200"));
    await_released(&node);
}

/// A prompt of a million tokens (several megabytes) is accepted, and its memory is released.
#[test]
fn prompt_of_a_million_tokens_is_accepted() {
    let node = Node::callers(|_| ());
    let mut config = config();
    config.limits.body_bytes = Bytes(16 * 1024 * 1024);
    let callers = node.callers.as_ref().expect("it is open");
    callers.set_config(Arc::new(config));
    let prompt = "word ".repeat(1_000_000);
    let raw = request("POST", "/v1/completions", "", &completion(&prompt));
    let client = std::thread::spawn({
        let address = node.address;
        move || exchange(address, &raw)
    });
    let CallerCall::Complete {
        completion, sink, ..
    } = node.next()
    else {
        panic!("a completion was expected");
    };
    assert_eq!(completion.prompt.len(), prompt.len());
    assert!(callers.body_bytes_held().0 > 5_000_000);
    finish(&*sink, 0);
    assert!(client.join().expect("no panic").contains("200"));
    await_released(&node);
}

/// A caller crashes during its upload, after bytes that would form a complete call. Nothing reaches
/// the node, and all permits are released.
#[test]
fn truncated_body_releases_its_permits() {
    let node = Node::callers(|_| ());
    let mut raw = head("Content-Length: 150000\r\n");
    raw.extend_from_slice(completion("hi").as_bytes());
    raw.extend_from_slice(&vec![b' '; 70_000]);
    let client = Client::send(node.address, &raw);
    client
        .stream
        .shutdown(std::net::Shutdown::Write)
        .expect("it is open");
    let answer = essence(&client.read_all());
    assert!(answer.starts_with("400 "), "{answer}");
    await_released(&node);
    assert!(node.calls.try_recv().is_err(), "nothing may reach the node");
}

/// Requests that are pipelined on a connection are answered in order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let node = Node::callers(|_| ());
    let mut stream = Client::send(node.address, b"GET /healthz HTTP/1.1\r\n\r\n");
    stream
        .stream
        .write_all(b"GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n")
        .expect("it is open");
    let answers = stream.read_all();
    let health = answers.find("\"ok\"").expect("the first answer");
    let ready = answers.find("\"ready\"").expect("the second answer");
    assert!(health < ready, "{answers}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn no_body_makes_the_decoder_panic(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = bluebell_entry::decoding::completion(&body, &config());
    }

    #[test]
    fn no_changed_call_makes_the_decoder_panic(at in 0usize..200, byte in any::<u8>()) {
        let call = r#"{"model":"notice-7b","class":"draft","prompt":["a"],"stream":true,
            "messages":[{"role":"user","content":[{"type":"text","text":"\u00e9"}]}],
            "max_tokens":7,"deadline_ms":9,"n":1}"#;
        let mut bytes = call.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = bluebell_entry::decoding::completion(&bytes, &config());
        bytes.truncate(at);
        let cut = bluebell_entry::decoding::completion(&bytes, &config());
        prop_assert!(cut.iter().all(|result| result.is_err()), "a cut call must be refused");
    }
}

/// Arbitrary bytes on the socket: the node answers or closes the connection, and continues to
/// serve.
#[test]
fn hostile_bytes_do_not_end_the_node() {
    let node = Node::callers(|_| ());
    let cases: &[&[u8]] = &[
        b"\0\0\0\0\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\nConnection: close\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999999999999999\r\nConnection: close\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\nzz\r\n",
        b"POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: gzip\r\nConnection: close\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nExpect: the-moon\r\nConnection: close\r\n\r\n",
        b"GET /%ff%00 HTTP/1.1\r\nConnection: close\r\n\r\n",
        b"GET /\xff\xfe HTTP/1.1\r\nConnection: close\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    ];
    for raw in cases {
        let client = Client::send(node.address, raw);
        client
            .stream
            .shutdown(std::net::Shutdown::Write)
            .expect("it is open");
        let answer = client.read_all();
        assert!(!answer.contains("HTTP/1.1 500"), "{raw:?}: {answer}");
        assert!(!answer.contains("HTTP/1.1 200"), "{raw:?}: {answer}");
    }
    let health = b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n";
    assert!(exchange(node.address, health).contains("200"));
}

/// A head with version HTTP/2.0 blocks the library's thread for that connection, and the caller
/// receives no answer. Other callers must still be answered.
#[test]
fn http_2_head_blocks_only_its_own_connection() {
    let node = Node::callers(|_| ());
    let raw = b"GET /healthz HTTP/2.0\r\nConnection: close\r\n\r\n";
    let _waiting: Vec<Client> = (0..20).map(|_| Client::send(node.address, raw)).collect();
    let health = b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n";
    assert!(exchange(node.address, health).contains("200"));
}
