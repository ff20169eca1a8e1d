//! Many simultaneous connections.

mod support;

use std::thread;
use support::*;

/// The number of connections in a burst.
const CONNECTIONS: usize = 200;

/// A node restarts, and all clients connect at once and keep their connections open, as load
/// balancers do. Guards against callers that receive no answer until another one hangs up: the
/// library's thread pool counts threads that it has already woken as idle, and queues more
/// connections for them than they can serve.
#[test]
fn burst_of_persistent_connections_is_answered() {
    let node = Node::callers(|_| ());
    let address = node.address;
    for _ in 0..5 {
        let clients = (0..CONNECTIONS).map(|_| {
            thread::spawn(move || Client::send(address, b"GET /healthz HTTP/1.1\r\n\r\n"))
        });
        let clients: Vec<_> = clients.collect();
        let lasting: Vec<Client> = clients
            .into_iter()
            .map(|client| {
                let mut client = client.join().expect("no panic");
                client.read_until("\"ok\"");
                client
            })
            .collect();
        assert_eq!(lasting.len(), CONNECTIONS);
    }
}
