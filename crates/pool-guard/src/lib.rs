//! Keeps connections to a `tiny_http` server from waiting in the library's thread pool.
//!
//! The failure: in a burst of connections, `tiny_http`'s pool takes threads that it has woken, but
//! that have not run yet, for idle ones, and queues more connections for them than they can take.
//! A connection left in the queue gets no answer until the connection of some other thread
//! closes, which behind a balancer may be never. It shows as callers that time out while the node
//! is idle.
//!
//! The guard: a connection of the node's own that is closed at once. Where no thread is idle the
//! pool starts a new one for it, and a thread that is done looks into the queue, so each such
//! connection frees one that waits. One is made after each request, at most every
//! [`SHORTEST_GAP`], so that a burst frees itself like a chain; and one at least every
//! [`LONGEST_GAP`], for queued connections behind silent ones.

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The shortest time between two connections; bounds what the guard costs under load.
const SHORTEST_GAP: Duration = Duration::from_millis(5);

/// The longest time between two connections; bounds how long a connection waits.
const LONGEST_GAP: Duration = Duration::from_millis(50);

/// The guard of one server; ends when dropped.
#[derive(Debug)]
pub struct PoolGuard {
    seen: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl PoolGuard {
    /// Starts the guard of the server that listens at `address`.
    ///
    /// # Errors
    /// Where no thread can be started.
    pub fn spawn(address: SocketAddr) -> io::Result<Self> {
        let (sender, seen) = bounded(1);
        let thread = thread::Builder::new()
            .name("pool-guard".into())
            .spawn(move || run(address, &seen))?;
        Ok(Self {
            seen: Some(sender),
            thread: Some(thread),
        })
    }

    /// Tells the guard that the server handed a request out; never blocks.
    pub fn on_request(&self) {
        if let Some(seen) = &self.seen {
            // One that is already told of a request needs no second word.
            let _ = seen.try_send(());
        }
    }
}

impl Drop for PoolGuard {
    fn drop(&mut self) {
        self.seen = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the guard of the library's thread pool panicked");
        }
    }
}

/// Makes connections until every sender is gone.
fn run(address: SocketAddr, seen: &Receiver<()>) {
    loop {
        match seen.recv_timeout(LONGEST_GAP) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => (),
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if let Err(error) = touch(address) {
            log::debug!("{address}: the pool guard can't connect: {error}");
        }
        thread::sleep(SHORTEST_GAP);
    }
}

/// Connects and closes at once, with a reset, so that no port is kept waiting afterwards.
fn touch(address: SocketAddr) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, LONGEST_GAP)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}
