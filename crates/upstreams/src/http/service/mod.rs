//! Implements the plain service port over HTTP.

use super::exchange::{CALL_TIMEOUT, Exchange, OutgoingCall, read_body, refusal};
use crate::service::{ServiceAnswer, ServiceCall, ServicePort};
use bluebell_base::prelude::*;
use bluebell_bridge::Bridge;
use stakker::{Core, Ret};
use std::rc::Rc;
use std::time::{Duration, Instant};
use ureq::http::Method;

/// The header with the request's id.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// The header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// The header with which a service reports, by the value `not_run`, that it refused a call without
/// effect. With any other value the answer is passed on as if the header were absent.
pub const VERDICT_HEADER: &str = "X-Verdict";

/// The path at which a service reports whether it accepts work.
const HEALTH_PATH: &str = "/healthz";

/// The port to one replica of a plain service over HTTP.
#[derive(Debug)]
pub struct HttpService {
    bridge: Bridge,
    exchange: Exchange,
}

impl HttpService {
    /// Opens the port to the replica at `address`. `bridge` needs one thread for each simultaneous
    /// call.
    pub fn open(bridge: Bridge, address: Address) -> Rc<dyn ServicePort> {
        Rc::new(Self {
            bridge,
            exchange: Exchange::open(address, None),
        })
    }
}

impl ServicePort for HttpService {
    fn call(&self, _core: &mut Core, call: ServiceCall, ret: Ret<Result<ServiceAnswer, Error>>) {
        let exchange = self.exchange.clone();
        let called_at = Instant::now();
        let job = move || run_call(&exchange, &call, called_at);
        self.bridge.call(job, too_many_calls, ret);
    }

    fn health(&self, _core: &mut Core, ret: Ret<Result<(), Error>>) {
        let exchange = self.exchange.clone();
        self.bridge
            .call(move || probe(&exchange), too_many_calls, ret);
    }
}

fn run_call(
    exchange: &Exchange,
    call: &ServiceCall,
    called_at: Instant,
) -> Result<ServiceAnswer, Error> {
    let timeout = Duration::from(call.timeout_ms).saturating_sub(called_at.elapsed());
    if timeout.is_zero() {
        let text = "the time for the call passed before it was sent";
        return Err(Error::not_run(ErrorKind::DeadlineExceeded, text));
    }
    let request = call.request.to_string();
    let mut headers = vec![(REQUEST_ID_HEADER, request.as_str())];
    if let Some(key) = &call.idempotency_key {
        headers.push((IDEMPOTENCY_KEY_HEADER, key.as_str()));
    }
    let mut answer = exchange.send(&OutgoingCall {
        method: method_of(call)?,
        path: &call.path,
        content_type: call.content_type.as_deref(),
        headers: &headers,
        body: &call.body,
        timeout,
        new_connection: true,
    })?;
    let header = answer.headers().get("Content-Type");
    let content_type = header.and_then(|value| value.to_str().ok()).map(Arc::from);
    let status = answer.status().as_u16();
    let verdict = answer.headers().get(VERDICT_HEADER);
    let refused = verdict.is_some_and(|verdict| verdict == Verdict::NotRun.as_str());
    let body = read_body(&mut answer)?;
    if refused {
        return Err(refusal(status, &body));
    }
    Ok(ServiceAnswer {
        status,
        content_type,
        body,
    })
}

fn probe(exchange: &Exchange) -> Result<(), Error> {
    let mut answer = exchange.send(&OutgoingCall {
        method: Method::GET,
        path: HEALTH_PATH,
        content_type: None,
        headers: &[],
        body: &[],
        timeout: CALL_TIMEOUT,
        new_connection: false,
    })?;
    let body = read_body(&mut answer)?;
    match answer.status().is_success() {
        true => Ok(()),
        false => Err(refusal(answer.status().as_u16(), &body)),
    }
}

fn method_of(call: &ServiceCall) -> Result<Method, Error> {
    let method = Method::from_bytes(call.method.as_bytes());
    method.map_err(|_| Error::not_run(ErrorKind::Invalid, "the method is none of HTTP"))
}

fn too_many_calls<T>() -> Result<T, Error> {
    let text = "too many calls to upstreams are waiting";
    Err(Error::not_run(ErrorKind::Overloaded, text))
}
