//! Tests the peer interface over real sockets: signed calls, limits, unknown calls and refused
//! connections.

use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, Inbox};
use bluebell_peers::{
    CallKind, ClaimAnswer, ClaimCall, ClaimKey, FleetSecret, Incoming, JsonRpcPeers, PeerAnswer,
    PeerCall, PeerPort, PeerRuntime, PeerServer, PeerSettings,
};
use stakker::{Fwd, Ret, Stakker};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const SECRET: &str = "a secret of the whole fleet";

type Answer = Result<PeerAnswer, Error>;

struct Rig {
    stakker: Stakker,
    inbox: Inbox,
    bridge: Bridge,
}

impl Rig {
    fn open() -> Self {
        let inbox = Inbox::open();
        let bridge = Bridge::open(&inbox, 2);
        Self {
            stakker: Stakker::new(Instant::now()),
            inbox,
            bridge,
        }
    }

    fn runtime(&self, change: impl FnOnce(&mut PeerSettings)) -> PeerRuntime {
        let secret = FleetSecret::new(SECRET).expect("long enough");
        let mut settings = PeerSettings::new(secret);
        change(&mut settings);
        PeerRuntime::open(settings, &self.bridge).expect("threads start")
    }

    fn server(&self, runtime: &PeerRuntime, incoming: Fwd<Incoming>) -> PeerServer {
        PeerServer::bind(runtime, &Address::from("127.0.0.1:0"), incoming).expect("binds")
    }

    fn call(&mut self, port: &Rc<dyn PeerPort>, to: &Address, call: PeerCall) -> Answer {
        let slot: Rc<RefCell<Option<Answer>>> = Rc::default();
        let taken = Rc::clone(&slot);
        let ret = Ret::new(move |answer| *taken.borrow_mut() = answer);
        port.call(&mut self.stakker, to, call, ret);
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            self.stakker.run(Instant::now(), false);
            self.inbox.drain(&mut self.stakker);
            if let Some(answer) = slot.borrow_mut().take() {
                return answer;
            }
            assert!(Instant::now() < end, "no answer within {WAIT_TIMEOUT:?}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn claim() -> PeerCall {
    PeerCall::Claim(ClaimCall {
        key: ClaimKey(u128::MAX - 5),
        fingerprint: u64::MAX - 1,
        request: RequestId {
            incarnation: Incarnation(u64::MAX),
            sequence: 7,
        },
    })
}

/// Grants the claim of [`claim`] and drops all other calls unanswered.
fn granting_claims() -> Fwd<Incoming> {
    Fwd::new(|incoming: Incoming| {
        if incoming.call == claim() {
            incoming
                .ret
                .ret(Ok(PeerAnswer::Claim(ClaimAnswer::Granted)));
        }
    })
}

#[test]
fn a_call_is_answered_and_counted_on_both_sides() {
    let mut rig = Rig::open();
    let runtime = rig.runtime(|_| ());
    let server = rig.server(&runtime, granting_claims());
    let port = JsonRpcPeers::open(&runtime);
    for _ in 0..3 {
        let answer = rig.call(&port, server.address(), claim());
        assert_eq!(answer, Ok(PeerAnswer::Claim(ClaimAnswer::Granted)));
    }
    let count = runtime.stats().count(CallKind::Claim);
    assert_eq!((count.calls_sent, count.calls_received), (3, 3));
    assert!(count.sent_bytes > Bytes(300), "{count:?}");
}

#[test]
fn a_call_that_the_node_drops_may_have_run() {
    let mut rig = Rig::open();
    let runtime = rig.runtime(|_| ());
    let server = rig.server(&runtime, granting_claims());
    let port = JsonRpcPeers::open(&runtime);
    let call = PeerCall::Config {
        have: ConfigVersion(3),
    };
    let error = rig.call(&port, server.address(), call).unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
}

/// A node calls a peer that has just crashed. Nothing listens at its address, so the claim was
/// certainly not made there. The list of VMs lags behind, so it still contains the crashed node.
#[test]
fn a_refused_connection_is_not_run() {
    let mut rig = Rig::open();
    let runtime = rig.runtime(|_| ());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = Address::from(&*listener.local_addr().expect("bound").to_string());
    drop(listener);
    let port = JsonRpcPeers::open(&runtime);
    let error = rig.call(&port, &address, claim()).unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun, "{error}");
    assert_eq!(error.kind, ErrorKind::Unavailable);
}

/// A peer accepts the connection and never answers, for example because its process is paused.
/// After its timeout the caller reports that the call may have run.
#[test]
fn a_silent_peer_may_have_run() {
    let mut rig = Rig::open();
    let runtime = rig.runtime(|settings| settings.call_timeout_ms = SpanMs(200));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = Address::from(&*listener.local_addr().expect("bound").to_string());
    let port = JsonRpcPeers::open(&runtime);
    let error = rig.call(&port, &address, claim()).unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun, "{error}");
}

#[test]
fn call_signed_with_another_secret_reaches_no_actor() {
    let mut rig = Rig::open();
    let theirs = rig.runtime(|settings| {
        settings.secret = FleetSecret::new("the secret of another fleet").expect("long enough");
    });
    let ours = rig.runtime(|_| ());
    let server = rig.server(&ours, Fwd::panic("an unsigned call reached an actor"));
    let port = JsonRpcPeers::open(&theirs);
    let error = rig.call(&port, server.address(), claim()).unwrap_err();
    // The refusal isn't signed by a peer, so it doesn't prove that nothing ran.
    assert_eq!(error.verdict, Verdict::MayHaveRun, "{error}");
    assert_eq!(ours.stats().refused(), 1);
}

#[test]
fn a_call_over_the_limit_is_not_sent() {
    let mut rig = Rig::open();
    let small = rig.runtime(|settings| settings.max_body_bytes = Bytes(2048));
    let server = rig.server(&small, granting_claims());
    let port = JsonRpcPeers::open(&small);
    let call = PeerCall::Probe {
        card: bluebell_peers::NodeCard {
            name: VmName::from("entry-1"),
            incarnation: Incarnation(1),
            address: server.address().clone(),
            domain: DomainName::from("galway-a"),
            config: ConfigVersion(0),
            leaving: false,
        },
        leaving: vec![UpstreamName::from("x".repeat(4096).as_str())],
    };
    let error = rig.call(&port, server.address(), call.clone()).unwrap_err();
    assert_eq!(
        (error.verdict, error.kind),
        (Verdict::NotRun, ErrorKind::TooLarge)
    );

    let large = rig.runtime(|_| ());
    let port = JsonRpcPeers::open(&large);
    let error = rig.call(&port, server.address(), call).unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun, "{error}");
    // The server continues to serve.
    let answer = rig.call(&port, server.address(), claim());
    assert_eq!(answer, Ok(PeerAnswer::Claim(ClaimAnswer::Granted)));
}

#[test]
fn a_stopped_server_refuses_new_connections() {
    let mut rig = Rig::open();
    let runtime = rig.runtime(|_| ());
    let server = rig.server(&runtime, granting_claims());
    let address = server.address().clone();
    server.stop();
    let end = Instant::now() + WAIT_TIMEOUT;
    while std::net::TcpStream::connect(address.as_str()).is_ok() {
        assert!(Instant::now() < end, "still listening");
        std::thread::sleep(Duration::from_millis(5));
    }
    let port = JsonRpcPeers::open(&runtime);
    assert!(rig.call(&port, &address, claim()).is_err());
}

/// Arbitrary bodies from the network are refused, and the peer interface continues to serve.
#[test]
fn hostile_bodies_are_refused() {
    use std::io::{Read, Write};
    let mut rig = Rig::open();
    let runtime = rig.runtime(|settings| settings.max_body_bytes = Bytes(4096));
    let server = rig.server(&runtime, granting_claims());
    let large = format!("[{}]", "[".repeat(3000));
    let bodies = [
        "",
        "{",
        "[]",
        r#"{"jsonrpc":"2.0","id":1,"method":"peer"}"#,
        r#"{"jsonrpc":"2.0","id":1,"method":"peer","params":[1,2,3]}"#,
        r#"{"jsonrpc":"2.0","id":1,"method":"peer","params":{"t":1,"n":1,"m":"x","c":{}}}"#,
        r#"{"jsonrpc":"2.0","id":1,"method":"other","params":{}}"#,
        r#"[{"jsonrpc":"2.0","id":1,"method":"peer","params":{}}]"#,
        &large,
        &"x".repeat(100_000),
    ];
    for body in bodies {
        let mut stream = std::net::TcpStream::connect(server.address().as_str()).expect("connects");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("sets");
        let head = format!(
            "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let sent = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(body.as_bytes()));
        let mut answer = Vec::new();
        // The server may close before it has read a body that is too large.
        let read = stream.read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer);
        let refused =
            sent.is_err() || read.is_err() || text.contains("error") || text.contains(" 413 ");
        assert!(refused, "{body:.40}: {text}");
        assert!(!text.contains("granted"), "{body:.40}: {text}");
    }
    let port = JsonRpcPeers::open(&runtime);
    let answer = rig.call(&port, server.address(), claim());
    assert_eq!(answer, Ok(PeerAnswer::Claim(ClaimAnswer::Granted)));
}
