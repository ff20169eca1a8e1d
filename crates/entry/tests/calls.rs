//! Table tests of the callers' interface over a real socket: requests and their answers.

mod support;

use bluebell_base::prelude::*;
use bluebell_peers::{RequestReport, RequestState};
use bluebell_requests::call::{CallerCall, CallerEvent, CallerSink, Completion};
use expect_test::{Expect, expect};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use support::*;

/// A node whose calls are answered by a script. The prompt selects the outcome of a completion.
struct Scripted {
    node: Node<CallerCall>,
    end: mpsc::Sender<()>,
    script: Option<JoinHandle<()>>,
}

impl Scripted {
    fn open() -> Self {
        let node = Node::callers(|_| ());
        let calls = node.calls.clone();
        let (end, ended) = mpsc::channel();
        let script = thread::spawn(move || {
            while let Err(mpsc::TryRecvError::Empty) = ended.try_recv() {
                if let Ok(call) = calls.recv_timeout(std::time::Duration::from_millis(20)) {
                    answer(call);
                }
            }
        });
        Self {
            node,
            end,
            script: Some(script),
        }
    }

    /// Sends each request and compares the answers with the expected text.
    fn check(&self, cases: &[(&str, Vec<u8>)], wanted: Expect) {
        let lines: String = cases
            .iter()
            .map(|(name, raw)| {
                let answer = exchange(self.node.address, raw);
                format!("{name}\n    {}\n", essence(&answer))
            })
            .collect();
        wanted.assert_eq(&lines);
    }
}

impl Drop for Scripted {
    fn drop(&mut self) {
        let _ = self.end.send(());
        if let Some(script) = self.script.take() {
            script.join().expect("the script ends without panic");
        }
    }
}

fn answer(call: CallerCall) {
    match call {
        CallerCall::Complete {
            completion, sink, ..
        } => answer_completion(&completion, &*sink),
        CallerCall::Service { call, sink, .. } => {
            let shown = format!(
                "{} {} {} {:?} {:?} {}",
                call.service,
                call.method,
                call.path,
                call.content_type,
                call.idempotency_key,
                String::from_utf8_lossy(&call.body),
            );
            let request = request_id();
            sink.send(CallerEvent::Admitted { request });
            sink.send(CallerEvent::Service {
                status: if &*call.path == "/odd" { 101 } else { 418 },
                content_type: Some("text/plain".into()),
                body: shown.into_bytes(),
            });
        }
        CallerCall::ResumeAnswer { call, sink, .. } => {
            let message = format!("{} reads on from {:?}", call.account, call.cursor);
            let error = Error::may_have_run(ErrorKind::NotFound, message);
            let request = Some(call.request);
            sink.send(CallerEvent::Failed { request, error });
        }
        CallerCall::Report {
            account,
            request,
            reply,
        } => reply(report(account, request)),
        CallerCall::Cancel {
            account,
            request,
            reply,
        } => reply(report(account, request)),
        CallerCall::Disconnected { .. } => (),
    }
}

fn report(account: AccountName, request: RequestId) -> Result<RequestReport, Error> {
    if account.as_str() != "murphy" {
        let message = "there is no such request";
        return Err(Error::may_have_run(ErrorKind::NotFound, message));
    }
    Ok(RequestReport {
        request,
        account,
        state: RequestState::Running,
        verdict: Verdict::MayHaveRun,
        events: 4,
        upstream: Some(UpstreamName::from("engine-3")),
        attempt: AttemptNo(2),
    })
}

fn answer_completion(completion: &Completion, sink: &dyn CallerSink) {
    admit(sink);
    let error = match &*completion.prompt {
        "busy" => Error::not_run(ErrorKind::Overloaded, "come back").retry_after(SpanMs(1200)),
        "late" => Error::may_have_run(ErrorKind::DeadlineExceeded, "the deadline passed"),
        "lost" => Error::ran(ErrorKind::Upstream, "the answer was lost"),
        "drop" => return,
        _ => {
            let shown = format!(
                "{} {} {} {} {:?} {:?} {:?}",
                completion.account,
                completion.model,
                completion.class,
                completion.max_tokens,
                completion.deadline_ms.map(|span_ms| span_ms.0),
                completion.idempotency_key.as_ref().map(|key| key.as_str()),
                completion.prompt,
            );
            token(sink, 0, &shown);
            token(sink, 1, "!");
            finish(sink, 2);
            return;
        }
    };
    let request = Some(request_id());
    sink.send(CallerEvent::Failed { request, error });
}

fn post(body: &str) -> Vec<u8> {
    request("POST", "/v1/completions", "", body)
}

fn chat(body: &str) -> Vec<u8> {
    request("POST", "/v1/chat/completions", "", body)
}

#[test]
fn completions_are_decoded_and_answered() {
    let scripted = Scripted::open();
    let cases = [
        (
            "least",
            post(r#"{"model":"notice-7b","prompt":"hi","class":"draft"}"#),
        ),
        (
            "all fields, and some unknown",
            request(
                "POST",
                "/v1/completions",
                "Idempotency-Key: k-1\r\nX-Work-Class: draft\r\n",
                r#"{"model":"notice-7b","prompt":["hi"],"max_tokens":9,"deadline_ms":500,"temperature":0.2,"logit_bias":{"5":[[[]]]},"stream":null}"#,
            ),
        ),
        (
            "chat",
            chat(
                r#"{"model":"notice-7b","class":"draft","max_completion_tokens":5,"messages":[{"role":"system","content":"be brief"},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]},{"role":"assistant","content":null}]}"#,
            ),
        ),
        (
            "chat stream",
            chat(
                r#"{"model":"notice-7b","class":"draft","stream":true,"messages":[{"role":"user","content":"hi"}]}"#,
            ),
        ),
        (
            "stream refused before it began",
            post(r#"{"model":"notice-7b","prompt":"busy","class":"draft","stream":true}"#),
        ),
        (
            "refused",
            post(r#"{"model":"notice-7b","prompt":"busy","class":"draft"}"#),
        ),
        (
            "late",
            post(r#"{"model":"notice-7b","prompt":"late","class":"draft"}"#),
        ),
        (
            "lost",
            post(r#"{"model":"notice-7b","prompt":"lost","class":"draft"}"#),
        ),
        (
            "given up",
            post(r#"{"model":"notice-7b","prompt":"drop","class":"draft"}"#),
        ),
    ];
    scripted.check(&cases, expect![[r#"
        least
            200 [X-Request-Id: req-0000000000000abc-7] {"id":"req-0000000000000abc-7","object":"text_completion","created":0,"model":"notice-7b","choices":[{"index":0,"text":"murphy notice-7b draft 64tok None None \"hi\"!","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}
        all fields, and some unknown
            200 [X-Request-Id: req-0000000000000abc-7] {"id":"req-0000000000000abc-7","object":"text_completion","created":0,"model":"notice-7b","choices":[{"index":0,"text":"murphy notice-7b draft 9tok Some(500) Some(\"k-1\") \"hi\"!","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}
        chat
            200 [X-Request-Id: req-0000000000000abc-7] {"id":"req-0000000000000abc-7","object":"chat.completion","created":0,"model":"notice-7b","choices":[{"index":0,"message":{"role":"assistant","content":"murphy notice-7b draft 5tok None None \"system: be brief\\n\\nuser: ab\\n\\nassistant: \\n\\n\"!"},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}
        chat stream
            200 [X-Request-Id: req-0000000000000abc-7] f5
        id: c0
        data: {"id":"req-0000000000000abc-7","object":"chat.completion.chunk","created":0,"model":"notice-7b","choices":[{"index":0,"delta":{"content":"murphy notice-7b draft 64tok None None \"user: hi\\n\\n\""},"finish_reason":null}]}


        bd
        id: c1
        data: {"id":"req-0000000000000abc-7","object":"chat.completion.chunk","created":0,"model":"notice-7b","choices":[{"index":0,"delta":{"content":"!"},"finish_reason":null}]}


        ee
        data: {"id":"req-0000000000000abc-7","object":"chat.completion.chunk","created":0,"model":"notice-7b","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}


        e
        data: [DONE]


        0
        stream refused before it began
            429 [X-Request-Id: req-0000000000000abc-7] [Retry-After: 2] {"error":{"kind":"overloaded","message":"come back","verdict":"not_run","request":"req-0000000000000abc-7","retry_after_ms":1200}}
        refused
            429 [X-Request-Id: req-0000000000000abc-7] [Retry-After: 2] {"error":{"kind":"overloaded","message":"come back","verdict":"not_run","request":"req-0000000000000abc-7","retry_after_ms":1200}}
        late
            504 [X-Request-Id: req-0000000000000abc-7] {"error":{"kind":"deadline_exceeded","message":"the deadline passed","verdict":"may_have_run","request":"req-0000000000000abc-7"}}
        lost
            502 [X-Request-Id: req-0000000000000abc-7] {"error":{"kind":"upstream","message":"the answer was lost","verdict":"ran","request":"req-0000000000000abc-7"}}
        given up
            500 [X-Request-Id: req-0000000000000abc-7] {"error":{"kind":"internal","message":"the node gave the request up without an answer","verdict":"may_have_run","request":"req-0000000000000abc-7"}}
    "#]]);
}

#[test]
fn malformed_completions_are_refused_precisely() {
    let scripted = Scripted::open();
    let deep = format!("{{\"model\":{}1{}}}", "[".repeat(5000), "]".repeat(5000));
    let deep_unknown = format!("{{\"x\":{}1{}}}", "[".repeat(5000), "]".repeat(5000));
    let known = r#""model":"notice-7b","class":"draft""#;
    let with = |rest: &str| post(&format!("{{{known},{rest}}}"));
    let headers = |headers: &str| {
        let body = format!("{{{known},\"prompt\":\"hi\"}}");
        request("POST", "/v1/completions", headers, &body)
    };
    let long_key = format!("Idempotency-Key: {}\r\n", "k".repeat(256));
    let cases = [
        ("empty", post("")),
        ("not JSON", post("{")),
        ("a list", post("[]")),
        ("nothing", post("{}")),
        ("deep", post(&deep)),
        ("deep in an unknown field", post(&deep_unknown)),
        ("unknown model", post(r#"{"model":"gpt","prompt":"hi"}"#)),
        ("no class", post(r#"{"model":"notice-7b","prompt":"hi"}"#)),
        (
            "unknown class",
            post(r#"{"model":"notice-7b","prompt":"hi","class":"x"}"#),
        ),
        (
            "two classes",
            request(
                "POST",
                "/v1/completions",
                "X-Work-Class: archive\r\n",
                &format!("{{{known},\"prompt\":\"hi\"}}"),
            ),
        ),
        ("no prompt", with("\"x\":1")),
        ("empty prompt", with("\"prompt\":\"\"")),
        ("two prompts", with("\"prompt\":[\"a\",\"b\"]")),
        ("prompt of numbers", with("\"prompt\":[1,2]")),
        ("no tokens", with("\"prompt\":\"hi\",\"max_tokens\":0")),
        (
            "too many tokens",
            with("\"prompt\":\"hi\",\"max_tokens\":65"),
        ),
        (
            "negative tokens",
            with("\"prompt\":\"hi\",\"max_tokens\":-1"),
        ),
        ("two answers", with("\"prompt\":\"hi\",\"n\":2")),
        ("no time", with("\"prompt\":\"hi\",\"deadline_ms\":0")),
        ("no messages", chat(&format!("{{{known}}}"))),
        (
            "empty messages",
            chat(&format!("{{{known},\"messages\":[]}}")),
        ),
        (
            "an image",
            chat(&format!(
                "{{{known},\"messages\":[{{\"role\":\"user\",\"content\":[{{\"type\":\"image_url\"}}]}}]}}"
            )),
        ),
        ("long key", headers(&long_key)),
        ("empty key", headers("Idempotency-Key: \r\n")),
        (
            "two keys",
            headers("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
        ),
        ("two lengths", headers("Content-Length: 5\r\n")),
        (
            "length and chunks",
            headers("Transfer-Encoding: chunked\r\n"),
        ),
        (
            "upgrade",
            b"GET /v1/models HTTP/1.1\r\nConnection: Upgrade\r\n\r\n".to_vec(),
        ),
        (
            "huge header",
            headers(&format!("X-A: {}\r\n", "a".repeat(40_000))),
        ),
    ];
    scripted.check(&cases, expect![[r#"
        empty
            400 [X-Request-Id: caller1] {"error":{"kind":"invalid","message":"the body is not a call: EOF while parsing a value at line 1 column 0","verdict":"not_run","request":"caller1"}}
        not JSON
            400 [X-Request-Id: caller2] {"error":{"kind":"invalid","message":"the body is not a call: EOF while parsing an object at line 1 column 1","verdict":"not_run","request":"caller2"}}
        a list
            400 [X-Request-Id: caller3] {"error":{"kind":"invalid","message":"the body is not a call: invalid length 0, expected struct CallBody with 9 elements at line 1 column 2","verdict":"not_run","request":"caller3"}}
        nothing
            400 [X-Request-Id: caller4] {"error":{"kind":"invalid","message":"model: is missing","verdict":"not_run","request":"caller4"}}
        deep
            400 [X-Request-Id: caller5] {"error":{"kind":"invalid","message":"the body is not a call: invalid type: sequence, expected a string at line 1 column 9","verdict":"not_run","request":"caller5"}}
        deep in an unknown field
            400 [X-Request-Id: caller6] {"error":{"kind":"invalid","message":"model: is missing","verdict":"not_run","request":"caller6"}}
        unknown model
            404 [X-Request-Id: caller7] {"error":{"kind":"not_found","message":"model: there is no model \"gpt\"","verdict":"not_run","request":"caller7"}}
        no class
            400 [X-Request-Id: caller8] {"error":{"kind":"invalid","message":"class: is missing; name the class of work in the field or the header X-Work-Class","verdict":"not_run","request":"caller8"}}
        unknown class
            400 [X-Request-Id: caller9] {"error":{"kind":"invalid","message":"class: there is no class \"x\"","verdict":"not_run","request":"caller9"}}
        two classes
            400 [X-Request-Id: caller10] {"error":{"kind":"invalid","message":"class: differs from the header X-Work-Class","verdict":"not_run","request":"caller10"}}
        no prompt
            400 [X-Request-Id: caller11] {"error":{"kind":"invalid","message":"prompt: is missing","verdict":"not_run","request":"caller11"}}
        empty prompt
            400 [X-Request-Id: caller12] {"error":{"kind":"invalid","message":"prompt: is empty","verdict":"not_run","request":"caller12"}}
        two prompts
            400 [X-Request-Id: caller13] {"error":{"kind":"invalid","message":"prompt: a list must have exactly one text","verdict":"not_run","request":"caller13"}}
        prompt of numbers
            400 [X-Request-Id: caller14] {"error":{"kind":"invalid","message":"the body is not a call: prompt: must be a text or a list of one text at line 1 column 52","verdict":"not_run","request":"caller14"}}
        no tokens
            400 [X-Request-Id: caller15] {"error":{"kind":"invalid","message":"max_tokens: must be at least 1","verdict":"not_run","request":"caller15"}}
        too many tokens
            400 [X-Request-Id: caller16] {"error":{"kind":"invalid","message":"max_tokens: is over the limit of 64tok","verdict":"not_run","request":"caller16"}}
        negative tokens
            400 [X-Request-Id: caller17] {"error":{"kind":"invalid","message":"the body is not a call: invalid value: integer `-1`, expected u64 at line 1 column 66","verdict":"not_run","request":"caller17"}}
        two answers
            400 [X-Request-Id: caller18] {"error":{"kind":"invalid","message":"n: only one answer to a call is given","verdict":"not_run","request":"caller18"}}
        no time
            400 [X-Request-Id: caller19] {"error":{"kind":"invalid","message":"deadline_ms: must be at least 1","verdict":"not_run","request":"caller19"}}
        no messages
            400 [X-Request-Id: caller20] {"error":{"kind":"invalid","message":"messages: is missing","verdict":"not_run","request":"caller20"}}
        empty messages
            400 [X-Request-Id: caller21] {"error":{"kind":"invalid","message":"messages: is empty","verdict":"not_run","request":"caller21"}}
        an image
            400 [X-Request-Id: caller22] {"error":{"kind":"invalid","message":"messages[0].content[0]: only parts of type text are read","verdict":"not_run","request":"caller22"}}
        long key
            400 [X-Request-Id: caller23] {"error":{"kind":"invalid","message":"Idempotency-Key is over 255 bytes","verdict":"not_run","request":"caller23"}}
        empty key
            400 [X-Request-Id: caller24] {"error":{"kind":"invalid","message":"Idempotency-Key is empty or has control characters","verdict":"not_run","request":"caller24"}}
        two keys
            400 [X-Request-Id: caller25] {"error":{"kind":"invalid","message":"header Idempotency-Key is given twice","verdict":"not_run","request":"caller25"}}
        two lengths
            400 [X-Request-Id: caller26] {"error":{"kind":"invalid","message":"header Content-Length is given twice","verdict":"not_run","request":"caller26"}}
        length and chunks
            400 [X-Request-Id: caller27] {"error":{"kind":"invalid","message":"Content-Length and Transfer-Encoding exclude each other","verdict":"not_run","request":"caller27"}}
        upgrade
            400 [X-Request-Id: caller28] {"error":{"kind":"invalid","message":"no other protocol can be upgraded to","verdict":"not_run","request":"caller28"}}
        huge header
            431 [X-Request-Id: caller29] {"error":{"kind":"invalid","message":"the headers are over 32768 bytes","verdict":"not_run","request":"caller29"}}
    "#]]);
}

#[test]
fn routes_and_credentials_are_checked() {
    let scripted = Scripted::open();
    let get = |path: &str| request("GET", path, "", "");
    let id = "/v1/requests/req-0000000000000abc-7";
    let cases = [
        ("models", get("/v1/models")),
        ("report", get(id)),
        ("cancel", request("DELETE", id, "", "")),
        ("another account's", keyed_request(KEYS[1], "GET", id, "", "")),
        ("another account's cancel", keyed_request(KEYS[1], "DELETE", id, "", "")),
        ("read on", keyed_request(KEYS[1], "GET", &format!("{id}/events"), "Last-Event-ID: c1\r\n", "")),
        ("read on in no form", get(&format!("{id}/events?form=xml"))),
        ("bad id", get("/v1/requests/7")),
        ("below an id", get(&format!("{id}/x"))),
        ("other method", request("PUT", id, "", "")),
        ("get a completion", get("/v1/completions")),
        ("nowhere", get("/v2")),
        ("no prefix's end", get("/services/boards")),
        ("service", request("POST", "/services/board/notices?x=1", "Content-Type: a/b\r\nIdempotency-Key: k\r\n", "paper")),
        ("service without a final status", request("GET", "/services/board/odd", "", "")),
        ("service's root", request("PATCH", "/services/board", "", "")),
        ("service's query", request("GET", "/services/board?x=1", "", "")),
        ("wrong key", keyed_request("murphy-keyx", "GET", "/v1/models", "", "")),
        ("empty key", keyed_request("", "GET", "/v1/models", "", "")),
        ("no key", b"GET /v1/models HTTP/1.1\r\nConnection: close\r\n\r\n".to_vec()),
        ("basic", b"GET /v1/models HTTP/1.1\r\nConnection: close\r\nAuthorization: Basic bXVycGh5\r\n\r\n".to_vec()),
        ("no slash", b"GET v1/models HTTP/1.1\r\nConnection: close\r\n\r\n".to_vec()),
        ("no http", b"hello\r\n\r\n".to_vec()),
        ("header not ASCII", b"GET / HTTP/1.1\r\nX-A: \xff\xfe\r\n\r\n".to_vec()),
        ("health", b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n".to_vec()),
        ("ready", b"GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n".to_vec()),
    ];
    scripted.check(&cases, expect![[r#"
        models
            200 [X-Request-Id: caller1] {"object":"list","data":[{"id":"notice-7b","object":"model","owned_by":"fleet"}]}
        report
            200 [X-Request-Id: req-0000000000000abc-7] {"request":"req-0000000000000abc-7","state":"running","verdict":"may_have_run","events":4,"attempts":2}
        cancel
            200 [X-Request-Id: req-0000000000000abc-7] {"request":"req-0000000000000abc-7","state":"running","verdict":"may_have_run","events":4,"attempts":2}
        another account's
            404 [X-Request-Id: caller4] {"error":{"kind":"not_found","message":"there is no such request","verdict":"may_have_run","request":"caller4"}}
        another account's cancel
            404 [X-Request-Id: caller5] {"error":{"kind":"not_found","message":"there is no such request","verdict":"may_have_run","request":"caller5"}}
        read on
            404 [X-Request-Id: req-0000000000000abc-7] {"error":{"kind":"not_found","message":"byrne reads on from Some(\"c1\")","verdict":"may_have_run","request":"req-0000000000000abc-7"}}
        read on in no form
            400 [X-Request-Id: caller7] {"error":{"kind":"invalid","message":"form: is text or chat","verdict":"may_have_run","request":"caller7"}}
        bad id
            400 [X-Request-Id: caller8] {"error":{"kind":"invalid","message":"\"7\" is not a valid RequestId","verdict":"may_have_run","request":"caller8"}}
        below an id
            404 [X-Request-Id: caller9] {"error":{"kind":"not_found","message":"there is nothing at this path","verdict":"may_have_run","request":"caller9"}}
        other method
            405 [X-Request-Id: caller10] {"error":{"kind":"invalid","message":"this path takes only GET and DELETE","verdict":"may_have_run","request":"caller10"}}
        get a completion
            405 [X-Request-Id: caller11] {"error":{"kind":"invalid","message":"this path takes only POST","verdict":"not_run","request":"caller11"}}
        nowhere
            404 [X-Request-Id: caller12] {"error":{"kind":"not_found","message":"there is nothing at this path","verdict":"not_run","request":"caller12"}}
        no prefix's end
            404 [X-Request-Id: caller13] {"error":{"kind":"not_found","message":"there is nothing at this path","verdict":"not_run","request":"caller13"}}
        service
            418 [X-Request-Id: req-0000000000000abc-7] board POST /notices?x=1 Some("a/b") Some(IdempotencyKey("k")) paper
        service without a final status
            502 [X-Request-Id: req-0000000000000abc-7] {"error":{"kind":"upstream","message":"the service answered with status 101, which is no final one","verdict":"ran","request":"req-0000000000000abc-7"}}
        service's root
            418 [X-Request-Id: req-0000000000000abc-7] board PATCH / None None
        service's query
            418 [X-Request-Id: req-0000000000000abc-7] board GET /?x=1 None None
        wrong key
            401 [X-Request-Id: caller18] {"error":{"kind":"unauthenticated","message":"the key belongs to no account","verdict":"not_run","request":"caller18"}}
        empty key
            401 [X-Request-Id: caller19] {"error":{"kind":"unauthenticated","message":"a credential is needed: Authorization: Bearer <key>","verdict":"not_run","request":"caller19"}}
        no key
            401 [X-Request-Id: caller20] {"error":{"kind":"unauthenticated","message":"a credential is needed: Authorization: Bearer <key>","verdict":"not_run","request":"caller20"}}
        basic
            401 [X-Request-Id: caller21] {"error":{"kind":"unauthenticated","message":"a credential is needed: Authorization: Bearer <key>","verdict":"not_run","request":"caller21"}}
        no slash
            400 [X-Request-Id: caller22] {"error":{"kind":"invalid","message":"the request target must begin with /","verdict":"not_run","request":"caller22"}}
        no http
            400 
        header not ASCII
            none 
        health
            200 [X-Request-Id: caller23] "ok"
        ready
            200 [X-Request-Id: caller24] "ready"
    "#]]);
}

#[test]
fn draining_node_is_not_ready() {
    let node = Node::callers(|_| ());
    let ready = b"GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n";
    node.callers.as_ref().expect("it is open").set_ready(false);
    let answer = essence(&exchange(node.address, ready));
    expect![[r#"503 [X-Request-Id: caller1] [Retry-After: 1] {"error":{"kind":"unavailable","message":"the node takes no new work","verdict":"not_run","request":"caller1","retry_after_ms":1000}}"#]].assert_eq(&answer);
}
