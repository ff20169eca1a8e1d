//! Which call goes where, and how its answer is given under the fault switches.

use super::shared::Shared;
use super::streams;
use crate::engine::call::{Admission, ModelCall};
use crate::engine::feed::Feed;
use crate::engine::model::ExportedKv;
use crate::faults::FaultSwitches;
use crate::serve;
use bluebell_base::prelude::*;
use bluebell_upstreams::engine::EngineOrder;
use bluebell_upstreams::http::wire::{CancelCall, OrderCall, TransferCall};
use bluebell_upstreams::{Generate, Reserve, Resume};
use serde::Serialize;
use std::str::FromStr;
use std::thread;
use std::time::Duration;
use tiny_http::{Method, Request};

/// How often a frozen call looks whether it is thawed.
const FREEZE_TICK: Duration = Duration::from_millis(50);

/// How long one import at another engine may take.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// The calls that the engine takes.
pub(super) struct Routes {
    shared: Arc<Shared>,
    credential: Option<Arc<str>>,
}

/// An answer to a short call, as JSON text.
type Answer = Result<serde_json::Value, Error>;

impl Routes {
    pub fn new(shared: Arc<Shared>, credential: Option<Arc<str>>) -> Self {
        Self { shared, credential }
    }

    /// Handles one request to its end.
    pub fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        if let Some(answer) = self.own(&mut request, &parts) {
            return reply(request, answer);
        }
        if !self.allowed(&request) {
            let error = Error::not_run(ErrorKind::Unauthenticated, "a wrong credential");
            return serve::error(request, &error, &[]);
        }
        // A body is read before the switches are looked at: a frozen process has it already.
        let method = request.method().clone();
        match (&method, parts.as_slice()) {
            (Method::Post, ["v1", "generate"]) => self.generate(request),
            (Method::Post, ["v1", "streams", id, "resume"]) => self.resume(request, id),
            _ => self.short(request, &method, &parts, query),
        }
    }

    /// The calls of the stand-in itself, which have no faults.
    fn own(&self, request: &mut Request, parts: &[&str]) -> Option<Answer> {
        let method = request.method().clone();
        match (&method, parts) {
            (Method::Get, ["stats"]) => {
                Some(to_json(self.shared.with(|state, _| state.model.stats())))
            }
            (Method::Get, ["runs"]) => {
                Some(to_json(self.shared.with(|state, _| state.model.all_runs())))
            }
            (Method::Get, ["faults"]) => Some(to_json(self.shared.lock().faults.clone())),
            (Method::Post, ["faults"]) => Some(self.set_faults(request)),
            _ => None,
        }
    }

    fn set_faults(&self, request: &mut Request) -> Answer {
        let faults: FaultSwitches = serve::read_json(request)?;
        self.shared.set_faults(faults.clone());
        to_json(faults)
    }

    fn allowed(&self, request: &Request) -> bool {
        let Some(credential) = &self.credential else {
            return true;
        };
        let wanted = format!("Bearer {credential}");
        let mut headers = request.headers().iter();
        headers.any(|header| {
            header.field.equiv("Authorization") && header.value.as_str() == wanted.as_str()
        })
    }

    fn generate(&self, mut request: Request) {
        let call = match serve::read_json::<Generate>(&mut request) {
            Ok(call) => call,
            Err(error) => return serve::error(request, &error, &[]),
        };
        let Some(faults) = self.pass_gate() else {
            return serve::break_off(request);
        };
        let opened = self.admit(&call);
        let from = call.continue_from.len() as u64;
        let (id, attempt) = (call.request, call.attempt);
        // The prompt can be megabytes; only its hashes are needed from here on.
        drop(call);
        match opened {
            Ok(admission) => {
                let feed = Feed::open(id, attempt, admission.reader(), from);
                self.stream(request, feed, &faults);
            }
            Err(error) => refuse(request, &error, &faults),
        }
    }

    fn admit(&self, call: &Generate) -> Result<Admission, Error> {
        let block_tokens = self.shared.lock().model.settings().block_tokens;
        let mut model_call = ModelCall::from_generate(call, block_tokens);
        model_call.hold_ms = self.shared.model_ms(call.hold_ms);
        model_call.deadline_ms = self.shared.model_ms(call.deadline_ms);
        self.shared
            .with(|state, now_us| state.model.generate(now_us, model_call))
    }

    fn resume(&self, mut request: Request, id: &str) {
        let call = match serve::read_json::<Resume>(&mut request) {
            Ok(call) => call,
            Err(error) => return serve::error(request, &error, &[]),
        };
        if call.request.to_string() != id {
            let error = Error::not_run(ErrorKind::Invalid, "path and body name two requests");
            return serve::error(request, &error, &[]);
        }
        let Some(faults) = self.pass_gate() else {
            return serve::break_off(request);
        };
        let opened = self
            .shared
            .with(|state, now_us| state.model.resume(now_us, &call));
        match opened {
            Ok(reader) => {
                let feed = Feed::open(call.request, call.attempt, reader, call.from.0);
                self.stream(request, feed, &faults);
            }
            Err(error) => refuse(request, &error, &faults),
        }
    }

    fn stream(&self, request: Request, feed: Feed, faults: &FaultSwitches) {
        thread::sleep(Duration::from(faults.delay_ms));
        if faults.lose_answer {
            self.shared
                .with(|state, now_us| feed.close(&mut state.model, now_us));
            return serve::break_off(request);
        }
        streams::write(&self.shared, request, feed);
    }

    fn short(&self, mut request: Request, method: &Method, parts: &[&str], query: &str) {
        let body = serve::read_body(&mut request);
        let Some(faults) = self.pass_gate() else {
            return serve::break_off(request);
        };
        let answer = body.and_then(|body| self.answer(method, parts, query, &body));
        thread::sleep(Duration::from(faults.delay_ms));
        match faults.lose_answer {
            true => serve::break_off(request),
            false => reply(request, answer),
        }
    }

    /// Waits while the engine is frozen; none where the call must break off without effect.
    fn pass_gate(&self) -> Option<FaultSwitches> {
        let mut state = self.shared.lock();
        while state.faults.freeze && !state.stopped {
            state = self.shared.wait_progress(state, FREEZE_TICK);
        }
        let passes = !state.faults.down && !state.stopped;
        passes.then(|| state.faults.clone())
    }

    fn answer(&self, method: &Method, parts: &[&str], query: &str, body: &[u8]) -> Answer {
        match (method, parts) {
            (Method::Get, ["v1", "load"]) => self.load(),
            (Method::Get, ["v1", "state"]) => {
                to_json(self.shared.with(|state, _| state.model.read_state()))
            }
            (Method::Get, ["v1", "holds"]) => self.holds(),
            (Method::Get, ["v1", "cache_events"]) => self.cache_events(query),
            (Method::Get, ["v1", "streams", id]) => {
                let request = parse(id)?;
                to_json(self.shared.with(|state, _| state.model.lookup(request)))
            }
            (Method::Post, ["v1", "streams", id, "cancel"]) => self.cancel(id, body),
            (Method::Post, ["v1", "streams", id, "transfer"]) => self.transfer(id, body),
            (Method::Post, ["v1", "imports"]) => self.import(body),
            (Method::Post, ["v1", "reservations"]) => self.reserve(body),
            (Method::Delete, ["v1", "reservations", id]) => self.release(id, query),
            (Method::Post, ["v1", "orders"]) => self.order(body),
            _ => Err(Error::not_run(ErrorKind::NotFound, "no such call")),
        }
    }

    fn load(&self) -> Answer {
        let load = self.shared.with(|state, now_us| state.model.load(now_us));
        to_json(self.shared.real_load(load))
    }

    fn holds(&self) -> Answer {
        let mut holds = self.shared.with(|state, now_us| state.model.holds(now_us));
        for hold in &mut holds {
            hold.expires_ms = self.shared.real_ms(hold.expires_ms);
        }
        to_json(holds)
    }

    fn cache_events(&self, query: &str) -> Answer {
        let from = parse(field(query, "from")?)?;
        let read = self
            .shared
            .with(|state, now_us| state.model.cache_events(now_us, from));
        to_json(read)
    }

    fn cancel(&self, id: &str, body: &[u8]) -> Answer {
        let request = parse(id)?;
        let call: CancelCall = from_json(body)?;
        to_json(self.shared.with(|state, now_us| {
            state
                .model
                .cancel(now_us, request, call.attempt, call.owner)
        }))
    }

    fn reserve(&self, body: &[u8]) -> Answer {
        let mut call: Reserve = from_json(body)?;
        call.hold_ms = self.shared.model_ms(call.hold_ms);
        self.shared
            .with(|state, now_us| state.model.reserve(now_us, call))?;
        to_json(())
    }

    fn release(&self, id: &str, query: &str) -> Answer {
        let reservation = parse(id)?;
        let owner = parse(field(query, "owner")?)?;
        self.shared
            .with(|state, now_us| state.model.release(now_us, reservation, owner))?;
        to_json(())
    }

    fn order(&self, body: &[u8]) -> Answer {
        let call: OrderCall = from_json(body)?;
        let order: EngineOrder = call.order;
        to_json(
            self.shared
                .with(|state, now_us| state.model.order(now_us, &order, call.fencing)),
        )
    }

    fn transfer(&self, id: &str, body: &[u8]) -> Answer {
        let request = parse(id)?;
        let call: TransferCall = from_json(body)?;
        let export = self
            .shared
            .with(|state, now_us| state.model.export(now_us, request))?;
        let imported = send_import(&call.to, &export);
        self.shared
            .with(|state, now_us| state.model.end_export(now_us, request));
        imported?;
        to_json(export.tokens)
    }

    fn import(&self, body: &[u8]) -> Answer {
        let export: ExportedKv = from_json(body)?;
        let cost_us = self
            .shared
            .with(|state, now_us| state.model.import(now_us, &export));
        let cost_ms = self.shared.real_ms(SpanMs(cost_us / 1000));
        thread::sleep(Duration::from(cost_ms));
        to_json(export.tokens)
    }
}

/// Hands exported KV to another engine.
fn send_import(to: &Address, export: &ExportedKv) -> Result<(), Error> {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(IMPORT_TIMEOUT));
    let agent = config.build().new_agent();
    let sent = agent
        .post(format!("http://{to}/v1/imports"))
        .send_json(export);
    sent.map(drop).map_err(|error| {
        let message = format!("the other engine did not import: {error}");
        Error::may_have_run(ErrorKind::Upstream, message)
    })
}

fn reply(request: Request, answer: Answer) {
    match answer {
        Ok(value) => serve::json(request, 200, &value, &[]),
        Err(error) => serve::error(request, &error, &[]),
    }
}

fn refuse(request: Request, error: &Error, faults: &FaultSwitches) {
    thread::sleep(Duration::from(faults.delay_ms));
    match faults.lose_answer {
        true => serve::break_off(request),
        false => serve::error(request, error, &[]),
    }
}

fn to_json(value: impl Serialize) -> Answer {
    let encoded = serde_json::to_value(value);
    encoded.map_err(|error| Error::may_have_run(ErrorKind::Internal, error.to_string()))
}

fn from_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    let value = serde_json::from_slice(body);
    value.map_err(|error| Error::not_run(ErrorKind::Invalid, error.to_string()))
}

fn parse<T: FromStr>(text: &str) -> Result<T, Error> {
    let invalid = |_| Error::not_run(ErrorKind::Invalid, format!("{text:?} is malformed"));
    text.parse().map_err(invalid)
}

/// The value of a field of the query.
fn field<'a>(query: &'a str, name: &str) -> Result<&'a str, Error> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|pair| pair.0 == name).map(|pair| pair.1);
    let missing = || Error::not_run(ErrorKind::Invalid, format!("{name} is missing"));
    values.next().ok_or_else(missing)
}
