//! Many connections at once.

mod support;

use std::thread;
use support::*;

/// The connections of a burst.
const CONNECTIONS: usize = 200;

/// A node comes back and all clients connect at once and keep their connections open, as
/// balancers do. Some callers wait with no answer until somebody else hangs up: the library's
/// thread pool counts threads that it has woken already as idle, and queues more connections for
/// them than they can take.
#[test]
fn a_burst_of_lasting_connections_leaves_nobody_waiting() {
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
