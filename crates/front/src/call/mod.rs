//! The life of a request: admission, tries at replicas, the answer.
//!
//! Terms: a *try* goes to one replica; a request is *answered* once its first byte is on its way.
//!
//! Invariants: a request that isn't repeatable is tried again only after a try that certainly didn't
//! run; an answer with a promise that nothing ran is given only where no try may have run; an answer
//! that broke off never ends as if it were complete.

mod admit;
mod answers;
mod body;
mod choose;
mod events;
mod fatal;
mod held;
mod plain;
mod pump;
mod reserve;
mod stream;
mod tries;

pub use answers::Answer;
pub use body::FrontBody;
pub use events::EventSplitter;

use crate::node::Node;
use crate::platform::CallHead;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use held::CallWatch;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{HeaderMap, Method, Request, Uri};
use std::cell::{Cell, OnceCell};
use std::rc::Rc;

/// A request that was admitted, with all that its tries need.
pub(crate) struct Call {
    pub node: Rc<Node>,
    pub head: CallHead,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Buffer,
    pub route: Arc<Route>,
    pub service: Arc<Service>,
    pub account: Option<Arc<Account>>,
    pub arrived_ms: MonoMs,
    /// When the caller, or the operators, stop waiting.
    pub deadline_ms: MonoMs,
    /// Whether it is run to see whether it still ends its replica.
    on_trial: Cell<bool>,
    /// Its digest, once something has asked for it.
    digest: OnceCell<RequestDigest>,
}

impl Call {
    /// What stands for all arrivals of this request. Hashed when first asked for: requests that are
    /// served without trouble never pay for it.
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

    /// How long ago it arrived.
    pub fn age_ms(&self) -> SpanMs {
        self.node.now_ms().since(self.arrived_ms)
    }

    /// How long it may wait at the node for a place.
    pub fn wait_timeouts(&self) -> WaitTimeouts {
        let gap_ms = match self.route.kind {
            RouteKind::Stream { gap_ms, .. } => gap_ms,
            RouteKind::Idempotent | RouteKind::AtMostOnce => SpanMs::ZERO,
        };
        WaitTimeouts::of(self.route.target_ms, gap_ms)
    }

    /// How urgent it is: the account's rank goes before the route's.
    pub fn urgency(&self) -> Urgency {
        let account = self.account.as_ref().and_then(|account| account.priority);
        let rank = account.unwrap_or(self.route.priority);
        Urgency::of(rank, self.route.target_ms)
    }

    /// The time left until its caller gives up waiting for a first event.
    pub fn caller_timeout_left_ms(&self) -> SpanMs {
        (self.arrived_ms + self.wait_timeouts().caller_timeout_ms).since(self.node.now_ms())
    }

    /// The time left to its deadline.
    pub fn left_ms(&self) -> SpanMs {
        self.deadline_ms.since(self.node.now_ms())
    }
}

/// The host that a caller asks for; empty where it names none.
fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let named = headers.get(HOST).and_then(|value| value.to_str().ok());
    uri.host().or(named).unwrap_or_default()
}

/// Serves one request of a caller.
pub async fn serve(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    let call = match admit::admit(node, request).await {
        Ok(call) => Rc::new(call),
        Err(answer) => return answer,
    };
    let mut watch = CallWatch::begin(call.clone());
    let answer = match call.route.kind {
        RouteKind::Stream { .. } => stream::serve(&call).await,
        RouteKind::Idempotent | RouteKind::AtMostOnce => plain::serve(&call).await,
    };
    watch.answered();
    answer
}
