//! What exists only over TCP: refused connections, credentials, foreign answers, operator calls.

use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, Inbox};
use bluebell_platform::{CallTimeouts, HttpLog, PlatformClient, WeightInfo};
use bluebell_stand_ins::platform::{Faults, Operator, PlatformServer, PlatformSettings, VmChange};
use stakker::{Ret, Stakker};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);

fn append_at(address: &Address, credential: Option<&str>, stream: &str) -> Result<Offset, Error> {
    let inbox = Inbox::open();
    let bridge = Bridge::open(&inbox, 1);
    let credential = credential.map(Arc::from);
    let client = PlatformClient::open(bridge, address, credential, CallTimeouts::default());
    let mut stakker = Stakker::new(Instant::now());
    let slot = Rc::new(RefCell::new(None));
    let filled = Rc::clone(&slot);
    let ret = Ret::new(move |answer| *filled.borrow_mut() = answer);
    let records = vec!["a".into()];
    HttpLog::open(&client).append(&mut stakker, &stream.into(), records, ret);
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        if let Some(answer) = slot.take() {
            return answer;
        }
        inbox.drain(&mut stakker);
        thread::sleep(Duration::from_millis(1));
    }
    panic!("the call was not answered");
}

#[test]
fn refused_connection_is_not_run() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = Address(unused.local_addr().unwrap().to_string().into());
    drop(unused);
    let error = append_at(&address, None, "s").unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.kind, ErrorKind::Unavailable);
    assert!(error.retry_after_ms.is_some());
}

/// A test stops the platform and expects refusals. Were the listener still open for a moment, a call
/// would be taken into its backlog and reset: "may have run", now and then, for no fault of the code.
#[test]
fn stopped_server_refuses_connections() {
    let server = PlatformServer::bind("127.0.0.1:0", PlatformSettings::default()).unwrap();
    let address = server.address();
    server.stop();
    let error = append_at(&address, None, "s").unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun, "{error}");
}

#[test]
fn credential_is_asked_for() {
    let settings = PlatformSettings {
        credential: Some("secret".into()),
        ..PlatformSettings::default()
    };
    let server = PlatformServer::bind("127.0.0.1:0", settings).unwrap();
    for wrong in [None, Some("other")] {
        let error = append_at(&server.address(), wrong, "s").unwrap_err();
        assert_eq!(error.kind, ErrorKind::Unauthenticated);
        assert_eq!(error.verdict, Verdict::NotRun);
    }
    assert_eq!(
        append_at(&server.address(), Some("secret"), "s"),
        Ok(Offset(0))
    );
}

#[test]
fn stream_that_no_path_can_carry_is_refused() {
    let address = Address("127.0.0.1:9".into());
    for stream in ["a b", "a?b", "a#b", "ä", "a%2fb"] {
        let error = append_at(&address, None, stream).unwrap_err();
        assert_eq!(
            (error.verdict, error.kind),
            (Verdict::NotRun, ErrorKind::Invalid)
        );
    }
}

/// What a caller may conclude of an append from answers that don't come from the platform itself.
#[test]
fn verdicts_of_foreign_answers() {
    let cases = [
        (429, "", Verdict::NotRun, ErrorKind::Overloaded),
        (401, "", Verdict::NotRun, ErrorKind::Unauthenticated),
        (404, "<html>", Verdict::NotRun, ErrorKind::NotFound),
        // A balancer's 5xx may hide that its backend took the append.
        (500, "", Verdict::MayHaveRun, ErrorKind::Unavailable),
        (502, "<html>", Verdict::MayHaveRun, ErrorKind::Unavailable),
        (
            503,
            "{\"verdict\":",
            Verdict::MayHaveRun,
            ErrorKind::Unavailable,
        ),
        // Success whose body tells no offset.
        (200, "", Verdict::MayHaveRun, ErrorKind::Upstream),
        (
            200,
            "{\"offset\":-1}",
            Verdict::MayHaveRun,
            ErrorKind::Upstream,
        ),
        (302, "", Verdict::MayHaveRun, ErrorKind::Unavailable),
    ];
    for (status, body, verdict, kind) in cases {
        let foreign = tiny_http::Server::http("127.0.0.1:0").unwrap();
        let address = Address(foreign.server_addr().to_string().into());
        let answerer = thread::spawn(move || {
            let request = foreign.recv().unwrap();
            let response = tiny_http::Response::from_string(body).with_status_code(status);
            request.respond(response).unwrap();
        });
        let error = append_at(&address, None, "s").unwrap_err();
        assert_eq!(
            (error.verdict, error.kind),
            (verdict, kind),
            "{status} {body:?}"
        );
        answerer.join().unwrap();
    }
}

#[test]
fn faults_are_switched_over_http_and_do_not_strike_operator_calls() {
    let server = PlatformServer::bind("127.0.0.1:0", PlatformSettings::default()).unwrap();
    let operator = Operator::open(&server.address());
    let faults = Faults {
        down: true,
        ..Faults::default()
    };
    operator.set_faults(&faults).unwrap();
    let error = append_at(&server.address(), None, "s").unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
    let rules = r#"{"rules": [{"operation": "append", "calls": 1, "fault": "lose_answer"}]}"#;
    let url = format!("http://{}/faults", server.address());
    ureq::post(&url).send(rules).unwrap();
    let error = append_at(&server.address(), None, "s").unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    assert_eq!(append_at(&server.address(), None, "s"), Ok(Offset(1)));
    assert_eq!(
        server.with_model(|m, _| m.faults.clone()),
        Faults::default()
    );
    assert!(ureq::post(&url).send(r#"{"dwon": true}"#).is_err());
    let stats = operator.stats().unwrap();
    assert_eq!((stats.appends, stats.appended_records), (2, 2));
}

#[test]
fn vms_and_weights_are_changed_over_http() {
    let server = PlatformServer::bind("127.0.0.1:0", PlatformSettings::default()).unwrap();
    let operator = Operator::open(&server.address());
    let vm = r#"{"put": {"name": "e1", "role": "engine", "address": "127.0.0.1:1",
        "deployment": "d", "domain": "galway-a", "state": "live"}}"#;
    let put: VmChange = serde_json::from_str(vm).unwrap();
    operator.change_vms(&put).unwrap();
    operator.change_vms(&VmChange::Remove("e1".into())).unwrap();
    let unknown = operator.change_vms(&VmChange::Remove("e1".into()));
    assert!(unknown.is_err());
    let info = WeightInfo {
        model: "m".into(),
        version: 1,
        size_bytes: Bytes(1),
        limit_bytes: PerSecond(1.0),
    };
    operator.put_weights(&info).unwrap();
    let kept = server.with_model(|m, _| m.weight_info(&"m".into(), 1));
    assert_eq!(kept, Ok(info));
}

#[test]
fn client_does_not_show_its_credential() {
    let inbox = Inbox::open();
    let bridge = Bridge::open(&inbox, 1);
    let address = Address("127.0.0.1:9".into());
    let timeouts = CallTimeouts::default();
    let client = PlatformClient::open(bridge, &address, Some("secret".into()), timeouts);
    assert!(!format!("{client:?}").contains("secret"));
}
