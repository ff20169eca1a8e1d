//! The platform behind HTTP, on threads of its own.
//!
//! Terms: *operator calls* (`/faults`, `/vms` and `/weights` by POST, `/stats`) set it up and look
//! into it; faults do not strike them.

mod routes;

use super::faults::Fate;
use super::model::{PlatformModel, PlatformSettings};
use crate::listen::listen;
use bluebell_base::prelude::*;
use bluebell_pool_guard::PoolGuard;
use routes::{Answer, Call};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tiny_http::{Header, Request, Response, Server};

/// Threads that take calls.
const WORKERS: usize = 4;
/// The most calls that are held unanswered; beyond it the oldest is broken off.
const FROZEN_CALLS: usize = 256;
/// The largest body that is read.
const BODY_BYTES: u64 = 16 * 1024 * 1024;
/// The longest a stop waits for the listener to close.
const CLOSING: Duration = Duration::from_secs(10);
/// The time between two looks whether it is closed.
const CLOSING_STEP: Duration = Duration::from_millis(1);
/// An answer that breaks off: the client sees a malformed chunk and closes the connection.
const BROKEN_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nbroken\r\n";

/// A running platform.
#[derive(Debug)]
pub struct PlatformServer {
    shared: Arc<Shared>,
    address: Address,
    workers: Vec<JoinHandle<()>>,
}

struct Shared {
    /// Dropped before the server that it connects to.
    pool_guard: PoolGuard,
    http: Server,
    model: Mutex<PlatformModel>,
    frozen: Mutex<Vec<Request>>,
    clock: Clock,
}

/// Wall time that never goes back: retention and rates must not follow a clock that is set.
#[derive(Clone, Copy, Debug)]
struct Clock {
    started: Instant,
    started_ms: u64,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

impl PlatformServer {
    /// Serves an empty platform at `addr`, such as `127.0.0.1:0`.
    ///
    /// # Errors
    /// Those of listening at the address.
    pub fn bind(addr: &str, settings: PlatformSettings) -> io::Result<Self> {
        let http = listen(addr)?;
        let bound = http.server_addr().to_ip();
        let bound = bound.ok_or_else(|| io::Error::other("not an IP address"))?;
        let clock = Clock::start();
        let shared = Arc::new(Shared {
            pool_guard: PoolGuard::spawn(bound)?,
            http,
            model: Mutex::new(PlatformModel::new(settings, clock.now_ms())),
            frozen: Mutex::default(),
            clock,
        });
        let spawn = |i| {
            let own = Arc::clone(&shared);
            let thread = thread::Builder::new().name(format!("platform-{i}"));
            thread.spawn(move || own.run())
        };
        Ok(Self {
            address: Address(bound.to_string().into()),
            workers: (0..WORKERS).map(spawn).collect::<io::Result<_>>()?,
            shared,
        })
    }

    /// Where it is reached.
    pub fn address(&self) -> Address {
        self.address.clone()
    }

    /// Looks into or changes its state; `change` is told the platform's time.
    pub fn with_model<T>(&self, change: impl FnOnce(&mut PlatformModel, WallMs) -> T) -> T {
        change(&mut self.shared.model(), self.shared.clock.now_ms())
    }

    /// Stops serving: new connections are refused.
    ///
    /// Connections that are open already stay so, unanswered, until their clients close them;
    /// only the end of a process closes them, too.
    pub fn stop(self) {
        for _ in &self.workers {
            self.shared.http.unblock();
        }
        for worker in self.workers {
            if worker.join().is_err() {
                log::error!("a thread of the platform stand-in panicked");
            }
        }
        drop(self.shared);
        wait_until_refused(&self.address);
    }
}

/// Waits until nothing listens at the address, at most [`CLOSING`].
///
/// The HTTP library closes its listener on a thread of its own some time after the server is
/// dropped. A client that connects in between is taken into the listener's backlog and reset,
/// which it must report as "may have run"; whoever stopped the platform expects a refusal.
fn wait_until_refused(address: &Address) {
    let begun = Instant::now();
    while begun.elapsed() < CLOSING && TcpStream::connect(address.as_str()).is_ok() {
        thread::sleep(CLOSING_STEP);
    }
}

impl Clock {
    fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: Instant::now(),
            started_ms: since.unwrap_or(Duration::ZERO).as_millis() as u64,
        }
    }

    fn now_ms(self) -> WallMs {
        WallMs(self.started_ms + self.started.elapsed().as_millis() as u64)
    }
}

impl Shared {
    fn model(&self) -> MutexGuard<'_, PlatformModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(self: Arc<Self>) {
        // An error of `recv` is the wake-up of `stop`.
        while let Ok(mut request) = self.http.recv() {
            self.pool_guard.on_request();
            match self.parse(&mut request) {
                Ok(call) => self.take(request, call),
                Err(error) => respond(request, &Answer::error(&error)),
            }
        }
    }

    fn parse(&self, request: &mut Request) -> Result<Call, Error> {
        let call = routes::parse(request)?;
        if call.operation().is_some() {
            self.check_credential(request)?;
        }
        Ok(call)
    }

    fn check_credential(&self, request: &Request) -> Result<(), Error> {
        let wanted = self.model().settings().credential.clone();
        let Some(wanted) = wanted else {
            return Ok(());
        };
        let mut headers = request.headers().iter();
        let shown = headers.find(|header| header.field.equiv("authorization"));
        if shown.is_some_and(|h| h.value.as_str() == format!("Bearer {wanted}")) {
            return Ok(());
        }
        let message = "the platform needs its credential";
        Err(Error::not_run(ErrorKind::Unauthenticated, message))
    }

    fn take(self: &Arc<Self>, request: Request, call: Call) {
        let fate = match call.operation() {
            Some(operation) => self.model().faults.fate(operation, None),
            None => Fate::default(),
        };
        if fate.freeze {
            return self.freeze(request);
        }
        if fate.slow_ms == SpanMs::ZERO {
            return self.finish(request, call, fate);
        }
        let own = Arc::clone(self);
        let late = move || {
            thread::sleep(fate.slow_ms.into());
            own.finish(request, call, fate);
        };
        // A thread of its own, so that slow calls don't hold back operator calls.
        let spawned = thread::Builder::new()
            .name("platform-slow".into())
            .spawn(late);
        if let Err(error) = spawned {
            log::warn!("no thread for a slow call, it is dropped: {error}");
        }
    }

    fn freeze(&self, request: Request) {
        let mut frozen = self.frozen.lock().unwrap_or_else(PoisonError::into_inner);
        if frozen.len() >= FROZEN_CALLS {
            frozen.remove(0);
        }
        frozen.push(request);
    }

    fn finish(&self, request: Request, call: Call, fate: Fate) {
        if fate.down {
            let error = Error::not_run(ErrorKind::Unavailable, "the platform is down");
            return respond(request, &Answer::error(&error));
        }
        let answer = call.apply(&mut self.model(), self.clock.now_ms(), fate);
        if fate.lose_answer {
            return break_off(request);
        }
        respond(request, &answer);
    }
}

fn respond(request: Request, answer: &Answer) {
    let response = Response::from_data(answer.body.clone()).with_status_code(answer.status);
    let json = Header::from_bytes("content-type", "application/json");
    let response = json.into_iter().fold(response, Response::with_header);
    if let Err(error) = request.respond(response) {
        log::debug!("the platform stand-in's client went away: {error}");
    }
}

fn break_off(request: Request) {
    let mut writer = request.into_writer();
    let written = writer.write_all(BROKEN_ANSWER);
    if let Err(error) = written.and_then(|()| writer.flush()) {
        log::debug!("the platform stand-in's client went away: {error}");
    }
}
