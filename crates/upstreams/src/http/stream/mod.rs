//! Reads a stream of events from a connection, each event as soon as its line arrives.
//!
//! Invariants: each stream produces exactly one last event of its own request and attempt, and no
//! event after it.

#[cfg(test)]
mod tests;

use super::exchange::{Exchange, JSON, OutgoingCall, read_body, refusal, upstream_error};
use super::wire::DATA_PREFIX;
use crate::engine::{Event, EventBody};
use bluebell_base::prelude::*;
use std::io::{BufRead, BufReader, Read};
use std::time::Duration;
use ureq::Body;
use ureq::http::{Method, Response};

/// The maximum length of a line in a stream, in bytes.
const LINE_LIMIT_BYTES: u64 = 1 << 20;

/// The path, body and timeout of the call that opens a stream.
#[derive(Debug)]
pub(super) struct StreamCall {
    pub path: String,
    pub body: Vec<u8>,
    pub timeout: Duration,
}

/// The request and attempt whose events are read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Subject {
    pub request: RequestId,
    pub attempt: AttemptNo,
}

impl Subject {
    /// Returns the event that ends the stream if the engine itself sent none.
    pub fn failed(self, error: Error) -> Event {
        Event {
            request: self.request,
            attempt: self.attempt,
            body: EventBody::Failed { error },
        }
    }

    /// Returns true if an event ends this stream. The last event of another stream, received by
    /// mistake, does not.
    fn is_ended_by(self, event: &Event) -> bool {
        let own = event.request == self.request && event.attempt == self.attempt;
        let last = matches!(
            event.body,
            EventBody::Finished { .. } | EventBody::Failed { .. }
        );
        own && last
    }
}

/// Sends the call and passes its events to `emit` until the last one. `emit` returns whether to
/// continue.
pub(super) fn run(
    exchange: &Exchange,
    stream_call: Result<StreamCall, Error>,
    subject: Subject,
    mut emit: impl FnMut(Event) -> bool,
) {
    let answer = stream_call.and_then(|stream_call| send(exchange, stream_call));
    let ended = answer.and_then(|answer| read_events(answer, subject, &mut emit));
    if let Err(error) = ended {
        emit(subject.failed(error));
    }
}

/// Sends the call. Its body, which can be megabytes, is freed before the events are read.
fn send(exchange: &Exchange, stream_call: StreamCall) -> Result<Response<Body>, Error> {
    exchange.send(&OutgoingCall {
        method: Method::POST,
        path: &stream_call.path,
        content_type: Some(JSON),
        headers: &[],
        body: &stream_call.body,
        timeout: stream_call.timeout,
        new_connection: true,
    })
}

fn read_events(
    mut answer: Response<Body>,
    subject: Subject,
    emit: &mut impl FnMut(Event) -> bool,
) -> Result<(), Error> {
    if !answer.status().is_success() {
        let body = read_body(&mut answer)?;
        return Err(refusal(answer.status().as_u16(), &body));
    }
    let mut lines = BufReader::new(answer.into_body().into_reader());
    forward(&mut lines, subject, emit)
}

/// Passes on the events of a stream until the last one, or until `emit` returns `false`.
fn forward(
    lines: &mut impl BufRead,
    subject: Subject,
    emit: &mut impl FnMut(Event) -> bool,
) -> Result<(), Error> {
    let mut line = Vec::new();
    while let Some(event) = next_event(lines, &mut line)? {
        let last = subject.is_ended_by(&event);
        if !emit(event) || last {
            return Ok(());
        }
    }
    Err(upstream_error(
        "the stream ended before its last event".into(),
    ))
}

/// Reads up to the next event. Returns `None` at the end of the stream.
fn next_event(lines: &mut impl BufRead, line: &mut Vec<u8>) -> Result<Option<Event>, Error> {
    loop {
        line.clear();
        let mut limited = lines.by_ref().take(LINE_LIMIT_BYTES);
        let read = limited.read_until(b'\n', line);
        let count =
            read.map_err(|error| upstream_error(format!("the stream broke off: {error}")))?;
        if count == 0 {
            return Ok(None);
        }
        if line.last() != Some(&b'\n') {
            return Err(upstream_error(
                "a line of the stream is cut off or too long".into(),
            ));
        }
        // Lines without the data prefix are separators, or comments that show that the engine is
        // alive.
        if let Some(data) = line.strip_prefix(DATA_PREFIX.as_bytes()) {
            let event = serde_json::from_slice(data);
            return event
                .map(Some)
                .map_err(|error| upstream_error(format!("bad event: {error}")));
        }
    }
}
