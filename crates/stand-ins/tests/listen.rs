//! Listening without Nagle's algorithm.

use bluebell_stand_ins::listen::bind;
use std::net::TcpStream;

#[test]
fn accepted_connections_send_at_once() {
    // A client reads an answer of a few KB, or a stream of events, over a kept-alive connection:
    // each comes some 40 ms late, because the kernel holds back the later of two writes.
    let listener = bind("127.0.0.1:0").unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    assert!(accepted.nodelay().unwrap());
}
