//! Prevents connections to a `tiny_http` server from waiting in the library's thread pool.
//!
//! The failure: in a burst of connections, `tiny_http`'s pool counts threads that were woken but have
//! not run yet as idle, and queues more connections than these threads can accept. A connection
//! left in the queue gets no answer until the connection of another thread closes, which may be
//! never behind a load balancer. Callers then time out while the node is idle.
//!
//! The guard opens a connection to the server and closes it at once. If no thread is idle, the pool
//! starts a new one for it, and a thread that has finished checks the queue, so each such connection
//! releases one that waits. The guard makes one after each request, at most every [`MIN_INTERVAL`],
//! so that each answered request of a burst releases the next. It makes one at least every
//! [`MAX_INTERVAL`], for connections queued behind silent ones.

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The minimum interval between two connections. It bounds the cost of the guard under load.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// The maximum interval between two connections, and the timeout of a connection. It bounds the time
/// that a queued connection waits.
const MAX_INTERVAL: Duration = Duration::from_millis(50);

/// The guard of a server. Its thread ends when the guard is dropped.
#[derive(Debug)]
pub struct PoolGuard {
    requests: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl PoolGuard {
    /// Starts the guard of the server that listens at `address`.
    ///
    /// # Errors
    /// Returns an error if the guard's thread can't be started.
    pub fn spawn(address: SocketAddr) -> io::Result<Self> {
        let (sender, requests) = bounded(1);
        let thread = thread::Builder::new()
            .name("pool-guard".into())
            .spawn(move || run(address, &requests))?;
        Ok(Self {
            requests: Some(sender),
            thread: Some(thread),
        })
    }

    /// Reports to the guard that the server returned a request. Never blocks.
    pub fn on_request(&self) {
        if let Some(requests) = &self.requests {
            // A full channel means that a report is already pending.
            let _ = requests.try_send(());
        }
    }
}

impl Drop for PoolGuard {
    fn drop(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the pool guard's thread panicked");
        }
    }
}

/// Makes connections until the guard drops its sender.
fn run(address: SocketAddr, requests: &Receiver<()>) {
    loop {
        match requests.recv_timeout(MAX_INTERVAL) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => (),
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if let Err(error) = connect_and_reset(address) {
            log::debug!("the pool guard can't connect to {address}: {error}");
        }
        thread::sleep(MIN_INTERVAL);
    }
}

/// Connects and closes at once, with a reset, so that no port remains in TIME_WAIT.
fn connect_and_reset(address: SocketAddr) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, MAX_INTERVAL)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}
