//! Serving one request: admission, attempts at replicas, and the answer.
//!
//! Terms: an *attempt* (`try` in code and logs) sends the request once to one replica. A request is
//! *answered* once the first byte of its answer has been sent. An engine *reads* a prompt (prefill)
//! and *writes* an answer (decode).
//!
//! Invariants: a request that isn't repeatable is tried again only after an attempt that certainly
//! didn't run. An answer states that nothing ran only if no attempt may have run. An answer that
//! broke off never ends as if it were complete.

mod admit;
mod answers;
mod attempts;
mod body;
mod choose;
mod events;
mod fatal;
mod guards;
mod hop;
mod plain;
mod pump;
mod race;
mod reserve;
mod resumption;
mod server;
mod stream;
mod tries;

pub use answers::Answer;
pub use body::FrontBody;
pub use events::EventSplitter;

use crate::forward::{ForwardedGuard, HopHead, ResumePoint};
use crate::http::Holding;
use crate::journal::Event;
use crate::node::Node;
use crate::platform::CallHead;
use crate::returns;
use crate::shares::RequestShare;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use guards::{CancelRecorder, SuspectTrial};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{HeaderMap, Method, Request, Uri};
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

/// An admitted request, with everything that its attempts need.
pub(crate) struct Call {
    pub node: Rc<Node>,
    /// The fields that the platform's dialect reads from the headers.
    pub head: CallHead,
    pub method: Method,
    pub uri: Uri,
    /// All headers of the caller's request.
    pub headers: HeaderMap,
    /// The whole body of the caller's request.
    pub body: Buffer,
    /// The memory that holds the body.
    _holding: Rc<Holding>,
    pub route: Arc<Route>,
    /// The service that was chosen among those of the route.
    pub service: Arc<Service>,
    /// The version of the configuration by which the request was admitted.
    pub version: ConfigVersion,
    /// The state of the request at the peer that forwarded it, or `None` if a caller sent it.
    pub forwarded: Option<ForwardedCall>,
    /// The caller's account, or `None` if the route needs no key.
    pub account: Option<Arc<Account>>,
    /// The request's share of its account, or `None` if it has no account or isn't for engines.
    pub share: Option<RequestShare>,
    /// The time at which the request arrived at the node.
    pub arrived_ms: MonoMs,
    /// The time by which the request must be answered: the caller's deadline or the route's
    /// timeout, whichever comes first.
    pub deadline_ms: MonoMs,
    /// The class of the request by the return time that an earlier refusal promised.
    pub returning: Returning,
    /// True if a quarantined request runs as a trial, to find out if it still crashes its replica.
    is_trial: Cell<bool>,
    /// The request's trial while it runs as a suspect.
    suspect_trial: RefCell<Option<Rc<SuspectTrial>>>,
    /// True if the next attempt is the trial of the quarantined parts of its prompt.
    is_part_trial: Cell<bool>,
    /// The request's digest, computed on first use.
    digest: OnceCell<RequestDigest>,
}

/// A request that a peer forwarded.
pub(crate) struct ForwardedCall {
    /// The state of the request at the peer.
    pub head: HopHead,
    /// Counts the request among those that are being served.
    _guard: ForwardedGuard,
}

impl Call {
    /// Returns the maximum number of attempts at replicas.
    pub fn max_attempts(&self) -> u32 {
        let allowed = self.forwarded.as_ref().map(|call| call.head.max_attempts);
        let max_attempts = self.route.max_attempts;
        allowed.map_or(max_attempts, |allowed| allowed.min(max_attempts))
    }

    /// Returns the end of the part of the answer that the caller had when a peer forwarded the request.
    pub fn resume(&self) -> Option<&ResumePoint> {
        self.forwarded.as_ref()?.head.resume.as_ref()
    }

    /// Returns the digest that identifies all arrivals of this request. It is computed on first
    /// use, so requests that are served without trouble don't pay for it.
    pub fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let host = host(&self.uri, &self.headers);
            let target = self.uri.path_and_query();
            RequestDigest::of(&RequestParts {
                account: self.account.as_ref().map_or("", |a| a.name.as_str()),
                method: self.method.as_str(),
                host,
                target: target.map_or("", |target| target.as_str()),
                body: &self.body,
            })
        })
    }

    /// Returns the time since the request arrived.
    pub fn age_ms(&self) -> SpanMs {
        self.node.now_ms().since(self.arrived_ms)
    }

    /// Returns the longest time that the request waits at the node for a replica, and the time that
    /// its caller waits for a first event.
    pub fn wait_timeouts(&self) -> WaitTimeouts {
        let gap_ms = match self.route.kind {
            RouteKind::Stream { gap_ms, .. } => gap_ms,
            RouteKind::Idempotent | RouteKind::AtMostOnce => SpanMs::ZERO,
        };
        WaitTimeouts::of(self.route.target_ms, gap_ms)
    }

    /// Returns the urgency of an attempt whose first event, or whole answer, is expected after
    /// `expected_ms`. The account's priority takes precedence over the route's.
    ///
    /// Only streams count as late: replicas of plain calls are seldom full for long. The rest of a
    /// stream that broke off never does, since its caller gives up after a short silence.
    pub fn urgency(&self, expected_ms: SpanMs, is_resumed: bool) -> Urgency {
        let account = self.account.as_ref().and_then(|account| account.priority);
        let rank = account.unwrap_or(self.route.priority);
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        let first_event_ms = self.spent_before_ms() + self.age_ms() + expected_ms;
        match is_stream && !is_resumed && first_event_ms > self.route.target_ms {
            true => Urgency::late(rank),
            false => Urgency::of(rank, self.route.target_ms),
        }
    }

    /// Returns the time that the caller spent on earlier attempts, or 0 for a first one. Callers
    /// that return state the time that is left to them, which is less than the route's timeout.
    fn spent_before_ms(&self) -> SpanMs {
        let timeout_ms = self.route.timeout_ms;
        let deadline_ms = match self.forwarded {
            Some(_) => timeout_ms,
            None => self.head.deadline_ms.unwrap_or(timeout_ms),
        };
        SpanMs(timeout_ms.0.saturating_sub(deadline_ms.0))
    }

    /// Returns the time left until the caller gives up waiting for a first event.
    pub fn caller_timeout_left_ms(&self) -> SpanMs {
        (self.arrived_ms + self.wait_timeouts().caller_timeout_ms).since(self.node.now_ms())
    }

    /// Returns the time left until the deadline.
    pub fn left_ms(&self) -> SpanMs {
        self.deadline_ms.since(self.node.now_ms())
    }
}

/// Returns the host that a request names in its URI or its Host header, or an empty string.
fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let named = headers.get(HOST).and_then(|value| value.to_str().ok());
    uri.host().or(named).unwrap_or_default()
}

/// Serves one request of a caller and returns the answer. The rest of a streamed answer follows
/// from a task of its own.
pub async fn serve(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    match admit::admit(node, request).await {
        Ok(call) => serve_admitted(call).await,
        Err(answer) => answer,
    }
}

/// Serves a request that a peer forwarded.
pub(crate) async fn serve_forwarded(
    node: Rc<Node>,
    request: Request<Incoming>,
    head: HopHead,
) -> Answer {
    match admit::admit_forwarded(node, request, head).await {
        Ok(call) => {
            call.node.journal.record(&Event::ForwardAccepted {
                request: call.head.request.clone(),
                age_ms: call.age_ms(),
            });
            serve_admitted(call).await
        }
        Err(answer) => answer,
    }
}

async fn serve_admitted(mut call: Call) -> Answer {
    call.returning = returns::classify(&call);
    let call = Rc::new(call);
    let mut recorder = CancelRecorder::begin(call.clone());
    let answer = match returns::early_refusal(&call) {
        Some(promise) => plain::refuse_early(&call, &promise),
        None => match call.route.kind {
            RouteKind::Stream { .. } => stream::serve(&call).await,
            RouteKind::Idempotent | RouteKind::AtMostOnce => plain::serve(&call).await,
        },
    };
    recorder.answered();
    returns::on_answered(&call, answer.status());
    answer
}
