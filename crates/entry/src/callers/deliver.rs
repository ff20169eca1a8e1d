//! Delivers a request's events to its caller: as a stream, as one whole answer, or as a plain
//! service's answer.
//!
//! Invariants: the head of a stream is sent with the first piece of the answer, at the latest after
//! one keep-alive interval, so that an early refusal has its own status code; a whole answer is
//! sent only after `Finished`; a stream that fails has no `[DONE]`, so it can't be mistaken for a
//! complete answer.

use crate::callers::encode::{AnswerBody, End, Subject};
use crate::http::answer::{self, ErrorBody, Refusal};
use crate::http::outlet::{EventStream, Outlet};
use bluebell_base::prelude::*;
use bluebell_requests::call::CallerEvent;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use std::io;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The status codes that end an exchange. After any other code a caller would keep waiting for the
/// final response.
const FINAL_STATUS: RangeInclusive<u16> = 200..=599;

/// The outcome of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivered {
    /// The last event was sent to the caller.
    Whole,
    /// The caller hung up or does not read.
    CallerGone,
}

impl From<io::Result<()>> for Delivered {
    fn from(result: io::Result<()>) -> Self {
        match result {
            Ok(()) => Delivered::Whole,
            Err(_) => Delivered::CallerGone,
        }
    }
}

/// The events to write to a caller, with the request id that the answer carries.
pub(crate) struct Delivery {
    /// The queue of events.
    pub(crate) events: Receiver<CallerEvent>,
    /// The request's id once the request is admitted, the call's number until then.
    pub(crate) request: Arc<str>,
    /// The silence on a stream after which a comment is sent.
    pub(crate) keep_alive: Duration,
    /// The silence after which a caller that waits for a whole answer is sent an interim response.
    /// `None` sends none.
    pub(crate) interim: Option<Duration>,
}

/// The result of waiting for the next event.
enum Next {
    Event(CallerEvent),
    Silence,
}

impl Delivery {
    /// Delivers the events as server-sent events.
    pub(crate) fn stream(mut self, outlet: Outlet, subject: &Subject) -> Delivered {
        loop {
            match self.next(Some(self.keep_alive)) {
                Next::Event(CallerEvent::Admitted { request }) => self.admitted(request),
                Next::Event(CallerEvent::Failed { request, error }) => {
                    return self.refuse(outlet, request, error);
                }
                Next::Event(event) => return self.begin(outlet, subject, Some(event)).into(),
                Next::Silence => return self.begin(outlet, subject, None).into(),
            }
        }
    }

    fn begin(
        mut self,
        outlet: Outlet,
        subject: &Subject,
        first: Option<CallerEvent>,
    ) -> io::Result<()> {
        let mut stream = outlet.begin_events(&self.request)?;
        let mut next = match first {
            Some(event) => Next::Event(event),
            None => Next::Silence,
        };
        loop {
            match next {
                Next::Silence => stream.keep_alive()?,
                Next::Event(event) => {
                    let last = event.is_last();
                    self.write_event(&mut stream, subject, event)?;
                    if last {
                        return Ok(());
                    }
                }
            }
            next = self.next(Some(self.keep_alive));
        }
    }

    fn write_event(
        &mut self,
        stream: &mut EventStream,
        subject: &Subject,
        event: CallerEvent,
    ) -> io::Result<()> {
        match event {
            CallerEvent::Admitted { request } => {
                self.admitted(request);
                Ok(())
            }
            CallerEvent::Token { text, cursor, .. } => {
                let body = AnswerBody::piece(subject, &self.request, &text);
                stream.event(Some(&cursor), &answer::json_text(&body))
            }
            CallerEvent::Finished {
                reason,
                prompt_tokens,
                answer_tokens,
            } => {
                let end = End {
                    reason,
                    prompt_tokens,
                    answer_tokens,
                };
                let body = AnswerBody::last(subject, &self.request, &end);
                stream.event(None, &answer::json_text(&body))?;
                stream.event(None, "[DONE]")
            }
            CallerEvent::Service { .. } => self.write_failure(stream, &unexpected_event()),
            CallerEvent::Failed { error, .. } => self.write_failure(stream, &error),
        }
    }

    fn write_failure(&self, stream: &mut EventStream, error: &Error) -> io::Result<()> {
        let body = ErrorBody::new(error, &self.request);
        stream.event(None, &answer::json_text(&body))
    }

    /// Delivers the answer as one JSON body.
    pub(crate) fn whole(mut self, mut outlet: Outlet, subject: &Subject) -> Delivered {
        let mut answer_text = String::new();
        loop {
            let Some(event) = self.next_with_interim(&mut outlet) else {
                return Delivered::CallerGone;
            };
            match event {
                CallerEvent::Admitted { request } => self.admitted(request),
                CallerEvent::Token { text, .. } => answer_text.push_str(&text),
                CallerEvent::Finished {
                    reason,
                    prompt_tokens,
                    answer_tokens,
                } => {
                    let end = End {
                        reason,
                        prompt_tokens,
                        answer_tokens,
                    };
                    let body = AnswerBody::whole(subject, &self.request, &answer_text, &end);
                    let response = answer::json(200, &body, &self.request);
                    return outlet.respond(response).into();
                }
                CallerEvent::Service { .. } => {
                    return self.refuse(outlet, None, unexpected_event());
                }
                CallerEvent::Failed { request, error } => {
                    return self.refuse(outlet, request, error);
                }
            }
        }
    }

    /// Delivers a plain service's answer.
    pub(crate) fn service(mut self, mut outlet: Outlet) -> Delivered {
        loop {
            let Some(event) = self.next_with_interim(&mut outlet) else {
                return Delivered::CallerGone;
            };
            match event {
                CallerEvent::Admitted { request } => self.admitted(request),
                CallerEvent::Service {
                    status,
                    content_type,
                    body,
                } => {
                    if !FINAL_STATUS.contains(&status) {
                        return self.refuse(outlet, None, non_final_status(status));
                    }
                    let media_type = content_type.as_deref();
                    let response = answer::whole(status, media_type, body, &self.request);
                    return outlet.respond(response).into();
                }
                CallerEvent::Failed { request, error } => {
                    return self.refuse(outlet, request, error);
                }
                CallerEvent::Token { .. } | CallerEvent::Finished { .. } => {
                    return self.refuse(outlet, None, unexpected_event());
                }
            }
        }
    }

    /// Returns the next event for a caller that waits for a whole answer. The caller is sent
    /// interim responses during silences. Returns `None` once the caller has disconnected.
    fn next_with_interim(&self, outlet: &mut Outlet) -> Option<CallerEvent> {
        let silence = self.interim.filter(|_| outlet.supports_chunks());
        loop {
            match self.next(silence) {
                Next::Silence => outlet.interim().ok()?,
                Next::Event(event) => return Some(event),
            }
        }
    }

    fn admitted(&mut self, request: RequestId) {
        log::debug!("{}: admitted as {request}", self.request);
        self.request = request.to_string().into();
    }

    /// Answers with a refusal or failure. Nothing else may have been sent before.
    pub(crate) fn refuse(
        mut self,
        outlet: Outlet,
        request: Option<RequestId>,
        error: Error,
    ) -> Delivered {
        if let Some(request) = request {
            self.admitted(request);
        }
        let response = answer::refusal(&Refusal::from(error), &self.request);
        outlet.respond(response).into()
    }

    /// Waits for the next event, at most for the given silence. `None` waits without a limit.
    fn next(&self, silence: Option<Duration>) -> Next {
        let receiver = &self.events;
        let received = match silence {
            Some(silence) => receiver.recv_timeout(silence),
            None => receiver.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(event) => Next::Event(event),
            Err(RecvTimeoutError::Timeout) => Next::Silence,
            Err(RecvTimeoutError::Disconnected) => Next::Event(abandoned()),
        }
    }
}

/// Returns the last event of a request whose actor ended without one, for example because the node
/// stopped.
fn abandoned() -> CallerEvent {
    let message = "the node gave the request up without an answer";
    CallerEvent::Failed {
        request: None,
        error: Error::may_have_run(ErrorKind::Internal, message),
    }
}

/// Returns the error for an answer of another kind than requested.
fn unexpected_event() -> Error {
    let message = "an answer of another kind than asked for arrived";
    Error::may_have_run(ErrorKind::Internal, message)
}

/// Returns the error for a plain service's answer whose status code is not a final one.
fn non_final_status(status: u16) -> Error {
    let message = format!("the service answered with status {status}, which is no final one");
    Error::ran(ErrorKind::Upstream, message)
}
