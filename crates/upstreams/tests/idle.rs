//! The number of idle connections kept to many upstreams.

use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, Inbox};
use bluebell_upstreams::{HttpEngine, LoadReport};
use stakker::{Ret, Stakker};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The number of upstreams, larger than the limit on idle connections.
const UPSTREAMS: usize = 200;

/// The limit on idle connections that the HTTP client sets.
const MAX_IDLE_CONNECTIONS: usize = 128;

/// Sends the same answer to every request on a connection, one connection at a time.
fn serve(listener: TcpListener, open: Arc<AtomicUsize>) {
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            open.fetch_add(1, Ordering::SeqCst);
            let mut buffer = [0; 4096];
            while let Ok(1..) = stream.read(&mut buffer) {
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                if stream.write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
            open.fetch_sub(1, Ordering::SeqCst);
        }
    });
}

/// A node requests the load of 1,800 engines, one after the other. With a connection pool per
/// engine, each engine kept two connections with buffers of 256 KB: 161 MB for 300 engines, and
/// more than a node's memory for 1,800.
#[test]
fn idle_connections_are_bounded() {
    let open = Arc::new(AtomicUsize::new(0));
    let inbox = Inbox::open();
    let bridge = Bridge::open(&inbox, 4);
    let mut stakker = Stakker::new(Instant::now());
    let answered = Rc::new(Cell::new(0));
    let mut ports = Vec::new();
    for _ in 0..UPSTREAMS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("bound").to_string();
        serve(listener, Arc::clone(&open));
        let address = Address::from(address.as_str());
        ports.push(HttpEngine::open(
            bridge.clone(),
            bridge.clone(),
            address,
            None,
        ));
    }
    let limit = Instant::now() + Duration::from_secs(60);
    for (index, port) in ports.iter().enumerate() {
        let own = Rc::clone(&answered);
        let ret = Ret::new(move |_: Option<Result<LoadReport, Error>>| own.set(own.get() + 1));
        port.load(&mut stakker, ret);
        while answered.get() <= index && Instant::now() < limit {
            stakker.run(Instant::now(), false);
            if inbox.drain(&mut stakker) == 0 {
                thread::sleep(Duration::from_micros(200));
            }
        }
    }
    assert_eq!(answered.get(), UPSTREAMS);
    while open.load(Ordering::SeqCst) > MAX_IDLE_CONNECTIONS && Instant::now() < limit {
        thread::sleep(Duration::from_millis(5));
    }
    let kept = open.load(Ordering::SeqCst);
    assert!(
        (1..=MAX_IDLE_CONNECTIONS).contains(&kept),
        "{kept} connections kept"
    );
}
