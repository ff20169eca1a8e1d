//! Admission: the request's head, its route, its account and its body.

use super::Call;
use super::answers::{self, Answer};
use crate::node::Node;
use crate::platform::CallHead;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

/// When a caller of a node that knows no configuration yet is asked back: by then the node knows
/// one, or the balancer prefers another node.
const UNKNOWING_RETRY_MS: SpanMs = SpanMs(500);

/// The part of its time for which a request waits at a node that knows too little to serve it.
const UNINFORMED_PART: f64 = 0.15;

/// The longest such wait: what waits for longer is given up by callers of short streams, who leave
/// after two seconds of silence.
const LONGEST_UNINFORMED_MS: SpanMs = SpanMs(1_500);

/// The part of its time after which a caller is asked back by a node that finds no directory. Outages
/// last for seconds, and callers come back once and within a third of their time.
const AWAY_RETRY_PART: f64 = 0.33;

/// The least part of that time, from which the time is drawn: who was turned away in an outage must
/// not come back at one moment.
const AWAY_LEAST_PART: f64 = 0.6;

/// The time allowed where neither the caller nor the route says one.
const LONGEST_MS: SpanMs = SpanMs(600_000);

struct Admitted {
    route: Arc<Route>,
    service: Arc<Service>,
    account: Option<Arc<Account>>,
    body_bytes: Bytes,
}

/// Why the configuration doesn't let a request in.
enum Barred {
    /// It never will as it is.
    Rejected(StatusCode, &'static str),
    /// This node doesn't know enough yet.
    Unknowing(&'static str),
}

impl Barred {
    fn answer(self, node: &Node, head: &CallHead) -> Answer {
        match self {
            Barred::Rejected(status, why) => answers::rejected(node, &head.request, status, why),
            Barred::Unknowing(why) => answers::refused(
                node,
                head,
                why,
                SpanMs::ZERO,
                unknowing_retry_ms(node, head),
            ),
        }
    }
}

/// Lets a request wait for a short while at a node that has just started.
///
/// Callers whose connections broke with the last run of the node come back at once and, if they are
/// turned away then, not again. The directory mostly answers within that time; where it is away, the
/// caller still has most of its own time when it is turned away.
async fn wait_until_informed(node: &Node, head: &CallHead) {
    if node.is_initialized() {
        return;
    }
    // Whether it knows enough by then is seen by the lookup that follows.
    let _ = tokio::time::timeout(uninformed_wait(head), node.wait_until_initialized()).await;
}

/// How long a request waits at a node that knows too little to serve it.
fn uninformed_wait(head: &CallHead) -> Duration {
    let allowed_ms = head.deadline_ms.unwrap_or(LONGEST_MS);
    let wait_ms = allowed_ms.mul_f64(UNINFORMED_PART);
    Duration::from(wait_ms.min(LONGEST_UNINFORMED_MS))
}

/// When a caller is asked back by a node that doesn't know enough to serve it.
fn unknowing_retry_ms(node: &Node, head: &CallHead) -> SpanMs {
    let longest_ms = head.deadline_ms.map(|ms| ms.mul_f64(AWAY_RETRY_PART));
    match longest_ms.filter(|_| node.directory_watch.is_directory_unreachable()) {
        Some(longest_ms) => longest_ms.mul_f64(rand::random_range(AWAY_LEAST_PART..1.0)),
        None => UNKNOWING_RETRY_MS,
    }
}

/// Admits a request, or says why not.
pub async fn admit(node: Rc<Node>, request: Request<Incoming>) -> Result<Call, Answer> {
    let arrived_ms = node.now_ms();
    let (parts, body) = request.into_parts();
    let head = match node.platform.dialect.call_head(&parts.headers) {
        Ok(head) => head,
        Err(error) => {
            let status = StatusCode::BAD_REQUEST;
            let why = error.to_string();
            return Err(answers::rejected(&node, &"".into(), status, &why));
        }
    };
    wait_until_informed(&node, &head).await;
    let admitted = match look_up_current(&node, &head, &parts).await {
        Ok(admitted) => admitted,
        Err(barred) => return Err(barred.answer(&node, &head)),
    };
    let allowed_ms = head.deadline_ms.unwrap_or(LONGEST_MS);
    let timeout_ms = admitted.route.timeout_ms.min(allowed_ms);
    let deadline_ms = arrived_ms + timeout_ms;
    if !node.accepts(deadline_ms) {
        return Err(answers::leaving(&node, &head));
    }
    let body = read_body(&node, &head, body, admitted.body_bytes, timeout_ms).await?;
    let now_ms = node.now_ms();
    node.with(|state| state.budget.on_request(&admitted.service.name, now_ms));
    Ok(Call {
        node,
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        route: admitted.route,
        service: admitted.service,
        account: admitted.account,
        arrived_ms,
        deadline_ms,
        on_trial: Cell::new(false),
        digest: OnceCell::new(),
    })
}

/// Looks up in the newest configuration that the node can have soon.
///
/// A refusal is final for the caller, so one that a newer version may lift waits for that version and
/// is put off where it doesn't come.
async fn look_up_current(node: &Node, head: &CallHead, parts: &Parts) -> Result<Admitted, Barred> {
    let found = look_up(node, head, parts);
    if !matches!(found, Err(Barred::Rejected(..))) || !node.directory_watch.is_behind() {
        return found;
    }
    // Whether the version came is seen by the lookup that follows.
    let _ = tokio::time::timeout(
        uninformed_wait(head),
        node.directory_watch.wait_until_current(),
    )
    .await;
    match look_up(node, head, parts) {
        Err(Barred::Rejected(..)) if node.directory_watch.is_behind() => {
            Err(Barred::Unknowing("the configuration is being replaced"))
        }
        found => found,
    }
}

fn look_up(node: &Node, head: &CallHead, parts: &Parts) -> Result<Admitted, Barred> {
    let Some(config) = node.with(|state| state.config.clone()) else {
        return Err(Barred::Unknowing("no configuration is known yet"));
    };
    let host = super::host(&parts.uri, &parts.headers);
    let RouteLookup::Found(route) = config.route(host, parts.uri.path()) else {
        let why = "no route answers to host and path";
        return Err(Barred::Rejected(StatusCode::NOT_FOUND, why));
    };
    let account = account(&config, &route, head)?;
    let service = route.service(rand::random());
    let Some(service) = service.and_then(|name| config.service(name)).cloned() else {
        return Err(Barred::Unknowing("the route's service is not configured"));
    };
    Ok(Admitted {
        route,
        service,
        account,
        body_bytes: config.limits().body_bytes,
    })
}

/// The account that holds the caller's key; none where no key is needed.
fn account(
    config: &ServingConfig,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Arc<Account>>, Barred> {
    if !config.requires_key() || route.public {
        return Ok(None);
    }
    let account = head.key.as_ref().and_then(|key| config.account(key));
    let unknown = Barred::Rejected(StatusCode::UNAUTHORIZED, "the key is unknown");
    account.cloned().map(Some).ok_or(unknown)
}

async fn read_body(
    node: &Node,
    head: &CallHead,
    body: Incoming,
    limit: Bytes,
    timeout_ms: SpanMs,
) -> Result<Buffer, Answer> {
    let limited = Limited::new(body, limit.0 as usize);
    match tokio::time::timeout(Duration::from(timeout_ms), limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            let why = "the body is too large or broke off";
            Err(answers::rejected(node, &head.request, status, why))
        }
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            let why = "the body didn't arrive in time";
            Err(answers::rejected(node, &head.request, status, why))
        }
    }
}
