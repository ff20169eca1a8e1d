//! Callers' open connections, and the record of those that end during an exchange.
//!
//! Terms: an *exchange* begins with the first byte of a request's head and ends with the last byte of its
//! answer.
//!
//! Invariants: an exchange that ends without its whole answer is recorded once.

use super::{Clock, Node};
use crate::call::{Answer, FrontBody};
use crate::http::{HeldMemory, Reader};
use crate::journal::Event;
use bluebell_base::prelude::*;
use bytes::Bytes as Buffer;
use hyper::HeaderMap;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The header with the time for which a connection may stay idle, in whole seconds.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The stage of a connection's exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ExchangeStage {
    /// There is none.
    #[default]
    Idle,
    /// Bytes arrived before the connection was closed, and weren't read.
    Unread,
    /// A part of a request's head has been read, or all of it if the connection is closing.
    Head,
    /// The request's body is being read, or the request is being served.
    Serving,
    /// The answer has begun.
    Answering,
    /// The answer broke off. The connection must close.
    BrokenOff,
}

impl ExchangeStage {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Unread => "unread",
            Self::Head => "head",
            Self::Serving => "serving",
            Self::Answering => "answering",
            Self::BrokenOff => "broken_off",
        }
    }
}

/// The state of one caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    clock: Clock,
    stage: Cell<ExchangeStage>,
    /// The time of the connection's start or of the last whole answer's end.
    idle_since_ms: Cell<MonoMs>,
    /// The time for which answers say that the connection may stay idle.
    announced_idle_ms: Cell<SpanMs>,
    /// True if answers announce that the connection closes after them.
    announces_close: Cell<bool>,
    /// The time of the exchange's first byte.
    began_ms: Cell<MonoMs>,
    /// The bytes that arrived since the end of the exchange before.
    bytes_read: Cell<u64>,
    /// The number of whole answers.
    answers: Cell<u64>,
    reader: Rc<Reader>,
}

impl ConnectionState {
    fn open(clock: Clock, held: &Rc<HeldMemory>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            stage: Cell::default(),
            idle_since_ms: Cell::new(clock.now_ms()),
            announced_idle_ms: Cell::default(),
            announces_close: Cell::default(),
            began_ms: Cell::default(),
            bytes_read: Cell::default(),
            answers: Cell::default(),
            reader: Reader::open(held.clone()),
        })
    }

    pub fn stage(&self) -> ExchangeStage {
        self.stage.get()
    }

    /// Lets answers say for how long the connection may stay idle.
    pub fn announce_idle(&self, idle_ms: SpanMs) {
        self.announced_idle_ms.set(idle_ms);
    }

    /// Lets answers announce that the connection closes after them.
    pub fn announce_close(&self) {
        self.announces_close.set(true);
    }

    /// Waits until the connection must be closed because its caller reads too slowly.
    pub async fn too_slow(&self) {
        self.reader.closed().await;
    }

    /// Returns the time since the last exchange, or `None` during one.
    pub fn idle_ms(&self) -> Option<SpanMs> {
        let is_idle = self.stage.get() == ExchangeStage::Idle;
        is_idle.then(|| self.clock.now_ms().since(self.idle_since_ms.get()))
    }

    /// Adds what an answer says of its connection.
    fn put_headers(&self, headers: &mut HeaderMap) {
        let idle_s = self.announced_idle_ms.get().0 / 1_000;
        if self.announces_close.get() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        } else if idle_s > 0
            && let Ok(value) = HeaderValue::from_str(&format!("timeout={idle_s}"))
        {
            headers.insert(KEEP_ALIVE, value);
        }
    }

    /// Records bytes that arrived.
    pub fn on_read(&self, bytes: usize) {
        self.bytes_read.set(self.bytes_read.get() + bytes as u64);
        if bytes > 0 && self.stage.get() == ExchangeStage::Idle {
            self.stage.set(ExchangeStage::Head);
            self.began_ms.set(self.clock.now_ms());
        }
    }

    /// Records that the connection was closed with bytes that weren't read.
    pub fn on_closed_unread(&self) {
        if self.stage.get() == ExchangeStage::Idle {
            self.stage.set(ExchangeStage::Unread);
            self.began_ms.set(self.clock.now_ms());
        }
    }

    /// Records that a request's head has been read.
    pub fn on_request(&self) {
        self.stage.set(ExchangeStage::Serving);
    }

    fn on_answer_end(&self, is_whole: bool) {
        if !is_whole {
            self.stage.set(ExchangeStage::BrokenOff);
            return;
        }
        self.stage.set(ExchangeStage::Idle);
        self.idle_since_ms.set(self.clock.now_ms());
        self.bytes_read.set(0);
        self.answers.set(self.answers.get() + 1);
    }
}

/// The open connections of callers.
#[derive(Debug, Default)]
pub(super) struct Connections {
    open: RefCell<FxHashMap<u64, Rc<ConnectionState>>>,
    next_id: Cell<u64>,
}

impl Connections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Adds a connection, until the guard is dropped.
    pub fn add(self: &Rc<Self>, node: &Node) -> ConnectionGuard {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let state = ConnectionState::open(node.clock, &node.held);
        self.open.borrow_mut().insert(id, state.clone());
        ConnectionGuard {
            connections: self.clone(),
            id,
            state,
        }
    }

    /// Records the exchanges that the end of the process cuts off.
    pub fn record_cut(&self, node: &Node) {
        for state in self.open.borrow().values() {
            record_end(node, state, "the process ends");
        }
    }
}

/// Counts a connection among the open ones.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    connections: Rc<Connections>,
    id: u64,
    pub state: Rc<ConnectionState>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}

/// Records the end of a connection, if an exchange was under way on it.
pub(super) fn record_end(node: &Node, state: &ConnectionState, why: &str) {
    let stage = state.stage();
    if stage == ExchangeStage::Idle {
        return;
    }
    node.journal.record(&Event::ExchangeCut {
        stage: stage.as_str(),
        why: why.into(),
        bytes_read: Bytes(state.bytes_read.get()),
        answers_before: state.answers.get(),
        version: node.config_version(),
        age_ms: node.now_ms().since(state.began_ms.get()),
    });
}

/// Returns the reason for which a connection ended.
pub(super) fn end_reason(result: &Result<(), hyper::Error>) -> &'static str {
    match result {
        Ok(()) => "closed",
        Err(error) if error.is_timeout() => "the head didn't arrive in time",
        Err(error) if error.is_parse_too_large() => "the head is too large",
        Err(error) if error.is_parse() => "the head is malformed",
        Err(error) if error.is_incomplete_message() => "the caller left",
        Err(error) if error.is_user() => "the answer broke off",
        Err(_) => "the connection broke",
    }
}

/// The body of an answer, which reports its end to the connection.
pub(super) struct ObservedBody {
    body: FrontBody,
    state: Rc<ConnectionState>,
    is_whole: bool,
}

impl ObservedBody {
    /// Observes the body of an answer that is about to be sent.
    pub fn observe(mut answer: Answer, state: Rc<ConnectionState>) -> hyper::Response<Self> {
        state.stage.set(ExchangeStage::Answering);
        state.put_headers(answer.headers_mut());
        state.reader.begin(answer.body().holding());
        answer.map(|body| Self {
            // A body that isn't streamed is handed over together with its head.
            is_whole: body.is_complete(),
            body,
            state,
        })
    }
}

impl Body for ObservedBody {
    type Data = Buffer;
    type Error = <FrontBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Buffer>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.is_whole = match &frame {
            None => true,
            Some(Ok(_)) => self.body.is_end_stream(),
            Some(Err(_)) => false,
        };
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ObservedBody {
    fn drop(&mut self) {
        self.state.on_answer_end(self.is_whole);
    }
}
