//! What the stand-ins that run as processes share: a listener on `tiny_http`, JSON answers and
//! registration with the platform's list of VMs.
//!
//! Invariants: every request is handled on a thread of its own, so that one that hangs holds up
//! no other; dropping the [`Listening`] handle ends the listener.

mod answer;
mod register;

pub use answer::{EventWriter, break_off, error, json, read_body, read_json};
pub use register::{Registration, register};

use crate::listen;
use bluebell_pool_guard::PoolGuard;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use tiny_http::{Request, Server};

/// The stack of a thread that handles one request, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// A running listener.
#[derive(Debug)]
pub struct Listening {
    server: Arc<ServerHandle>,
    address: SocketAddr,
}

struct ServerHandle(Server);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Server")
    }
}

impl Listening {
    /// Listens on `address` and hands each request to `handle`, on a thread of its own.
    ///
    /// # Errors
    /// Where the address can't be listened on.
    pub fn bind(
        address: &str,
        handle: impl Fn(Request) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = listen::bind(address)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(ServerHandle(server));
        let accepting = Arc::clone(&server);
        let guard = PoolGuard::spawn(address)?;
        let handle = Arc::new(handle);
        thread::Builder::new()
            .name("accept".into())
            .spawn(move || accept(&accepting.0, &guard, &handle))?;
        Ok(Self { server, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.server.0.unblock();
    }
}

fn accept(
    server: &Server,
    guard: &PoolGuard,
    handle: &Arc<impl Fn(Request) + Send + Sync + 'static>,
) {
    while let Ok(request) = server.recv() {
        guard.on_request();
        let handle = Arc::clone(handle);
        let spawned = thread::Builder::new()
            .name("request".into())
            .stack_size(STACK_BYTES)
            .spawn(move || handle(request));
        if let Err(error) = spawned {
            log::warn!("no thread for a request: {error}");
        }
    }
}
