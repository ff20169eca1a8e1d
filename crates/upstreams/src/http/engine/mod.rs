//! Implements the engine port over HTTP.

use super::exchange::{CALL_TIMEOUT, Exchange, JSON, OutgoingCall};
use super::stream::{self, StreamCall, Subject};
use super::wire::{CancelCall, OrderCall, TransferCall};
use crate::engine::{
    CacheEvents, CancelAnswer, EngineOrder, EnginePort, Event, Generate, Hold, LoadReport,
    OrderAnswer, Reserve, Resume, StreamState,
};
use bluebell_base::prelude::*;
use bluebell_bridge::Bridge;
use serde::Serialize;
use serde::de::DeserializeOwned;
use stakker::{Core, Fwd, Ret};
use std::rc::Rc;
use std::time::{Duration, Instant};
use ureq::http::Method;

/// The time that a stream is read beyond its deadline, so that the engine's own last event is
/// received.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

/// The maximum time that a resumed stream is read. Only the engine knows the deadline of such a
/// stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3600);

/// The timeout of a transfer between two engines.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(60);

/// The port to one model engine over HTTP.
#[derive(Debug)]
pub struct HttpEngine {
    streams: Bridge,
    calls: Bridge,
    exchange: Exchange,
}

impl HttpEngine {
    /// Opens the port to the engine at `address`.
    ///
    /// `streams` needs one thread for each simultaneous stream, over all engines that share it.
    /// `calls` carries the short calls, which never wait behind streams.
    pub fn open(
        streams: Bridge,
        calls: Bridge,
        address: Address,
        credential: Option<Arc<str>>,
    ) -> Rc<dyn EnginePort> {
        Rc::new(Self {
            streams,
            calls,
            exchange: Exchange::open(address, credential),
        })
    }

    /// Runs one stream on an I/O thread, where `prepare` builds its path, body and time limit.
    fn stream(
        &self,
        subject: Subject,
        events: Fwd<Event>,
        prepare: impl FnOnce() -> Result<StreamCall, Error> + Send + 'static,
    ) {
        let exchange = self.exchange.clone();
        let job = move |sender: bluebell_bridge::EventSender<Event>| {
            stream::run(&exchange, prepare(), subject, |event| sender.send(event));
        };
        if !self.streams.stream(job, events.clone()) {
            let error = Error::not_run(ErrorKind::Overloaded, "too many streams are open");
            events.fwd(subject.failed(error));
        }
    }

    fn get<T: DeserializeOwned + Send + 'static>(&self, path: String, ret: Ret<Result<T, Error>>) {
        self.short_call(Method::GET, path, None::<()>, ret);
    }

    fn post<T: DeserializeOwned + Send + 'static>(
        &self,
        path: String,
        body: impl Serialize + Send + 'static,
        ret: Ret<Result<T, Error>>,
    ) {
        self.short_call(Method::POST, path, Some(body), ret);
    }

    fn short_call<T: DeserializeOwned + Send + 'static>(
        &self,
        method: Method,
        path: String,
        body: Option<impl Serialize + Send + 'static>,
        ret: Ret<Result<T, Error>>,
    ) {
        let exchange = self.exchange.clone();
        let job = move || exchange_json(&exchange, method, &path, body, CALL_TIMEOUT);
        self.calls.call(job, too_many_calls, ret);
    }
}

impl EnginePort for HttpEngine {
    fn generate(&self, _core: &mut Core, call: Generate, events: Fwd<Event>) {
        let subject = Subject {
            request: call.request,
            attempt: call.attempt,
        };
        let called_at = Instant::now();
        self.stream(subject, events, move || prepare_generate(call, called_at));
    }

    fn resume(&self, _core: &mut Core, call: Resume, events: Fwd<Event>) {
        let subject = Subject {
            request: call.request,
            attempt: call.attempt,
        };
        self.stream(subject, events, move || {
            Ok(StreamCall {
                path: format!("/v1/streams/{}/resume", call.request),
                body: encode(&call)?,
                timeout: RESUME_TIMEOUT,
            })
        });
    }

    fn cancel(
        &self,
        _core: &mut Core,
        request: RequestId,
        attempt: AttemptNo,
        owner: Incarnation,
        ret: Ret<Result<CancelAnswer, Error>>,
    ) {
        let path = format!("/v1/streams/{request}/cancel");
        self.post(path, CancelCall { attempt, owner }, ret);
    }

    fn lookup(&self, _core: &mut Core, request: RequestId, ret: Ret<Result<StreamState, Error>>) {
        self.get(format!("/v1/streams/{request}"), ret);
    }

    fn load(&self, _core: &mut Core, ret: Ret<Result<LoadReport, Error>>) {
        self.get("/v1/load".into(), ret);
    }

    fn cache_events(&self, _core: &mut Core, from: u64, ret: Ret<Result<CacheEvents, Error>>) {
        self.get(format!("/v1/cache_events?from={from}"), ret);
    }

    fn reserve(&self, _core: &mut Core, call: Reserve, ret: Ret<Result<(), Error>>) {
        self.post("/v1/reservations".into(), call, ret);
    }

    fn release(
        &self,
        _core: &mut Core,
        reservation: ReservationId,
        owner: Incarnation,
        ret: Ret<Result<(), Error>>,
    ) {
        let path = format!("/v1/reservations/{reservation}?owner={owner}");
        self.short_call(Method::DELETE, path, None::<()>, ret);
    }

    fn holds(&self, _core: &mut Core, ret: Ret<Result<Vec<Hold>, Error>>) {
        self.get("/v1/holds".into(), ret);
    }

    fn order(
        &self,
        _core: &mut Core,
        order: EngineOrder,
        fencing: Fencing,
        ret: Ret<Result<OrderAnswer, Error>>,
    ) {
        self.post("/v1/orders".into(), OrderCall { order, fencing }, ret);
    }

    fn state(&self, _core: &mut Core, ret: Ret<Result<OrderAnswer, Error>>) {
        self.get("/v1/state".into(), ret);
    }

    fn transfer(
        &self,
        _core: &mut Core,
        request: RequestId,
        to: &Address,
        ret: Ret<Result<Tokens, Error>>,
    ) {
        let path = format!("/v1/streams/{request}/transfer");
        let body = TransferCall { to: to.clone() };
        let exchange = self.exchange.clone();
        let job = move || {
            let body = Some(body);
            exchange_json(&exchange, Method::POST, &path, body, TRANSFER_TIMEOUT)
        };
        // A transfer can take as long as a stream, so it uses the threads for streams.
        self.streams.call(job, too_many_calls, ret);
    }
}

fn prepare_generate(mut call: Generate, called_at: Instant) -> Result<StreamCall, Error> {
    // The deadline counts from the call, so the time spent waiting for an I/O thread is subtracted.
    let waited_ms = SpanMs(called_at.elapsed().as_millis() as u64);
    call.deadline_ms = call.deadline_ms.saturating_sub(waited_ms);
    if call.deadline_ms == SpanMs::ZERO {
        let text = "the deadline passed before the call was sent";
        return Err(Error::not_run(ErrorKind::DeadlineExceeded, text));
    }
    Ok(StreamCall {
        path: "/v1/generate".into(),
        body: encode(&call)?,
        timeout: Duration::from(call.deadline_ms) + DEADLINE_MARGIN,
    })
}

fn exchange_json<T: DeserializeOwned>(
    exchange: &Exchange,
    method: Method,
    path: &str,
    body: Option<impl Serialize>,
    timeout: Duration,
) -> Result<T, Error> {
    let encoded = match &body {
        Some(body) => encode(body)?,
        None => Vec::new(),
    };
    exchange.json(&OutgoingCall {
        method,
        path,
        content_type: body.is_some().then_some(JSON),
        headers: &[],
        body: &encoded,
        timeout,
        new_connection: false,
    })
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    let encoded = serde_json::to_vec(value);
    encoded.map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))
}

fn too_many_calls<T>() -> Result<T, Error> {
    let text = "too many calls to upstreams are waiting";
    Err(Error::not_run(ErrorKind::Overloaded, text))
}
