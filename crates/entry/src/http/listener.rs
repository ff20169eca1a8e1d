//! Listening with `tiny_http`: the socket's options, the thread that takes requests, and stopping.

use crate::http::workers::Workers;
use crate::settings::BindError;
use bluebell_base::prelude::*;
use bluebell_pool_guard::PoolGuard;
use socket2::{SockRef, TcpKeepalive};
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tiny_http::{Request, Server};

/// How long the taking thread waits after the system refused a connection.
const AFTER_ACCEPT_ERROR: Duration = Duration::from_millis(200);

/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// How long a connection is silent before the system probes it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);

/// The time between two probes of a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// How many probes may go unanswered.
const KEEPALIVE_PROBES: u32 = 3;

/// Handles a request on a worker thread.
pub(crate) type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// A listening interface.
pub(crate) struct Listener {
    address: SocketAddr,
    shared: Arc<Shared>,
    takers: Vec<JoinHandle<()>>,
}

struct Shared {
    name: &'static str,
    socket: TcpListener,
    stopping: AtomicBool,
    handler: Handler,
    workers: Workers,
    pool_guard: PoolGuard,
    servers: Mutex<Vec<Arc<Server>>>,
}

impl Listener {
    /// Listens at `address` and hands requests to `handler`.
    pub(crate) fn bind(
        name: &'static str,
        address: &Address,
        write_timeout_ms: SpanMs,
        handler: Handler,
    ) -> Result<Self, BindError> {
        let failed = |reason: String| BindError::Listen {
            address: address.clone(),
            reason: reason.into(),
        };
        let socket = TcpListener::bind(address.as_str()).map_err(|e| failed(e.to_string()))?;
        set_options(&socket, write_timeout_ms).map_err(|e| failed(e.to_string()))?;
        let bound = socket.local_addr().map_err(|e| failed(e.to_string()))?;
        let shared = Arc::new(Shared {
            name,
            socket,
            stopping: AtomicBool::new(false),
            handler,
            workers: Workers::open(name),
            pool_guard: PoolGuard::spawn(bound).map_err(|e| failed(e.to_string()))?,
            servers: Default::default(),
        });
        let taker = Shared::serve(&shared).map_err(|e| failed(e.to_string()))?;
        Ok(Self {
            address: bound,
            shared,
            takers: vec![taker],
        })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops taking requests; those in progress go on.
    pub(crate) fn stop(self) {
        self.shared.stopping.store(true, Ordering::Release);
        let mut servers = self
            .shared
            .servers
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        for server in servers.drain(..) {
            server.unblock();
        }
        drop(servers);
        for taker in self.takers {
            if taker.join().is_err() {
                log::error!("the thread that takes requests panicked");
            }
        }
    }
}

/// Sets the options that accepted connections inherit from the listening socket.
///
/// - No delay: without it a small event waits for the acknowledgement of the one before.
/// - Write timeout: `tiny_http` sets none and hands no socket out, so a caller that stops reading
///   would hold its thread for good; a write that times out counts as a hang-up.
/// - Keepalive: there is no read timeout either, so a caller whose VM vanishes in the middle of its
///   upload would hold its part of the limits for good; the system's probes end the connection.
/// - Backlog: the standard library's is 128; callers beyond it in a burst would wait a second and
///   more for their next try to connect.
fn set_options(socket: &TcpListener, write_timeout_ms: SpanMs) -> std::io::Result<()> {
    let options = SockRef::from(socket);
    options.listen(BACKLOG)?;
    options.set_tcp_nodelay(true)?;
    options.set_tcp_keepalive(&keepalive())?;
    options.set_write_timeout(Some(write_timeout_ms.into()))
}

/// A connection that answers no probe is given up a minute after its last byte.
fn keepalive() -> TcpKeepalive {
    TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES)
}

impl Shared {
    /// Starts a server on the socket, and the thread that takes its requests.
    fn serve(shared: &Arc<Shared>) -> std::io::Result<JoinHandle<()>> {
        let socket = shared.socket.try_clone()?;
        let server = Server::from_listener(socket, None).map_err(std::io::Error::other)?;
        let server = Arc::new(server);
        let mut servers = shared.servers.lock().unwrap_or_else(|e| e.into_inner());
        servers.push(Arc::clone(&server));
        drop(servers);
        let own = Arc::clone(shared);
        thread::Builder::new()
            .name(shared.name.into())
            .spawn(move || own.take_all(&server))
    }

    fn take_all(self: &Arc<Self>, server: &Server) {
        while !self.stopping.load(Ordering::Acquire) {
            match server.recv() {
                Ok(request) => self.hand_over(request),
                Err(error) => self.after_error(&error),
            }
        }
    }

    fn hand_over(&self, request: Request) {
        self.pool_guard.on_request();
        let handler = Arc::clone(&self.handler);
        self.workers.run(Box::new(move || handler(request)));
    }

    /// Guards against deafness: `tiny_http` ends its accepting thread for good at the first error
    /// of `accept`, such as too many open files, and the node would never take a connection
    /// again. A new server on the same socket accepts; this one goes on with the connections it
    /// has.
    fn after_error(self: &Arc<Self>, error: &std::io::Error) {
        if self.stopping.load(Ordering::Acquire) {
            return;
        }
        log::error!("{}: a connection could not be accepted: {error}", self.name);
        while !self.stopping.load(Ordering::Acquire) {
            thread::sleep(AFTER_ACCEPT_ERROR);
            match Shared::serve(self) {
                Ok(_) => return,
                Err(error) => log::error!("{}: can't listen again: {error}", self.name),
            }
        }
    }
}
