//! Listening: without Nagle's algorithm, and for bursts of connections.

use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_stand_ins::listen::bind;
use bluebell_stand_ins::platform::{PlatformServer, PlatformSettings};
use bluebell_stand_ins::service::{ServiceServer, ServiceSettings};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The connections of a burst that stay open.
const CONNECTIONS: usize = 100;

/// Generous bound on the wait for an answer.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
fn accepted_connections_send_at_once() {
    // A client reads an answer of a few KB, or a stream of events, over a kept-alive connection:
    // each comes some 40 ms late, because the kernel holds back the later of two writes.
    let listener = bind("127.0.0.1:0").unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    assert!(accepted.nodelay().unwrap());
}

#[test]
fn a_burst_of_connections_waits_to_be_accepted() {
    // Many nodes call one upstream at the same moment: some calls fail with a timeout of their
    // connection, although the upstream is idle, because the kernel keeps only so many connections
    // that nobody has accepted yet.
    const BURST: usize = 300;
    // The kernel's second try comes after a second: only connections of the first try count.
    const FIRST_TRY: Duration = Duration::from_millis(900);
    let listener = bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, FIRST_TRY).ok();
    let connected: Vec<_> = (0..BURST).map_while(connect).collect();
    assert_eq!(connected.len(), BURST);
}

fn ask(address: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("it takes a timeout");
    stream
        .write_all(b"GET /stats HTTP/1.1\r\nhost: stand-in\r\n\r\n")
        .expect("it is open");
    stream
}

/// Asks on many connections at once that all stay open.
fn burst(address: &str) {
    let clients: Vec<JoinHandle<TcpStream>> = (0..CONNECTIONS)
        .map(|_| address.to_owned())
        .map(|address| thread::spawn(move || ask(&address)))
        .collect();
    let streams = clients
        .into_iter()
        .map(|client| client.join().expect("no panic"));
    let mut lasting: Vec<TcpStream> = streams.collect();
    for stream in &mut lasting {
        let mut status = [0; 12];
        stream.read_exact(&mut status).expect("an answer arrives");
        assert_eq!(&status, b"HTTP/1.1 200");
    }
}

/// Many nodes call an upstream at the same moment and keep their connections. Some calls get no
/// answer until their timeout although the upstream is idle, because the HTTP library queues
/// their connections for threads that are taken.
#[test]
fn a_burst_of_lasting_connections_is_answered_by_an_upstream() {
    let settings = ServiceSettings::default();
    let faults = FaultSwitches::default();
    let server = ServiceServer::bind("127.0.0.1:0", settings, faults).expect("a free port");
    burst(&server.address().to_string());
}

/// The same at the platform, where a call that gets no answer costs a node its lease.
#[test]
fn a_burst_of_lasting_connections_is_answered_by_the_platform() {
    let settings = PlatformSettings::default();
    let server = PlatformServer::bind("127.0.0.1:0", settings).expect("a free port");
    burst(server.address().as_str());
}
