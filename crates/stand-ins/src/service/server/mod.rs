//! The stand-in plain service as a process.
//!
//! Beside the service's own paths there are `GET /healthz`, `GET|POST /faults` for the switches,
//! `GET /stats` for the effects and `GET /runs` for those of each key; the last three answer
//! whatever the switches say.

use super::model::{ServiceModel, ServiceSettings, ServiceStats};
use crate::faults::FaultSwitches;
use crate::serve::{self, Listening, Registration};
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmState};
use bluebell_upstreams::ServiceCall;
use bluebell_upstreams::http::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER};
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use tiny_http::{Method, Request, Response};

/// How often a frozen call looks whether it is thawed.
const FREEZE_TICK: Duration = Duration::from_millis(50);

/// How long a call without a readable timeout may take; only the caller's own limit counts.
const UNLIMITED: SpanMs = SpanMs(u64::MAX);

/// When a refused call may come back.
const RETRY_AFTER_MS: SpanMs = SpanMs(1000);

/// A running stand-in service; dropping it ends it.
#[derive(Debug)]
pub struct ServiceServer {
    listening: Listening,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    model: ServiceModel,
    faults: FaultSwitches,
    stopped: bool,
}

impl ServiceServer {
    /// Serves a service on `address`; port 0 lets the system pick one.
    ///
    /// # Errors
    /// Where the address can't be listened on or no thread be started.
    pub fn bind(
        address: &str,
        settings: ServiceSettings,
        faults: FaultSwitches,
    ) -> io::Result<Self> {
        let state = State {
            model: ServiceModel::new(settings),
            faults,
            stopped: false,
        };
        let state = Arc::new(Mutex::new(state));
        let handled = Arc::clone(&state);
        let listening = Listening::bind(address, move |request| handle(&handled, request))?;
        Ok(Self { listening, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address()
    }

    /// Registers it with the platform's list of VMs every `interval`, as leaving where its switch
    /// says so; until the handle is dropped.
    pub fn register(&self, platform: Address, entry: VmEntry, interval: Duration) -> Registration {
        let state = Arc::clone(&self.state);
        serve::register(platform, entry, interval, move || {
            match lock(&state).faults.leaving {
                true => VmState::Leaving,
                false => VmState::Live,
            }
        })
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: FaultSwitches) {
        lock(&self.state).faults = faults;
    }

    /// What was counted.
    pub fn stats(&self) -> ServiceStats {
        lock(&self.state).model.stats()
    }
}

impl Drop for ServiceServer {
    fn drop(&mut self) {
        lock(&self.state).stopped = true;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle(state: &Mutex<State>, mut request: Request) {
    let method = request.method().clone();
    match (&method, request.url()) {
        (Method::Get, "/stats") => {
            let stats = lock(state).model.stats();
            serve::json(request, 200, &stats, &[]);
        }
        (Method::Get, "/runs") => {
            let effects = lock(state).model.all_effects();
            serve::json(request, 200, &effects, &[]);
        }
        (Method::Get, "/faults") => {
            let faults = lock(state).faults.clone();
            serve::json(request, 200, &faults, &[]);
        }
        (Method::Post, "/faults") => match serve::read_json::<FaultSwitches>(&mut request) {
            Ok(faults) => {
                lock(state).faults = faults.clone();
                serve::json(request, 200, &faults, &[]);
            }
            Err(error) => serve::error(request, &error, &[]),
        },
        _ => handle_call(state, request),
    }
}

fn handle_call(state: &Mutex<State>, mut request: Request) {
    let health = request.url() == "/healthz";
    let call = decode(&mut request);
    let Some(faults) = pass_gate(state) else {
        return serve::break_off(request);
    };
    if faults.leaving {
        let error = Error::not_run(ErrorKind::Unavailable, "the service is leaving");
        let error = error.retry_after(RETRY_AFTER_MS);
        let verdict = [(VERDICT_HEADER, error.verdict.as_str())];
        return serve::error(request, &error, &verdict);
    }
    if health {
        return serve::json(request, 200, &"ok", &[]);
    }
    let call = match call {
        Ok(call) => call,
        Err(error) => {
            let verdict = [(VERDICT_HEADER, error.verdict.as_str())];
            return serve::error(request, &error, &verdict);
        }
    };
    let work_ms = lock(state).model.settings().work_ms;
    thread::sleep(Duration::from(work_ms.mul_f64(faults.slow_factor)));
    let answer = lock(state).model.call(&call);
    thread::sleep(Duration::from(faults.delay_ms));
    if faults.lose_answer {
        return serve::break_off(request);
    }
    let mut response = Response::from_data(answer.body).with_status_code(answer.status);
    let content_type = answer.content_type.as_deref().unwrap_or_default();
    if let Ok(header) = tiny_http::Header::from_bytes("Content-Type", content_type) {
        response.add_header(header);
    }
    if let Err(error) = request.respond(response) {
        log::debug!("the caller is gone: {error}");
    }
}

/// Waits while the service is frozen; none where the call must break off without effect.
fn pass_gate(state: &Mutex<State>) -> Option<FaultSwitches> {
    loop {
        let state = lock(state);
        if state.stopped || state.faults.down {
            return None;
        }
        if !state.faults.freeze {
            return Some(state.faults.clone());
        }
        drop(state);
        thread::sleep(FREEZE_TICK);
    }
}

fn decode(request: &mut Request) -> Result<ServiceCall, Error> {
    let header = |name: &'static str| {
        let mut headers = request.headers().iter();
        let header = headers.find(|header| header.field.equiv(name));
        header.map(|header| header.value.as_str().to_owned())
    };
    let invalid = || Error::not_run(ErrorKind::Invalid, "the call has no valid request id");
    let id = header(REQUEST_ID_HEADER).ok_or_else(invalid)?;
    let id: RequestId = id.parse().map_err(|_| invalid())?;
    let idempotency_key = header(IDEMPOTENCY_KEY_HEADER);
    let content_type = header("Content-Type");
    Ok(ServiceCall {
        request: id,
        method: request.method().to_string().into(),
        path: request.url().into(),
        content_type: content_type.map(Arc::from),
        body: serve::read_body(request)?,
        idempotency_key: idempotency_key.map(|key| IdempotencyKey::from(key.as_str())),
        timeout_ms: UNLIMITED,
    })
}
