//! The calls the platform takes over HTTP, and their answers.

use super::BODY_BYTES;
use crate::platform::faults::{Fate, Faults, Operation};
use crate::platform::model::{PlatformModel, VmChange};
use bluebell_base::prelude::*;
use bluebell_platform::WeightInfo;
use bluebell_platform::log_port::{AppendAnswer, AppendBody};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::Read;
use std::str::FromStr;
use tiny_http::{Method, Request};

/// The most bytes of records in one read where the client does not say.
const READ_BYTES: Bytes = Bytes(1024 * 1024);

/// One call, parsed.
#[derive(Debug)]
pub(super) enum Call {
    Append(StreamName, AppendBody),
    Read(StreamName, Offset, Bytes),
    ListVms,
    WeightInfo(ModelName, u64),
    SetFaults(Faults),
    ChangeVms(VmChange),
    PutWeights(WeightInfo),
    Stats,
}

/// An answer, encoded.
#[derive(Debug)]
pub(super) struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// The answer to a call that has nothing to tell.
#[derive(Debug, Serialize)]
struct Done {}

impl Call {
    /// What faults know it as; none for operator calls.
    pub(super) fn operation(&self) -> Option<Operation> {
        match self {
            Call::Append(..) => Some(Operation::Append),
            Call::Read(..) => Some(Operation::Read),
            Call::ListVms => Some(Operation::ListVms),
            Call::WeightInfo(..) => Some(Operation::WeightInfo),
            Call::SetFaults(_) | Call::ChangeVms(_) | Call::PutWeights(_) | Call::Stats => None,
        }
    }

    pub(super) fn apply(self, model: &mut PlatformModel, now_ms: WallMs, fate: Fate) -> Answer {
        match self {
            Call::Append(stream, body) => {
                let first = model.append(now_ms, &stream, &body.records, fate.duplicate);
                Answer::of(first.map(|offset| AppendAnswer { offset }))
            }
            Call::Read(stream, from, limit_bytes) => {
                Answer::of(Ok(model.read(now_ms, &stream, from, limit_bytes)))
            }
            Call::ListVms => Answer::of(Ok(model.list_vms(now_ms))),
            Call::WeightInfo(name, version) => Answer::of(model.weight_info(&name, version)),
            Call::SetFaults(faults) => {
                model.faults = faults;
                Answer::of(Ok(Done {}))
            }
            Call::ChangeVms(change) => {
                Answer::of(model.change_vms(now_ms, change).map(|()| Done {}))
            }
            Call::PutWeights(info) => {
                model.put_weights(info);
                Answer::of(Ok(Done {}))
            }
            Call::Stats => Answer::of(Ok(model.stats())),
        }
    }
}

impl Answer {
    pub(super) fn error(error: &Error) -> Self {
        Self {
            status: status_of(error.kind),
            body: serde_json::to_vec(error).unwrap_or_default(),
        }
    }

    fn of<T: Serialize>(result: Result<T, Error>) -> Self {
        match result.map(|value| serde_json::to_vec(&value)) {
            Ok(Ok(body)) => Self { status: 200, body },
            Ok(Err(error)) => {
                let message = format!("the answer does not encode: {error}");
                Self::error(&Error::may_have_run(ErrorKind::Internal, message))
            }
            Err(error) => Self::error(&error),
        }
    }
}

fn status_of(kind: ErrorKind) -> u16 {
    match kind {
        ErrorKind::Invalid => 400,
        ErrorKind::Unauthenticated => 401,
        ErrorKind::NotFound => 404,
        ErrorKind::TooLarge => 413,
        ErrorKind::Overloaded => 429,
        ErrorKind::Unavailable => 503,
        _ => 500,
    }
}

/// Parses a request with its body.
///
/// # Errors
/// `NotFound` for an unknown path, `Invalid` for a malformed parameter or body.
pub(super) fn parse(request: &mut Request) -> Result<Call, Error> {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match (request.method().clone(), path) {
        (Method::Get, "/vms") => Ok(Call::ListVms),
        (Method::Get, "/stats") => Ok(Call::Stats),
        (Method::Post, "/vms") => Ok(Call::ChangeVms(body(request)?)),
        (Method::Post, "/faults") => Ok(Call::SetFaults(body(request)?)),
        (Method::Post, "/weights") => Ok(Call::PutWeights(body(request)?)),
        (Method::Get, path) => get(path, query),
        (Method::Post, path) => {
            let stream = between(path, "/log/", "/append").ok_or_else(|| unknown(path))?;
            Ok(Call::Append(value(stream)?, body(request)?))
        }
        _ => Err(unknown(path)),
    }
}

fn get(path: &str, query: &str) -> Result<Call, Error> {
    if let Some(stream) = between(path, "/log/", "/read") {
        let from = parameter(query, "from")?.unwrap_or(0);
        let limit_bytes = parameter(query, "limit_bytes")?.map_or(READ_BYTES, Bytes);
        return Ok(Call::Read(value(stream)?, Offset(from), limit_bytes));
    }
    let model = path.strip_prefix("/weights/");
    let (model, version) = model
        .and_then(|rest| rest.rsplit_once('/'))
        .ok_or_else(|| unknown(path))?;
    Ok(Call::WeightInfo(value(model)?, value(version)?))
}

fn between<'a>(path: &'a str, before: &str, after: &str) -> Option<&'a str> {
    path.strip_prefix(before)?.strip_suffix(after)
}

fn parameter(query: &str, name: &str) -> Result<Option<u64>, Error> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map(|(_, text)| value(text)).transpose()
}

fn value<T: FromStr>(text: &str) -> Result<T, Error> {
    text.parse().map_err(|_| {
        let message = format!("{text:?} is not a valid value here");
        Error::not_run(ErrorKind::Invalid, message)
    })
}

fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Error> {
    let mut bytes = Vec::new();
    let invalid = |text: String| Error::not_run(ErrorKind::Invalid, text);
    let mut reader = request.as_reader().take(BODY_BYTES);
    let read = reader.read_to_end(&mut bytes);
    read.map_err(|error| invalid(format!("the body can't be read: {error}")))?;
    serde_json::from_slice(&bytes)
        .map_err(|error| invalid(format!("the body does not parse: {error}")))
}

fn unknown(path: &str) -> Error {
    Error::not_run(ErrorKind::NotFound, format!("nothing at {path:?}"))
}
