//! Listening without Nagle's algorithm.

use bluebell_stand_ins::listen::bind;
use std::net::TcpStream;
use std::time::Duration;

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
