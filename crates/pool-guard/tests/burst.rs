//! The guard beside a bare server.

use bluebell_pool_guard::PoolGuard;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tiny_http::{Response, Server};

/// The connections of the burst.
const CONNECTIONS: usize = 100;

/// Generous bound on the wait for an answer.
const PATIENCE: Duration = Duration::from_secs(20);

fn ask(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("it takes a timeout");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .expect("it is open");
    stream
}

/// Many callers connect at once and stay connected. Without the guard some of them get no answer
/// until others hang up, because the library queues their connections for threads that are taken.
#[test]
fn a_burst_of_lasting_connections_is_answered() {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("port 0 can be listened at"));
    let address = server.server_addr().to_ip().expect("it has an address");
    let guard = PoolGuard::spawn(address).expect("a thread can be had");
    let taken = Arc::clone(&server);
    let taker = thread::spawn(move || {
        while let Ok(request) = taken.recv() {
            guard.on_request();
            request
                .respond(Response::from_string("ok"))
                .expect("it can be answered");
        }
    });
    let clients: Vec<JoinHandle<TcpStream>> = (0..CONNECTIONS)
        .map(|_| thread::spawn(move || ask(address)))
        .collect();
    let mut lasting: Vec<TcpStream> = clients
        .into_iter()
        .map(|client| client.join().expect("no panic"))
        .collect();
    for stream in &mut lasting {
        let mut status = [0; 12];
        stream.read_exact(&mut status).expect("an answer arrives");
        assert_eq!(&status, b"HTTP/1.1 200");
    }
    server.unblock();
    taker.join().expect("no panic");
}
