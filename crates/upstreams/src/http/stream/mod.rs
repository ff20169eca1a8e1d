//! Reading a stream of events off a connection, one by one as their lines come.
//!
//! Invariants: each stream gives exactly one last event of its own request and attempt; nothing
//! follows it.

#[cfg(test)]
mod tests;

use super::exchange::{Exchange, JSON, Outgoing, broken, read_body, refusal};
use super::wire::DATA_PREFIX;
use crate::engine::{Event, EventBody};
use bluebell_base::prelude::*;
use std::io::{BufRead, BufReader, Read};
use std::time::Duration;
use ureq::Body;
use ureq::http::{Method, Response};

/// The longest line of a stream.
const LINE_LIMIT_BYTES: u64 = 1 << 20;

/// What a stream's call sends.
#[derive(Debug)]
pub(super) struct Prepared {
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
    /// The event that ends the stream where the engine itself did not.
    pub fn failed(self, error: Error) -> Event {
        Event {
            request: self.request,
            attempt: self.attempt,
            body: EventBody::Failed { error },
        }
    }

    /// Whether an event ends this stream; one that was crossed from another stream does not.
    fn is_ended_by(self, event: &Event) -> bool {
        let own = event.request == self.request && event.attempt == self.attempt;
        let last = matches!(
            event.body,
            EventBody::Finished { .. } | EventBody::Failed { .. }
        );
        own && last
    }
}

/// Makes the call and hands on its events until the last; `emit` returns whether to go on.
pub(super) fn run(
    exchange: &Exchange,
    prepared: Result<Prepared, Error>,
    subject: Subject,
    mut emit: impl FnMut(Event) -> bool,
) {
    let answer = prepared.and_then(|prepared| send(exchange, prepared));
    let ended = answer.and_then(|answer| read_events(answer, subject, &mut emit));
    if let Err(error) = ended {
        emit(subject.failed(error));
    }
}

/// Sends the call; its body, which can be megabytes, is free again before the events are read.
fn send(exchange: &Exchange, prepared: Prepared) -> Result<Response<Body>, Error> {
    exchange.send(&Outgoing {
        method: Method::POST,
        path: &prepared.path,
        content_type: Some(JSON),
        headers: &[],
        body: &prepared.body,
        timeout: prepared.timeout,
        fresh: true,
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

/// Hands on the events of a stream until its last, or until nobody wants them.
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
    Err(broken("the stream ended before its last event".into()))
}

/// Reads on to the next event; none at the end of the stream.
fn next_event(lines: &mut impl BufRead, line: &mut Vec<u8>) -> Result<Option<Event>, Error> {
    loop {
        line.clear();
        let mut limited = lines.by_ref().take(LINE_LIMIT_BYTES);
        let read = limited.read_until(b'\n', line);
        let count = read.map_err(|error| broken(format!("the stream broke off: {error}")))?;
        if count == 0 {
            return Ok(None);
        }
        if line.last() != Some(&b'\n') {
            return Err(broken("a line of the stream is cut off or too long".into()));
        }
        // Lines without data are comments, which show that the engine is there, and separators.
        if let Some(data) = line.strip_prefix(DATA_PREFIX.as_bytes()) {
            let event = serde_json::from_slice(data);
            return event
                .map(Some)
                .map_err(|error| broken(format!("bad event: {error}")));
        }
    }
}
