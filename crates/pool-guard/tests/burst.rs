//! The guard with a `tiny_http` server.

use bluebell_pool_guard::PoolGuard;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tiny_http::{Response, Server};

/// The number of connections in the burst.
const CONNECTIONS: usize = 100;

/// The maximum wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(20);

fn send_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is set");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .expect("the connection is open");
    stream
}

/// Many callers connect at once and stay connected. Without the guard some of them get no answer
/// until others disconnect, because the library queues their connections for busy threads.
#[test]
fn a_burst_of_persistent_connections_is_answered() {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("the server listens on a free port"));
    let address = server
        .server_addr()
        .to_ip()
        .expect("the server has an IP address");
    let guard = PoolGuard::spawn(address).expect("the guard's thread starts");
    let responding = Arc::clone(&server);
    let responder = thread::spawn(move || {
        while let Ok(request) = responding.recv() {
            guard.on_request();
            request
                .respond(Response::from_string("ok"))
                .expect("the response is sent");
        }
    });
    let clients: Vec<JoinHandle<TcpStream>> = (0..CONNECTIONS)
        .map(|_| thread::spawn(move || send_request(address)))
        .collect();
    let mut connections: Vec<TcpStream> = clients
        .into_iter()
        .map(|client| client.join().expect("no panic"))
        .collect();
    for stream in &mut connections {
        let mut status = [0; 12];
        stream.read_exact(&mut status).expect("an answer arrives");
        assert_eq!(&status, b"HTTP/1.1 200");
    }
    server.unblock();
    responder.join().expect("no panic");
}
