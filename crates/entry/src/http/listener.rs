//! Listens with `tiny_http`: sets the socket's options, receives requests on a thread of its own,
//! and stops.

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

/// The pause of the receiving thread after the system failed to accept a connection.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(200);

/// The maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// The silence on a connection after which the system probes it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);

/// The interval between two probes of a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// The number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// A function that handles a request on a worker thread.
pub(crate) type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// A listening interface.
pub(crate) struct Listener {
    address: SocketAddr,
    shared: Arc<Shared>,
    receivers: Vec<JoinHandle<()>>,
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
    /// Listens at `address` and passes requests to `handler`.
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
        let receiver = Shared::serve(&shared).map_err(|e| failed(e.to_string()))?;
        Ok(Self {
            address: bound,
            shared,
            receivers: vec![receiver],
        })
    }

    /// Returns the address that it listens at.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests. Requests in progress continue.
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
        for receiver in self.receivers {
            if receiver.join().is_err() {
                log::error!("the thread that receives requests panicked");
            }
        }
    }
}

/// Sets the options that accepted connections inherit from the listening socket.
///
/// - No delay: without it a small event waits until the previous one is acknowledged.
/// - Write timeout: `tiny_http` sets none and doesn't expose the socket, so a caller that stops
///   reading would hold its thread forever. A write that times out counts as a hang-up.
/// - Keepalive: there is no read timeout either, so a caller whose VM vanishes during its upload
///   would hold its part of the limits forever. The system's probes end the connection.
/// - Backlog: the standard library sets 128. In a burst, callers beyond that would wait a second or
///   more before their next connection attempt.
fn set_options(socket: &TcpListener, write_timeout_ms: SpanMs) -> std::io::Result<()> {
    let options = SockRef::from(socket);
    options.listen(BACKLOG)?;
    options.set_tcp_nodelay(true)?;
    options.set_tcp_keepalive(&keepalive())?;
    options.set_write_timeout(Some(write_timeout_ms.into()))
}

/// Returns the keepalive settings. A connection that answers no probe is closed one minute after
/// its last byte.
fn keepalive() -> TcpKeepalive {
    TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES)
}

impl Shared {
    /// Starts a server on the socket and the thread that receives its requests.
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
            .spawn(move || own.receive_all(&server))
    }

    fn receive_all(self: &Arc<Self>, server: &Server) {
        while !self.stopping.load(Ordering::Acquire) {
            match server.recv() {
                Ok(request) => self.dispatch(request),
                Err(error) => self.restart_after_error(&error),
            }
        }
    }

    fn dispatch(&self, request: Request) {
        self.pool_guard.on_request();
        let handler = Arc::clone(&self.handler);
        self.workers.run(Box::new(move || handler(request)));
    }

    /// Starts a new server on the same socket after an error of `accept`.
    ///
    /// `tiny_http` ends its accepting thread permanently at the first error of `accept`, such as
    /// too many open files. Without a new server the node would never accept a connection again.
    /// The old server continues to serve its open connections.
    fn restart_after_error(self: &Arc<Self>, error: &std::io::Error) {
        if self.stopping.load(Ordering::Acquire) {
            return;
        }
        log::error!("{}: a connection could not be accepted: {error}", self.name);
        while !self.stopping.load(Ordering::Acquire) {
            thread::sleep(ACCEPT_ERROR_PAUSE);
            match Shared::serve(self) {
                Ok(_) => return,
                Err(error) => log::error!("{}: can't listen again: {error}", self.name),
            }
        }
    }
}
