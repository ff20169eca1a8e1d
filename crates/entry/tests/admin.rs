//! The administration API over a real socket.

mod support;

use bluebell_base::prelude::*;
use bluebell_control::Published;
use bluebell_entry::{AdminCall, AdminSettings, ConfigText};
use expect_test::{Expect, expect};
use std::thread;
use support::*;

const EXAMPLE: &str = include_str!("../../../examples/fleet.json");

/// Answers each call like a node that has version 3 in force.
fn answer(call: AdminCall) {
    let text = |version| ConfigText {
        version: ConfigVersion(version),
        body: serde_json::to_string(&config())
            .expect("it can be written")
            .into(),
    };
    match call {
        AdminCall::Config(reply) => reply(Ok(text(3))),
        AdminCall::History(reply) => reply(Ok(vec![])),
        AdminCall::Publish {
            base: ConfigVersion(3),
            reply,
            ..
        } => {
            let version = ConfigVersion(4);
            reply(Ok(Published::Accepted { version }));
        }
        AdminCall::Publish {
            base: ConfigVersion(2),
            reply,
            ..
        } => {
            let current = ConfigVersion(3);
            reply(Ok(Published::Conflict { current }));
        }
        AdminCall::Publish { reply, .. } => {
            let message = "the log did not answer";
            reply(Err(Error::may_have_run(ErrorKind::Unavailable, message)));
        }
        AdminCall::Drain(reply) => reply(Ok(())),
        AdminCall::Dump(reply) => reply(Ok(r#"{"requests":[]}"#.into())),
        AdminCall::Fleet(reply) => {
            reply(Ok(
                r#"{"nodes":["a"],"upstreams":[{"name":"engine-1"}]}"#.into()
            ));
        }
        AdminCall::Ready(reply) => {
            let error = Error::not_run(ErrorKind::Unavailable, "the node is draining");
            reply(Err(error.retry_after(SpanMs(500))));
        }
        AdminCall::Metrics(reply) => reply(Ok("requests_total 5\n".into())),
    }
}

fn check(cases: &[(&str, Vec<u8>)], wanted: Expect) {
    let node = Node::admin();
    let calls = node.calls.clone();
    let script = thread::spawn(move || calls.iter().for_each(answer));
    let lines: String = cases
        .iter()
        .map(|(name, raw)| format!("{name}\n    {}\n", essence(&exchange(node.address, raw))))
        .collect();
    wanted.assert_eq(&lines);
    drop(node);
    script.join().expect("the script ends without panic");
}

fn call(method: &str, path: &str, body: &str) -> Vec<u8> {
    keyed_request(CREDENTIAL, method, path, "", body)
}

fn publish(base: u64, config: &str) -> Vec<u8> {
    let body = format!("{{\"base\":{base},\"config\":{config}}}");
    call("POST", "/admin/config", &body)
}

#[test]
fn every_route_answers() {
    let get = |path: &str| call("GET", path, "");
    let cases = [
        ("config", get("/admin/config")),
        ("history", get("/admin/config/history")),
        ("classes", get("/admin/classes")),
        ("accounts", get("/admin/accounts")),
        ("upstreams", get("/admin/upstreams")),
        ("fleet", get("/admin/fleet")),
        ("state", get("/admin/state")),
        ("drain", call("POST", "/admin/drain", "")),
        ("ready", get("/admin/ready")),
        ("metrics", get("/metrics")),
        ("publish", publish(3, EXAMPLE)),
        ("publish on an old version", publish(2, EXAMPLE)),
        ("publish while the log is down", publish(9, EXAMPLE)),
    ];
    check(
        &cases,
        expect![[r#"
        config
            200 [X-Request-Id: admin1] {"version":3,"config":{"classes":[{"name":"draft","first_token":[{"within_ms":600}],"end_ms":10000,"idempotent":true},{"name":"archive","first_token":[{"within_ms":9000}],"end_ms":90000,"idempotent":false}],"accounts":[{"name":"murphy","key_sha256":"23b146464a01b16a7d54959bfdd95851ff047ad655e3e3a6be311782f0cf394b"},{"name":"byrne","key_sha256":"287aa7bd439e553c2a10d55057cf47ea5eefcc39723b50cc0abf37c5a535aa24"}],"models":[{"name":"notice-7b","version":3}],"services":[{"name":"board","prefix":"/services/board","timeout_ms":2000,"no_repeat":[]}],"deployments":[],"limits":{"body_bytes":200000,"answer_tokens":64}}}
        history
            200 [X-Request-Id: admin2] []
        classes
            200 [X-Request-Id: admin3] [{"name":"draft","first_token":[{"within_ms":600}],"end_ms":10000,"idempotent":true},{"name":"archive","first_token":[{"within_ms":9000}],"end_ms":90000,"idempotent":false}]
        accounts
            200 [X-Request-Id: admin4] [{"name":"murphy"},{"name":"byrne"}]
        upstreams
            200 [X-Request-Id: admin5] [{"name":"engine-1"}]
        fleet
            200 [X-Request-Id: admin6] {"nodes":["a"],"upstreams":[{"name":"engine-1"}]}
        state
            200 [X-Request-Id: admin7] {"requests":[]}
        drain
            200 [X-Request-Id: admin8] {"done":true}
        ready
            503 [X-Request-Id: admin9] [Retry-After: 1] {"error":{"kind":"unavailable","message":"the node is draining","verdict":"not_run","request":"admin9","retry_after_ms":500}}
        metrics
            200 [X-Request-Id: admin10] requests_total 5
        publish
            200 [X-Request-Id: admin11] {"result":"accepted","version":4}
        publish on an old version
            409 [X-Request-Id: admin12] {"result":"conflict","current":3}
        publish while the log is down
            503 [X-Request-Id: admin13] {"error":{"kind":"unavailable","message":"the log did not answer","verdict":"may_have_run","request":"admin13"}}
    "#]],
    );
}

#[test]
fn bad_calls_are_refused() {
    let faulty = EXAMPLE.replace("\"end_ms\": 20000", "\"end_ms\": 0");
    let cases = [
        (
            "no credential",
            b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n".to_vec(),
        ),
        (
            "wrong credential",
            keyed_request("operator-secreu", "GET", "/admin/state", "", ""),
        ),
        (
            "a caller's key",
            keyed_request(KEYS[0], "GET", "/admin/state", "", ""),
        ),
        (
            "wrong credential, unknown path",
            keyed_request("x", "GET", "/admin/x", "", ""),
        ),
        ("unknown path", call("GET", "/admin/x", "")),
        ("other method", call("GET", "/admin/drain", "")),
        ("not JSON", call("POST", "/admin/config", "{")),
        ("no base", call("POST", "/admin/config", "{\"config\":{}}")),
        ("faults", publish(3, &faulty)),
        ("weights", publish(3, "{\"weights\":{}}")),
    ];
    check(
        &cases,
        expect![[r#"
        no credential
            401 [X-Request-Id: admin1] {"error":{"kind":"unauthenticated","message":"a credential is needed: Authorization: Bearer <key>","verdict":"not_run","request":"admin1"}}
        wrong credential
            401 [X-Request-Id: admin2] {"error":{"kind":"unauthenticated","message":"the credential is wrong","verdict":"not_run","request":"admin2"}}
        a caller's key
            401 [X-Request-Id: admin3] {"error":{"kind":"unauthenticated","message":"the credential is wrong","verdict":"not_run","request":"admin3"}}
        wrong credential, unknown path
            401 [X-Request-Id: admin4] {"error":{"kind":"unauthenticated","message":"the credential is wrong","verdict":"not_run","request":"admin4"}}
        unknown path
            404 [X-Request-Id: admin5] {"error":{"kind":"not_found","message":"there is nothing at this path","verdict":"not_run","request":"admin5"}}
        other method
            405 [X-Request-Id: admin6] {"error":{"kind":"invalid","message":"this path does not take that method","verdict":"not_run","request":"admin6"}}
        not JSON
            400 [X-Request-Id: admin7] {"error":{"kind":"invalid","message":"the body is not a publication: EOF while parsing an object at line 1 column 1","verdict":"not_run","request":"admin7"}}
        no base
            400 [X-Request-Id: admin8] {"error":{"kind":"invalid","message":"the body is not a publication: missing field `base` at line 1 column 13","verdict":"not_run","request":"admin8"}}
        faults
            400 [X-Request-Id: admin9] {"error":{"kind":"invalid","message":"the configuration has faults","verdict":"not_run","request":"admin9"},"faults":[{"path":"classes[0].first_token[0].within_ms","reason":"is later than the class's end_ms, 0ms"},{"path":"classes[0].first_token[1].within_ms","reason":"is later than the class's end_ms, 0ms"},{"path":"classes[0].end_ms","reason":"is 0; must be from 1 to 86400000"}]}
        weights
            400 [X-Request-Id: admin10] {"error":{"kind":"invalid","message":"the configuration has faults","verdict":"not_run","request":"admin10"},"faults":[{"path":"weights","reason":"unknown field `weights`, expected one of `classes`, `accounts`, `models`, `services`, `deployments`, `limits` at line 1 column 10"}]}
    "#]],
    );
}

/// Settings are printed in logs and state dumps, which must not contain the credential.
#[test]
fn settings_print_without_the_credential() {
    let settings = AdminSettings::at(Address::from("127.0.0.1:0"), CREDENTIAL.into());
    assert!(!format!("{settings:?}").contains(CREDENTIAL));
}
