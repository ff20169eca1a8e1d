//! A node whose actor thread passes every call to the test, and a client that speaks raw HTTP.

#![allow(dead_code)]

use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, Inbox, InboxSender};
use bluebell_config::FleetConfig;
use bluebell_entry::{Admin, AdminCall, AdminSettings, Callers, CallersSettings};
use bluebell_requests::call::{CallerCall, CallerEvent, CallerSink};
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use stakker::{Fwd, Stakker, StopCause};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The timeout of any wait in these tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The keys of the two accounts in [`config`].
pub const KEYS: [&str; 2] = ["murphy-key", "byrne-key"];

/// The operators' credential.
pub const CREDENTIAL: &str = "operator-secret";

/// Returns a configuration with two accounts, two classes, one model and one plain service.
pub fn config() -> FleetConfig {
    let text = r#"{
        "classes": [
            {"name": "draft", "first_token": [{"within_ms": 600}], "end_ms": 10000, "idempotent": true},
            {"name": "archive", "first_token": [{"within_ms": 9000}], "end_ms": 90000, "idempotent": false}
        ],
        "accounts": [
            {"name": "murphy", "key_sha256": "HASH0"},
            {"name": "byrne", "key_sha256": "HASH1"}
        ],
        "models": [{"name": "notice-7b", "version": 3}],
        "services": [{"name": "board", "prefix": "/services/board", "timeout_ms": 2000}],
        "limits": {"body_bytes": 200000, "answer_tokens": 64}
    }"#;
    let text = text.replace("HASH0", &sha256_hex(KEYS[0]));
    let text = text.replace("HASH1", &sha256_hex(KEYS[1]));
    bluebell_config::parse(&text).expect("the test's configuration passes the check")
}

fn sha256_hex(key: &str) -> String {
    use sha2::Digest;
    let hash = sha2::Sha256::digest(key.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A running interface with its actor thread. Both stop on drop.
pub struct Node<C> {
    pub address: SocketAddr,
    pub calls: Receiver<C>,
    pub callers: Option<Callers>,
    pub admin: Option<Admin>,
    link: InboxSender,
    thread: Option<JoinHandle<()>>,
}

impl Node<CallerCall> {
    /// Opens a callers' interface after `tweak` has changed its settings.
    pub fn callers(tweak: impl FnOnce(&mut CallersSettings)) -> Self {
        let mut settings = CallersSettings::at(Address::from("127.0.0.1:0"));
        settings.keep_alive_ms = SpanMs(200);
        settings.interim_ms = None;
        tweak(&mut settings);
        let (link, thread, opened, calls) = actor_thread(move |bridge, fwd| {
            Callers::bind(settings, bridge, fwd).expect("port 0 can be listened at")
        });
        opened.set_config(Arc::new(config()));
        opened.set_ready(true);
        Self {
            address: opened.address(),
            calls,
            callers: Some(opened),
            admin: None,
            link,
            thread: Some(thread),
        }
    }
}

impl Node<AdminCall> {
    /// Opens an administration API.
    pub fn admin() -> Self {
        let settings = AdminSettings::at(Address::from("127.0.0.1:0"), CREDENTIAL.into());
        let (link, thread, opened, calls) = actor_thread(move |bridge, fwd| {
            Admin::bind(settings, bridge, fwd).expect("port 0 can be listened at")
        });
        Self {
            address: opened.address(),
            calls,
            callers: None,
            admin: Some(opened),
            link,
            thread: Some(thread),
        }
    }
}

impl<C> Node<C> {
    /// Waits for the next call.
    pub fn next(&self) -> C {
        self.calls
            .recv_timeout(WAIT_TIMEOUT)
            .expect("a call arrives")
    }
}

impl<C> Drop for Node<C> {
    fn drop(&mut self) {
        if let Some(callers) = self.callers.take() {
            callers.stop();
        }
        if let Some(admin) = self.admin.take() {
            admin.stop();
        }
        self.link
            .send(|stakker| stakker.shutdown(StopCause::Stopped));
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the actor thread ends without panic");
        }
    }
}

type Opened<T, C> = (InboxSender, JoinHandle<()>, T, Receiver<C>);

fn actor_thread<T: Send + 'static, C: Send + 'static>(
    open: impl FnOnce(&Bridge, Fwd<C>) -> T + Send + 'static,
) -> Opened<T, C> {
    let (out, opened) = bounded(1);
    let (calls_out, calls) = unbounded();
    let thread = thread::spawn(move || {
        let inbox = Inbox::open();
        let mut stakker = Stakker::new(Instant::now());
        let bridge = Bridge::open(&inbox, 2);
        let fwd = Fwd::new(move |call: C| forward_call(&calls_out, call));
        let interface = open(&bridge, fwd);
        out.send((inbox.link(), interface)).expect("the test waits");
        inbox.run(&mut stakker);
    });
    let (link, interface) = opened.recv_timeout(WAIT_TIMEOUT).expect("it opens");
    (link, thread, interface, calls)
}

fn forward_call<C>(out: &Sender<C>, call: C) {
    // Fails if the test has dropped its receiver because it needs no more calls.
    let _ = out.send(call);
}

/// A connection that speaks raw HTTP.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and sends `raw`.
    pub fn send(address: SocketAddr, raw: &[u8]) -> Self {
        let mut stream = TcpStream::connect(address).expect("the interface listens");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("it takes a timeout");
        // A server that refuses early may close the connection before all bytes were sent.
        let _ = stream.write_all(raw);
        Self { stream }
    }

    /// Reads until the received text ends with `text`, and returns all of it.
    pub fn read_until(&mut self, text: &str) -> String {
        let mut read = Vec::new();
        let mut byte = [0];
        while !String::from_utf8_lossy(&read).ends_with(text) {
            let count = self.stream.read(&mut byte).expect("the answer goes on");
            assert!(
                count == 1,
                "closed before {text:?}: {}",
                String::from_utf8_lossy(&read)
            );
            read.push(byte[0]);
        }
        String::from_utf8_lossy(&read).into_owned()
    }

    /// Reads until the server closes the connection.
    pub fn read_all(mut self) -> String {
        let mut read = Vec::new();
        // A reset after the answer also ends it.
        let _ = self.stream.read_to_end(&mut read);
        String::from_utf8_lossy(&read).into_owned()
    }
}

/// Returns a request with the first account's key and a body of known length. The connection closes
/// after the answer.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let key = KEYS[0];
    keyed_request(key, method, path, headers, body)
}

/// Returns a request with the given key.
pub fn keyed_request(key: &str, method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n");
    text += &format!("Authorization: Bearer {key}\r\nContent-Length: {length}\r\n");
    text += &format!("{headers}\r\n{body}");
    text.into_bytes()
}

/// Sends a request and returns the whole answer.
pub fn exchange(address: SocketAddr, raw: &[u8]) -> String {
    Client::send(address, raw).read_all()
}

/// Returns the status code, the headers that this project sets, and the body.
pub fn essence(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let mut lines = head.lines();
    let status = lines
        .next()
        .unwrap_or("")
        .split(' ')
        .nth(1)
        .unwrap_or("none");
    let kept = lines.filter(|line| {
        let line = line.to_ascii_lowercase();
        line.starts_with("retry-after") || line.starts_with("x-request-id")
    });
    let mut text = status.to_owned();
    for line in kept {
        text += &format!(" [{line}]");
    }
    let body = mask_created(body).replace("\r\n", "\n");
    format!("{text} {}", body.trim_end())
}

/// Replaces each `created` time in an answer with 0.
fn mask_created(body: &str) -> String {
    let Some((before, rest)) = body.split_once("\"created\":") else {
        return body.to_owned();
    };
    let rest = rest.trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{before}\"created\":0{}", mask_created(rest))
}

/// Returns the request id that these tests use.
pub fn request_id() -> RequestId {
    RequestId {
        incarnation: Incarnation(0xabc),
        sequence: 7,
    }
}

/// Sends the event that admits the request.
pub fn admit(sink: &dyn CallerSink) -> bool {
    let request = request_id();
    sink.send(CallerEvent::Admitted { request })
}

/// Sends one piece of the answer.
pub fn token(sink: &dyn CallerSink, seq: u64, text: &str) -> bool {
    sink.send(CallerEvent::Token {
        seq: EventSeq(seq),
        text: text.into(),
        cursor: format!("c{seq}").into(),
    })
}

/// Sends the end of the answer.
pub fn finish(sink: &dyn CallerSink, answer_tokens: u64) -> bool {
    sink.send(CallerEvent::Finished {
        reason: "stop".into(),
        prompt_tokens: Tokens(3),
        answer_tokens: Tokens(answer_tokens),
    })
}
